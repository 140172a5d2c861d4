"""A proxy process between dispatchers on loopback that injects network faults into their datagrams and
streams: partitions in one or both directions, packet loss, duplicates and delays.

Member n of the script listens and sends at 127.L.(n // 256).(n % 256). The other members are told its address
at the proxy, 127.(L+1).(n // 256).(n % 256), with the proxy's port. The proxy thus knows both ends of all
traffic by their addresses, and the program runs unchanged. L is the rig's own subnet. A partition drops
traffic and never resets a connection. Commands arrive as lines of JSON on standard input; the proxy ends with
the end of its input, however the rig ended.
"""

import asyncio
import contextlib
import json
import socket
import struct
import sys
from random import Random

IP_PKTINFO = 8  # the module socket has it only since Python 3.14
PKTINFO = struct.Struct("=I4s4s")  # interface, local address, destination address
MAX_DATAGRAMS_PER_TURN = 64  # datagrams read in one event loop turn
CHUNK_BYTES = 64 * 1024
CUT_CHECK_SECONDS = 0.02  # interval of checks whether a partition has ended
STREAM_LIMIT_SECONDS = 300.0  # a stream is given up after this time, also one held up by a partition


def get_member_address(number, subnet):
    """Returns the address at which the member with this number listens."""
    return f"127.{subnet}.{number // 256}.{number % 256}"


def get_advertised_address(number, subnet):
    """Returns the address at the proxy, which other members are told."""
    return get_member_address(number, subnet + 1)


def parse_member_number(ip, subnet):
    """Returns the number of the member with that address, either of its two, or None for any other."""
    parts = [int(part) for part in ip.split(".")]
    return parts[2] * 256 + parts[3] if parts[1] in (subnet, subnet + 1) else None


class FaultProxy:
    """Forwards datagrams and streams between members and injects the faults that are in force.

    `port` is the one at which members listen."""

    def __init__(self, port, subnet, seed):
        self.port, self.subnet = port, subnet
        self.random = Random(seed)
        self.partitions = {}  # key -> (senders, receivers): nothing passes from the one to the other
        self.packet_faults = {}  # key -> (share lost, share duplicated, longest delay in seconds)
        self.counts = {"datagrams": 0, "lost": 0, "late_ms": 0.0}
        self.sock = None
        self.tasks = set()
        self.loop = asyncio.get_running_loop()

    async def listen(self, sock, datagrams):
        datagrams.setblocking(False)
        datagrams.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        self.sock = datagrams
        self.loop.add_reader(datagrams, self._forward_datagrams)
        await asyncio.start_server(self._accept_stream, sock=sock)
        self.loop.call_later(0.05, self._measure_lag, self.loop.time() + 0.05)

    def _measure_lag(self, due):
        """Records the lag of the proxy's own event loop, which delays traffic beyond the injected faults."""
        self.counts["late_ms"] = max(self.counts["late_ms"], (self.loop.time() - due) * 1000)
        self.loop.call_later(0.05, self._measure_lag, self.loop.time() + 0.05)

    def can_pass(self, sender, receiver):
        """Whether no partition separates the two in this direction."""
        return not any(
            sender in senders and receiver in receivers for senders, receivers in self.partitions.values()
        )

    # ---- datagrams

    def _forward_datagrams(self):
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, ancillary_data, _, source = self.sock.recvmsg(65536, 64)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier datagram could not be delivered: its receiver is down
            packet_info = next((value for _, kind, value in ancillary_data if kind == IP_PKTINFO), None)
            sender = parse_member_number(source[0], self.subnet)
            receiver = (
                parse_member_number(socket.inet_ntoa(PKTINFO.unpack(packet_info)[2]), self.subnet)
                if packet_info
                else None
            )
            if sender is None or receiver is None:
                continue
            self.counts["datagrams"] += 1
            copies, max_delay = 1, 0.0
            for loss, duplicates, delay in self.packet_faults.values():
                copies += self.random.random() < duplicates
                copies *= self.random.random() >= loss
                max_delay += delay
            if not copies or not self.can_pass(sender, receiver):
                self.counts["lost"] += 1
                continue
            for _ in range(copies):
                if max_delay:
                    self.loop.call_later(
                        max_delay * self.random.random(), self._send_datagram, data, sender, receiver
                    )
                else:
                    self._send_datagram(data, sender, receiver)

    def _send_datagram(self, data, sender, receiver):
        if self.can_pass(sender, receiver):
            try:
                self.sock.sendto(data, (get_member_address(receiver, self.subnet), self.port))
            except OSError:
                self.counts["lost"] += 1

    # ---- streams

    def _accept_stream(self, reader, writer):
        task = self.loop.create_task(self._forward_stream(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _forward_stream(self, reader, writer):
        sender = parse_member_number(writer.get_extra_info("peername")[0], self.subnet)
        receiver = parse_member_number(writer.get_extra_info("sockname")[0], self.subnet)
        far_writer = None
        try:
            if sender is None or receiver is None:
                return
            async with asyncio.timeout(STREAM_LIMIT_SECONDS):
                await self._wait_until_passable(sender, receiver)
                far_reader, far_writer = await asyncio.open_connection(
                    get_member_address(receiver, self.subnet),
                    self.port,
                    local_addr=(get_member_address(sender, self.subnet), 0),
                )
                async with asyncio.TaskGroup() as directions:
                    directions.create_task(self._copy(reader, far_writer, sender, receiver))
                    directions.create_task(self._copy(far_reader, writer, receiver, sender))
        except (OSError, ExceptionGroup):
            pass
        finally:
            writer.transport.abort()
            if far_writer is not None:
                far_writer.transport.abort()

    async def _copy(self, reader, writer, sender, receiver):
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_until_passable(sender, receiver)
            writer.write(data)
            await writer.drain()
        writer.write_eof()

    async def _wait_until_passable(self, sender, receiver):
        while not self.can_pass(sender, receiver):
            await asyncio.sleep(CUT_CHECK_SECONDS)

    # ---- commands

    def execute_command(self, line):
        """Begins or ends a fault; `line` is a JSON list of the command, its key and arguments."""
        command, key, *arguments = json.loads(line)
        if command == "bar":
            self.partitions[key] = frozenset(arguments[0]), frozenset(arguments[1])
        elif command == "rough":
            self.packet_faults[key] = tuple(arguments)
        elif command == "end":
            self.partitions.pop(key, None)
            self.packet_faults.pop(key, None)
        else:
            raise ValueError(command)


async def main(stream_fd, datagram_fd, port, subnet, seed):
    """Forwards traffic until standard input ends, then writes the counts to standard output."""
    proxy = FaultProxy(int(port), int(subnet), seed)
    await proxy.listen(socket.socket(fileno=int(stream_fd)), socket.socket(fileno=int(datagram_fd)))
    reader = asyncio.StreamReader()
    await proxy.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        proxy.execute_command(line)
    with contextlib.suppress(BrokenPipeError):  # the rig has ended
        print(json.dumps(proxy.counts), flush=True)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
