"""Hand-over of clients' connections and work items from a stopping process to its successor, which listens on
the same socket.

The successor binds a Unix socket of a known name. The stopping process connects, gets a hello, and offers
each client in a message, with the descriptors of the client's and, if a hand-off is in flight, the worker's
connection. It keeps duplicates of the descriptors until the successor's verdict. A client that is refused, or
whose offer had no verdict when the successor died, is served on here."""

import asyncio
import contextlib
import os
import socket
import struct
from typing import NamedTuple

import structlog

from heronwinch.net import sockets
from heronwinch.protocol.handover import (
    FORMAT_VERSION,
    MAX_MESSAGE_BYTES,
    ClientState,
    HandOffState,
    HandoverMessageError,
    Offer,
    Verdict,
    decode_hello,
    decode_offer,
    decode_verdict,
    encode_hello,
    encode_offer,
    encode_verdict,
)

log = structlog.get_logger()

SUCCESSOR_SOCKET_NAME = "heronwinch.next"
HELLO_TIMEOUT_SECONDS = 0.3  # time limit for the successor's hello
MAX_PENDING_OFFERS = 64  # offers made at once; each holds up to two more descriptors until its verdict
VERDICT_TIMEOUT_SECONDS = 0.1  # time that one round of offers waits for its verdicts
VERDICT_POLL_SECONDS = 0.001  # interval of checks whether all verdicts have come
MESSAGES_PER_LOOP_TURN = 16  # messages read in one event loop turn
PEER_CREDENTIALS = struct.Struct("3i")  # struct ucred: process, user, group
SOCKET_ERRORS = (OSError, ValueError, OverflowError)  # raised also for a path that is too long


def _get_peer_ids(sock):
    """Returns the process id and the user id of the peer of a Unix socket."""
    process, user, _ = PEER_CREDENTIALS.unpack(
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    )
    return process, user


async def _resume_client(engine, listener, offer, passed_sockets):
    """Serves an offered client in this process from now on. The time that the offer has taken counts."""
    streams = [await sockets.connect(sock=sock) for sock in passed_sockets]
    transit_ns = max(0, engine.machine.read_monotonic_clock() - offer.offered_at)
    listener.resume_client(
        *streams[0], offer.client_state.add_age(transit_ns), streams[1] if len(streams) > 1 else None
    )


class HandoverReceiver:
    """The successor's side. It takes over clients while the other process stops."""

    def __init__(self, engine, listener, folder, counters):
        self.engine, self.listener, self.counters = engine, listener, counters
        self.path = os.path.join(folder, SUCCESSOR_SOCKET_NAME)
        self.sock = None
        self.received_count = 0  # clients taken over
        self.tasks = set()

    def open(self):
        """Listens for the stopping process; returns whether that was possible. A socket file that an earlier
        process left is removed."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path)
            sock.bind(self.path)
            sock.listen(1)
        except SOCKET_ERRORS:
            sock.close()
            return False
        self.sock = sock
        self.engine.loop.add_reader(sock, self._accept)
        return True

    def close(self):
        """Stops listening; messages of a process that has connected are still read."""
        if self.sock is not None:
            self.engine.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def _accept(self):
        """Greets a process that connects, if it is the same user's, and reads its messages from then on."""
        try:
            peer, _ = self.sock.accept()
        except OSError:
            return
        peer.setblocking(False)
        try:
            if _get_peer_ids(peer)[1] != os.getuid():
                raise PermissionError
            peer.send(encode_hello())
        except OSError:
            peer.close()
            return
        self.engine.loop.add_reader(peer, self._read_messages, peer)

    def _read_messages(self, peer):
        """Reads the messages that have arrived, up to a number and to so many bytes in an event loop turn."""
        byte_count = 0
        for _ in range(MESSAGES_PER_LOOP_TURN):
            if byte_count >= MAX_MESSAGE_BYTES:
                return
            try:
                data, descriptors, _, _ = socket.recv_fds(peer, MAX_MESSAGE_BYTES, 2, socket.MSG_CMSG_CLOEXEC)
            except BlockingIOError:
                return
            except OSError:
                data, descriptors = b"", []
            if not data:
                self.engine.loop.remove_reader(peer)
                peer.close()
                log.info("taken_over", connections=self.received_count)
                return
            byte_count += len(data)
            passed_sockets = [socket.socket(fileno=number) for number in descriptors]
            task = asyncio.create_task(self._handle_offer(peer, data, passed_sockets))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _handle_offer(self, peer, data, passed_sockets):
        """Takes over one client with its connection and, if sent, that of its worker, or refuses it."""
        try:
            offer = decode_offer(data)
            verdict = Verdict(offer.number, self._can_take_over(offer.client_state))
            if not self._tell_verdict(peer, verdict) or verdict.is_accepted:
                # An offer whose work item can't be continued here is answered.
                await _resume_client(self.engine, self.listener, offer, passed_sockets)
                self.received_count += 1
                return
            self.counters.count("offer_refused")
        except (HandoverMessageError, OSError, LookupError):
            if self.counters.count("take_over_fault"):
                log.exception("take_over_fault")
        for sock in passed_sockets:
            sock.close()

    def _can_take_over(self, client_state):
        """Whether this process can continue a client's work item by its own settings."""
        job = client_state.job
        return job is None or (
            job.id not in self.engine.recent_ids.held and self.engine.can_resume_item(client_state)
        )

    def _tell_verdict(self, peer, verdict):
        """Tells the other process the verdict; returns False if that process reads no verdicts any more. Then
        nobody but this process can answer the client."""
        try:
            peer.send(encode_verdict(verdict))
        except OSError:
            return False
        return True


class PendingOffer(NamedTuple):
    """An offer without a verdict, with duplicates of the descriptors that went with it."""

    offer: Offer
    sockets: list[socket.socket]

    def close(self):
        """Closes the duplicates."""
        for sock in self.sockets:
            sock.close()


class HandoverSender:
    """The stopping process's side. It passes its clients on to the successor."""

    def __init__(self, engine, listener, workers, folder, counters):
        self.engine, self.listener, self.workers = engine, listener, workers
        self.counters = counters
        self.path = os.path.join(folder, SUCCESSOR_SOCKET_NAME)
        self.sock = None
        self.offers = {}  # number -> PendingOffer
        self.offer_count = 0
        self.accepted_count = 0  # clients that the successor has taken over
        self.refused_ids = set()  # of the work items that it has refused
        self.tasks = set()  # tasks that take clients back

    async def connect_to_successor(self):
        """Connects to the successor; returns whether it is there and takes over work."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            sock.connect(self.path)
            process, user = _get_peer_ids(sock)
            if process == os.getpid() or user != os.getuid():
                raise PermissionError
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                version = decode_hello(await self.engine.loop.sock_recv(sock, MAX_MESSAGE_BYTES))
            if version != FORMAT_VERSION:
                raise HandoverMessageError("the successor uses another format version")
        except (*SOCKET_ERRORS, HandoverMessageError):
            sock.close()
            return False
        self.sock = sock
        self.engine.loop.add_reader(sock, self._read_verdicts)
        return True

    async def hand_over_clients(self):
        """Offers the clients for which that is possible now; the others stay, and may be tried again. Without
        verdicts on earlier offers no more are made."""
        clients = [client for client in self.listener.clients if self.listener.can_hand_over(client)]
        while clients and not self.offers and self.sock is not None:
            batch, clients = clients[:MAX_PENDING_OFFERS], clients[MAX_PENDING_OFFERS:]
            await self._offer_clients(batch)
            await self._wait_for_verdicts()

    async def _offer_clients(self, clients):
        """Offers these clients, if that is still possible once their connections are no longer read."""
        paused = {
            client: [end.writer.transport for end in self._get_connections(client)] for client in clients
        }
        for transports in paused.values():
            for transport in transports:
                transport.pause_reading()
        # Bytes read before the pause reach the clients' tasks and the module within these event loop turns.
        for _ in range(3):
            await asyncio.sleep(0)
        self.engine.handle_pending_events()
        for client, transports in paused.items():
            # Reading is not resumed on connections that were offered, as the next bytes on them are for the
            # successor.
            if self.sock is None or not self._offer_client(client):
                for transport in transports:
                    transport.resume_reading()

    async def _wait_for_verdicts(self):
        """Waits until the offers are settled, for VERDICT_TIMEOUT_SECONDS at most. An offer without a verdict
        stays the successor's, as nothing tells whether it has seen it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(VERDICT_TIMEOUT_SECONDS):
                while self.count_unsettled():
                    await asyncio.sleep(VERDICT_POLL_SECONDS)

    def count_unsettled(self):
        """Returns the number of clients of which it is not settled yet which process serves them."""
        return len(self.offers) + len(self.tasks)

    def _get_connections(self, client):
        """Returns the client and, if its hand-off in flight can be handed over, the connection to the
        worker."""
        ho = self._find_hand_off(client)
        return [client] if ho is None else [client, ho.connection]

    def _find_hand_off(self, client):
        """Returns the client's hand-off in flight if it can be handed over, else None."""
        item = client.item
        if item is None or not item.in_flight:
            return None
        ho = self.workers.hand_offs.get((item.number, len(item.outcomes) - 1))
        return ho if ho is not None and self.workers.can_hand_over(ho) else None

    def _offer_client(self, client):
        """Offers a client to the successor; returns whether that was possible."""
        if client not in self.listener.clients or not self.listener.can_hand_over(client):
            return False
        item, ho, ends = client.item, self._find_hand_off(client), self._get_connections(client)
        if item is not None and not self._is_transferable(item, ho):
            return False
        if any(end.writer.transport.is_reading() for end in ends):
            return False  # the hand-off began after reading was paused
        if not self._send_offer(self._build_client_state(client, item, ho), ends):
            return False
        # From here on the client is the successor's, unless that refuses it or dies before it accepts.
        if ho is not None:
            self.workers.release_hand_off(ho)
        if item is not None:
            self.engine.hand_over(item)
        self.listener.release_client(client)
        return True

    def _is_transferable(self, item, ho):
        """Whether a work item, with its hand-off in flight or None, can be offered."""
        return (
            not item.ended
            and not item.is_orphaned
            and item.in_flight == (ho is not None)
            and item.job.id not in self.refused_ids
            and all(number in self.workers.by_number for number, _ in item.sent_to)
        )

    def _send_offer(self, client_state, ends):
        """Sends an offer with the descriptors of these connections; returns whether it was sent."""
        offer = Offer(self.offer_count + 1, self.engine.machine.read_monotonic_clock(), client_state)
        # A work item that this process could not continue itself, after new settings, is not given away.
        if client_state.job is not None and not self.engine.can_resume_item(client_state):
            return False
        data = encode_offer(offer)
        if data is None:
            return False
        descriptors = [end.writer.get_extra_info("socket").fileno() for end in ends]
        pending = PendingOffer(offer, [])
        try:
            for descriptor in descriptors:
                pending.sockets.append(socket.socket(fileno=os.dup(descriptor)))
            socket.send_fds(self.sock, [data], descriptors)
        except OSError:
            # It may be possible a moment later. If the successor has died, the end of the connection tells.
            pending.close()
            return False
        self.offer_count += 1
        self.offers[offer.number] = pending
        return True

    def _build_client_state(self, client, item, ho):
        """Returns the state of a client. `item` is its work item and `ho` its hand-off in flight, or None."""
        if item is None:
            return ClientState(client.job_count)
        now = self.engine.machine.now()
        workers = [self.workers.by_number[number] for number, _ in item.sent_to]
        return ClientState(
            client.job_count,
            client.protocol.has_requested_close,
            item.job,
            now - item.accepted_at,
            item.initial_time_left,
            tuple(
                HandOffState(worker.host, now - sent_at, outcome or 0)
                for worker, (_, sent_at), outcome in zip(workers, item.sent_to, item.outcomes, strict=True)
            ),
            tuple(self.workers.make_listed_worker(worker) for worker in dict.fromkeys(workers)),
            bytes(ho.connection.received) if ho is not None else b"",
            item.repeat_rules,
        )

    # ---- verdicts

    def _read_verdicts(self):
        """Reads the verdicts that have arrived. The end of the connection tells that the successor died."""
        while (data := self._receive_verdict()) is not None:
            if not data:
                self._take_back_all()
                return
            with contextlib.suppress(HandoverMessageError):
                self._settle(decode_verdict(data))

    def _receive_verdict(self):
        """Returns the bytes of the next verdict, b"" at the end of the connection, None if none has come."""
        try:
            return self.sock.recv(MAX_MESSAGE_BYTES)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def _settle(self, verdict):
        """Acts on a verdict."""
        pending = self.offers.pop(verdict.number, None)
        if pending is None:
            return
        if verdict.is_accepted:
            self.accepted_count += 1
            pending.close()
        else:
            self.counters.count("offer_refused")
            self._take_back(pending)

    def _take_back_all(self):
        """Serves all clients here again whose offers the successor had not accepted when it died."""
        self._close_socket()
        for number in list(self.offers):
            self._take_back(self.offers.pop(number))

    def _take_back(self, pending):
        """Serves a client here again, and does not offer its work item a second time."""
        if pending.offer.client_state.job is not None:
            self.refused_ids.add(pending.offer.client_state.job.id)
        task = asyncio.create_task(self._resume(pending))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _resume(self, pending):
        """Continues a client as its successor would have done."""
        try:
            await _resume_client(self.engine, self.listener, pending.offer, pending.sockets)
        except OSError:
            if self.counters.count("take_over_fault"):
                log.exception("take_over_fault")
            pending.close()

    async def finish(self):
        """Ends the hand-over. Verdicts that have arrived are acted on; the successor can't tell any others
        from now on, and serves or answers the clients of offers that it has not settled yet."""
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RD)
            while data := self._receive_verdict():
                with contextlib.suppress(HandoverMessageError):
                    self._settle(decode_verdict(data))
            self._close_socket()
        while self.tasks:
            await asyncio.wait(self.tasks)

    def _close_socket(self):
        self.engine.loop.remove_reader(self.sock)
        self.sock.close()
        self.sock = None
