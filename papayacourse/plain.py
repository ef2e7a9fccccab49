"""Passes a call through to a plain service, with its method, headers and body."""

from attrs import frozen
from tornado.httputil import HTTPHeaders

from papayacourse.exceptions import BackendError, BackendUnreachable
from papayacourse.httpcall import HttpCall
from papayacourse.messages import CallAnswer
from papayacourse.types import Address

CONNECT_TIMEOUT = 1.0  # seconds
MAX_ANSWER_BYTES = 8 * 1024 * 1024

# These belong to one connection, or to the caller's account here, and are not passed on.
HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@frozen
class PlainCall:
    """A call to a plain service."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def passed_on(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Return the headers that go through, repeated ones kept apart."""
    return tuple((name, v) for name, v in headers.get_all() if name.lower() not in HOP_HEADERS)


async def forward(address: str, call: PlainCall, timeout: float) -> CallAnswer:
    """Make the call and return the whole answer.

    Raises
    ------
    BackendUnreachable
        When nothing was sent.
    BackendError
        When it may have run, but its answer did not come.
    """
    headers = HTTPHeaders()
    for name, value in call.headers:
        headers.add(name, value)
    exchange = HttpCall(
        Address.parse(address), call.method, call.path, headers, call.body,
        connect_timeout=CONNECT_TIMEOUT, idle_timeout=timeout,
    )  # fmt: skip
    async with exchange:
        body = await exchange.read(MAX_ANSWER_BYTES)
    return CallAnswer(exchange.status, passed_on(exchange.headers), body)


async def forward_to_any(addresses: list[str], call: PlainCall, timeout: float) -> CallAnswer:
    """Make the call at the first address that can be connected to."""
    last: BackendError = BackendUnreachable("no backend server is in service")
    for address in addresses:
        try:
            return await forward(address, call, timeout)
        except BackendUnreachable as error:
            last = error
    raise last
