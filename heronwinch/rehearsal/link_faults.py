"""Faults on the connections between real dispatchers and the rig's own workers, at the workers' end.

Incoming packets are dropped by the operating system before they count, by a packet filter on the sockets of
the worker alone. So a cut behaves as in a network: nothing is acknowledged, and data and connection requests
are sent again by the system's own timers. Outgoing data is held until the link is open again. A worker
listens on all loopback addresses and each dispatcher is told a different one, so the requested address names
the dispatcher.

Source: filters, socket(7) SO_ATTACH_FILTER; silent ends, tcp(7) TCP_REPAIR (as root; else a reset)."""

import ctypes
import socket
import struct
from collections import deque
from random import Random

# The address of every worker, as dispatcher n is told it.
from heronwinch.rehearsal.fault_proxy import get_member_address

SO_ATTACH_FILTER, SO_DETACH_FILTER, TCP_REPAIR = 26, 27, 19
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06  # opcodes of classic BPF
DESTINATION_OFFSET = 0xFFF00000 + 16  # offset of the IPv4 destination address from SKF_NET_OFF
ACCEPT_WHOLE_PACKET = 0xFFFFFFFF
ALL_DISPATCHERS = None  # in place of a set of dispatcher numbers


def parse_dispatcher_number(ip):
    """The number of the dispatcher that is told this address of its workers."""
    parts = ip.split(".")
    return int(parts[2]) * 256 + int(parts[3])


def block_packets(sock, subnet, numbers):
    """Drops incoming packets from the dispatchers with these numbers; with no numbers, removes the filter."""
    if numbers is not ALL_DISPATCHERS and not numbers:
        try:
            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        except FileNotFoundError:
            pass  # the socket had no filter
        return
    if numbers is ALL_DISPATCHERS:
        instructions = [(RETURN, 0, 0, 0)]
    else:
        instructions = [(LOAD_WORD, 0, 0, DESTINATION_OFFSET)]
        for number in sorted(numbers):
            (address,) = struct.unpack("!I", socket.inet_aton(get_member_address(number, subnet)))
            instructions += [(JUMP_IF_EQUAL, 0, 1, address), (RETURN, 0, 0, 0)]
        instructions.append((RETURN, 0, 0, ACCEPT_WHOLE_PACKET))
    program = ctypes.create_string_buffer(
        b"".join(struct.pack("HBBI", *instruction) for instruction in instructions)
    )
    sock.setsockopt(
        socket.SOL_SOCKET,
        SO_ATTACH_FILTER,
        struct.pack("HL", len(instructions), ctypes.addressof(program)),
    )


class WorkerLink:
    """A worker's end of a connection, used in place of its transport."""

    def __init__(self, link_faults, worker, transport):
        self.link_faults, self.worker, self.transport = link_faults, worker, transport
        self.sock = transport.get_extra_info("socket")
        self.dispatcher_number = parse_dispatcher_number(transport.get_extra_info("sockname")[0])
        self.outgoing = deque()  # (due, bytes or a function that ends the connection), in order
        self.timer = None
        self.is_ended = False
        link_faults.add_link(self)

    def write(self, data):
        self._enqueue(data)

    def close(self):
        self.is_ended = True
        self._enqueue(self.transport.close)

    def abort(self):
        self.is_ended = True
        self._enqueue(self.transport.abort)

    def is_closing(self):
        return self.is_ended or self.transport.is_closing()

    def get_extra_info(self, name, default=None):
        return self.transport.get_extra_info(name, default)

    def _enqueue(self, data_or_function):
        self.outgoing.append(
            (self.link_faults.loop.time() + self.link_faults.draw_extra_delay(), data_or_function)
        )
        if self.timer is None:  # with a timer set, earlier data has to go out first
            self.flush()

    def flush(self):
        """Sends everything that is due, unless the link is blocked.

        One timer serves the whole queue, as the event loop doesn't keep the order of timers due at once.
        """
        self.timer = None
        while self.outgoing and not self.link_faults.is_blocked(self.worker, self.dispatcher_number):
            due, data_or_function = self.outgoing[0]
            if due > self.link_faults.loop.time():
                self.timer = self.link_faults.loop.call_at(due, self.flush)
                return
            self.outgoing.popleft()
            if callable(data_or_function):
                data_or_function()
            elif not self.transport.is_closing():
                self.transport.write(data_or_function)

    def reset(self):
        """Resets the connection at both ends, as a fault in the network does."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def drop_silently(self):
        """Forgets the connection without telling the peer, as a machine that restarts does.

        The peer gets a reset once it sends something.
        """
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, TCP_REPAIR, 1)  # closing then sends no packet
        except OSError:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class LinkFaults:
    """The faults on the links to the workers of one process. `network` is the script's section `network`."""

    def __init__(self, loop, subnet, network, seed):
        self.loop, self.subnet, self.network = loop, subnet, network
        self.random = Random(f"{seed} paths")
        self.cuts = {}  # key -> (workers, numbers of dispatchers)
        self.silent_workers = set()  # workers whose machine neither sends nor receives
        self.delay_factor = 1.0
        self.servers = {}  # worker -> the server that listens for it
        self.links = {}  # worker -> its open links
        self.detached = {}  # worker -> (server, links) from before its machine went silent
        self.last_key = 0

    # ---- open links

    def add_server(self, worker, server):
        self.servers[worker] = server
        self._update_filters(worker)

    def add_link(self, link):
        self.links.setdefault(link.worker, {})[link] = None
        self._update_filter(link.sock, link.worker)

    def remove_link(self, link):
        self.links.get(link.worker, {}).pop(link, None)
        self.detached.get(link.worker, (None, {}))[1].pop(link, None)

    def is_blocked(self, worker, dispatcher_number):
        return worker in self.silent_workers or any(
            worker in workers and dispatcher_number in numbers for workers, numbers in self.cuts.values()
        )

    def _collect_blocked_numbers(self, worker):
        if worker in self.silent_workers:
            return ALL_DISPATCHERS
        return frozenset().union(*(numbers for workers, numbers in self.cuts.values() if worker in workers))

    def _update_filter(self, sock, worker):
        block_packets(sock, self.subnet, self._collect_blocked_numbers(worker))

    def _update_filters(self, worker):
        """Updates a worker's sockets after a change of what is blocked, and sends what may go out now."""
        server = self.servers.get(worker)
        for sock in server.list_sockets() if server is not None else ():
            self._update_filter(sock, worker)
        for link in list(self.links.get(worker, ())):
            if link.sock.fileno() >= 0:
                self._update_filter(link.sock, worker)
            if not self.is_blocked(worker, link.dispatcher_number):
                link.flush()

    # ---- faults

    def cut_links(self, workers, numbers):
        """Blocks the links between workers and dispatchers; returns a key for `heal_links`."""
        self.last_key += 1
        self.cuts[self.last_key] = frozenset(workers), frozenset(numbers)
        for worker in workers:
            self._update_filters(worker)
        return self.last_key

    def heal_links(self, key):
        workers, _ = self.cuts.pop(key)
        for worker in workers:
            self._update_filters(worker)

    def silence_worker(self, worker):
        self.silent_workers.add(worker)
        self._update_filters(worker)

    def detach_worker(self, worker):
        """Sets aside the links of a worker whose process ended silently, with its machine.

        They stay blocked until `restore_worker`.
        """
        self.detached[worker] = self.servers.pop(worker, None), self.links.pop(worker, {})

    def restore_worker(self, worker):
        """Ends the silence of a worker's machine; its connections from before are unknown there."""
        self.silent_workers.discard(worker)
        server, links = self.detached.pop(worker, (None, {}))
        for link in list(links):
            link.drop_silently()
        if server is not None:
            server.stop_listening()
        self._update_filters(worker)

    def multiply_delay(self, factor):
        self.delay_factor *= factor

    def draw_extra_delay(self):
        """Seconds by which outgoing data is late: that of both directions, as round trips are measured."""
        if self.delay_factor <= 1.0:
            return 0.0
        extra_factor = 2 * (self.delay_factor - 1.0)
        return extra_factor * (self.network.delay + self.network.jitter * self.random.random()) / 1e9

    def reset_random_link(self, worker):
        links = list(self.links.get(worker, ()))
        if links:
            self.random.choice(links).reset()
