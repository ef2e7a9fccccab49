"""Limits retries to a share of the requests and spaces them by jittered back-off."""

import random

from attrs import define, field

from papayacourse.settings import ServiceSettings

MAX_CREDIT = 10.0  # retries; the initial credit and the largest burst
INITIAL_BACKOFF = 0.1  # seconds; upper bound of the delay before the first retry
MAX_BACKOFF = 2.0  # seconds


def jittered_backoff(number: int, base: float = INITIAL_BACKOFF) -> float:
    """Return a random delay before a retry, in seconds; its bound doubles with each attempt."""
    return random.uniform(0, min(MAX_BACKOFF, base * 2 ** max(0, number - 1)))


@define
class RetryBudget:
    """The retry budget of one service at this daemon.

    Each request adds a fraction of a retry to the credit, and each retry spends one. Even if
    everything fails, the load grows by no more than that fraction.

    Attributes
    ----------
    share : float
        Credit added by each request, in retries.
    limited : bool
        Whether the budget limits retries at all.
    """

    share: float
    limited: bool = True
    credit: float = MAX_CREDIT

    def add_credit(self) -> None:
        """Add the credit of a new request."""
        self.credit = min(MAX_CREDIT, self.credit + self.share)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the credit doesn't cover it."""
        if not self.limited:
            return True
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


@define
class RetryBudgets:
    """The retry budgets of all services, by (team, service)."""

    budgets: dict[tuple[str, str], RetryBudget] = field(factory=dict)

    def budget_for(self, team: str, service: str, settings: ServiceSettings) -> RetryBudget:
        """Return a service's budget, updated to its current settings."""
        budget = self.budgets.setdefault((team, service), RetryBudget(settings.retry_share))
        budget.share, budget.limited = settings.retry_share, settings.retry_budget
        return budget
