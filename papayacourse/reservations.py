"""Keeps the promise of a Retry-After: who comes back at the time told is let in."""

from collections import deque
from itertools import takewhile

from attrs import define, field

LATENESS = 10.0  # seconds after its time in which a reservation is good
EARLINESS = 0.2  # seconds before it, for clocks and rounding
MAX_RETRY_AFTER = 60  # seconds
MIN_RETRY_AFTER = 1  # seconds; the header carries whole ones


@define
class Reservations:
    """Places in the queue promised to accounts whose requests were refused.

    Attributes
    ----------
    due : dict of str to deque of float
        By account: when its refused requests may come back, in seconds of the clock.
    """

    due: dict[str, deque[float]] = field(factory=dict)

    def book(self, account: str, now: float, excess: float, rate: float) -> float:
        """Promise a place, and return the time until it, in whole seconds.

        Parameters
        ----------
        excess : float
            By how much the expected wait is too long, in seconds.
        rate : float
            The places that the account gets each second.
        """
        self._drop_late(account, now)
        mine = self.due.setdefault(account, deque())
        after_last = mine[-1] - now + 1 / max(rate, 1 / MAX_RETRY_AFTER) if mine else 0.0
        seconds = int(max(MIN_RETRY_AFTER, -(-max(excess, after_last) // 1)))
        if seconds >= MAX_RETRY_AFTER:
            return float(MAX_RETRY_AFTER)
        # Kept unrounded, so that several may share a second in which that many places come free.
        mine.append(max(now + max(excess, 0.0), now + after_last))
        return float(seconds)

    def redeem(self, account: str, now: float) -> bool:
        """Take up the account's oldest reservation if it is due; tell whether there was one."""
        self._drop_late(account, now)
        mine = self.due.get(account)
        if not mine or mine[0] > now + EARLINESS:
            return False
        mine.popleft()
        if not mine:
            del self.due[account]
        return True

    def expected(self, account: str, now: float, within: float) -> int:
        """Return how many of an account's reservations fall due within a time, in seconds."""
        return sum(1 for at in self.due.get(account, ()) if at <= now + within)

    def due_soon(self, now: float, within: float) -> dict[str, int]:
        """Return by account how many may come back within a time, in seconds.

        Who has not come when the whole second told had passed is not counted on.
        """
        since, until = now - MIN_RETRY_AFTER, now + within
        found = {}
        for name, mine in self.due.items():
            count = sum(at >= since for at in takewhile(lambda at: at <= until, mine))
            if count:
                found[name] = count
        return found

    def _drop_late(self, account: str, now: float) -> None:
        mine = self.due.get(account)
        while mine and now - mine[0] > LATENESS:
            mine.popleft()
        if mine is not None and not mine:
            del self.due[account]

    def expire(self, now: float) -> None:
        """Forget the reservations that nobody took up."""
        for account in list(self.due):
            self._drop_late(account, now)
