"""Estimates the waits of the requests of one service."""

import math
import time
from collections.abc import Callable, Iterator

from attrs import define

from papayacourse.fairshare import FairQueue
from papayacourse.reservations import Reservations
from papayacourse.schedulingmessages import GrantRequest
from papayacourse.waits import Backlog, ReleaseRate

LEAST_STEADINESS = 0.25  # part of the mean pace that is promised at least
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
    engines : callable
        Returns how many engines can be used.
    """

    queue: FairQueue
    reservations: Reservations
    places: ReleaseRate
    backlog: Backlog
    running: Callable[[], int]
    engines: Callable[[], int]
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

    def needed(self, item: Waiting, returns: bool) -> int:
        """Return how many places must come free until a new request is served.

        Parameters
        ----------
        returns : bool
            Whether it comes back when told, so that its place is one of those promised.
        """
        generation = item.request.generation
        within = item.request.wait_limit * WAIT_SAFETY
        promised = {} if returns else self.reservations.due_soon(self.clock(), within)
        account, cost = generation.account, self.places.tokens
        ahead = self.queue.ahead(generation.priority, account, cost, returns, promised)
        # What takes several places finds them free on one engine only.
        alone = (self.places.places_needed(generation.prompt_tokens) - 1) * self.engines()
        return ahead + 1 + alone

    def too_long(self, item: Waiting, needed: int) -> bool:
        """Tell whether a new request may wait too long for so many places.

        It is let in only if the places that nearly always come free in time are enough for
        all that go before it, those promised to others included.
        """
        now = self.clock()
        free = self.backlog.reliable_places(now)
        if free is None:
            free = (self.rate(now) or math.inf) * item.request.wait_limit * WAIT_SAFETY
        return needed > free

    def promised_rate(self, account: str, now: float) -> float:
        """Return the places a second that may be promised to an account."""
        mean, sure = self.rate(now), self.backlog.reliable_places(now)
        if sure is not None:
            mean = max(min(mean, sure / self.backlog.window), mean * LEAST_STEADINESS)
        return mean * self.places.account_share(account, now, self.reservations.due)

    def hopeless(self, now: float) -> Iterator[tuple[str, Waiting, int]]:
        """Yield who waits for a place that will not come in time, and the places before it.

        The pace is that of the last window; the first in the queue may always hope.
        """
        rate = self.backlog.current_rate(now)
        if rate is None:
            return
        for before, (stream, item) in enumerate(self.queue.ranked(self.places.tokens)):
            left = item.request.wait_limit - (now - item.since)
            if before > rate * left:
                yield stream, item, before
