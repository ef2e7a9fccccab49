"""Speaks to model engines; the one module that knows their wire form."""

import json
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from urllib.parse import quote

from attrs import frozen

from papayacourse.eventprogress import MAX_EVENT_BYTES, EventProgress
from papayacourse.exceptions import (
    BackendError,
    BackendProtocolError,
    BackendRefused,
)
from papayacourse.httpcall import HttpCall
from papayacourse.types import Address, GenerationRequest

CONNECT_TIMEOUT = 1.0  # seconds
SILENCE_TIMEOUT = 5.0  # seconds without an event before the link counts as stalled
CONTROL_TIMEOUT = 2.0  # seconds
ORDER_TIMEOUT = 3.0  # seconds, loading from the weight store included
GENERATION_HEADER = "X-Generation"  # the engine's mark of one generation, unlike any other's


@frozen
class Token:
    """One piece of output: its place in the stream, counted from zero, and its text."""

    stream: str
    offset: int
    text: str


@frozen
class End:
    """The end of the output, after so many tokens, and why (``stop`` or ``length``)."""

    stream: str
    offset: int
    reason: str


EngineEvent = Token | End


@frozen
class StreamInfo:
    """What an engine says of one generation."""

    readers: int
    generated: int
    ended: bool


@frozen
class EngineLoad:
    """What an engine reports about itself, with a lag."""

    running: int
    waiting: int
    memory_used: int
    memory_total: int
    preemptions: int
    leaving: bool


@frozen
class Wanted:
    """What an engine has loaded, or must have, and its role."""

    model: str
    adapter: str
    version: str
    role: str

    @property
    def weights(self) -> str:
        """Return the name of its weights in the weight store."""
        return "@".join(part for part in (self.model, self.adapter, self.version) if part)


@frozen
class Order:
    """An order to load something, with the fencing number of who gives it."""

    fence: int
    wanted: Wanted


@frozen
class EngineState:
    """What an engine says of itself when asked, without a lag.

    Attributes
    ----------
    weights : frozenset of str
        The weights it has at hand, loaded or not.
    running : int
        Its streams, those that wait included.
    """

    loaded: Wanted
    fence: int
    weights: frozenset[str]
    running: int


def split_events(buffer: bytearray) -> Iterator[bytes]:
    """Take whole server-sent events off the front of a buffer."""
    while True:
        end = buffer.find(b"\n\n")
        if end < 0:
            if len(buffer) > MAX_EVENT_BYTES:
                raise BackendProtocolError(f"an event longer than {MAX_EVENT_BYTES} bytes")
            return
        event = bytes(buffer[:end])
        del buffer[: end + 2]
        yield event


def parse_events(events: Iterable[bytes]) -> Iterator[EngineEvent]:
    """Turn server-sent events into tokens and ends; comments are skipped."""
    for event in events:
        data = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
        if not data:
            continue
        try:
            raw = json.loads(b"\n".join(data))
            if "text" in raw:
                yield Token(raw["stream"], int(raw["offset"]), str(raw["text"]))
            else:
                yield End(raw["stream"], int(raw["offset"]), str(raw["reason"]))
        except (ValueError, KeyError, TypeError) as error:
            raise BackendProtocolError(f"not an event of an engine: {error!r}") from error


class EngineStream:
    """An open stream from an engine, to be used as an asynchronous context manager.

    Parameters
    ----------
    address : str
        The engine's ``host:port``.
    generation : GenerationRequest
        The request.
    resume_at : int or None
        The next offset wanted of a generation that runs already; None starts one.
    count : callable
        Told the size of what is sent and of each piece that comes, in bytes.
    """

    def __init__(
        self,
        address: str,
        generation: GenerationRequest,
        resume_at: int | None = None,
        count: Callable[[int], None] = lambda _size: None,
    ):
        self.count = count
        target = Address.parse(address)
        if resume_at is None:
            body = {
                "stream": generation.stream,
                "prompt": generation.prompt,
                "prompt_tokens": generation.prompt_tokens,
                "max_tokens": generation.max_tokens,
                "priority": generation.priority,
                "seed": generation.seed,
            }
            data = json.dumps(body).encode()
            self.call = HttpCall(
                target, "POST", "/generate", body=data,
                connect_timeout=CONNECT_TIMEOUT, idle_timeout=SILENCE_TIMEOUT,
            )  # fmt: skip
        else:
            path = f"/streams/{quote(generation.stream, safe='')}?from={resume_at}"
            self.call = HttpCall(
                target, "GET", path, connect_timeout=CONNECT_TIMEOUT, idle_timeout=SILENCE_TIMEOUT
            )

    async def __aenter__(self) -> "EngineStream":
        await self.call.__aenter__()
        self.count(len(self.call.body))
        if self.call.status != 200:
            try:
                detail = (await self.call.read()).decode(errors="replace")
            finally:
                await self.call.__aexit__(None, None, None)
            raise BackendRefused(self.call.status, detail)
        return self

    async def __aexit__(self, kind, error, traceback) -> None:
        await self.call.__aexit__(kind, error, traceback)

    async def aclose(self) -> None:
        """Close the connection."""
        await self.call.__aexit__(None, None, None)

    @property
    def run_id(self) -> str:
        """Return the engine's mark of the generation; empty when it gives none."""
        return self.call.headers.get(GENERATION_HEADER, "")

    async def batches(self) -> AsyncIterator[list[EngineEvent]]:
        """Yield the events of each piece that the connection delivers."""
        buffer, event_progress = bytearray(), EventProgress(SILENCE_TIMEOUT)
        async for chunk in self.call.chunks():
            self.count(len(chunk))
            buffer += chunk
            batch = list(parse_events(split_events(buffer)))
            event_progress.record_data(len(chunk), bool(batch))
            if batch:
                yield batch


async def control(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    idle_timeout: float = CONTROL_TIMEOUT,
) -> dict:
    """Make one short call to an engine and return its JSON answer."""
    data = json.dumps(body).encode() if body is not None else b""
    call = HttpCall(
        Address.parse(address), method, path, body=data,
        connect_timeout=CONNECT_TIMEOUT, idle_timeout=idle_timeout,
    )  # fmt: skip
    async with call:
        answer = await call.read()
    if call.status != 200:
        raise BackendRefused(call.status, answer.decode(errors="replace"))
    try:
        return json.loads(answer)
    except ValueError as error:
        raise BackendProtocolError(f"{address}: not JSON") from error


async def cancel(address: str, stream: str) -> bool:
    """Cancel a generation so that its memory comes back; False when that is not certain."""
    try:
        await control(address, "DELETE", f"/streams/{quote(stream, safe='')}")
    except BackendRefused as error:
        return error.status == 404
    except BackendError:
        return False
    return True


async def state(address: str, stream: str) -> StreamInfo | None:
    """Return what an engine says of a generation; None when it has none such."""
    try:
        raw = await control(address, "GET", f"/streams/{quote(stream, safe='')}/state")
    except BackendRefused:
        return None
    try:
        return StreamInfo(int(raw["readers"]), int(raw["generated"]), bool(raw["reason"]))
    except (KeyError, TypeError, ValueError) as error:
        raise BackendProtocolError(f"{address}: not a stream's state") from error


async def is_read(address: str, stream: str) -> bool:
    """Tell whether somebody reads a generation now; False when the engine does not say."""
    try:
        found = await state(address, stream)
    except BackendError:
        return False
    return found is not None and found.readers > 0


async def load(address: str) -> EngineLoad:
    """Return an engine's load report."""
    raw = await control(address, "GET", "/load")
    try:
        return EngineLoad(
            int(raw["running"]),
            int(raw["waiting"]),
            int(raw["memory_used"]),
            int(raw["memory_total"]),
            int(raw["preemptions"]),
            bool(raw.get("leaving", False)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise BackendProtocolError(f"{address}: not a load report") from error


@frozen
class CacheEvent:
    """A prompt prefix that an engine has stored in its cache, or removed from it."""

    prefix: int
    stored: bool


@frozen
class CacheEvents:
    """Some of an engine's cache events, and the number of the last."""

    events: tuple[CacheEvent, ...]
    last: int


async def cache_events(address: str, after: int) -> CacheEvents:
    """Return an engine's cache events after a number."""
    raw = await control(address, "GET", f"/events?after={after}")
    try:
        events = tuple(
            CacheEvent(int(event["prefix"]), event["kind"] == "stored") for event in raw["events"]
        )
        return CacheEvents(events, int(raw["last"]))
    except (KeyError, TypeError, ValueError) as error:
        raise BackendProtocolError(f"{address}: not cache events") from error


def wanted_from(raw: dict) -> Wanted:
    """Read what an engine has loaded; what it does not name is empty."""
    return Wanted(*(str(raw.get(name, "")) for name in ("model", "adapter", "version", "role")))


async def engine_state(address: str) -> EngineState:
    """Return what an engine has loaded now, and the highest fencing number it has seen."""
    raw = await control(address, "GET", "/orders")
    try:
        loaded = wanted_from(raw["loaded"])
        return EngineState(loaded, int(raw["fence"]), frozenset(raw["weights"]), raw["running"])
    except (KeyError, TypeError, ValueError) as error:
        raise BackendProtocolError(f"{address}: not an engine's state") from error


async def order(address: str, what: Order) -> Wanted:
    """Give an engine an order; returns what it has loaded afterwards.

    Raises
    ------
    BackendRefused
        With status 412 when the engine has seen a higher fencing number.
    """
    wanted = what.wanted
    load = {
        "model": wanted.model,
        "adapter": wanted.adapter,
        "version": wanted.version,
        "role": wanted.role,
    }
    body = {"fence": what.fence, "load": load}
    raw = await control(address, "POST", "/orders", body, ORDER_TIMEOUT)
    return wanted_from(raw.get("loaded", {}))
