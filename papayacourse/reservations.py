"""Reserves queue places for refused requests that are retried after their Retry-After."""

from collections import deque
from itertools import takewhile

from attrs import define, field

MAX_LATENESS = 10.0  # seconds after its due time until a reservation expires
MAX_EARLINESS = 0.2  # seconds before its due time; allows for clock skew and rounding
MAX_RETRY_AFTER = 60  # seconds
MIN_RETRY_AFTER = 1  # seconds; the header holds whole seconds


@define
class Reservations:
    """Queue places reserved for accounts whose requests were refused.

    Attributes
    ----------
    due : dict of str to deque of float
        By account: when its refused requests may be retried, in seconds of the clock.
    """

    due: dict[str, deque[float]] = field(factory=dict)

    def reserve(self, account: str, now: float, excess: float, rate: float) -> float:
        """Reserve a place and return the time until it is due, in whole seconds.

        Parameters
        ----------
        excess : float
            The time by which the expected wait exceeds the limit, in seconds.
        rate : float
            The places that the account gets per second.
        """
        self._drop_late(account, now)
        times = self.due.setdefault(account, deque())
        after_last = times[-1] - now + 1 / max(rate, 1 / MAX_RETRY_AFTER) if times else 0.0
        seconds = int(max(MIN_RETRY_AFTER, -(-max(excess, after_last) // 1)))
        if seconds >= MAX_RETRY_AFTER:
            return float(MAX_RETRY_AFTER)
        # Not rounded, so that reservations share a second in which enough places are released.
        times.append(max(now + max(excess, 0.0), now + after_last))
        return float(seconds)

    def redeem(self, account: str, now: float) -> bool:
        """Use the account's oldest reservation; return False if none is due."""
        self._drop_late(account, now)
        times = self.due.get(account)
        if not times or times[0] > now + MAX_EARLINESS:
            return False
        times.popleft()
        if not times:
            del self.due[account]
        return True

    def expected(self, account: str, now: float, within: float) -> int:
        """Return the number of an account's reservations due within a time in seconds."""
        return sum(1 for at in self.due.get(account, ()) if at <= now + within)

    def due_soon(self, now: float, within: float) -> dict[str, int]:
        """Return by account the number of reservations due within a time in seconds.

        Those overdue by more than MIN_RETRY_AFTER are not counted, since Retry-After is rounded up
        by less than that.
        """
        since, until = now - MIN_RETRY_AFTER, now + within
        found = {}
        for name, times in self.due.items():
            count = sum(at >= since for at in takewhile(lambda at: at <= until, times))
            if count:
                found[name] = count
        return found

    def _drop_late(self, account: str, now: float) -> None:
        times = self.due.get(account)
        while times and now - times[0] > MAX_LATENESS:
            times.popleft()
        if times is not None and not times:
            del self.due[account]

    def expire(self, now: float) -> None:
        """Drop the reservations that were not used in time."""
        for account in list(self.due):
            self._drop_late(account, now)
