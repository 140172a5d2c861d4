"""The protocol of operators' calls: one line in and one line back on each connection."""

from heronwinch.protocol.buffer import Buffer, BufferLimitError

MAX_LINE_BYTES = 256


class OperatorCallError(ValueError):
    """The input is not a valid operators' call."""


class OperatorProtocol:
    """The state machine of one operator's connection."""

    def __init__(self):
        self.buffer = Buffer(MAX_LINE_BYTES)

    def feed_data(self, data):
        """Returns the call that `data` completes, None before. Empty `data` is the connection's end.

        Raises OperatorCallError for an invalid line and for one without a line feed: the first half of a call
        might be another call."""
        if not data:
            raise OperatorCallError("the line has no end")
        end = data.find(b"\n") + 1
        try:
            self.buffer.add(data[:end] if end else data)
        except BufferLimitError as error:
            raise OperatorCallError(str(error)) from None
        line = self.buffer.take_line()
        if line is None:
            return None
        try:
            text = line.decode("ascii").strip()
        except UnicodeDecodeError:
            text = ""
        if not text or not text.isprintable():
            raise OperatorCallError("no call; a call is one plain word")
        return text


def encode_reply(is_ok, text):
    """Returns the bytes of the reply to a call."""
    return b"%s %s\n" % (b"+OK" if is_ok else b"-ERR", text.encode("ascii", "replace"))
