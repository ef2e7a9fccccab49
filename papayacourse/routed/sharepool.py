"""One daemon's part of a server's limit: its own share of it, and the shares that others lend it.

A limit holds for all daemons together, also for daemons that do not hear each other. It is
therefore divided into one share for each daemon. A daemon sends within the shares that it holds,
and any share is held by one daemon at a time, so the sum keeps to the limit whoever hears whom.
"""

from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

# For all daemons together. A server allows 1.5 times its limit and 5 requests in 4 s; what is left
# is for requests that take differently long to arrive, and for a limit that falls.
BURST = 4.0  # requests that may be saved up
BURST_TIME = 0.25  # seconds of the limit's rate that may be saved up in addition
CREDIT = 1.0  # requests that save a run may be sent in advance
CREDIT_TIME = 0.5  # seconds of the limit's rate that they may be sent in advance in addition
# Replaces BURST_TIME, in seconds, where a daemon holds so few shares that it could send nothing.
SPREAD_TIME = 1.25
MIN_RATE = 0.1  # requests per second; answers tell whether a limit of 0 still holds
LOAN_TIME = 2.0  # seconds
NO_SHARES_WAIT = 1.0  # seconds
PROMISE_HORIZON = 2.0  # seconds; nobody is told to return for a later turn


@frozen
class Loan:
    """Shares lent to this daemon, until a time of the clock."""

    shares: int
    until: float


@frozen
class Debt:
    """Where the shares of this daemon are while it must not use them itself.

    Attributes
    ----------
    holder : str
        The daemon that holds them.
    incarnation : int
        The process of the holder, by its start time.
    until : float
        When they are surely free again, in seconds of the clock.
    from_domain : bool
        Whether the shares that other daemons lent to this one are among them.
    """

    holder: str
    incarnation: int
    until: float
    from_domain: bool


@frozen
class Turn:
    """Whether a request may be sent now, or when the next one may, and the time between them."""

    granted: bool
    wait: float = 0.0
    interval: float = 0.0


@define(eq=False)
class SharePool:
    """The shares of one server's limit that this daemon holds, as a token bucket.

    Attributes
    ----------
    daemons : callable
        Returns into how many shares the limit is divided.
    rate : float
        The server's limit, in requests per second.
    usable_from : float
        When this daemon's own share is free. The process before this one may have lent it.
    tokens : float
        Requests that may be sent now.
    updated_at : float
        When `tokens` was computed, in seconds of the clock.
    debt : Debt or None
        Where this daemon's share has been lent to.
    from_members, from_domains : dict of str to Loan
        The shares lent by daemons of this failure domain, and by whole other domains.
    promised : deque of float
        The turns for which refused callers were told to return, in seconds of the clock.
    """

    daemons: Callable[[], int]
    rate: float
    usable_from: float
    tokens: float = 0.0
    updated_at: float = 0.0
    debt: Debt | None = None
    from_members: dict[str, Loan] = field(factory=dict)
    from_domains: dict[str, Loan] = field(factory=dict)
    promised: deque[float] = field(factory=deque)

    # Queries.

    def owes(self, now: float) -> bool:
        """Return True if another daemon may be using this daemon's shares."""
        return self.debt is not None and self.debt.until > now

    def held(self, now: float) -> int:
        """Return the number of shares that this daemon may use."""
        own = now >= self.usable_from and not self.owes(now)
        members = 0 if self.owes(now) and self.debt.from_domain else count(self.from_members, now)
        return own + members + count(self.from_domains, now)

    def lendable(self, now: float, from_domain: bool) -> int:
        """Return how many shares this daemon can lend: its own, or all of its domain.

        Lending needs no wait after a start, since a new loan replaces that of the process before.
        """
        return 1 + count(self.from_members, now) if from_domain else 1

    def fraction(self, now: float) -> float:
        """Return the fraction of the limit that this daemon may use."""
        return min(1.0, self.held(now) / max(1, self.daemons()))

    def capacity(self, now: float) -> float:
        """Return how many requests may be saved up; below 1 nothing can be sent."""
        fraction = self.fraction(now)
        may_save_one = (BURST + SPREAD_TIME * self.rate) * fraction >= 1
        return max(float(may_save_one), (BURST + BURST_TIME * self.rate) * fraction)

    # Commands.

    def set_rate(self, rate: float, now: float) -> None:
        """Change the limit; what was saved up since the last request counts at the lower one."""
        raised = rate > self.rate
        if raised:
            self.refill(now)
        self.rate = rate
        self.refill(now)

    def restart(self, now: float) -> None:
        """Begin with nothing saved up, after a time without a limit."""
        self.tokens, self.updated_at = 0.0, now

    def refill(self, now: float) -> None:
        """Add what the shares have earned since the last update."""
        earned = (now - self.updated_at) * max(self.rate, MIN_RATE) * self.fraction(now)
        self.tokens = min(self.capacity(now), self.tokens + max(0.0, earned))
        self.updated_at = now

    def take(self, now: float, saves_run: bool = False) -> Turn:
        """Use one request of the limit, or tell when the next one can be sent.

        Each refused caller is told another turn, so that callers do not all return for one.

        Parameters
        ----------
        saves_run : bool
            Whether a run is lost without this request, which may then be sent in advance.
        """
        self.refill(now)
        while self.promised and self.promised[0] <= now:
            self.promised.popleft()
        credit = (CREDIT + CREDIT_TIME * self.rate) * self.fraction(now) if saves_run else 0.0
        if self.tokens + credit >= 1:
            self.tokens -= 1
            return Turn(True)
        if self.capacity(now) < 1:
            return Turn(False, NO_SHARES_WAIT, NO_SHARES_WAIT)
        interval = 1 / (max(self.rate, MIN_RATE) * self.fraction(now))
        wait = (1 - self.tokens + len(self.promised)) * interval
        if wait <= PROMISE_HORIZON:
            self.promised.append(now + wait)
        return Turn(False, wait, interval)

    def accept_loan(self, lender: str, shares: int, from_domain: bool, now: float) -> float:
        """Hold shares of another daemon, or return them if `shares` is 0.

        Returns
        -------
        float
            For how long the lender must not use them, in seconds.
        """
        self.refill(now)
        loans = self.from_domains if from_domain else self.from_members
        loans.pop(lender, None)
        if shares:
            loans[lender] = Loan(shares, now + LOAN_TIME)
            # Shares of this domain may be lent on just before their loan ends.
            return LOAN_TIME if from_domain else 2 * LOAN_TIME
        lent_on = self.owes(now) and self.debt.from_domain and not from_domain
        return self.debt.until - now if lent_on else 0.0

    def forget_ended(self, now: float) -> None:
        """Drop the loans that have ended."""
        for loans in (self.from_members, self.from_domains):
            for lender in [name for name, loan in loans.items() if loan.until <= now]:
                del loans[lender]


def count(loans: dict[str, Loan], now: float) -> int:
    """Return the shares of the loans that have not ended."""
    return sum(loan.shares for loan in loans.values() if loan.until > now)
