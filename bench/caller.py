"""Sends one request of the bench and times its tokens."""

import asyncio
import json
import time

from attrs import define, field

from bench.trace import Arrival
from papayacourse.exceptions import BackendError
from papayacourse.httpcall import HttpCall
from papayacourse.types import Address

TOKEN_MARK = b'"finish_reason": null'
DONE_MARK = b"data: [DONE]"
SILENCE_LIMIT = 60.0  # seconds


@define(eq=False)
class Exchange:
    """One request and what came back.

    Attributes
    ----------
    times : list of (float, int)
        When pieces of the answer came, in seconds of the monotonic clock, and the tokens in each.
    status : int
        The HTTP status; 0 when there was no answer.
    retry_after : float
        What a refusal asked to wait, in seconds.
    tries : int
        Requests sent, those after a refusal included.
    reason : str
        What the last refusal or error named as its reason.
    """

    arrival: Arrival
    sent: float = 0.0
    answered: float = 0.0
    status: int = 0
    times: list[tuple[float, int]] = field(factory=list)
    done: bool = False
    failed: bool = False
    retry_after: float = 0.0
    tries: int = 0
    reason: str = ""
    refusal_times: list[float] = field(factory=list)

    @property
    def tokens(self) -> int:
        """Return the tokens that came."""
        return sum(count for _, count in self.times)


async def exchange(address: str, service: str, longest: int, made: Exchange) -> None:
    """Send a request and read its answer to the end."""
    arrival = made.arrival
    body = json.dumps(
        {"model": service, "prompt": arrival.text, "max_tokens": longest, "stream": True}
    ).encode()
    headers = {"Authorization": f"Bearer {arrival.account.key}"}
    call = HttpCall(
        Address.parse(address), "POST", "/v1/completions", headers, body,
        connect_timeout=5.0, idle_timeout=SILENCE_LIMIT,
    )  # fmt: skip
    made.tries += 1
    made.status = 0
    made.sent = time.monotonic()
    try:
        async with call:
            made.status = call.status
            made.answered = time.monotonic()
            if call.status != 200:
                made.refusal_times.append(made.answered - made.sent)
                made.retry_after = float(call.headers.get("Retry-After", "0"))
                made.reason = reason_of(await call.read())
                return
            await _read(call, made)
    except BackendError:
        made.failed = True


async def _read(call: HttpCall, made: Exchange) -> None:
    rest = b""
    async for chunk in call.chunks():
        data = rest + chunk
        count = data.count(TOKEN_MARK)
        if count:
            made.times.append((time.monotonic(), count))
        made.done = made.done or DONE_MARK in data
        made.failed = made.failed or b"event: error" in data
        # A mark may be split over two pieces; what follows the last whole event is kept.
        rest = data[data.rfind(b"\n\n") + 2 :] if b"\n\n" in data else data


def reason_of(body: bytes) -> str:
    """Return the reason that a refusal names."""
    try:
        return str(json.loads(body)["reason"])
    except (ValueError, KeyError, TypeError):
        return ""


async def obey(address: str, service: str, longest: int, made: Exchange, tries: int) -> None:
    """Send a request, and again after each refusal once its Retry-After has passed."""
    while made.tries < tries:
        await exchange(address, service, longest, made)
        if made.status == 200 or not made.retry_after:
            return
        await asyncio.sleep(made.retry_after)
