"""Limits retries to a share of the requests, and spreads them in time."""

import random

from attrs import define, field

from papayacourse.settings import ServiceSettings

RESERVE = 10.0  # retries that a service may make at once, before requests have earned any
BACKOFF = 0.1  # seconds, the longest pause before the first retry
MAX_BACKOFF = 2.0  # seconds


def jittered_backoff(number: int, base: float = BACKOFF) -> float:
    """Return the pause before a retry, in seconds: random, and longer for each one in a row."""
    return random.uniform(0, min(MAX_BACKOFF, base * 2 ** max(0, number - 1)))


@define
class RetryBudget:
    """The retries that one service has left at this daemon.

    Each request earns a share of a retry and each retry costs a whole one, so that when everything
    fails the load grows by that share and no more.

    Attributes
    ----------
    share : float
        Retries earned by a request.
    limited : bool
        Whether a retry has to be paid for at all.
    """

    share: float
    limited: bool = True
    left: float = RESERVE

    def add_credit(self) -> None:
        """Count a new request."""
        self.left = min(RESERVE, self.left + self.share)

    def try_spend(self) -> bool:
        """Pay for a retry; False when there is nothing left to pay with."""
        if not self.limited:
            return True
        if self.left < 1:
            return False
        self.left -= 1
        return True


@define
class RetryBudgets:
    """The budgets of every service, by (team, service)."""

    budgets: dict[tuple[str, str], RetryBudget] = field(factory=dict)

    def of(self, team: str, service: str, settings: ServiceSettings) -> RetryBudget:
        """Return a service's budget, as its settings want it now."""
        budget = self.budgets.setdefault((team, service), RetryBudget(settings.retry_share))
        budget.share, budget.limited = settings.retry_share, settings.retry_budget
        return budget
