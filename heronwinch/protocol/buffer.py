"""A bounded buffer for the payload bytes of one connection, after h11 has removed the HTTP framing."""


class BufferLimitError(ValueError):
    """More data was received than the buffer may hold."""


class Buffer:
    """A byte buffer that grows on demand up to a limit. What is taken from its front is deleted in place."""

    __slots__ = ("data", "max_bytes")

    def __init__(self, max_bytes):
        self.data = bytearray()
        self.max_bytes = max_bytes

    def __len__(self):
        return len(self.data)

    def add(self, new_data):
        """Appends `new_data`. Raises BufferLimitError if the buffer would exceed its limit."""
        if len(self.data) + len(new_data) > self.max_bytes:
            raise BufferLimitError(f"over {self.max_bytes} bytes")
        self.data += new_data

    def take_all(self):
        """Removes and returns the whole content."""
        data = bytes(self.data)
        self.data.clear()
        return data

    def take_line(self):
        """Removes and returns the next whole line without its line feed, None if there is none yet."""
        end = self.data.find(b"\n")
        if end < 0:
            return None
        line = bytes(self.data[:end])
        del self.data[: end + 1]
        return line
