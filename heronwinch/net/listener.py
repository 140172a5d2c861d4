"""Accepts the connections of clients, within the limits of sockets and memory."""

import asyncio
import itertools
from collections import OrderedDict

import structlog

from heronwinch.interface import SECOND
from heronwinch.net import sockets
from heronwinch.net.client import Client
from heronwinch.net.diagnostics import ClientLog
from heronwinch.net.input_scheduler import InputScheduler
from heronwinch.net.large_buffers import LargeBuffers

log = structlog.get_logger()

MIN_IDLE_SECONDS = 1.0  # a regular client's connection idle for less is not evicted to make room
FINISH_POLL_SECONDS = 0.001  # interval of checks for requests that are read and not answered
MAX_EVICTION_CANDIDATES = 16  # clients of a group that are examined for one to evict
# Event loop turns in which the input of a connection that is refused is read before it is closed. The budget
# has descriptors for the connections accepted in so many turns.
REFUSAL_TURNS = 3
LISTEN_BACKLOG = 512  # established connections that the kernel queues until they are accepted


class Listener:
    """All connections of clients, within the limits of a ResourceBudget."""

    def __init__(self, engine, budget, counters):
        self.engine = engine
        self.admission_rules = engine.make_admission_rules()
        self.budget = budget
        self.counters = counters
        self.log = ClientLog(engine.machine, counters)
        self.input_scheduler = InputScheduler(engine.loop)
        self.large_requests = LargeBuffers(budget.large_requests)
        self.client_count = 0  # connections accepted or resumed since the start
        self.clients = {}  # Client, until its descriptor is free -> its task
        self.waiting_clients = {}  # clients that wait for a large buffer, the longest first
        # The groups from which connections are evicted to make room, in this order; in each of them the
        # client that has been there longest comes first.
        self.answered_clients = OrderedDict()  # clients whose last answer is written
        self.new_clients = OrderedDict()  # clients that have not handed in a job yet
        self.idle_after_one_job = OrderedDict()  # idle clients that have handed in one job
        self.idle_after_more_jobs = OrderedDict()  # idle clients that have handed in several jobs
        self.refusal_tasks = set()  # tasks that refuse connections for which there is no room, and linger
        self.short_refusal_tasks = set()  # tasks that refuse further ones
        self.is_ready = True  # the answer to readiness requests
        self.keeps_alive = True  # whether connections stay open after an answer
        self.is_closed = False
        self.server = None
        self.sock = None

    def number_client(self):
        """Returns the number of a new connection, by which log lines name it."""
        self.client_count += 1
        return self.client_count

    def set_budget(self, budget):
        """Sets the numbers of connections and of large buffers."""
        self.budget = budget
        self.large_requests.set_limit(budget.large_requests)

    def set_admission_rules(self, rules):
        """Sets the rules for requests whose head arrives from now on."""
        self.admission_rules = rules
        for client in self.clients:
            client.protocol.rules = rules

    async def listen(self, sock):
        """Accepts connections on a socket."""
        # Accepts are limited per event loop turn: a flood of connections accepted in one turn would take all
        # descriptors before any of them could be examined.
        self.server = await sockets.serve(self._accept_client, sock, self.budget.accepts_per_turn)
        sock.listen(LISTEN_BACKLOG)
        self.sock = sock

    def stop_accepting(self):
        """Leaves new connections to another process that listens on the same socket. Accepted ones stay."""
        self.engine.loop.remove_reader(self.sock)

    def _accept_client(self, reader, writer):
        """Serves a new connection if there is room for it or can be made, else refuses it."""
        client = Client(self, reader, writer)
        if len(self.clients) < self.budget.clients or self._make_room():
            self.clients[client] = asyncio.create_task(self._serve(client))
            self.update_eviction_group(client)
        else:
            self.counters.count("client_turned_away")
            self.log.log_closed(client, "turned_away", 503)
            self._refuse_for_lack_of_room(client)

    def resume_client(self, reader, writer, client_state, worker_streams):
        """Continues to serve a client that another process has handed over, perhaps with its work item.
        `worker_streams` are the reader and writer of the worker's connection if a hand-off is in flight, else
        None. A work item that can't be continued here is answered."""
        client = Client(self, reader, writer)
        client.job_count = client_state.known
        if client_state.job is not None:
            client.restore_request(client_state.job, client_state.closes)
            if len(client_state.job.body) > sockets.SMALL_MESSAGE_BYTES:
                self.large_requests.acquire_over_limit()
                client.holds_large_buffer = True
            if self.engine.can_resume_item(client_state):
                client.item = self.engine.resume_item(client_state, client, worker_streams)
            else:
                self.counters.count("resume_refused")
                self.engine.answer_unresumable_item(client_state, client)
                if worker_streams is not None:
                    worker_streams[1].transport.abort()
        self.clients[client] = asyncio.create_task(self._serve(client))
        client.idle_since = self.engine.machine.now()
        self.update_eviction_group(client)

    def can_hand_over(self, client):
        """Whether another process can go on with a client, as far as its own connection is concerned: it is
        idle, or waits for an answer."""
        client_protocol = client.protocol
        return (
            not client.ended
            and not client_protocol.is_broken
            and not client.writer.is_closing()
            and not client.has_unparsed_input
            and not client.writer.transport.get_write_buffer_size()
            and (
                client.item is not None
                if client_protocol.has_unanswered_request
                else client.job_count > 0 and client_protocol.is_idle
            )
        )

    def release_client(self, client):
        """Releases a client that another process has taken over."""
        client.item = None
        self.clients[client].cancel()

    async def _serve(self, client):
        """Runs a client to the end of its connection and its descriptor."""
        try:
            await client.serve()
        except asyncio.CancelledError:
            pass
        except Exception:
            if self.counters.count("client_fault"):
                log.exception("client_fault")
        try:
            if client.item is not None:
                self.counters.count("client_left")
                self.engine.handle_client_left(client.item)
            self._leave_eviction_groups(client)
            await sockets.close_and_wait(client.writer)
        finally:
            client.release_memory()
            del self.clients[client]

    def update_eviction_group(self, client):
        """Puts a client into the group from which it may be evicted, if any."""
        is_new = not client.ended and not client.job_count
        if is_new and client in self.new_clients:
            return  # it keeps its place, by when it connected, however often it sends a piece of a request
        self._leave_eviction_groups(client)
        if client not in self.clients:
            return
        if client.ended:
            self.answered_clients[client] = None
        elif is_new:
            self.new_clients[client] = None
        elif client.protocol.is_idle:
            (self.idle_after_one_job if client.job_count == 1 else self.idle_after_more_jobs)[client] = None

    def _leave_eviction_groups(self, client):
        for group in (
            self.answered_clients,
            self.new_clients,
            self.idle_after_one_job,
            self.idle_after_more_jobs,
        ):
            group.pop(client, None)

    def _refuse_for_lack_of_room(self, client):
        """Tells a new client to try again, as all the others are busy; nothing of it has run."""
        lingers = len(self.refusal_tasks) < self.budget.refusals
        task = asyncio.create_task(self._linger_and_close(client) if lingers else self._refuse_soon(client))
        tasks = self.refusal_tasks if lingers else self.short_refusal_tasks
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def _linger_and_close(self, client):
        client.refuse_for_lack_of_room()
        await client.linger()
        await sockets.close_and_wait(client.writer)
        client.release_memory()

    async def _refuse_soon(self, client):
        """Refuses a client for which there is no room to linger. What it has sent by now is read, or closing
        the connection would reset it and the answer would be lost."""
        for _ in range(REFUSAL_TURNS):
            await asyncio.sleep(0)
            if client.reader.unread:
                await client.reader.read(sockets.READ_AHEAD_BYTES)
        client.refuse_for_lack_of_room()
        client.writer.close()
        client.release_memory()

    def _make_room(self):
        """Evicts a client for a new one; returns whether one could be evicted. Clients that have their last
        answer go first, then those that have not handed in a job yet, those that are idle after one job, and
        those that wait for memory. Of the regular clients only one that has been idle for long is evicted: a
        flood of connections must not cost the regular clients theirs."""
        for group in (self.answered_clients, self.new_clients, self.idle_after_one_job):
            client = self._find_evictable(group)
            if client is not None:
                del group[client]
                self._log_eviction(client)
                client.writer.transport.abort()
                return True
        # The others are told to go, and keep their descriptors until they are gone.
        if len(self.clients) - self.budget.clients + len(self.refusal_tasks) >= self.budget.refusals:
            return False
        if self.waiting_clients:
            client = next(iter(self.waiting_clients))
            del self.waiting_clients[client]
            client.set_read_timeout(0)  # it is refused at once
            return True
        client = next(iter(self.idle_after_more_jobs), None)
        if client is None or self.engine.machine.now() - client.idle_since < MIN_IDLE_SECONDS * SECOND:
            return False
        del self.idle_after_more_jobs[client]
        self._log_eviction(client)
        client.set_read_timeout(0)
        return True

    def _find_evictable(self, group):
        """Returns a client of a group that may be evicted, None if none of the first ones may be. A request
        may have arrived from one that has sent anything, even if this process has not read it yet."""
        for client in itertools.islice(group, MAX_EVICTION_CANDIDATES):
            if client.ended or not client.has_unread_input():
                return client
        return None

    def _log_eviction(self, client):
        """Counts a client that is evicted, and logs it unless it has had its last answer."""
        if not client.ended:
            self.counters.count("client_evicted")
            self.log.log_closed(client, "evicted")

    def count_groups(self):
        """Returns the numbers of connections by state, for the log."""
        return {
            "clients": len(self.clients),
            "clients_new": len(self.new_clients),
            "clients_idle": len(self.idle_after_one_job) + len(self.idle_after_more_jobs),
            "clients_ending": len(self.answered_clients)
            + len(self.refusal_tasks)
            + len(self.short_refusal_tasks),
            "clients_unread": self.count_unread(),
        }

    def may_receive_requests(self, accepts):
        """Whether further requests may arrive on open connections or, if `accepts`, in the listen queue."""
        return (
            self.keeps_alive
            and bool(self.idle_after_one_job or self.idle_after_more_jobs or self.new_clients)
            or self.is_receiving_request()
            or accepts
            and self.engine.machine.has_pending_connection(self.sock)
        )

    def is_receiving_request(self):
        """Whether a request has arrived in part."""
        return any(client.is_receiving_request() for client in self.clients)

    def count_unread(self):
        """Returns the number of connections whose client has sent bytes that this process has taken from the
        kernel and not examined yet."""
        return sum(client.has_unparsed_input for client in self.clients)

    def set_keep_alive(self, on):
        """Sets whether connections stay open after their next answers."""
        self.keeps_alive = on

    def close_idle_clients(self):
        """Closes the idle connections, except those on which a request has arrived."""
        for client in [*self.idle_after_one_job, *self.idle_after_more_jobs]:
            client.set_read_timeout(0)

    def close(self):
        """Stops listening. Requests that wait for memory are refused, as no time is left for them."""
        self.is_closed = True
        self.server.close()
        for client in self.waiting_clients:
            client.set_read_timeout(0)

    async def finish(self, seconds):
        """Ends all connections. From now on nothing more is read, so that what arrives is still unread when
        its connection closes: the kernel then resets the connection, which tells the client that its request
        was not read. Requests that were read before get their answers first, within this time."""
        end = self.engine.loop.time() + seconds
        while True:
            for client in self.clients:
                client.stop_reading()
            if self.engine.loop.time() >= end or not any(client.owes_answer() for client in self.clients):
                break
            await asyncio.sleep(FINISH_POLL_SECONDS)
        for client, task in self.clients.items():
            if not client.ended:
                task.cancel()
