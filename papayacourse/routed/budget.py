"""Limits retries: each daemon has its part of what all together may send to a service again."""

import time
from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from papayacourse import logs

KEPT_FREE = 0.2  # part of the slack left unused, since daemons count by clocks of their own


@frozen
class BudgetLimits:
    """How many repeated sends a service may get in a window, over all daemons.

    Attributes
    ----------
    ratio : float
        Part of the window's requests that may be sent again.
    slack : float
        Sends allowed besides.
    window : float
        The window's length, in seconds.
    """

    ratio: float = 0.1
    slack: float = 10.0
    window: float = 10.0


@define
class Counts:
    """When a service's requests came and were sent again lately."""

    requests: deque[float] = field(factory=deque)
    repeats: deque[float] = field(factory=deque)

    def forget(self, before: float) -> None:
        """Drop what lies before a moment."""
        for moments in (self.requests, self.repeats):
            while moments and moments[0] < before:
                moments.popleft()


@define(eq=False)
class FleetBudget:
    """Keeps this daemon within its part, so that daemons need not hear each other.

    A daemon may repeat a share of its own requests, and has an even part of the slack.

    Attributes
    ----------
    limits : BudgetLimits
        What all daemons may do together.
    daemons : callable
        Returns how many daemons there are, dead ones that may come back included.
    """

    limits: BudgetLimits
    daemons: Callable[[], int]
    clock: Callable[[], float] = time.monotonic
    services: dict[str, Counts] = field(factory=dict)

    def _counts(self, service: str) -> Counts:
        counts = self.services.setdefault(service, Counts())
        counts.forget(self.clock() - self.limits.window)
        return counts

    def note_request(self, service: str) -> None:
        """Count a caller's request."""
        self._counts(service).requests.append(self.clock())

    def left(self, service: str) -> float:
        """Return how many sends this daemon may still repeat now."""
        counts = self._counts(service)
        slack = self.limits.slack * (1 - KEPT_FREE) / max(1, self.daemons())
        return len(counts.requests) * self.limits.ratio + slack - len(counts.repeats)

    def take(self, service: str, why: str) -> bool:
        """Pay for sending a request again; False when nothing is left."""
        left = self.left(service)
        if left < 1:
            logs.warning("retry not paid for", service=service, why=why, left=round(left, 2))
            return False
        self._counts(service).repeats.append(self.clock())
        return True
