"""The simulator's binary protocol: decodes batches of events and encodes replies of actions.

All records are little-endian without padding. A record starts with its code and the length of its fields,
which start with the number of the dispatcher instance."""

from struct import Struct, error

from heronwinch import interface
from heronwinch.terms import parse_settings_lines, read_load_fields

BATCH_HEAD = Struct("<IIQ")  # size of the frame, number of records, time in nanoseconds
REPLY_HEAD = Struct("<I")  # size of the frame
RECORD_HEAD = Struct("<HI")  # code, length of the fields

CATALOG_CODE, SPAWN_CODE, STOP_CODE = 1040, 1030, 1100  # record codes
# The fields of each kind of record.
_FRAME_SIZE = Struct("<I")
_CATALOG_FIELDS = Struct("<HI")
_ENTRY_FIELDS = Struct("<IBBHBfQ")  # one worker of a catalog
_SPAWN_FIELDS = Struct("<HQI")
_INSTANCE_FIELD = Struct("<H")
_MEMBERSHIP_FIELDS = Struct("<HBQH")
_INGRESS_FIELDS = Struct("<HQHIQQQffB")
_RESPONSE_FIELDS = Struct("<HQHIHQBIB")
_UPDATE_FIELDS = Struct("<HQIHfB")
_STREAMING_FIELDS = Struct("<HQHIQ")
_ABORTED_FIELDS = Struct("<HQ")
_REMINDER_FIELDS = Struct("<HI")
_HEALTH_FIELDS = Struct("<HIQHB")
_PEER_FIELDS = Struct("<HIH")
# The figures of a load report, by their number.
_REPORT_FIGURES = [Struct(f"<{count}f") for count in range(256)]

# Flags of an arrival: its field `expected` is valid, it is a repeat, it writes.
_HAS_EXPECTED_FLAG, _REPEATED_FLAG, _WRITES_FLAG = 1, 2, 4


class FrameError(ValueError):
    """The input does not follow the protocol."""


class InstanceSpawn:
    """The request to start an instance with a random seed and the text of its settings."""

    __slots__ = ("seed", "text")

    def __init__(self, seed, text):
        self.seed, self.text = seed, text


class InstanceStop:
    """The request to stop an instance."""

    __slots__ = ()


def read_frame(stream):
    """Returns the next whole frame of a binary stream, None at its end. Raises FrameError for an incomplete
    one."""
    head = stream.read(4)
    if not head:
        return None
    if len(head) < 4:
        raise FrameError("input ends inside a frame's length")
    (size,) = _FRAME_SIZE.unpack(head)
    if size < BATCH_HEAD.size:
        raise FrameError(f"frame of {size} bytes is shorter than its header")
    body = stream.read(size - 4)
    if len(body) < size - 4:
        raise FrameError(f"input ends inside a frame of {size} bytes")
    return head + body


class FrameDecoder:
    """Decodes frames to events. Keeps the lists of workers by their numbers, and each instance's report
    layout.

    Each method `_decode_...` decodes the fields of one record, which are `frame[offset:end]`, and returns the
    instance and the event. All raise FrameError for invalid input."""

    def __init__(self):
        self.catalogs = {}  # number -> a list of workers
        self.layouts = {}  # instance -> position of each Report figure among the values, or -1
        self._decoders = {
            1000: self._decode_streaming,
            1010: self._decode_membership,
            1020: self._decode_health,
            SPAWN_CODE: self._decode_spawn,
            1050: self._decode_peer,
            1060: self._decode_update,
            1070: self._decode_reminder,
            1080: self._decode_ingress,
            1090: self._decode_aborted,
            STOP_CODE: self._decode_stop,
            1110: self._decode_response,
        }

    def decode(self, frame):
        """Returns the time in nanoseconds and a list of (instance, event) in the frame's order."""
        size, count, now = BATCH_HEAD.unpack_from(frame)
        if size != len(frame):
            raise FrameError(f"frame says {size} bytes and has {len(frame)}")
        events, offset = [], BATCH_HEAD.size
        decoders = self._decoders
        for _ in range(count):
            if offset + RECORD_HEAD.size > size:
                raise FrameError("frame ends inside a record's head")
            code, length = RECORD_HEAD.unpack_from(frame, offset)
            offset += RECORD_HEAD.size
            end = offset + length
            if end > size:
                raise FrameError(f"record {code} reaches past the end of its frame")
            try:
                if code == CATALOG_CODE:
                    self._store_catalog(frame, offset, end)
                else:
                    events.append(decoders[code](frame, offset, end))
            except KeyError:
                raise FrameError(f"unknown record code {code}") from None
            except error:
                raise FrameError(f"record {code} of {length} bytes is too short for its fields") from None
            offset = end
        if offset != size:
            raise FrameError(f"{size - offset} bytes follow the last record of a frame")
        return now, events

    def set_layout(self, instance, fields):
        """Sets which figures an instance's load reports hold, by their names on the wire in order."""
        names = ("x0", "x1", "pending", "busy_reqs", "svc_ms")
        self.layouts[instance] = tuple(fields.index(name) if name in fields else -1 for name in names)

    def _decode_report(self, instance, frame, offset, end, count):
        """Returns the Report in `count` figures at the end of a record, None without figures."""
        _check_record_end(offset + 4 * count, end)
        if not count:
            return None
        values = _REPORT_FIGURES[count].unpack_from(frame, offset)
        free, memory, waiting, held, service = (
            values[position] if 0 <= position < count else None
            for position in self.layouts.get(instance, ()) or (-1,) * 5
        )
        return interface.Report(
            free, memory, waiting, held, None if service is None else round(service * 1e6)
        )

    def _store_catalog(self, frame, offset, end):
        """Keeps a list of workers, to which a later membership record refers by its number."""
        number, count = _CATALOG_FIELDS.unpack_from(frame, offset)
        offset += _CATALOG_FIELDS.size
        _check_record_end(offset + count * _ENTRY_FIELDS.size, end)
        self.catalogs[number] = tuple(
            interface.Entry(*fields) for fields in _ENTRY_FIELDS.iter_unpack(frame[offset:end])
        )

    def _decode_spawn(self, frame, offset, end):
        instance, seed, count = _SPAWN_FIELDS.unpack_from(frame, offset)
        offset += _SPAWN_FIELDS.size
        _check_record_end(offset + count, end)
        try:
            text = frame[offset:end].decode()
        except UnicodeDecodeError:
            raise FrameError("settings are not text") from None
        # Done here rather than by the host, since a report later in this batch needs the layout already.
        self.set_layout(instance, read_load_fields(parse_settings_lines(text)))
        return instance, InstanceSpawn(seed, text)

    def _decode_stop(self, frame, offset, end):
        (instance,) = _INSTANCE_FIELD.unpack_from(frame, offset)
        _check_record_end(offset + _INSTANCE_FIELD.size, end)
        return instance, InstanceStop()

    def _decode_membership(self, frame, offset, end):
        instance, kind, version, number = _MEMBERSHIP_FIELDS.unpack_from(frame, offset)
        _check_record_end(offset + _MEMBERSHIP_FIELDS.size, end)
        if kind == interface.ListKind.FAILED:
            return instance, interface.Listed(kind, version, ())
        if kind not in (interface.ListKind.FULL, interface.ListKind.CACHED, interface.ListKind.DELTA):
            raise FrameError(f"unknown kind of list {kind}")
        if number not in self.catalogs:
            raise FrameError(f"list {number} was never sent")
        return instance, interface.Listed(kind, version, self.catalogs[number])

    def _decode_ingress(self, frame, offset, end):
        (
            instance,
            wi,
            category,
            account,
            key,
            time_left,
            expected,
            slots,
            memory,
            flags,
        ) = _INGRESS_FIELDS.unpack_from(frame, offset)
        _check_record_end(offset + _INGRESS_FIELDS.size, end)
        return instance, interface.Arrived(
            wi,
            category,
            account,
            key,
            time_left,
            expected if flags & _HAS_EXPECTED_FLAG else 0,
            slots,
            memory,
            bool(flags & _REPEATED_FLAG),
            bool(flags & _WRITES_FLAG),
        )

    def _decode_response(self, frame, offset, end):
        (
            instance,
            wi,
            ho,
            worker,
            outcome,
            elapsed,
            ended,
            remark,
            count,
        ) = _RESPONSE_FIELDS.unpack_from(frame, offset)
        if not 1 <= outcome <= 8:
            raise FrameError(f"unknown outcome {outcome}")
        report = self._decode_report(instance, frame, offset + _RESPONSE_FIELDS.size, end, count)
        return instance, interface.Answered(wi, ho, worker, outcome, elapsed, bool(ended), remark, report)

    def _decode_update(self, frame, offset, end):
        instance, wi, worker, ho, portion, topic = _UPDATE_FIELDS.unpack_from(frame, offset)
        _check_record_end(offset + _UPDATE_FIELDS.size, end)
        return instance, interface.Noted(wi, ho, worker, topic, portion)

    def _decode_streaming(self, frame, offset, end):
        instance, wi, ho, worker, elapsed = _STREAMING_FIELDS.unpack_from(frame, offset)
        _check_record_end(offset + _STREAMING_FIELDS.size, end)
        return instance, interface.StreamBegan(wi, ho, worker, elapsed)

    def _decode_aborted(self, frame, offset, end):
        instance, wi = _ABORTED_FIELDS.unpack_from(frame, offset)
        _check_record_end(offset + _ABORTED_FIELDS.size, end)
        return instance, interface.Left(wi)

    def _decode_reminder(self, frame, offset, end):
        instance, token = _REMINDER_FIELDS.unpack_from(frame, offset)
        _check_record_end(offset + _REMINDER_FIELDS.size, end)
        return instance, interface.Rang(token)

    def _decode_health(self, frame, offset, end):
        instance, worker, elapsed, outcome, count = _HEALTH_FIELDS.unpack_from(frame, offset)
        if not 1 <= outcome <= 8:
            raise FrameError(f"unknown outcome {outcome}")
        return instance, interface.Probed(
            worker,
            elapsed,
            outcome,
            self._decode_report(instance, frame, offset + _HEALTH_FIELDS.size, end, count),
        )

    def _decode_peer(self, frame, offset, end):
        instance, sender, count = _PEER_FIELDS.unpack_from(frame, offset)
        offset += _PEER_FIELDS.size
        _check_record_end(offset + count, end)
        return instance, interface.Heard(sender, bytes(frame[offset:end]))


def _check_record_end(offset, end):
    """Raises FrameError if a record's fields end elsewhere than the record."""
    if offset != end:
        raise FrameError(f"record's fields take {offset - end:+d} bytes against its size")


# Whole records of actions: code, length, instance, then the fields.
_HAND_OFF_RECORD = Struct("<HIHQQI")
_DEFER_RECORD = Struct("<HIHQQ")
_WRITE_OFF_RECORD = Struct("<HIHQ")
_CANCEL_RECORD = Struct("<HIHQH")
_SET_TIMER_RECORD = Struct("<HIHQI")
_WORKER_RECORD = Struct("<HIHI")
_TEXT_RECORD = Struct("<HIHH")
_SUBSCRIBE_RECORD = Struct("<HIHB")
_FETCH_RECORD = Struct("<HIH")


def _encode_text(text):
    """Returns text as UTF-8, cut to the longest that fits a record's 16-bit length."""
    return text.encode("utf-8", "replace")[:65535]


def _encode_log(instance, action):
    text = _encode_text(action.text)
    return _TEXT_RECORD.pack(1080, 4 + len(text), instance, len(text)) + text


# The function that encodes an action of each type.
_ENCODERS = {
    interface.HandOff: lambda instance, action: _HAND_OFF_RECORD.pack(
        1000, 22, instance, action.wi, action.until, action.worker
    ),
    interface.Defer: lambda instance, action: _DEFER_RECORD.pack(
        1010, 18, instance, action.wi, action.come_back
    ),
    interface.WriteOff: lambda instance, action: _WRITE_OFF_RECORD.pack(1020, 10, instance, action.wi),
    interface.Cancel: lambda instance, action: _CANCEL_RECORD.pack(1030, 12, instance, action.wi, action.ho),
    interface.SetTimer: lambda instance, action: _SET_TIMER_RECORD.pack(
        1040, 14, instance, action.after, action.token
    ),
    interface.CancelTimer: lambda instance, action: b"",  # the protocol has no such action
    interface.Probe: lambda instance, action: _WORKER_RECORD.pack(1050, 6, instance, action.worker),
    interface.CloseIdle: lambda instance, action: _WORKER_RECORD.pack(1060, 6, instance, action.worker),
    interface.Log: _encode_log,
    interface.Subscribe: lambda instance, action: _SUBSCRIBE_RECORD.pack(1100, 3, instance, action.on),
    interface.Fetch: lambda instance, action: _FETCH_RECORD.pack(1110, 2, instance),
}


def encode_action(instance, action):
    """Returns the record of an action of an instance."""
    return _ENCODERS[type(action)](instance, action)


def encode_crash(instance, text):
    """Returns the record that says that an instance's policy module raised an exception."""
    text = _encode_text(text)
    return _TEXT_RECORD.pack(1090, 4 + len(text), instance, len(text)) + text


def encode_reply(records):
    """Returns the reply frame that holds these records."""
    body = b"".join(records)
    return REPLY_HEAD.pack(REPLY_HEAD.size + len(body)) + body
