"""Passes a call through to a plain service, with its method, headers and body."""

import asyncio
from collections.abc import Callable

import xxhash
from attrs import frozen
from tornado.httputil import HTTPHeaders

from papayacourse.answermemory import MAX_ANSWER_BYTES
from papayacourse.callmessages import CallAnswer
from papayacourse.deaths import RequestGuard
from papayacourse.exceptions import (
    BackendError,
    BackendLinkLost,
    BackendProtocolError,
    BackendUnreachable,
)
from papayacourse.httpcall import HttpCall
from papayacourse.types import Address, Host

CONNECT_TIMEOUT = 1.0  # seconds
IDEMPOTENT = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
REQUEST_ID = "x-request-id"

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


def fingerprint_of(team: str, service: str, account: str, call: PlainCall) -> str:
    """Return what a call is recognised by when it is made again."""
    text = f"{team}\0{service}\0{account}\0{call.method} {call.path}\0"
    hashed = xxhash.xxh3_128(text.encode())
    hashed.update(call.body)
    return hashed.hexdigest()


def passed_on(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Return the headers that go through, repeated ones kept apart."""
    return tuple((name, v) for name, v in headers.get_all() if name.lower() not in HOP_HEADERS)


def check_nothing() -> None:
    """Let every call be sent."""


def has_expected_id(call: PlainCall, answer: HTTPHeaders) -> bool:
    """Tell whether an answer that names its request names this one."""
    sent = [value for name, value in call.headers if name.lower() == REQUEST_ID]
    return not sent or answer.get(REQUEST_ID, sent[0]) == sent[0]


async def forward(
    server: Host,
    call: PlainCall,
    timeout: float,
    guard: RequestGuard,
    before_send: Callable[[], None] = check_nothing,
) -> CallAnswer:
    """Make the call and return the whole answer.

    Parameters
    ----------
    timeout : float
        The longest the call may take, in seconds.
    guard : Guard
        Watches the run, so that its server's end is counted against the call.
    before_send : callable
        Called once connected; raises BackendUnreachable when the call may not be sent any more.

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
        except TimeoutError as error:
            raise BackendLinkLost(f"{address} did not answer in {timeout} s") from error
        if not has_expected_id(call, exchange.headers):
            raise BackendProtocolError(f"{address} sent the answer to another request")
        run.record_answer(exchange.status)
    return CallAnswer(exchange.status, passed_on(exchange.headers), body)


async def forward_to_any(
    servers: list[Host],
    call: PlainCall,
    timeout: float,
    guard: RequestGuard,
    before_send: Callable[[], None] = check_nothing,
) -> CallAnswer:
    """Make the call at the first server that can be connected to."""
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
    """Make a call that may run twice if its method is idempotent.

    One that may have been sent is made again, at the next server, only if HTTP calls its method
    idempotent and ``may_repeat`` allows it.
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
