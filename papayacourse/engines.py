"""Client for model engines; the only module that knows their wire format."""

import json
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from urllib.parse import quote

from attrs import frozen

from papayacourse import jsontext
from papayacourse.eventprogress import MAX_EVENT_BYTES, EventProgress
from papayacourse.exceptions import (
    BackendError,
    BackendProtocolError,
    BackendRefused,
)
from papayacourse.httpcall import MAX_READ_BYTES, HttpCall
from papayacourse.types import Address, GenerationRequest

CONNECT_TIMEOUT = 1.0  # seconds
SILENCE_TIMEOUT = 5.0  # seconds without an event before the link counts as stalled
CONTROL_TIMEOUT = 2.0  # seconds
ORDER_TIMEOUT = 3.0  # seconds, including loading from the weight store
MAX_DETAIL_BYTES = 4096  # of the text of a refusal; only messages show it
MAX_CONTROL_BYTES = 1024 * 1024  # of the answer to a control request
MAX_COUNT = 1 << 53  # of requests, tokens or milliseconds
MAX_DIGITS = 15  # of a count that is a text
GENERATION_HEADER = "X-Generation"  # identifies one run of a generation uniquely


@frozen
class Token:
    """One piece of output: its zero-based offset in the stream and its text."""

    stream: str
    offset: int
    text: str


@frozen
class End:
    """The end of the output: the number of tokens and the reason (``stop`` or ``length``)."""

    stream: str
    offset: int
    reason: str


EngineEvent = Token | End


@frozen
class StreamInfo:
    """The state of one generation as its engine reports it."""

    readers: int
    generated: int
    ended: bool


@frozen
class EngineLoad:
    """A load report of an engine; it may lag behind the actual load."""

    running: int
    waiting: int
    memory_used: int
    memory_total: int
    preemptions: int
    leaving: bool


@frozen
class LoadSpec:
    """The model that an engine has loaded or must load, and the engine's role."""

    model: str
    adapter: str
    version: str
    role: str

    @property
    def weights(self) -> str:
        """Return the name of the weights in the weight store."""
        return "@".join(part for part in (self.model, self.adapter, self.version) if part)


@frozen
class Order:
    """An order to load a model, with the fencing token of the sender."""

    fence: int
    load_spec: LoadSpec


@frozen
class EngineState:
    """The current state of an engine, read on request and without lag.

    Attributes
    ----------
    weights : frozenset of str
        The weights available on the engine, loaded or not.
    running : int
        Number of streams, including waiting ones.
    """

    loaded: LoadSpec
    fence: int
    weights: frozenset[str]
    running: int


def split_events(buffer: bytearray) -> Iterator[bytes]:
    """Yield the complete server-sent events of a buffer and remove them from it."""
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
    """Parse server-sent events into tokens and ends; comments are skipped."""
    for event in events:
        data = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
        if not data:
            continue
        try:
            # Exactly: what is generated reaches the caller unaltered, or the stream breaks off.
            yield read_event(jsontext.parse_exact(b"\n".join(data)))
        except ValueError as error:
            raise BackendProtocolError(f"not an event of an engine: {error}") from error


def read_event(raw: object) -> EngineEvent:
    """Decode an event; raises ValueError if it is neither a token nor an end."""
    match raw:
        case {"offset": bool()}:
            pass
        case {"stream": str(stream), "offset": int(offset), "text": str(text)}:
            return Token(stream, offset, text)
        case {"text": _}:
            pass
        case {"stream": str(stream), "offset": int(offset), "reason": str(reason)}:
            return End(stream, offset, reason)
    raise ValueError("neither a token nor an end")


class EngineStream:
    """An open stream from an engine; use it as an asynchronous context manager.

    Parameters
    ----------
    address : str
        The engine's ``host:port``.
    generation : GenerationRequest
        The request.
    resume_at : int or None
        The next offset to read of a running generation; None starts a new one.
    count : callable
        Called with the size in bytes of the request body and of each received chunk.
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
                detail = await read_detail(self.call)
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
        """Return the ID of this run of the generation; empty if the engine sends none."""
        return self.call.headers.get(GENERATION_HEADER, "")

    async def batches(self) -> AsyncIterator[list[EngineEvent]]:
        """Yield the events of each chunk that completes at least one event."""
        buffer, event_progress = bytearray(), EventProgress(SILENCE_TIMEOUT)
        async for chunk in self.call.chunks():
            self.count(len(chunk))
            buffer += chunk
            batch = list(parse_events(split_events(buffer)))
            event_progress.record_data(len(chunk), bool(batch))
            if batch:
                yield batch


async def read_detail(call: HttpCall) -> str:
    """Return the text of a refusal, or its beginning; raises BackendLinkLost."""
    return (await call.read_start(MAX_DETAIL_BYTES)).decode(errors="replace")


def read_fields(answer: bytes, origin: str) -> dict:
    """Decode an engine's JSON answer; raises BackendProtocolError if it is not an object."""
    try:
        return jsontext.parse_object(answer)
    except ValueError as error:
        raise BackendProtocolError(f"{origin}: {error}") from error


def read_count(value: object) -> int:
    """Return a count; raises ValueError for anything else, also for one of absurd size."""
    if isinstance(value, str) and value.isdecimal() and len(value) <= MAX_DIGITS:
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{type(value).__name__} is not a count")
    if not 0 <= value <= MAX_COUNT:
        raise ValueError("a count is out of range")
    return int(value)


async def control(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    idle_timeout: float = CONTROL_TIMEOUT,
    max_bytes: int = MAX_CONTROL_BYTES,
) -> dict:
    """Send a control request to an engine and return its JSON response."""
    data = json.dumps(body).encode() if body is not None else b""
    call = HttpCall(
        Address.parse(address), method, path, body=data,
        connect_timeout=CONNECT_TIMEOUT, idle_timeout=idle_timeout,
    )  # fmt: skip
    async with call:
        if call.status != 200:
            raise BackendRefused(call.status, await read_detail(call))
        answer = await call.read(max_bytes)
    return read_fields(answer, f"{address} {path}")


async def cancel(address: str, stream: str) -> bool:
    """Cancel a generation to free its memory; return False if the outcome is unknown."""
    try:
        await control(address, "DELETE", f"/streams/{quote(stream, safe='')}")
    except BackendRefused as error:
        return error.status == 404
    except BackendError:
        return False
    return True


async def state(address: str, stream: str) -> StreamInfo | None:
    """Return the state of a generation, or None if the engine does not have it."""
    try:
        raw = await control(address, "GET", f"/streams/{quote(stream, safe='')}/state")
    except BackendRefused:
        return None
    try:
        counts = read_count(raw["readers"]), read_count(raw["generated"])
        return StreamInfo(*counts, bool(raw["reason"]))
    except (KeyError, ValueError) as error:
        raise BackendProtocolError(f"{address}: not a stream's state") from error


async def has_readers(address: str, stream: str) -> bool:
    """Return True if a generation has readers; False if it has none or the engine fails."""
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
            read_count(raw["running"]),
            read_count(raw["waiting"]),
            read_count(raw["memory_used"]),
            read_count(raw["memory_total"]),
            read_count(raw["preemptions"]),
            bool(raw.get("leaving", False)),
        )
    except (KeyError, ValueError) as error:
        raise BackendProtocolError(f"{address}: not a load report") from error


@frozen
class CacheEvent:
    """A prompt prefix that an engine stored in its cache or removed from it."""

    prefix: int
    stored: bool


@frozen
class CacheEvents:
    """A batch of an engine's cache events and the number of the last one."""

    events: tuple[CacheEvent, ...]
    last: int


async def cache_events(address: str, after: int) -> CacheEvents:
    """Return an engine's cache events that follow a given event number."""
    raw = await control(address, "GET", f"/events?after={after}", max_bytes=MAX_READ_BYTES)
    try:
        events = tuple(map(read_cache_event, raw["events"]))
        return CacheEvents(events, read_count(raw["last"]))
    except (KeyError, TypeError, ValueError) as error:
        raise BackendProtocolError(f"{address}: not cache events") from error


def read_cache_event(raw: object) -> CacheEvent:
    """Decode a cache event; raises ValueError for anything else."""
    match raw:
        case {"prefix": int(prefix), "kind": str(kind)}:
            return CacheEvent(prefix, kind == "stored")
    raise ValueError("not a cache event")


def parse_load_spec(raw: object) -> LoadSpec:
    """Parse what an engine has loaded; fields that are missing or no text become empty strings.

    Raises
    ------
    ValueError
        If it is not an object.
    """
    if not isinstance(raw, dict):
        raise ValueError("what is loaded is not an object")
    fields = (raw.get(name) for name in ("model", "adapter", "version", "role"))
    return LoadSpec(*(value if isinstance(value, str) else "" for value in fields))


async def engine_state(address: str) -> EngineState:
    """Return what an engine has loaded and the highest fencing token it has seen."""
    raw = await control(address, "GET", "/orders")
    try:
        loaded, fence = parse_load_spec(raw["loaded"]), read_count(raw["fence"])
        weights = frozenset(name for name in raw["weights"] if isinstance(name, str))
        return EngineState(loaded, fence, weights, read_count(raw["running"]))
    except (KeyError, TypeError, ValueError) as error:
        raise BackendProtocolError(f"{address}: not an engine's state") from error


async def order(address: str, what: Order) -> LoadSpec:
    """Send an order to an engine and return what it has loaded afterwards.

    Raises
    ------
    BackendRefused
        With status 412 if the engine has seen a higher fencing token.
    """
    load_spec = what.load_spec
    load = {
        "model": load_spec.model,
        "adapter": load_spec.adapter,
        "version": load_spec.version,
        "role": load_spec.role,
    }
    body = {"fence": what.fence, "load": load}
    raw = await control(address, "POST", "/orders", body, ORDER_TIMEOUT)
    try:
        return parse_load_spec(raw.get("loaded", {}))
    except ValueError as error:
        raise BackendProtocolError(f"{address}: not an answer to an order") from error
