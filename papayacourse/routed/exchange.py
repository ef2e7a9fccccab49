"""One HTTP request of a caller and its response, on a tornado connection."""

import asyncio
import json
import math
import socket
import struct
import time

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import IOStream, StreamClosedError

from papayacourse import logs, problems
from papayacourse.exceptions import RequestRefused
from papayacourse.framing import HTTP_1_0
from papayacourse.listener import has_input
from papayacourse.routed.document import CallerLimits
from papayacourse.routed.requesttarget import shown_host, shown_target
from papayacourse.routed.sendhistory import SendHistory

CONTINUE = "100-continue"
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # the value of SO_LINGER: on, for no time


class CallerDisconnected(Exception):
    """The caller closed its connection."""


class Exchange(HTTPMessageDelegate):
    """Reads a request and writes its response.

    Attributes
    ----------
    head_written : bool
        Whether the response headers have been written.
    done : bool
        Whether the response is complete or aborted.
    caller_gone : bool
        Whether the caller closed the connection.
    received_at : float
        When the request was complete, in seconds of the monotonic clock.
    may_relay : bool
        Whether another daemon may serve the request.
    sends : SendHistory
        Where the request was sent; answers that are not true to it are refused.
    ends_by_close : bool
        Whether the response ends with the connection, since its caller doesn't know chunks.
    """

    may_relay = True

    def __init__(self, server: "ExchangeOwner", connection: HTTP1Connection):
        self.server = server
        self.connection = connection
        self.method = ""
        self.target = ""
        self.version = ""
        self.headers = HTTPHeaders()
        self.parts: list[bytes] = []
        self.size = 0
        self.head_written = False
        self.done = False
        self.caller_gone = False
        self.task: asyncio.Task | None = None
        self.received_at = 0.0
        self.sends = SendHistory()
        self.ends_by_close = False

    # Called by tornado.

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Store the request line and headers; refuses a request over the size limits."""
        self.method, self.target, self.headers = start_line.method, start_line.path, headers
        self.version = start_line.version
        if headers.get("Expect", "").lower() == CONTINUE:
            headers["Expect"] = CONTINUE  # tornado compares the case, RFC 9110 does not
        self.server.begin_reading(self)
        limits = self.server.limits()
        if head_bytes(start_line, headers) > limits.header_bytes:
            self.refuse_unread(431, "header_too_large", f"over {limits.header_bytes} bytes")
        elif declared_bytes(headers) > limits.body_bytes:
            self.refuse_unread(413, "body_too_large", f"over {limits.body_bytes} bytes")

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body; refuses a body over the size limits."""
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
        """Start to serve the complete request."""
        if not self.done:
            self.received_at = time.monotonic()
            self.connection.set_close_callback(self.on_connection_close)
            self.task = self.server.begin(self)

    def on_connection_close(self) -> None:
        """Cancel the request after its caller disconnected."""
        self.server.end_reading(self)
        self.caller_gone = True
        if self.task is not None:
            self.task.cancel()
        else:
            self.release()

    # The request.

    @property
    def body(self) -> bytes:
        """Return the request body."""
        return b"".join(self.parts)

    def release(self) -> None:
        """Free the memory of the body."""
        self.server.body_bytes -= self.size
        self.size = 0
        self.parts = []

    # The response.

    def refuse_unread(
        self, status: int, reason: str, detail: str, retry_after: float | None = None
    ) -> None:
        """Refuse a request before its body has been read completely."""
        self.server.end_reading(self)
        logs.info("request not read", reason=reason, status=status, **shown_request(self))
        refused = RequestRefused(status, reason, detail, retry_after=retry_after)
        asyncio.ensure_future(self.refuse(refused))
        self.done = True
        self.release()

    async def refuse(self, refused: RequestRefused) -> None:
        """Write the problem response for a refused request."""
        refused = self.sends.corrected(refused)
        body = refusal_body(refused, self.server.request_id(self))
        await self.answer(refused.status, refusal_headers(refused), body)

    async def answer(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a complete response."""
        headers["Content-Length"] = str(len(body))
        await self.begin(status, headers, body)
        self.end()

    async def begin(self, status: int, headers: HTTPHeaders, chunk: bytes = b"") -> None:
        """Write the response headers and optionally a first chunk of the body.

        Raises RequestRefused if the status says that the request did not run, and it may have.
        """
        self.sends.check_status(status)
        self.head_written = True
        self.ends_by_close = self.version == HTTP_1_0 and "Content-Length" not in headers
        if self.server.closing() and not self._has_more_requests():
            headers["Connection"] = "close"
        line = ResponseStartLine("", status, responses.get(status, "Unknown"))
        await self._wait_for_write(self.connection.write_headers(line, headers, chunk))

    def _has_more_requests(self) -> bool:
        """Return True if the caller has sent another request already."""
        return bool(self.received_at) and has_input(self.connection.stream)

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the body; waits while the caller does not read."""
        await self._wait_for_write(self.connection.write(chunk))

    async def _wait_for_write(self, future: asyncio.Future) -> None:
        try:
            await future
        except StreamClosedError as error:
            self.caller_gone = True
            raise CallerDisconnected from error

    def end(self) -> None:
        """Finish the response."""
        self.done = True
        if self.caller_gone:
            return
        self.connection.finish()
        if self.ends_by_close:
            self.connection.close()

    def abort(self) -> None:
        """Close the connection, so that the caller doesn't take the response for complete."""
        self.done = True
        if self.ends_by_close and not self.caller_gone:
            reset_at_close(self.connection.stream)
        self.connection.close()


def reset_at_close(stream: IOStream) -> None:
    """Make the close of a connection a reset, which the other side can't take for a proper end."""
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)


class ExchangeOwner:
    """What an exchange needs from the server that received it.

    Attributes
    ----------
    body_bytes : int
        Size of the bodies of all requests in progress, in bytes.
    body_room : int
        Limit on `body_bytes`, in bytes.
    """

    body_bytes: int = 0
    body_room: int = 24 * 1024 * 1024

    def limits(self) -> CallerLimits:
        """Return the size limits on callers' requests."""
        return CallerLimits()

    def request_id(self, exchange: Exchange) -> str:
        """Return the request id that the caller gave."""
        return ""

    def closing(self) -> bool:
        """Return True if connections are closed after their next response."""
        return False

    def begin_reading(self, exchange: Exchange) -> None:
        """Take note of a request whose headers have come."""

    def end_reading(self, exchange: Exchange) -> None:
        """Take note that a request's body has come, or will not be read."""

    def begin(self, exchange: Exchange) -> asyncio.Task:
        """Start a task that serves a request whose body is complete."""
        raise NotImplementedError


def refusal_headers(refused: RequestRefused) -> HTTPHeaders:
    """Return the headers of the problem response for a refused request."""
    headers = HTTPHeaders({"Content-Type": problems.CONTENT_TYPE})
    if refused.retry_after is not None:
        # Rounded up: a caller must not return too early.
        headers["Retry-After"] = f"{math.ceil(refused.retry_after * 10) / 10:.1f}"
    return headers


def refusal_body(refused: RequestRefused, request: str) -> bytes:
    """Return the body of the problem response for a refused request with an id."""
    return json.dumps(problems.problem(refused, request)).encode()


def shown_request(exchange) -> dict[str, str]:
    """Return the host and path that a request names, for log lines."""
    host = exchange.headers.get("Host", "")
    return {"host": shown_host(host), "path": shown_target(exchange.target)}


def head_bytes(start_line: RequestStartLine, headers: HTTPHeaders) -> int:
    """Return the size of the request line and headers, in bytes."""
    lines = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
    return lines + len(start_line.method) + len(start_line.path)


def declared_bytes(headers: HTTPHeaders) -> int:
    """Return the Content-Length, or 0 if there is none; tornado rejects one that isn't a number."""
    length = headers.get("Content-Length", "0")
    return int(length) if length.isdecimal() else 0
