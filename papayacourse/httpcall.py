"""An HTTP client request over tornado that reports how far it got when it fails."""

import asyncio
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from papayacourse.exceptions import (
    BackendGone,
    BackendLinkLost,
    BackendNoAnswer,
    BackendNotSendable,
    BackendProtocolError,
    BackendSilent,
    BackendUnanswered,
    BackendUnreachable,
)
from papayacourse.framing import Framing, framing_of
from papayacourse.statuses import FINAL_STATUSES, is_interim
from papayacourse.tasks import is_done_within
from papayacourse.types import Address

CHUNK_BYTES = 16 * 1024
READ_BUFFER_BYTES = 128 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024  # in the kernel
MAX_HEADER_BYTES = 64 * 1024
MAX_STREAM_BYTES = 1 << 40
MAX_READ_BYTES = 8 * 1024 * 1024
BUFFERED_CHUNKS = 2
MAX_REASON = 100  # characters, of why a request cannot be sent

# Tornado's AsyncHTTPClient does not distinguish requests that were never sent from those that
# were, and cannot be aborted while the server is silent. This module needs both, so it uses the
# connection class that tornado's client and server are built on.


class HttpCall(HTTPMessageDelegate):
    """A request on a connection of its own; use it as an asynchronous context manager.

    Parameters
    ----------
    address : Address
        The server's address.
    method, path : str
        The request line.
    headers : dict or HTTPHeaders, optional
        Extra request headers.
    body : bytes
        The request body.
    connect_timeout, idle_timeout : float
        Timeouts in seconds for the connection and for the next chunk of the response.
    before_send : callable, optional
        Called after connecting; an exception that it raises aborts the call before it is sent.

    Attributes
    ----------
    on_close : callable
        Called once when the call is closed.
    allows_silence : callable
        Called when an idle timeout expires; returns True to wait for another one.

    Raises
    ------
    BackendGone
        If the address refuses the connection; nothing was sent.
    BackendUnreachable
        If no connection could be made; nothing was sent.
    BackendLinkLost
        If the connection broke or went silent after connecting.
    BackendNoAnswer
        If the server sent a head whose status HTTP does not have, or agreed to an upgrade.
    BackendNotSendable
        If the head of the request cannot be written; nothing was sent.
    """

    def __init__(
        self,
        address: Address,
        method: str,
        path: str,
        headers: dict | HTTPHeaders | None = None,
        body: bytes = b"",
        connect_timeout: float = 1.0,
        idle_timeout: float = 10.0,
        before_send: Callable[[], None] = lambda: None,
    ):
        self.address = address
        self.method = method
        self.path = path
        try:
            self.request_headers = HTTPHeaders(headers or {})
        except HTTPInputError as error:
            raise BackendNotSendable(f"the request cannot be sent: {error}") from error
        self.body = body
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout
        self.before_send = before_send
        self.status = 0
        self.headers = HTTPHeaders()
        self.finished = False
        self.head: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.buffered: deque[bytes] = deque()
        self.closed = False
        self.silent = False
        self.on_close: Callable[[], None] = lambda: None
        self.allows_silence: Callable[[], bool] = lambda: False
        self.wait_started: float | None = None
        self.chunk_arrived: asyncio.Future[None] | None = None
        self.buffer_space: asyncio.Future[None] | None = None
        self.watchdog: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> "HttpCall":
        self.stream = await connect(self.address, self.connect_timeout)
        try:
            self.before_send()
            self.reader = asyncio.ensure_future(self._exchange())
            if not await is_done_within(self.head, self.idle_timeout):
                raise BackendUnanswered(f"{self.address} did not answer in time")
            self.head.result()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(self, kind, error, traceback) -> None:
        self.stream.close()
        on_close, self.on_close = self.on_close, lambda: None
        on_close()
        if self.watchdog is not None:
            self.watchdog.cancel()
        reader = getattr(self, "reader", None)
        if reader is not None and not reader.done():
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
        if self.head.done() and not self.head.cancelled():
            self.head.exception()

    async def _exchange(self) -> None:
        parameters = HTTP1ConnectionParameters(
            no_keep_alive=True,
            chunk_size=CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_STREAM_BYTES,
        )
        connection = HTTP1Connection(self.stream, True, parameters)
        self.request_headers.setdefault("Host", str(self.address))
        self.request_headers["Connection"] = "close"
        self.request_headers["Content-Length"] = str(len(self.body))
        line = RequestStartLine(self.method, self.path, "")
        try:
            # Not awaited: the server may respond before it has read a long body.
            connection.write_headers(line, self.request_headers, self.body)
            connection.finish()
            await connection.read_response(self)
        except (StreamClosedError, OSError):
            pass
        except ValueError as error:
            self._refuse_request(error)
        finally:
            self._fail_head()
            self.closed = True
            wake(self.chunk_arrived)

    def _refuse_request(self, error: ValueError) -> None:
        """Fail a request whose head cannot be written."""
        if not self.head.done():
            why = f"the request to {self.address} cannot be sent: {str(error)[:MAX_REASON]}"
            self.head.set_exception(BackendNotSendable(why))

    def _fail_head(self) -> None:
        if not self.head.done():
            self.head.set_exception(BackendLinkLost(f"{self.address} closed before it answered"))

    def headers_received(self, start_line, headers: HTTPHeaders) -> None:
        """Store the status and headers (called by tornado)."""
        status = start_line.code
        if is_interim(status) or self.head.done():
            return
        if status not in FINAL_STATUSES:
            self.head.set_exception(BackendNoAnswer(f"{self.address} sent status {status:03d}"))
            return
        self.status, self.headers = status, headers
        self.head.set_result(None)

    async def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body; pause reading while the buffer is full."""
        self.buffered.append(chunk)
        wake(self.chunk_arrived)
        while len(self.buffered) >= BUFFERED_CHUNKS:
            self.buffer_space = asyncio.get_running_loop().create_future()
            await self.buffer_space

    def finish(self) -> None:
        """Record the end of the body (called by tornado)."""
        # A body without a length is complete when the connection closes without a reset.
        self.finished = self.stream.error is None

    def on_connection_close(self) -> None:
        """Handle a closed connection (called by tornado)."""
        self._fail_head()

    @property
    def framing(self) -> Framing:
        """Return what ends the body of the answer, whose head has come."""
        return framing_of(self.method, self.status, self.headers)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive.

        Raises
        ------
        BackendLinkLost
            If the connection breaks or stays silent for the idle timeout.
        """
        while await self._wait_for_chunk():
            chunk = self.buffered.popleft()
            wake(self.buffer_space)
            yield chunk
        if not self.finished:
            raise BackendLinkLost(f"{self.address} closed midway")

    async def _wait_for_chunk(self) -> bool:
        """Wait for the next chunk; return False at the end of the connection."""
        while not self.buffered and not self.closed:
            loop = asyncio.get_running_loop()
            self.chunk_arrived = loop.create_future()
            self.wait_started = loop.time()
            if self.watchdog is None:
                self.watchdog = loop.call_later(self.idle_timeout, self._check_silence)
            try:
                await self.chunk_arrived
            finally:
                self.wait_started = None
            if self.silent:
                raise BackendSilent(f"{self.address} went silent")
        return bool(self.buffered)

    def _check_silence(self) -> None:
        """Check the current wait against the idle timeout; one timer serves all waits."""
        loop = asyncio.get_running_loop()
        self.watchdog = None
        if self.wait_started is None:
            return
        left = self.wait_started + self.idle_timeout - loop.time()
        if left <= 0 and self.allows_silence():
            left = self.idle_timeout
        if left > 0:
            self.watchdog = loop.call_later(left, self._check_silence)
            return
        self.silent = True
        wake(self.chunk_arrived)

    def shorten_idle_timeout(self, seconds: float) -> None:
        """Give up the response once it has been silent for so long from now on."""
        self.idle_timeout = seconds
        if self.watchdog is not None:
            self.watchdog.cancel()
        self.watchdog = asyncio.get_running_loop().call_later(seconds, self._check_silence)

    async def read_start(self, limit: int) -> bytes:
        """Return the first ``limit`` bytes of the body, or all if it is shorter.

        Raises
        ------
        BackendLinkLost
            If the connection breaks before, or they do not come within the idle timeout.
        """
        found = bytearray()
        try:
            async with asyncio.timeout(self.idle_timeout), aclosing(self.chunks()) as chunks:
                async for chunk in chunks:
                    found += chunk
                    if len(found) >= limit:
                        break
        except TimeoutError as error:
            raise BackendSilent(f"{self.address} sent no whole answer in time") from error
        return bytes(found[:limit])

    async def read(
        self, limit: int = MAX_READ_BYTES, take: Callable[[int], None] = lambda _size: None
    ) -> bytes:
        """Return the whole body, of at most ``limit`` bytes.

        The idle timeout bounds the whole read; otherwise a server that sends a byte now and then
        could keep it open forever.

        Parameters
        ----------
        take : callable
            Called with the size of each chunk; raises BackendProtocolError to refuse it.
        """
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(self.idle_timeout):
                async for chunk in self.chunks():
                    size += len(chunk)
                    if size > limit:
                        raise BackendProtocolError(f"{self.address} sent more than {limit} bytes")
                    take(len(chunk))
                    parts.append(chunk)
            return b"".join(parts)
        except TimeoutError as error:
            raise BackendSilent(f"{self.address} sent no whole answer in time") from error
        finally:
            # The traceback of an exception that somebody keeps would keep them, too.
            parts.clear()


async def connect(address: Address, timeout: float) -> IOStream:
    """Open a connection; raise BackendUnreachable or BackendGone on failure.

    Parameters
    ----------
    timeout : float
        The longest wait in seconds.
    """
    link = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    # Set before connecting so that back-pressure from a stalled reader starts early.
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    stream = IOStream(link, max_buffer_size=READ_BUFFER_BYTES, read_chunk_size=CHUNK_BYTES)
    stream.set_nodelay(True)
    try:
        connected = stream.connect((address.host, address.port))
        if not await is_done_within(connected, timeout):
            raise TimeoutError
        connected.result()
    except BaseException as error:
        stream.close()
        if isinstance(getattr(error, "real_error", error), ConnectionRefusedError):
            raise BackendGone(f"nobody listens at {address}") from error
        if isinstance(error, TimeoutError | StreamClosedError | OSError):
            raise BackendUnreachable(f"no connection to {address}") from error
        raise
    return stream


def wake(future: asyncio.Future[None] | None) -> None:
    """Resolve a future that a task may be waiting for."""
    if future is not None and not future.done():
        future.set_result(None)
