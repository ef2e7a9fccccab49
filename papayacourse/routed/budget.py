"""Limits retries: each daemon uses its share of a service's fleet-wide retry budget."""

import time
from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from papayacourse import logs

SLACK_RESERVE = 0.2  # fraction of the slack left unused, since the daemons' windows don't coincide


@frozen
class RetryBudgetLimits:
    """The retries that a service may get in a window from all daemons together.

    Attributes
    ----------
    ratio : float
        Allowed retries per request in the window.
    slack : float
        Retries allowed in addition.
    window : float
        The window's length, in seconds.
    """

    ratio: float = 0.1
    slack: float = 10.0
    window: float = 10.0


@define
class ServiceCounts:
    """The times of a service's recent requests and retries."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)

    def forget(self, before: float) -> None:
        """Drop the times before a given one."""
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


@define(eq=False)
class FleetRetryBudget:
    """Keeps this daemon within its share, so that daemons need not exchange their counts.

    A daemon may retry a fraction of its own requests, and has an equal share of the slack.

    Attributes
    ----------
    limits : RetryBudgetLimits
        The limits for all daemons together.
    daemons : callable
        Returns the number of daemons, including dead ones that may come back.
    services : dict of str to ServiceCounts
        The recent requests and retries of each service, by its name.
    """

    limits: RetryBudgetLimits
    daemons: Callable[[], int]
    clock: Callable[[], float] = time.monotonic
    services: dict[str, ServiceCounts] = field(factory=dict)

    def _counts(self, service: str) -> ServiceCounts:
        counts = self.services.setdefault(service, ServiceCounts())
        counts.forget(self.clock() - self.limits.window)
        return counts

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        self._counts(service).requests.append(self.clock())

    def remaining(self, service: str) -> float:
        """Return how many retries this daemon may still send now."""
        counts = self._counts(service)
        slack = self.limits.slack * (1 - SLACK_RESERVE) / max(1, self.daemons())
        return len(counts.requests) * self.limits.ratio + slack - len(counts.retries)

    def try_spend(self, service: str, why: str) -> bool:
        """Use one retry of the budget; returns False if none is left."""
        left = self.remaining(service)
        if left < 1:
            logs.warning("retry budget exhausted", service=service, why=why, left=round(left, 2))
            return False
        self._counts(service).retries.append(self.clock())
        return True
