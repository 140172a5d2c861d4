"""Requests to discovery for the list of workers, whole or by a watch for changes, and its responses."""

import json
from typing import NamedTuple

from heronwinch.interface import Standing
from heronwinch.protocol.buffer import Buffer, BufferLimitError
from heronwinch.protocol.http_client import HttpClient, InvalidResponseError, ResponseEnd, ResponseHead

MAX_LIST_BYTES = 8 * 1024 * 1024  # enough for about 40,000 workers
# The Standing for each value of `health` in an entry.
STANDING_BY_HEALTH = {
    "in_service": Standing.READY,
    "terminating": Standing.DRAINING,
    "terminated": Standing.GONE,
}


class ListedWorker(NamedTuple):
    """One worker in a list from discovery."""

    host: str
    address: tuple[str, int]
    area: str
    kind: str
    pod: int
    standing: Standing
    weight: float  # 0 if discovery gives no valid one
    started_ms: int  # 0 if discovery does not give it


class Listing(NamedTuple):
    """A list from discovery: all workers if it is `whole`, otherwise those that changed."""

    version: int  # version of the list; a watch names the last one received
    whole: bool
    hosts: tuple[ListedWorker, ...]


class WorkerListError(ValueError):
    """A response from discovery is not a list in the documented format."""


class TruncatedListError(WorkerListError):
    """A response began and did not end in a readable list. Discovery counts the changes in it as
    delivered."""


class DiscoveryProtocol:
    """The state machine of one connection to discovery."""

    def __init__(self):
        self.http = HttpClient()
        self.buffer = Buffer(MAX_LIST_BYTES)
        self.status = 0
        self.is_response_begun = False  # whether a byte of the response was received

    def encode_list_request(self):
        """Returns the bytes of a request for the whole list."""
        return self.http.encode_request(b"GET", b"/api/targets")

    def encode_watch_request(self, version, wait_ms):
        """Returns the bytes of a long poll: the response comes with a list newer than `version` or, at the
        latest, after `wait_ms`."""
        return self.http.encode_request(b"GET", b"/api/targets?index=%d&wait=%d" % (version, wait_ms))

    def feed_data(self, data):
        """Returns the Listing that `data` completes, None before. Empty `data` is the connection's end.

        Raises WorkerListError if the response cannot become a list any more."""
        self.is_response_begun = self.is_response_begun or bool(data)
        try:
            for event in self.http.feed_data(data):
                if type(event) is ResponseHead:
                    self.status = event.status
                elif type(event) is not ResponseEnd:
                    self.buffer.add(event.data)
                elif self.status == 200:
                    self.is_response_begun = False
                    return parse_listing(self.buffer.take_all())
                else:
                    raise WorkerListError(f"status {self.status}")
        except (InvalidResponseError, BufferLimitError) as error:
            raise (TruncatedListError if self.is_response_begun else WorkerListError)(str(error)) from None
        if not data:
            raise TruncatedListError("the connection ended")
        return None

    @property
    def is_reusable(self):
        """Whether the connection can carry another request."""
        return self.http.is_reusable


def parse_listing(text):
    """Returns the Listing in JSON text; raises WorkerListError if there is none."""
    try:
        return build_listing(json.loads(text))
    except RecursionError:
        raise TruncatedListError("nested too deep") from None
    except WorkerListError:
        raise
    except ValueError as error:
        raise TruncatedListError(f"no list: {error}") from None


def build_listing(tree):
    """Returns the Listing in decoded JSON; raises WorkerListError if there is none."""
    try:
        return Listing(int(tree["seq"]), bool(tree["whole"]), tuple(map(_build_worker, tree["hosts"])))
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise WorkerListError(f"no list: {type(error).__name__}: {error}") from None


def parse_address(text):
    """Returns the host and port of text host:port; raises ValueError for other text."""
    host, _, port = text.rpartition(":")
    if not (
        host
        and text.isascii()
        and text.isprintable()
        and port.isdecimal()
        and len(port) < 6
        and 0 < int(port) < 65536
    ):
        raise ValueError(f"no address: {text!r}")
    return host.strip("[]"), int(port)


def _build_worker(entry):
    """Returns the ListedWorker of one entry of a list."""
    try:
        weight = float(entry.get("share", 1.0))
    except (TypeError, ValueError, OverflowError):
        weight = 0.0
    if not 0 < weight < 1e9:
        weight = 0.0  # a weight of 0 is no information; one bad figure must not invalidate the other entries
    return ListedWorker(
        host=str(entry["host"]),
        address=parse_address(entry["dial"]),
        area=str(entry.get("site", "")),
        kind=str(entry.get("class", "")),
        pod=int(entry.get("block", 0)),
        # A worker in an unknown state may not serve, so it gets no new work.
        standing=STANDING_BY_HEALTH.get(entry["health"], Standing.DRAINING),
        weight=weight,
        started_ms=int(entry.get("born_ms", 0)),
    )
