"""Keeps one stream's events in order and whole, and judges the links they come over."""

import time
from collections.abc import Iterable, Iterator

from attrs import define, field

from papayacourse.engines import End, EngineEvent, Token
from papayacourse.exceptions import BackendError, BackendProtocolError, BackendSilent
from papayacourse.invariants import check

NO_TOKEN_LIMIT = 120.0  # seconds that an engine may hold a generation without a token
REASONS = ("stop", "length")  # ends that are the whole answer


class EngineLost(BackendError):
    """The engine no longer has the generation, or not to its end."""


class EngineDied(EngineLost):
    """The engine has ended, or has started anew and forgotten the generation."""


class EngineOutOfReach(EngineLost):
    """The engine's links fail; it may still run the generation."""


@define
class Position:
    """Where a relay stands in its stream: the offset of the next token."""

    offset: int = 0
    ended: bool = False


@define
class Trouble:
    """The failures of an engine's links since its last event.

    Attributes
    ----------
    since : float or None
        When the links began to fail, in seconds of the monotonic clock.
    last_event : float
        When the last event came.
    """

    tries: int = 0
    since: float | None = None
    last_event: float = field(factory=time.monotonic)
    why: str = ""

    def note(self, error: BackendError) -> None:
        """Count a failure."""
        self.why = str(error)
        if isinstance(error, BackendSilent):
            # It answered at the start of this link, so it lives, and may be out of memory.
            self.tries, self.since = 0, None
            return
        self.tries += 1
        if self.since is None:
            self.since = time.monotonic()

    def over(self) -> None:
        """Note that an event has come."""
        self.tries, self.since = 0, None
        self.last_event = time.monotonic()

    def too_long(self, limit: float) -> bool:
        """Tell whether the links have failed for the limit, or no event came for too long."""
        now = time.monotonic()
        failing = now - self.since if self.since is not None else 0.0
        return failing > limit or now - self.last_event > NO_TOKEN_LIMIT


@define
class Written:
    """What has been passed on to the caller, kept apart from the position to check it."""

    run_id: str
    next: int
    ended: bool = False

    def note(self, run_id: str, batch: list[EngineEvent]) -> None:
        """Check a batch that is about to be passed on: one generation, in order, one end."""
        check(run_id == self.run_id, "one generation", was=self.run_id, now=run_id)
        for event in batch:
            check(not self.ended, "nothing after the end", stream=event.stream)
            check(event.offset == self.next, "in order", stream=event.stream, offset=event.offset)
            match event:
                case Token():
                    self.next += 1
                case End():
                    self.ended = True


def own_events(events: Iterable[EngineEvent], stream: str) -> Iterator[EngineEvent]:
    """Pass on a stream's own events; another's means that the connection is crossed."""
    for event in events:
        if event.stream != stream:
            raise BackendProtocolError(f"an event of another stream on the link of {stream}")
        yield event


def in_order(events: Iterable[EngineEvent], position: Position) -> Iterator[EngineEvent]:
    """Pass on each offset once and in order; duplicates are dropped, a gap is an error."""
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


def good_part(
    raw: Iterable[EngineEvent], stream: str, position: Position
) -> tuple[list[EngineEvent], BackendError | None]:
    """Split what came on a link into the events to pass on and the fault that followed them."""
    batch: list[EngineEvent] = []
    try:
        for event in in_order(own_events(raw, stream), position):
            batch.append(event)
    except BackendError as error:
        return batch, error
    return batch, None
