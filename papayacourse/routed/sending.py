"""Sends a caller's request to one engine, on a new connection."""

import asyncio
import random
from collections.abc import Iterable

from papayacourse import logs
from papayacourse.answermemory import AnswerReservation
from papayacourse.exceptions import (
    BackendAnswerLost,
    BackendError,
    BackendLinkLost,
    BackendNotSendable,
    BackendProtocolError,
    BackendUnreachable,
    RequestRefused,
)
from papayacourse.httpcall import HttpCall
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.seams import Call, Dispatch, RequestCodec
from papayacourse.routed.sendhistory import Send, SendHistory
from papayacourse.serverlife import check_end
from papayacourse.types import Address, Host

MAX_RETRY_SPREAD = 0.4  # seconds; callers retry within this time after a pause ends
REJECTED_STATUS = 503  # of a request that an engine did not run for want of room
CONNECT_TIMEOUT = 0.4  # seconds; a handshake between regions takes 30 ms


class RequestNotExecuted(BackendError):
    """The engine reports that it did not run the request."""


class RequestRejected(RequestNotExecuted):
    """The engine did not run the request for want of room."""


def connect_limit(time_left: float) -> float:
    """Return the connect timeout, in seconds."""
    return max(0.01, min(CONNECT_TIMEOUT, time_left))


async def open_call(
    codec: RequestCodec, notices: EngineNotices, call: Call, dispatch: Dispatch, head_limit: float,
    sends: SendHistory,
) -> HttpCall:  # fmt: skip
    """Send a request and return the exchange once the response headers have arrived.

    Parameters
    ----------
    head_limit : float
        How long to wait for the response headers, in seconds.
    sends : SendHistory
        The sends of the request, among which this one is recorded.

    Raises
    ------
    BackendUnreachable
        When nothing was sent.
    RequestNotExecuted
        When the engine reports that it did not run the request, or when it cannot be sent.
    BackendAnswerLost
        When it may have run the request and its answer is lost.
    """
    asked_at = notices.limits.clock()
    send: Send | None = None

    def record_send() -> None:
        nonlocal send
        notices.admit_send(dispatch.engine, dispatch.resume is not None)
        send = sends.begin(dispatch.engine.name)
        notices.record_send(dispatch.engine)
        exchange.on_close = lambda: notices.brittle.record_end(dispatch.engine.name)

    try:
        exchange = HttpCall(
            Address.parse(dispatch.engine.address), call.method, call.target,
            codec.headers(call, dispatch), call.body,
            connect_timeout=connect_limit(dispatch.time_left), idle_timeout=max(head_limit, 0.01),
            before_send=record_send,
        )  # fmt: skip
        with notices.reach.watch_connecting():
            await exchange.__aenter__()
    except BackendUnreachable:
        notices.reach.record_failure()
        await notices.reach.wait_for_check()
        raise
    except BackendNotSendable as error:
        if send is not None:
            sends.record_not_executed(send)
        raise RequestNotExecuted(str(error)) from error
    except (BackendLinkLost, BackendProtocolError) as error:
        raise BackendAnswerLost(str(error)) from error
    status, headers = exchange.status, exchange.headers
    not_run = codec.not_run(call, status, headers)
    is_answer = codec.answers_call(call, status, headers)
    is_certain = not_run or is_answer
    notice = codec.notice(status, headers)
    notices.take(dispatch.engine, notice, asked_at if is_certain else None)
    if not_run:
        sends.record_not_executed(send)
        is_rejected = status == REJECTED_STATUS
        if is_rejected:
            notices.brittle.record_rejection(dispatch.engine)
        await exchange.__aexit__(None, None, None)
        refusal = RequestRejected if is_rejected else RequestNotExecuted
        raise refusal(f"{dispatch.engine.name} answered {status} without running it")
    send.has_run = codec.shows_run(call, headers)
    if not is_answer:
        await exchange.__aexit__(None, None, None)
        raise BackendAnswerLost(f"{dispatch.engine.name} sent an answer to another request")
    if not send.has_run and 300 <= status < 500:
        logs.info("answer without proof", engine=dispatch.engine.name, status=status)
    return exchange


async def read_body(exchange: HttpCall, reservation: AnswerReservation, time_left: float) -> bytes:
    """Return the complete body.

    Raises
    ------
    BackendAnswerLost
        When the body is incomplete, late or too large.
    """
    reservation.release()
    parts: list[bytes] = []
    try:
        async with asyncio.timeout(max(time_left, 0.0)):
            async for chunk in exchange.chunks():
                reservation.reserve(len(chunk))
                parts.append(chunk)
            await check_end(exchange)
        return b"".join(parts)
    except (BackendError, TimeoutError) as error:
        raise BackendAnswerLost(str(error) or "no whole answer in time") from error
    finally:
        await exchange.__aexit__(None, None, None)


def no_opening_refusal(
    notices: EngineNotices, hosts: Iterable[Host], time_left: float
) -> RequestRefused | None:
    """Return the refusal of a request that no server can be sent now; None if one can.

    Parameters
    ----------
    hosts : iterable of Host
        The servers of the service.
    time_left : float
        How long the caller will still wait, in seconds.
    """
    first = notices.earliest(hosts)
    if first is None:
        return None
    if first.is_limited:
        notices.limits.use_turn(first.engine, time_left)
        why = "every server of the service has reached its limit or wants to be left alone"
        return RequestRefused(503, "servers_limited", why, retry_after=first.wait)
    # The jitter keeps callers from all retrying at the first available server at once.
    retry_after = first.wait + MAX_RETRY_SPREAD * random.uniform(0.5, 1.0)
    why = "every server of the service is full or wants to be left alone"
    return RequestRefused(503, "servers_paused", why, retry_after=retry_after)
