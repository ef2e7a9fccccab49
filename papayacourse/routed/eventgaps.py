"""Measures the gaps between a stream's events, and tells what probably made the longest one."""

import enum

from attrs import define


class GapCause(enum.StrEnum):
    """What held up an event."""

    MOVE = "move"  # to another engine, as planned
    ENGINE_LOST = "engine lost"  # the run continued elsewhere
    CALLER = "caller"  # read too slowly
    COPY = "copy"  # the engine was copying the run
    ENGINE = "engine"  # its pace, or other requests on it


@define
class EventGaps:
    """The longest gap between the events of one stream.

    Attributes
    ----------
    longest : float
        In seconds; 0 before the second event.
    cause : GapCause or None
        The probable cause of the longest gap; None before the second event.
    after : int
        The number of events before the longest gap.
    interruption : GapCause or None
        Why the run left its engine since the last event; None if it did not.
    events : int
        The number of events so far.
    arrived_at, written_at : float
        When the last event came and when the caller had taken it, in seconds of one clock.
    """

    longest: float = 0.0
    cause: GapCause | None = None
    after: int = 0
    interruption: GapCause | None = None
    events: int = 0
    arrived_at: float = 0.0
    written_at: float = 0.0

    def record_event(self, arrived_at: float, written_at: float, is_copying: bool) -> float:
        """Record an event; return the gap before it if its engine made it, in seconds.

        Returns 0 for the first event and for gaps of another cause.

        Parameters
        ----------
        is_copying : bool
            Whether the engine was copying the run when the event arrived.
        """
        gap = arrived_at - self.arrived_at if self.events else 0.0
        cause = self._cause(gap, is_copying)
        if gap > self.longest:
            self.longest, self.cause, self.after = gap, cause, self.events
        self.arrived_at, self.written_at, self.interruption = arrived_at, written_at, None
        self.events += 1
        return gap if cause == GapCause.ENGINE else 0.0

    def _cause(self, gap: float, is_copying: bool) -> GapCause:
        if self.interruption is not None:
            return self.interruption
        if self.written_at - self.arrived_at > gap / 2:
            return GapCause.CALLER
        return GapCause.COPY if is_copying else GapCause.ENGINE

    def log_fields(self) -> dict[str, object]:
        """Return the log fields of the longest gap; empty if there was none."""
        if self.cause is None:
            return {}
        return {
            "longest_gap": round(self.longest, 3),
            "gap_cause": str(self.cause),
            "gap_after": self.after,
        }
