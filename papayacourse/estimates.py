"""Estimates the waits of the requests of one service."""

import math
import time
from collections.abc import Callable, Iterator

from attrs import define

from papayacourse.fairshare import FairQueue
from papayacourse.reservations import Reservations
from papayacourse.schedulingmessages import GrantRequest
from papayacourse.waits import Backlog, PlaceRate

WAIT_SAFETY = 0.6  # part of the wait limit that an estimated wait may take


@define
class Waiting:
    """A request in the queue."""

    daemon: str
    request: GrantRequest
    since: float


@define(eq=False)
class Waits:
    """Who goes before whom, and how fast places come free.

    Attributes
    ----------
    running : callable
        Returns how many streams the engines run.
    """

    queue: FairQueue
    reservations: Reservations
    places: PlaceRate
    backlog: Backlog
    running: Callable[[], int]
    clock: Callable[[], float] = time.monotonic

    def rate(self, now: float) -> float:
        """Return the places that come free each second on average; 0 if unknown."""
        return self.places.per_second(self.running(), now)

    def expected(self, priority: int = 0, account: str = "") -> float:
        """Estimate how long a new request of an account waits, in seconds."""
        if not len(self.queue):
            return 0.0
        now = self.clock()
        rate = self.rate(now)
        if not rate:
            return 0.0
        ahead = self.queue.ahead(priority, account, self.places.tokens)
        ahead += self.reservations.expected(account, now, ahead / rate)
        return (ahead + 1) / rate

    def sure(self, priority: int, account: str) -> float:
        """Return the wait that a new request of an account nearly always stays below."""
        expected = self.expected(priority, account)
        rate = self.backlog.sure_rate()
        if not len(self.queue) or rate is None:
            return expected
        ahead = self.queue.ahead(priority, account, self.places.tokens)
        return max(expected, (ahead + 1) / rate if rate else math.inf)

    def too_long(self, item: Waiting, returns: bool) -> bool:
        """Tell whether a new request would wait too long.

        Parameters
        ----------
        returns : bool
            Whether it comes back when told: it is let in, unless it would be refused at the
            next look.
        """
        generation, limit = item.request.generation, item.request.wait_limit
        if not returns:
            return self.sure(generation.priority, generation.account) > limit * WAIT_SAFETY
        rate = self.backlog.rate_now(self.clock())
        cost = self.places.tokens
        ahead = self.queue.ahead(generation.priority, generation.account, cost, first=True)
        return rate is not None and ahead > rate * limit

    def hopeless(self, now: float) -> Iterator[tuple[str, Waiting, float]]:
        """Yield who waits for a place that will not come in time, and the wait until it does.

        The pace is that of the last window; the first in the queue may always hope.
        """
        rate = self.backlog.rate_now(now)
        if rate is None:
            return
        for before, (stream, item) in enumerate(self.queue.ranked(self.places.tokens)):
            left = item.request.wait_limit - (now - item.since)
            if before > rate * left:
                yield stream, item, before / rate if rate else item.request.wait_limit
