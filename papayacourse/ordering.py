"""Checks the order and completeness of a stream's events and tracks link failures."""

import time
from collections.abc import Iterable, Iterator

from attrs import define, field

from papayacourse.engines import End, EngineEvent, Token
from papayacourse.exceptions import BackendError, BackendProtocolError, BackendSilent
from papayacourse.invariants import check

NO_TOKEN_TIMEOUT_SECONDS = 120.0  # the longest an engine may keep a generation without a token
REASONS = ("stop", "length")  # end reasons of a complete answer


class EngineLost(BackendError):
    """The engine no longer has the generation, or ended it early."""


class EngineDied(EngineLost):
    """The engine has stopped, or has restarted and lost the generation."""


class EngineUnreachable(EngineLost):
    """Links to the engine fail; it may still run the generation."""


@define
class Position:
    """The position of a relay in its stream: the offset of the next token."""

    offset: int = 0
    ended: bool = False


@define
class LinkFailures:
    """The link failures of an engine since its last event.

    Attributes
    ----------
    since : float or None
        Monotonic time in seconds of the first link failure.
    last_event : float
        Monotonic time in seconds of the last event.
    """

    tries: int = 0
    since: float | None = None
    last_event: float = field(factory=time.monotonic)
    why: str = ""

    def record_failure(self, error: BackendError) -> None:
        """Record a link failure."""
        self.why = str(error)
        if isinstance(error, BackendSilent):
            # The engine accepted this link, so it is alive; it may be out of memory.
            self.tries, self.since = 0, None
            return
        self.tries += 1
        if self.since is None:
            self.since = time.monotonic()

    def reset(self) -> None:
        """Clear the failures after an event."""
        self.tries, self.since = 0, None
        self.last_event = time.monotonic()

    def is_exhausted(self, limit: float) -> bool:
        """Return True if links fail for more than ``limit`` seconds or events are overdue."""
        now = time.monotonic()
        failing = now - self.since if self.since is not None else 0.0
        return failing > limit or now - self.last_event > NO_TOKEN_TIMEOUT_SECONDS


@define
class Written:
    """The events forwarded to the caller, tracked apart from the position as a check on it."""

    run_id: str
    next: int
    ended: bool = False

    def check_batch(self, run_id: str, batch: list[EngineEvent]) -> None:
        """Check a batch before it is forwarded: one generation, in order, a single end."""
        check(run_id == self.run_id, "one generation", was=self.run_id, now=run_id)
        for event in batch:
            check(not self.ended, "nothing after the end", stream=event.stream)
            check(event.offset == self.next, "in order", stream=event.stream, offset=event.offset)
            match event:
                case Token():
                    self.next += 1
                case End():
                    self.ended = True


def check_stream(events: Iterable[EngineEvent], stream: str) -> Iterator[EngineEvent]:
    """Yield a stream's events; raise BackendProtocolError for an event of another stream."""
    for event in events:
        if event.stream != stream:
            raise BackendProtocolError(f"an event of another stream on the link of {stream}")
        yield event


def deduplicate(events: Iterable[EngineEvent], position: Position) -> Iterator[EngineEvent]:
    """Yield each offset once and in order; drop duplicates and raise an error on a gap."""
    for event in events:
        if event.offset > position.offset:
            raise BackendProtocolError(
                f"offset {event.offset} came where {position.offset} is next"
            )
        if position.ended or event.offset < position.offset:
            continue
        match event:
            case Token():
                position.offset += 1
            case End(reason=reason) if reason not in REASONS:
                raise EngineLost(f"the engine ended the generation: {reason}")
            case End():
                position.ended = True
        yield event


def split_valid_events(
    raw: Iterable[EngineEvent], stream: str, position: Position
) -> tuple[list[EngineEvent], BackendError | None]:
    """Split the events of a link into the valid ones and the error that followed them."""
    batch: list[EngineEvent] = []
    try:
        for event in deduplicate(check_stream(raw, stream), position):
            batch.append(event)
    except BackendError as error:
        return batch, error
    return batch, None
