"""Stand-in clients that send malformed, oversized or empty requests. A dispatcher has to answer each with an
error or close its connection, and must not give it a result."""

import asyncio

HEAD = b"POST /%s HTTP/1.1\r\nHost: a\r\n"
ANSWER_LIMIT_NS = 3_000_000_000  # a dispatcher has to send the error or close within this time


def _build_requests(category):
    """Returns the bytes of each kind of malformed request; `%(id)s` stands for the id of the request."""
    head = HEAD % category
    named = head + b"Req-Id: %(id)s\r\nReq-Deadline: 1.0\r\n"
    return {
        "garbage": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03not http\r\n\r\n",
        "endless head": head + b"X: " + b"y" * 40_000,
        "wrong length": named + b"Content-Length: 4\r\n\r\nfar more than four",
        "negative length": named + b"Content-Length: -1\r\n\r\n",
        "huge length": named + b"Content-Length: 60000000\r\n\r\n" + b"z" * 100_000,
        "two lengths": named + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "hidden request": named + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + head,
        "no such category": HEAD % b"unheard-of" + b"Req-Id: %(id)s\r\nContent-Length: 0\r\n\r\n",
        "deadline no number": head + b"Req-Id: %(id)s\r\nReq-Deadline: soon\r\nContent-Length: 0\r\n\r\n",
        "negative deadline": head + b"Req-Id: %(id)s\r\nReq-Deadline: -5\r\nContent-Length: 0\r\n\r\n",
        "no id": head + b"Req-Deadline: 1.0\r\nContent-Length: 0\r\n\r\n",
        "bad id": head + b"Req-Id: a b\r\nReq-Deadline: 1.0\r\nContent-Length: 0\r\n\r\n",
        "two at once": (named + b"Content-Length: 2\r\n\r\nhi") * 2,
        "wrong method": b"DELETE /%s HTTP/1.1\r\nHost: a\r\n\r\n" % category,
        "half a request": named + b"Content-Length: 40\r\n\r\nhalf",
        "nothing": b"",
    }


class MalformedRequest:
    """The record of one malformed request. Times are nanoseconds, `over` is 0 without an answer or close."""

    __slots__ = ("kind", "dispatcher", "id", "begun", "over", "status")

    def __init__(self, kind, dispatcher, id, begun):
        self.kind, self.dispatcher, self.id, self.begun = kind, dispatcher, id, begun
        self.over = self.status = 0


class MalformedClients:
    """Sends malformed requests and appends their records to `requests`."""

    def __init__(self, clock, random, balancer, requests, category):
        self.clock, self.random, self.balancer, self.requests = clock, random, balancer, requests
        self.requests_by_kind = _build_requests(category.encode())

    async def run(self, rate, ends_at):
        """Sends `rate` requests a second on average until `ends_at`."""
        while self.clock.now() < ends_at:
            await asyncio.sleep(self.random.expovariate(rate))
            asyncio.create_task(self._send_one())

    async def _send_one(self):
        dispatcher = self.balancer.pick_dispatcher()
        if dispatcher is None:
            return
        kind = self.random.choice(list(self.requests_by_kind))
        id = f"rude{self.random.getrandbits(64):016x}"
        request = MalformedRequest(kind, dispatcher, id, self.clock.now())
        self.requests.append(request)
        try:
            async with asyncio.timeout(2 * ANSWER_LIMIT_NS / 1e9):
                reader, writer = await asyncio.open_connection(*self.balancer.get_address(dispatcher))
                try:
                    request.begun = self.clock.now()
                    writer.write(self.requests_by_kind[kind].replace(b"%(id)s", id.encode()))
                    status_line = (await reader.readline()).split()
                    request.status = (
                        int(status_line[1]) if len(status_line) > 1 and status_line[1].isdigit() else 0
                    )
                    request.over = self.clock.now()
                finally:
                    writer.transport.abort()
        except TimeoutError:
            pass
        except OSError:
            request.over = self.clock.now()  # the dispatcher reset or refused the connection
