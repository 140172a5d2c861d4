"""A simulated process: an event loop on the simulated clock, with descriptors, signals and files.

It is started, paused, signalled and killed from outside. SimulatedMachine is what its program sees of the
machine.
"""

import asyncio
import contextlib
import errno
from collections import deque

from heronwinch.interface import SECOND
from heronwinch.net.recent_ids import make_private_ids
from heronwinch.rehearsal.simulation.files import Files
from heronwinch.rehearsal.simulation.guard import UnseededSourceError
from heronwinch.rehearsal.simulation.kernel import RUN_START_UNIX_NS
from heronwinch.rehearsal.simulation.network import DatagramSocket

MAX_FAULTS_KEPT = 100  # unhandled errors that are recorded of a process


class Process(asyncio.AbstractEventLoop):
    """A process named `name` on the machine with address `ip`; `descriptors` is the limit of open ones."""

    def __init__(self, kernel, network, name, ip, descriptors=65536, files=None):
        self.kernel, self.network, self.name, self.ip = kernel, network, name, ip
        self.descriptor_limit = descriptors
        self.open_descriptors = 0
        self.ready_handles = deque()
        self.is_turn_scheduled = False
        self.is_paused = False
        self.is_alive = True
        self.tasks = {}  # in the order of their start
        self.connection_ends = {}  # in the order of their creation
        self.listeners = {}  # listening and datagram sockets
        self.signal_handlers = {}  # signal number -> (callback, arguments)
        self.files = Files() if files is None else files
        self.exception_handler = None
        self.faults = []  # contexts of errors that nothing in the process handled
        self.exit_callbacks = []  # called once the process has ended in any way

    # ---- control from outside

    def start(self, main):
        """Runs a coroutine function without arguments; the process ends when it returns."""

        def begin():
            self.create_task(main()).add_done_callback(self._end)

        self.kernel.call_in_process(self, begin)

    def _end(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._record_fault(
                {"message": "the process ended with an exception", "exception": task.exception()}
            )
        self.kernel.schedule_at(self.kernel.now, self.kill)

    def kill(self, silently=False):
        """Ends the process at once.

        Its connections are reset or, if its machine goes silent with it, left half-open.
        """
        if not self.is_alive:
            return
        self.is_alive = False
        self.ready_handles.clear()
        for end in list(self.connection_ends):
            end.terminate(silently)
        for listener in list(self.listeners):
            listener.terminate(silently)
        self.open_descriptors = 0
        self.files.crash()
        # Coroutines are closed here: the garbage collector would run their last lines at a time that doesn't
        # depend on the seed.
        for task in list(self.tasks):
            task._log_destroy_pending = False
            with contextlib.suppress(BaseException):
                task.get_coro().close()
        self.tasks.clear()
        for callback in self.exit_callbacks:
            callback()

    def pause(self):
        """Suspends the process, as SIGSTOP does; handles and arrivals are kept."""
        self.is_paused = True

    def resume(self):
        """Continues a suspended process, as SIGCONT does."""
        self.is_paused = False
        if self.ready_handles:
            self._schedule_turn()

    def deliver_signal(self, number):
        """Runs the handler of a signal in the next turn; without a handler the signal is ignored."""
        if self.is_alive and number in self.signal_handlers:
            callback, args = self.signal_handlers[number]
            self.enqueue(asyncio.Handle(callback, args, self))

    # ---- event loop turns

    def enqueue(self, handle):
        """Adds a handle to those that the next turn runs."""
        if self.is_alive:
            self.ready_handles.append(handle)
            self._schedule_turn()

    def _schedule_turn(self):
        if not self.is_turn_scheduled and not self.is_paused:
            self.is_turn_scheduled = True
            self.kernel.add_runnable(self)

    def run_turn(self):
        """Runs all handles that are ready as the turn begins, and returns their number.

        Handles that become ready meanwhile wait for the next turn.
        """
        self.is_turn_scheduled = False
        ready_handles = self.ready_handles
        if self.is_paused:
            return 0
        count = 0
        for _ in range(len(ready_handles)):
            if not ready_handles:
                break  # the process was killed
            handle = ready_handles.popleft()
            if not handle._cancelled:
                count += 1
                handle._run()
        if ready_handles:
            self._schedule_turn()
        return count

    # ---- the interface of an event loop

    def time(self):
        return self.kernel.now / SECOND

    def call_soon(self, callback, *args, context=None):
        handle = asyncio.Handle(callback, args, self, context)
        self.enqueue(handle)
        return handle

    call_soon_threadsafe = call_soon

    def call_later(self, delay, callback, *args, context=None):
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        if self.is_alive:
            handle._scheduled = True
            self.kernel.add_timer(round(when * SECOND), handle, self)
        return handle

    def _timer_handle_cancelled(self, handle):
        if handle._scheduled:
            self.kernel.count_cancelled_timer()

    def create_future(self):
        return asyncio.Future(loop=self)

    def create_task(self, coro, *, name=None, context=None):
        task = asyncio.Task(coro, loop=self, name=name, context=context)
        if self.is_alive:
            self.tasks[task] = None
            task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task):
        self.tasks.pop(task, None)

    def get_debug(self):
        return False

    def is_running(self):
        return self.is_alive

    def is_closed(self):
        return not self.is_alive

    def set_exception_handler(self, handler):
        self.exception_handler = handler

    def call_exception_handler(self, context):
        if not self.is_alive:
            return
        if self.exception_handler is not None:
            self.exception_handler(self, context)
        else:
            self._record_fault(context)

    def _record_fault(self, context):
        if len(self.faults) < MAX_FAULTS_KEPT:
            self.faults.append(context)

    def add_signal_handler(self, number, callback, *args):
        self.signal_handlers[number] = callback, args

    def remove_signal_handler(self, number):
        return self.signal_handlers.pop(number, None) is not None

    def run_in_executor(self, executor, func, *args):
        raise UnseededSourceError("a thread was asked for by loop.run_in_executor")

    async def getaddrinfo(self, *_, **__):
        raise UnseededSourceError("a name look-up was asked for by loop.getaddrinfo")

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        return await self.network.connect(self, protocol_factory, (host, port))

    async def create_datagram_endpoint(self, protocol_factory, local_addr=None, **_):
        if tuple(local_addr) in self.network.datagram_sockets:
            raise OSError(errno.EADDRINUSE, f"address already in use: {local_addr}")
        protocol = protocol_factory()
        return DatagramSocket(self.network, self, tuple(local_addr), protocol), protocol

    async def create_server(self, protocol_factory, host=None, port=None, *, sock=None, backlog=100, **_):
        if sock is None:
            sock = self.network.create_listener(self, host or self.ip, port)
            sock.listen(backlog)
        return sock.serve(protocol_factory, backlog)


class SimulatedMachine:
    """The interface of net/machine.py on the simulated clock, network and files of a process.

    `commit_ns` is how many nanoseconds its disk takes for a commit. `read_clock_step()` tells by how many
    nanoseconds the machine's wall clock has been set so far.
    """

    def __init__(self, process, commit_ns=1_000_000, read_clock_step=int):
        self.process, self.commit_ns, self.read_clock_step = process, commit_ns, read_clock_step
        self.offset = self.read_wall_clock_offset()

    def now(self):
        return self.offset + self.process.kernel.now

    def read_wall_clock_offset(self):
        return RUN_START_UNIX_NS + self.read_clock_step()

    def read_clock(self):
        from heronwinch.ledger.downtime import ClockReading

        return ClockReading("virtual", self.process.kernel.now, self.now())

    def make_ledger_disk(self, path):
        from heronwinch.rehearsal.simulation.disk import SimulatedDisk

        return SimulatedDisk(self.process, path, self.commit_ns)

    def get_input_age(self, writer):
        milliseconds = (self.process.kernel.now - writer.transport.end.last_received_at) // 1_000_000
        return milliseconds * 1_000_000

    def is_quiet(self, writer):
        return writer.transport.is_quiet()

    def has_pending_connection(self, sock):
        return bool(sock.queue)

    def discard_unsent_on_close(self, writer):
        writer.transport.purges_on_close = True

    def limit_receive_buffer(self, writer):
        pass  # the simulated network has buffers of its own

    def create_listening_socket(self, host, port):
        return self.process.network.create_listener(self.process, host, port)

    def make_private_ids(self):
        return make_private_ids(lambda: self.process.kernel.now)

    def read_memory_mb(self):
        return 0  # memory is not simulated

    def read_peak_memory_mb(self):
        return 0  # memory is not simulated

    def get_descriptor_limit(self):
        return self.process.descriptor_limit
