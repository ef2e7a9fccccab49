"""Sends a caller's request to one engine, on a connection of its own."""

import asyncio
import random
from collections.abc import Callable

from papayacourse.answermemory import AnswerReservation
from papayacourse.exceptions import (
    BackendAnswerLost,
    BackendError,
    BackendLinkLost,
    BackendProtocolError,
    BackendUnreachable,
    RequestRefused,
)
from papayacourse.httpcall import HttpCall
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.seams import Call, Dispatch, RequestCodec
from papayacourse.types import Address, Ran

RETURN_SLACK = 0.4  # seconds after the end of a pause over which callers return
PROMISES = frozenset({408, 421, 429, 503})  # statuses that say that a request has not run
CONNECT_TIMEOUT = 0.4  # seconds; a handshake takes 30 ms between regions


class NotRun(BackendError):
    """The engine says that it did not run the request."""


def refuse_false_promise(status: int) -> None:
    """Refuse with another status what ran and whose status says that it did not."""
    if status in PROMISES:
        raise RequestRefused(502, "server_failed", "the server failed", Ran.YES)


def connect_limit(time_left: float) -> float:
    """Return how long a connection may take to be made, in seconds."""
    return max(0.01, min(CONNECT_TIMEOUT, time_left))


async def open_call(
    codec: RequestCodec, notices: EngineNotices, call: Call, dispatch: Dispatch, head_limit: float,
    before_send: Callable[[], None] = lambda: None,
) -> HttpCall:  # fmt: skip
    """Send a request and return the exchange once the answer's head has come.

    Parameters
    ----------
    head_limit : float
        How long to wait for the head, in seconds.
    before_send : callable, optional
        Called once connected, before anything is sent.

    Raises
    ------
    BackendUnreachable
        When nothing was sent.
    NotRun
        When the engine says that it did not run the request.
    BackendAnswerLost
        When it may have, and its answer cannot be had.
    """
    exchange = HttpCall(
        Address.parse(dispatch.engine.address), call.method, call.target,
        codec.headers(call, dispatch), call.body,
        connect_timeout=connect_limit(dispatch.time_left), idle_timeout=max(head_limit, 0.01),
        before_send=before_send,
    )  # fmt: skip
    try:
        await exchange.__aenter__()
    except BackendUnreachable:
        raise
    except (BackendLinkLost, BackendProtocolError) as error:
        raise BackendAnswerLost(str(error)) from error
    status, headers = exchange.status, exchange.headers
    notices.take(dispatch.engine, codec.notice(status, headers))
    if codec.not_run(status, headers):
        await exchange.__aexit__(None, None, None)
        raise NotRun(f"{dispatch.engine.name} answered {status} without running it")
    if not codec.belongs(call, status, headers):
        await exchange.__aexit__(None, None, None)
        raise BackendAnswerLost(f"{dispatch.engine.name} sent an answer to another request")
    return exchange


async def read_whole(exchange: HttpCall, reservation: AnswerReservation, time_left: float) -> bytes:
    """Return the whole body; raises BackendAnswerLost when it does not come, or does not fit."""
    reservation.release()
    parts: list[bytes] = []
    try:
        async with asyncio.timeout(max(time_left, 0.0)):
            async for chunk in exchange.chunks():
                reservation.reserve(len(chunk))
                parts.append(chunk)
        return b"".join(parts)
    except (BackendError, TimeoutError) as error:
        raise BackendAnswerLost(str(error) or "no whole answer in time") from error
    finally:
        await exchange.__aexit__(None, None, None)


def left_alone(pause: float) -> RequestRefused:
    """Refuse a request whose every server wants to be left alone for so many seconds."""
    # Callers come back spread out, so that the first free server does not get them all at once.
    retry_after = pause + RETURN_SLACK * random.uniform(0.5, 1.0)
    why = "every server of the service wants to be left alone"
    return RequestRefused(503, "servers_paused", why, retry_after=retry_after)
