"""Forwards calls to plain services, with their method, headers and body."""

import asyncio
from collections.abc import Callable

import xxhash
from attrs import frozen
from tornado.httputil import HTTPHeaders

from papayacourse.answermemory import MAX_ANSWER_BYTES
from papayacourse.callmessages import CallAnswer
from papayacourse.exceptions import (
    BackendError,
    BackendLinkLost,
    BackendProtocolError,
    BackendUnreachable,
)
from papayacourse.httpcall import HttpCall
from papayacourse.requestguard import RequestGuard
from papayacourse.serverlife import check_end
from papayacourse.types import Address, Host

CONNECT_TIMEOUT = 1.0  # seconds
IDEMPOTENT = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
REQUEST_ID = "x-request-id"

# Headers of one connection, or with the caller's account key; they are not forwarded.
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


def fingerprint_of(team: str, service: str, account: str, call: PlainCall) -> str:
    """Return a fingerprint that identifies repetitions of a call."""
    text = f"{team}\0{service}\0{account}\0{call.method} {call.path}\0"
    hashed = xxhash.xxh3_128(text.encode())
    hashed.update(call.body)
    return hashed.hexdigest()


def forwarded_headers(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward; repeated headers stay separate."""
    return tuple((name, v) for name, v in headers.get_all() if name.lower() not in HOP_HEADERS)


def allow_send() -> None:
    """Allow every call to be sent."""


def has_expected_id(call: PlainCall, answer: HTTPHeaders) -> bool:
    """Return True unless the answer names another request's id."""
    sent = [value for name, value in call.headers if name.lower() == REQUEST_ID]
    return not sent or answer.get(REQUEST_ID, sent[0]) == sent[0]


async def forward(
    server: Host,
    call: PlainCall,
    timeout: float,
    guard: RequestGuard,
    before_send: Callable[[], None] = allow_send,
) -> CallAnswer:
    """Send the call and return the whole answer.

    Parameters
    ----------
    timeout : float
        Maximum duration of the call, in seconds.
    guard : RequestGuard
        Watches the run, so that a crash of its server counts against the call.
    before_send : callable
        Called once connected; raises BackendUnreachable if the call may no longer be sent.

    Raises
    ------
    BackendUnreachable
        If nothing was sent.
    BackendError
        If it may have run, but no answer arrived.
    """
    headers = HTTPHeaders()
    for name, value in call.headers:
        headers.add(name, value)
    address = server.address
    exchange = HttpCall(
        Address.parse(address), call.method, call.path, headers, call.body,
        connect_timeout=CONNECT_TIMEOUT, idle_timeout=timeout, before_send=before_send,
    )  # fmt: skip
    async with guard.watch_run(server) as run:
        try:
            with guard.answers.reservation() as reservation:
                async with asyncio.timeout(timeout), exchange:
                    body = await exchange.read(MAX_ANSWER_BYTES, reservation.reserve)
                    await check_end(exchange)
        except TimeoutError as error:
            raise BackendLinkLost(f"{address} did not answer in {timeout} s") from error
        if not has_expected_id(call, exchange.headers):
            raise BackendProtocolError(f"{address} sent the answer to another request")
        run.record_answer(exchange.status)
    return CallAnswer(exchange.status, forwarded_headers(exchange.headers), body)


async def forward_to_any(
    servers: list[Host],
    call: PlainCall,
    timeout: float,
    guard: RequestGuard,
    before_send: Callable[[], None] = allow_send,
) -> CallAnswer:
    """Send the call to the first server that accepts a connection."""
    last: BackendError = BackendUnreachable("no backend server is in service")
    for server in servers:
        try:
            return await forward(server, call, timeout, guard, before_send)
        except BackendUnreachable as error:
            last = error
    raise last


async def forward_repeatable(
    servers: list[Host],
    call: PlainCall,
    timeout: float,
    guard: RequestGuard,
    may_repeat: Callable[[], bool],
) -> CallAnswer:
    """Send a call that may run twice if its method is idempotent.

    A call that may have been sent is retried on the next server only if its HTTP method is
    idempotent and ``may_repeat`` returns True.
    """
    last: BackendError = BackendUnreachable("no backend server is in service")
    may_have_run: BackendError | None = None
    for server in servers:
        if may_have_run and not may_repeat():
            break
        try:
            return await forward(server, call, timeout, guard)
        except BackendUnreachable as error:
            last = error
        except BackendLinkLost as error:
            may_have_run = error
            if call.method not in IDEMPOTENT:
                break
    raise may_have_run or last
