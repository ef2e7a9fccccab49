"""When a planned stop ends, on the monotonic clock."""

import time
from collections.abc import Callable

from attrs import define


@define(eq=False)
class StopDeadline:
    """The time that a planned stop leaves for requests.

    Attributes
    ----------
    asked_at : float or None
        When the daemon was asked to stop; None before.
    ends_at : float or None
        When requests that are still in progress are ended.
    """

    clock: Callable[[], float] = time.monotonic
    asked_at: float | None = None
    ends_at: float | None = None

    def begin(self, seconds: float) -> None:
        """Record that the daemon is asked to stop, and has so many seconds for requests."""
        self.asked_at = self.clock()
        self.ends_at = self.asked_at + seconds

    def time_left(self) -> float:
        """Return the seconds until requests are ended; infinite unless the daemon stops."""
        return float("inf") if self.ends_at is None else self.ends_at - self.clock()

    def log_fields(self) -> dict[str, float]:
        """Return how far a stop is, for log lines; nothing unless the daemon stops."""
        if self.asked_at is None:
            return {}
        seconds = self.clock() - self.asked_at
        return {"stopping_for": round(seconds, 3), "stop_left": round(self.time_left(), 3)}
