"""A simulated network: paths with delay and jitter, listen queues, connections, datagrams, cut paths.

A connection has two ends. The bytes of one send arrive in order, after the delay of the path and in one
piece. They count against the connection's window until the receiving process has read them, so a process that
doesn't read stops its sender. Segments on a cut path or for a silent machine are held back, as TCP
retransmits; when the path is back, they are delivered or the connection is reset, at random.
"""

import asyncio
import errno
from collections import deque

from heronwinch.interface import SECOND
from heronwinch.rehearsal.simulation.transport import Transport

WINDOW_BYTES = 128 * 1024  # bytes in flight or unread in each direction of a connection
CONNECT_RETRY_SECONDS = (1.0, 3.0, 7.0, 15.0)  # delays before a lost connection request is sent again
MAX_BUFFERED_DATAGRAMS = 256  # unread datagrams that a socket holds
ACCEPT_PAUSE_SECONDS = 1.0  # pause in accepting after the descriptors ran out, as in asyncio


class ConnectionEnd:
    """One end of a connection, for which its process holds a descriptor."""

    __slots__ = (
        "network",
        "number",
        "process",
        "address",
        "peer",
        "transport",
        "inbox",
        "send_window",
        "has_peer_finished",
        "is_reset",
        "last_received_at",
        "last_arrival_at",
        "held_segments",
        "is_closed",
        "has_finished",
        "is_purged",
    )

    def __init__(self, network, number, process, address):
        self.network, self.number, self.process, self.address = network, number, process, address
        self.peer = None
        self.transport = None
        self.inbox = deque()
        self.send_window = network.window  # bytes that may still be sent
        self.has_peer_finished = False  # the peer's FIN has arrived
        self.is_reset = False
        self.last_received_at = network.kernel.now
        self.last_arrival_at = 0  # when the segment sent last arrives at the peer
        self.held_segments = []  # (kind, data) that wait for a cut path
        self.is_closed = False  # the process has given up its descriptor
        self.is_purged = False  # reset, and all unsent segments were dropped
        self.has_finished = False  # has sent its own FIN

    # ---- calls of the process

    def send(self, data):
        """Sends as many of these bytes as the window allows, and returns their number."""
        count = min(len(data), self.send_window)
        if count and not self.is_reset:
            self.send_window -= count
            self.network.send_segment(self, "data", bytes(data[:count]))
        return count

    def finish(self):
        """Sends a FIN: no more bytes follow."""
        if not self.has_finished and not self.is_reset:
            self.has_finished = True
            self.network.send_segment(self, "fin", b"")

    def read_all(self):
        """Returns all bytes that have arrived and are unread."""
        data = b"".join(self.inbox)
        self.inbox.clear()
        self.network.return_window(self.peer, len(data))
        return data

    def close(self):
        """Closes the descriptor; with bytes unread the connection is reset, as operating systems do."""
        if self.is_closed:
            return
        self.is_closed = True
        self.release_descriptor()
        if self.inbox and not self.is_reset:
            self.network.send_segment(self, "rst", b"")
        else:
            self.finish()

    def release_descriptor(self):
        """Gives the descriptor back to the process, if it still holds it."""
        if self.process.connection_ends.pop(self, self) is None:
            self.process.open_descriptors -= 1

    def abort(self):
        """Closes the descriptor and resets the connection."""
        if not self.is_closed:
            self.is_closed = True
            self.release_descriptor()
            if not self.is_reset:
                self.network.send_segment(self, "rst", b"")

    def purge(self):
        """Resets the connection, and drops the segments that wait for its path."""
        self.is_purged = True
        self.held_segments = []
        self.abort()

    def terminate(self, silently):
        """Ends with its process: the peer gets a reset, or nothing if the whole machine is gone."""
        self.is_closed = True
        self.release_descriptor()
        if self.transport is not None:
            self.transport.is_dead = True
        if not silently and not self.is_reset and self.peer is not None:
            self.network.send_segment(self, "rst", b"")

    # ---- arrivals

    def receive(self, kind, data):
        """Takes in a segment of kind "data", "fin" or "rst"."""
        if self.is_reset:
            return
        if kind == "rst":
            # Unread bytes are lost with a reset, as on the harshest operating systems; others keep them.
            self.is_reset = True
            self.inbox.clear()
            if not self.is_closed:
                self._notify_transport()
            return
        if self.is_closed:
            if kind == "data":
                self.network.send_segment(self, "rst", b"")
                self.is_reset = True
            return
        if kind == "data":
            self.inbox.append(data)
            self.last_received_at = self.network.kernel.now
        else:
            self.has_peer_finished = True
        self._notify_transport()

    def _notify_transport(self):
        if self.transport is not None:
            self.transport.schedule_read()


class Listener:
    """A listening socket of a process, with the server that accepts from it."""

    def __init__(self, network, process, address):
        self.network, self.process, self.address = network, process, address
        self.queue = deque()  # connections not yet accepted
        self.backlog = 0
        self.protocol_factory = None
        self.accepts_per_turn = 1
        self.is_accepting = False  # accepting is scheduled
        self.is_closed = False
        process.listeners[self] = None
        process.open_descriptors += 1

    # ---- calls on the socket

    def listen(self, backlog):
        self.backlog = backlog

    def getsockname(self):
        return self.address

    def close(self):
        """Closes the socket, and resets the connections that weren't accepted."""
        if not self.is_closed:
            self.is_closed = True
            self.network.listeners.pop(self.address, None)
            if self.process.listeners.pop(self, self) is None:
                self.process.open_descriptors -= 1
            for end in self.queue:
                end.abort()
            self.queue.clear()

    def terminate(self, silently):
        """Ends with its process; queued peers get a reset unless `silently`."""
        self.is_closed = True
        self.network.listeners.pop(self.address, None)
        self.process.listeners.pop(self, None)
        for end in self.queue:
            end.terminate(silently)
        self.queue.clear()

    # ---- serving

    def serve(self, protocol_factory, accepts_per_turn):
        """Starts accepting, and returns a Server."""
        self.protocol_factory, self.accepts_per_turn = protocol_factory, max(1, accepts_per_turn)
        if not self.backlog:
            self.backlog = accepts_per_turn
        self._schedule_accept()
        return Server(self)

    def is_full(self):
        """Whether the listen queue holds as many connections as the backlog allows."""
        return len(self.queue) >= self.backlog

    def add_connection(self, end):
        """Adds an established connection to the listen queue."""
        self.queue.append(end)
        self._schedule_accept()

    def _schedule_accept(self):
        if self.protocol_factory is not None and self.queue and not self.is_accepting:
            self.is_accepting = True
            self.process.call_soon(self._accept)

    def _accept(self):
        self.is_accepting = False
        for _ in range(min(self.accepts_per_turn, len(self.queue))):
            if self.process.open_descriptors >= self.process.descriptor_limit:
                self.process.call_exception_handler(
                    {
                        "message": "socket.accept() out of system resource",
                        "exception": OSError(errno.EMFILE, "Too many open files"),
                    }
                )
                self.is_accepting = True
                self.process.call_later(ACCEPT_PAUSE_SECONDS, self._accept)
                return
            end = self.queue.popleft()
            self.process.open_descriptors += 1
            self.process.connection_ends[end] = None
            Transport(self.process, end, self.protocol_factory())
        self._schedule_accept()


class DatagramSocket(asyncio.DatagramTransport):
    """A datagram socket of a process. Datagrams beyond MAX_BUFFERED_DATAGRAMS unread ones are dropped."""

    def __init__(self, network, process, address, protocol):
        super().__init__()
        self.network, self.process, self.address, self.protocol = network, process, address, protocol
        self.inbox = deque()  # (data, sender's address)
        self.is_read_scheduled = self.is_closed = False
        network.datagram_sockets[address] = self
        process.listeners[self] = None
        process.open_descriptors += 1
        process.call_soon(protocol.connection_made, self)

    def sendto(self, data, address=None):
        if not self.is_closed:
            self.network.send_datagram(self, bytes(data), address)

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_closed

    def receive(self, data, address):
        if len(self.inbox) < MAX_BUFFERED_DATAGRAMS:
            self.inbox.append((data, address))
            self._schedule_read()

    def _schedule_read(self):
        if not self.is_read_scheduled and not self.is_closed:
            self.is_read_scheduled = True
            self.process.call_soon(self._read)

    def _read(self):
        """Hands over one datagram per event loop turn, as asyncio does."""
        self.is_read_scheduled = False
        if self.inbox and not self.is_closed:
            data, address = self.inbox.popleft()
            self.protocol.datagram_received(data, address)
            if self.inbox:
                self._schedule_read()

    def close(self):
        if not self.is_closed:
            self.terminate(True)
            self.process.open_descriptors -= 1
            self.process.call_soon(self.protocol.connection_lost, None)

    def terminate(self, silently):
        """Ends with its process; nobody is told of a closed datagram socket either way."""
        self.is_closed = True
        self.network.datagram_sockets.pop(self.address, None)
        self.process.listeners.pop(self, None)


class DatagramFaults:
    """Faults of datagrams on all paths: shares lost and sent twice, and up to how many nanoseconds late."""

    def __init__(self, loss=0.0, duplication=0.0, max_extra_delay_ns=0):
        self.loss, self.duplication, self.max_extra_delay_ns = loss, duplication, max_extra_delay_ns


class Server:
    """What `create_server` of a simulated process returns, as asyncio.Server."""

    def __init__(self, listener):
        self.listener = listener
        self.sockets = (listener,)

    def close(self):
        self.listener.close()

    def is_serving(self):
        return not self.listener.is_closed

    async def wait_closed(self):
        pass


class Network:
    """The paths between machines, which are known by their IP addresses.

    `delay` and `jitter` are nanoseconds one way, `window` bytes in each direction of a connection.
    """

    def __init__(self, kernel, delay=200_000, jitter=100_000, window=WINDOW_BYTES):
        self.kernel = kernel
        self.path_random = kernel.derive_random("network")
        self.delay, self.jitter, self.window = delay, jitter, window
        self.delay_factors = {}  # ip -> factor on the delay of its paths
        self.listeners = {}  # (ip, port) -> Listener
        self.datagram_sockets = {}  # (ip, port) -> DatagramSocket
        self.datagram_faults = []  # the DatagramFaults in force
        self.blocked_paths = []  # (sender ips, recipient ips) between which nothing passes
        self.end_count = 0  # ends of connections made so far
        self.silent_ips = set()  # machines that neither send nor receive
        self.waiting_ends = {}  # ends with held segments, in the order of the first of them
        self.last_ports = {}  # ip -> the port that was allocated last
        self.sent_bytes = 0

    # ---- paths

    def draw_latency(self, sender_ip, recipient_ip):
        """One-way latency in nanoseconds."""
        delay = self.delay + int(self.path_random.random() * self.jitter)
        if self.delay_factors:
            delay *= max(self.delay_factors.get(sender_ip, 1), self.delay_factors.get(recipient_ip, 1))
        return int(delay)

    def can_reach(self, sender_ip, recipient_ip):
        """Whether packets pass in this direction at present."""
        if sender_ip in self.silent_ips or recipient_ip in self.silent_ips:
            return False
        return not any(
            sender_ip in senders and recipient_ip in recipients for senders, recipients in self.blocked_paths
        )

    def cut_paths(self, ips, other_ips):
        """Blocks the paths between both sides in both directions; returns what `heal_paths` takes."""
        return self.block_path(ips, other_ips) + self.block_path(other_ips, ips)

    def heal_paths(self, paths):
        """Unblocks the paths that `cut_paths` or `block_path` returned."""
        for path in paths:
            self.blocked_paths.remove(path)
        self._release_held_segments()

    def block_path(self, sender_ips, recipient_ips):
        """Blocks the paths in this direction only; returns what `heal_paths` takes."""
        path = frozenset(sender_ips), frozenset(recipient_ips)
        self.blocked_paths.append(path)
        return [path]

    def send_datagram(self, sender, data, address):
        """Sends a datagram, which the faults in force may lose, duplicate or delay."""
        sender_ip, recipient_ip = sender.address[0], address[0]
        self.kernel.update_digest(0, data)
        self.sent_bytes += len(data)
        copies, max_extra_delay_ns = 1, 0
        for faults in self.datagram_faults:
            copies += self.path_random.random() < faults.duplication
            copies *= self.path_random.random() >= faults.loss
            max_extra_delay_ns += faults.max_extra_delay_ns
        for _ in range(copies):
            latency = self.draw_latency(sender_ip, recipient_ip) + int(
                max_extra_delay_ns * self.path_random.random()
            )
            self.kernel.schedule_after(latency, self._deliver_datagram, sender.address, address, data)

    def _deliver_datagram(self, sender_address, address, data):
        socket = self.datagram_sockets.get(address)
        if socket is not None and self.can_reach(sender_address[0], address[0]):
            socket.receive(data, sender_address)

    def silence_ip(self, ip):
        """Makes a machine unreachable and silent, as if it had lost its power."""
        self.silent_ips.add(ip)

    def restore_ip(self, ip):
        """Ends the silence of a machine, and releases the segments held for it."""
        self.silent_ips.discard(ip)
        self._release_held_segments()

    def _release_held_segments(self):
        """Sends the held segments of each path that is open again, or resets the connection, at random."""
        for end in list(self.waiting_ends):
            if self.can_reach(end.address[0], end.peer.address[0]):
                del self.waiting_ends[end]
                segments, end.held_segments = end.held_segments, []
                if self.path_random.random() < 0.5:
                    for kind, data in segments:
                        self._schedule_arrival(end, kind, data)
                else:
                    self._schedule_arrival(end, "rst", b"")
                    end.receive("rst", b"")

    def send_segment(self, end, kind, data):
        """Sends a segment of kind "data", "fin" or "rst" to the end's peer, or holds it on a cut path."""
        self.kernel.update_digest(end.number, data or kind.encode())
        self.sent_bytes += len(data)
        if (self.blocked_paths or self.silent_ips or end.held_segments) and (
            end.held_segments or not self.can_reach(end.address[0], end.peer.address[0])
        ):
            end.held_segments.append((kind, data))
            self.waiting_ends[end] = None
        else:
            self._schedule_arrival(end, kind, data)

    def _schedule_arrival(self, end, kind, data):
        end.last_arrival_at = max(
            end.last_arrival_at, self.kernel.now + self.draw_latency(end.address[0], end.peer.address[0])
        )
        self.kernel.schedule_at(end.last_arrival_at, self._arrive, end, kind, data)

    def _arrive(self, end, kind, data):
        """Hands a segment to the peer; if the path was cut while it was in flight, it is held."""
        if (self.blocked_paths or self.silent_ips) and not self.can_reach(
            end.address[0], end.peer.address[0]
        ):
            if end.is_purged and kind != "rst":
                return
            end.held_segments.append((kind, data))
            self.waiting_ends[end] = None
        elif end.held_segments and kind != "rst":
            end.held_segments.append((kind, data))
        else:
            end.peer.receive(kind, data)

    def return_window(self, end, count):
        """Returns to an end the window for `count` bytes which its peer's process has read."""
        if not count:
            return
        if end.transport is not None and end.transport.buffer:
            self.kernel.schedule_after(
                self.draw_latency(end.address[0], end.peer.address[0]), self._extend_window, end, count
            )
        else:
            end.send_window += count

    def _extend_window(self, end, count):
        end.send_window += count
        if end.transport is not None and not end.is_closed:
            self.kernel.call_in_process(end.process, end.transport.flush)

    def reset_pair(self, end):
        """Resets both ends of a connection, as a fault in the network does."""
        for each_end in (end, end.peer):
            if not each_end.is_closed:
                each_end.receive("rst", b"")

    # ---- connections

    def create_listener(self, process, host, port):
        """Binds a listening socket; port 0 is any free one. Raises OSError if the address is in use."""
        if not port:
            port = self._allocate_port(process.ip)
        if (host, port) in self.listeners:
            raise OSError(errno.EADDRINUSE, f"address already in use: {host}:{port}")
        listener = self.listeners[host, port] = Listener(self, process, (host, port))
        return listener

    def _allocate_port(self, ip):
        port = self.last_ports[ip] = self.last_ports.get(ip, 32767) + 1
        return port

    def _create_end(self, process, address):
        self.end_count += 1
        return ConnectionEnd(self, self.end_count, process, address)

    async def connect(self, process, protocol_factory, address):
        """Connects and returns (transport, protocol); raises OSError as connect(2) does."""
        if process.open_descriptors >= process.descriptor_limit:
            raise OSError(errno.EMFILE, "Too many open files")
        end = self._create_end(process, (process.ip, self._allocate_port(process.ip)))
        process.open_descriptors += 1
        process.connection_ends[end] = None
        connected = process.create_future()
        attempt = self.kernel.schedule_after(
            self.draw_latency(process.ip, address[0]), self._request, end, address, connected, 0
        )
        try:
            await connected
        except BaseException:
            attempt.cancel()
            if end.peer is None:
                end.is_closed = True
                end.release_descriptor()
            else:
                end.abort()
            raise
        protocol = protocol_factory()
        return Transport(process, end, protocol), protocol

    def _request(self, end, address, connected, attempt_count):
        """Handles a connection request as it arrives at the listening machine or is lost on the way."""
        if connected.done() or end.is_closed:
            return
        is_reachable = self.can_reach(end.address[0], address[0])
        listener = self.listeners.get(address)
        reply_latency = self.draw_latency(end.address[0], address[0])
        if is_reachable and listener is None:
            refused = ConnectionRefusedError(errno.ECONNREFUSED, f"Connect call failed {address}")
            self.kernel.schedule_after(reply_latency, self._answer_request, end, connected, refused)
        elif is_reachable and not listener.is_full():
            accepted_end = self._create_end(listener.process, address)
            accepted_end.peer, end.peer = end, accepted_end
            listener.add_connection(accepted_end)
            self.kernel.schedule_after(reply_latency, self._answer_request, end, connected, None)
        elif attempt_count < len(CONNECT_RETRY_SECONDS):
            self.kernel.schedule_after(
                int(CONNECT_RETRY_SECONDS[attempt_count] * SECOND),
                self._request,
                end,
                address,
                connected,
                attempt_count + 1,
            )
        else:
            timed_out = TimeoutError(errno.ETIMEDOUT, f"Connect call failed {address}")
            self.kernel.schedule_after(reply_latency, self._answer_request, end, connected, timed_out)

    def _answer_request(self, end, connected, error):
        if connected.done() or not end.process.is_alive:
            return

        def settle():
            if not connected.done():
                connected.set_result(None) if error is None else connected.set_exception(error)

        if error is None and not self.can_reach(end.peer.address[0], end.address[0]):
            return  # the answer is lost, so that the connection is never established
        self.kernel.call_in_process(end.process, settle)
