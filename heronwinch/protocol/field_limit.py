"""Bounds the fields of heads and trailers. h11 parses each of these in one step, and the time that this takes
goes by the number of fields rather than by their bytes."""

import re

MAX_FIELDS = 100  # of a head, and of a trailer
HEAD_END_PATTERN = re.compile(rb"\n\r?\n")
LAST_CHUNK_PATTERN = re.compile(rb"(\r?\n)?0+[ \t]*(;[^\n]*)?\r?\n")  # after the end of the chunk before
LINES_AROUND_TRAILER = 2  # the last chunk's line and the empty one


class TooManyFieldsError(ValueError):
    """A head or a trailer has more than MAX_FIELDS fields."""


class FieldLimit:
    """Counts the fields of the messages that arrive on a connection, before h11 parses them."""

    def __init__(self):
        self.is_chunked = False  # whether the body of the present message comes in chunks
        self.is_in_chunk = False  # whether a chunk has begun and not ended
        self.is_in_trailer = False  # whether the last chunk has arrived

    def begin_body(self, head_event):
        """Begins the body of a message whose head h11 has parsed."""
        self.is_chunked = any(name == b"transfer-encoding" for name, _ in head_event.headers)
        self.is_in_chunk = self.is_in_trailer = False

    def note_data(self, data_event):
        """Takes note of a part of the body that h11 has parsed."""
        self.is_in_chunk = not data_event.chunk_end

    def end_message(self):
        """Ends a message; the head of another one may follow."""
        self.is_chunked = False

    def check_head(self, unparsed):
        """Raises TooManyFieldsError if the head at the beginning of `unparsed` has too many fields, as far as
        it has come."""
        if HEAD_END_PATTERN.split(unparsed, maxsplit=1)[0].count(b"\n") > MAX_FIELDS:
            raise TooManyFieldsError(f"over {MAX_FIELDS} fields")

    def check_trailer(self, connection):
        """Raises TooManyFieldsError if the trailer that the h11 connection parses next, if any, has too many
        fields, as far as it has come."""
        if not self.is_chunked or self.is_in_chunk:
            return
        unparsed = connection.trailing_data[0]
        self.is_in_trailer = self.is_in_trailer or LAST_CHUNK_PATTERN.match(unparsed) is not None
        if self.is_in_trailer and unparsed.count(b"\n") > MAX_FIELDS + LINES_AROUND_TRAILER:
            raise TooManyFieldsError(f"over {MAX_FIELDS} fields in the trailer")
