"""A stream transport over one end of a simulated connection, under asyncio's streams.

It behaves like the real one as far as streams can tell: paused reading, the high-water mark, writes on a
connection already lost, abort and close.
"""

import asyncio


class Transport(asyncio.Transport):
    """Connects a protocol to a ConnectionEnd, and calls the protocol's `connection_made` at once."""

    def __init__(self, process, end, protocol):
        super().__init__()
        self.process, self.end, self.protocol = process, end, protocol
        end.transport = self
        self.buffer = bytearray()  # bytes that the operating system has not taken yet
        self.high, self.low = 64 * 1024, 16 * 1024  # water marks of the buffer, in bytes
        self.is_writing_paused = False  # the protocol was told to stop writing
        self.reading = True
        self.is_read_scheduled = False
        self.closing = False
        self.is_lost = False  # connection_lost is scheduled or was called
        self.has_write_eof = False  # write_eof was called
        self.has_reported_eof = False  # eof_received was called
        self.is_dead = False  # its process was killed
        self.purges_on_close = False  # closing drops what is unsent, and resets the connection
        protocol.connection_made(self)
        self.schedule_read()

    # ---- reading

    def schedule_read(self):
        """Schedules a read, as data, a FIN or a reset has arrived or may be unread."""
        if not self.is_read_scheduled and not self.is_lost and not self.is_dead:
            self.is_read_scheduled = True
            self.process.call_soon(self._read)

    def _read(self):
        self.is_read_scheduled = False
        end = self.end
        if self.is_lost or self.is_dead:
            return
        if end.is_reset:
            self._schedule_connection_lost(ConnectionResetError(104, "Connection reset by peer"))
        elif not self.reading or self.closing:
            return
        elif end.inbox:
            self.protocol.data_received(end.read_all())
            if end.has_peer_finished:
                self.schedule_read()
        elif end.has_peer_finished and not self.has_reported_eof:
            self.has_reported_eof = True
            if not self.protocol.eof_received():
                self.close()

    def is_reading(self):
        return self.reading and not self.closing

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        if not self.closing and not self.reading:
            self.reading = True
            self.schedule_read()

    def is_quiet(self):
        """Whether the connection is open and nothing is unread."""
        end = self.end
        return not (self.closing or self.is_lost or end.inbox or end.has_peer_finished or end.is_reset)

    # ---- writing

    def write(self, data):
        if not data or self.is_lost or self.is_dead:
            return
        if self.has_write_eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not self.buffer:
            data = memoryview(data)[self.end.send(data) :]
        self.buffer += data
        if len(self.buffer) > self.high and not self.is_writing_paused:
            self.is_writing_paused = True
            self.protocol.pause_writing()

    def flush(self):
        """Sends what the extended window allows of the buffer."""
        if self.is_lost or self.is_dead:
            return
        if self.buffer:
            del self.buffer[: self.end.send(self.buffer)]
        if self.is_writing_paused and len(self.buffer) <= self.low:
            self.is_writing_paused = False
            self.protocol.resume_writing()
        if not self.buffer:
            if self.closing:
                self._schedule_connection_lost(None)
            elif self.has_write_eof:
                self.end.finish()

    def writelines(self, parts):
        self.write(b"".join(parts))

    def can_write_eof(self):
        return True

    def write_eof(self):
        if not self.has_write_eof and not self.closing:
            self.has_write_eof = True
            if not self.buffer:
                self.end.finish()

    def get_write_buffer_size(self):
        return len(self.buffer)

    def get_write_buffer_limits(self):
        return self.low, self.high

    def set_write_buffer_limits(self, high=None, low=None):
        if high is None:
            high = 64 * 1024 if low is None else 4 * low
        self.high, self.low = high, high // 4 if low is None else low
        if len(self.buffer) > self.high and not self.is_writing_paused:
            self.is_writing_paused = True
            self.protocol.pause_writing()

    # ---- closing

    def is_closing(self):
        return self.closing

    def close(self):
        if not self.closing:
            self.closing = True
            if not self.buffer:
                self._schedule_connection_lost(None)

    def abort(self):
        self.closing = True
        self.buffer.clear()
        self._schedule_connection_lost(None)

    def _schedule_connection_lost(self, error):
        if self.is_lost or self.is_dead:
            return
        self.is_lost = self.closing = True
        self.buffer.clear()
        self.process.call_soon(self._report_connection_lost, error)

    def _report_connection_lost(self, error):
        if self.purges_on_close:
            self.end.purge()
        else:
            self.end.close()
        self.protocol.connection_lost(error)

    def get_extra_info(self, name, default=None):
        if name == "peername":
            return self.end.peer.address
        if name == "sockname":
            return self.end.address
        return default

    def get_protocol(self):
        return self.protocol

    def set_protocol(self, protocol):
        self.protocol = protocol
