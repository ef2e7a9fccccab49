"""One request of a caller and the answer to it, on tornado's HTTP connection."""

import asyncio
import json

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from papayacourse import problems
from papayacourse.exceptions import RequestRefused
from papayacourse.routed.document import CallerLimits


class CallerGone(Exception):
    """The caller has closed its connection."""


class Exchange(HTTPMessageDelegate):
    """Collects a request, and writes its answer.

    Attributes
    ----------
    begun : bool
        Whether an answer's head has been written.
    done : bool
        Whether the answer is whole, or has been cut off.
    """

    def __init__(self, server: "ExchangeOwner", connection: HTTP1Connection):
        self.server = server
        self.connection = connection
        self.method = ""
        self.target = ""
        self.headers = HTTPHeaders()
        self.parts: list[bytes] = []
        self.size = 0
        self.begun = False
        self.done = False
        self.gone = False
        self.task: asyncio.Task | None = None

    # Called by tornado.

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Take the request's head."""
        self.method, self.target, self.headers = start_line.method, start_line.path, headers
        limits = self.server.limits()
        if head_bytes(start_line, headers) > limits.header_bytes:
            self.refuse_unread(431, "header_too_large", f"over {limits.header_bytes} bytes")
        elif declared_bytes(headers) > limits.body_bytes:
            self.refuse_unread(413, "body_too_large", f"over {limits.body_bytes} bytes")

    def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        if self.done:
            return
        self.size += len(chunk)
        self.server.body_bytes += len(chunk)
        self.parts.append(chunk)
        if self.size > self.server.limits().body_bytes:
            self.refuse_unread(413, "body_too_large", "the body is too long")
        elif self.server.body_bytes > self.server.body_room:
            self.refuse_unread(503, "bodies_full", "too many requests are being read", 1.0)

    def finish(self) -> None:
        """Take the end of the request."""
        if not self.done:
            self.connection.set_close_callback(self.on_connection_close)
            self.task = self.server.begin(self)

    def on_connection_close(self) -> None:
        """Stop working for a caller that has gone."""
        self.gone = True
        if self.task is not None:
            self.task.cancel()
        else:
            self.release()

    # The request.

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.parts)

    def release(self) -> None:
        """Forget the body."""
        self.server.body_bytes -= self.size
        self.size = 0
        self.parts = []

    # The answer.

    def refuse_unread(
        self, status: int, reason: str, detail: str, retry_after: float | None = None
    ) -> None:
        """Refuse a request that has not been read to its end."""
        refused = RequestRefused(status, reason, detail, retry_after=retry_after)
        asyncio.ensure_future(self.refuse(refused))
        self.done = True
        self.release()

    async def refuse(self, refused: RequestRefused) -> None:
        """Write the final answer to a request that was not served."""
        headers = HTTPHeaders({"Content-Type": problems.CONTENT_TYPE})
        if refused.retry_after is not None:
            headers["Retry-After"] = f"{refused.retry_after:.1f}"
        body = json.dumps(problems.problem(refused, self.server.request_id(self))).encode()
        await self.answer(refused.status, headers, body)

    async def answer(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a whole answer."""
        headers["Content-Length"] = str(len(body))
        await self.begin(status, headers, body)
        self.end()

    async def begin(self, status: int, headers: HTTPHeaders, chunk: bytes = b"") -> None:
        """Write an answer's head, and perhaps the first of its body."""
        self.begun = True
        if self.server.closing():
            headers["Connection"] = "close"
        line = ResponseStartLine("", status, responses.get(status, "Unknown"))
        await self._written(self.connection.write_headers(line, headers, chunk))

    async def write(self, chunk: bytes) -> None:
        """Write a piece of the body; waits while the caller does not read."""
        await self._written(self.connection.write(chunk))

    async def _written(self, future: asyncio.Future) -> None:
        try:
            await future
        except StreamClosedError as error:
            self.gone = True
            raise CallerGone from error

    def end(self) -> None:
        """Note that the answer is whole."""
        self.done = True
        if not self.gone:
            self.connection.finish()

    def cut(self) -> None:
        """Close the connection, so that the answer cannot be taken for a whole one."""
        self.done = True
        self.connection.close()


class ExchangeOwner:
    """What an exchange needs of the server that it came to.

    Attributes
    ----------
    body_bytes : int
        What the bodies of requests in progress take, in bytes.
    body_room : int
        What they may take together.
    """

    body_bytes: int = 0
    body_room: int = 24 * 1024 * 1024

    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        return CallerLimits()

    def request_id(self, exchange: Exchange) -> str:
        """Return the caller's id of a request."""
        return ""

    def closing(self) -> bool:
        """Tell whether connections are to be closed after their next answer."""
        return False

    def begin(self, exchange: Exchange) -> asyncio.Task:
        """Begin to work on a request that has come whole."""
        raise NotImplementedError


def head_bytes(start_line: RequestStartLine, headers: HTTPHeaders) -> int:
    """Return how long a request's first line and headers are, in bytes."""
    lines = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
    return lines + len(start_line.method) + len(start_line.path)


def declared_bytes(headers: HTTPHeaders) -> int:
    """Return a body's declared length, 0 for none; tornado refuses one that is no number."""
    length = headers.get("Content-Length", "0")
    return int(length) if length.isdecimal() else 0
