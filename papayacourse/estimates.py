"""Estimates the waiting times of the requests of one service."""

import math
import time
from collections.abc import Callable, Iterator

from attrs import define

from papayacourse.fairshare import FairQueue
from papayacourse.reservations import Reservations
from papayacourse.schedulingmessages import GrantRequest
from papayacourse.waits import Backlog, ReleaseRate

MIN_PROMISED_FRACTION = 0.25  # of the mean rate, which is promised at least
MAX_WAIT_FRACTION = 0.6  # of the wait limit, which an estimated wait may take


@define
class QueuedRequest:
    """A request in the queue; ``queued_at`` is in seconds of the monotonic clock."""

    daemon: str
    request: GrantRequest
    queued_at: float


@define(eq=False)
class WaitEstimator:
    """Estimates waits from the order of the queue and the rate at which places become free.

    Attributes
    ----------
    running : callable
        Returns the number of streams that run on the engines.
    engines : callable
        Returns the number of usable engines.
    """

    queue: FairQueue
    reservations: Reservations
    places: ReleaseRate
    backlog: Backlog
    running: Callable[[], int]
    engines: Callable[[], int]
    clock: Callable[[], float] = time.monotonic

    def rate(self, now: float) -> float:
        """Return the mean number of places that become free per second; 0 if unknown."""
        return self.places.per_second(self.running(), now)

    def expected_wait(self, priority: int = 0, account: str = "") -> float:
        """Estimate the wait of a new request of an account, in seconds."""
        if not len(self.queue):
            return 0.0
        now = self.clock()
        rate = self.rate(now)
        if not rate:
            return 0.0
        ahead = self.queue.ahead(priority, account, self.places.tokens)
        ahead += self.reservations.expected(account, now, ahead / rate)
        return (ahead + 1) / rate

    def needed_places(self, item: QueuedRequest, has_reservation: bool) -> int:
        """Return how many places must become free before a new request is served.

        Parameters
        ----------
        has_reservation : bool
            Whether it is a retry with a reservation, so that its place is already reserved.
        """
        generation = item.request.generation
        within = item.request.wait_limit * MAX_WAIT_FRACTION
        promised = {} if has_reservation else self.reservations.due_soon(self.clock(), within)
        account, cost = generation.account, self.places.tokens
        ahead = self.queue.ahead(generation.priority, account, cost, has_reservation, promised)
        # A request that needs several places needs them on the same engine.
        extra_places = (self.places.places_needed(generation.prompt_tokens) - 1) * self.engines()
        return ahead + 1 + extra_places

    def exceeds_limit(self, item: QueuedRequest, needed: int) -> bool:
        """Return True if a new request may exceed its wait limit.

        A request is admitted to the queue only if the places that nearly always become free in
        time suffice for all requests before it, including reservations of others.
        """
        now = self.clock()
        free = self.backlog.reliable_places(now)
        if free is None:
            free = (self.rate(now) or math.inf) * item.request.wait_limit * MAX_WAIT_FRACTION
        return needed > free

    def promised_rate(self, account: str, now: float) -> float:
        """Return the number of places per second that may be promised to an account."""
        mean, reliable = self.rate(now), self.backlog.reliable_places(now)
        if reliable is not None:
            mean = max(min(mean, reliable / self.backlog.window), mean * MIN_PROMISED_FRACTION)
        return mean * self.places.account_share(account, now, self.reservations.due)

    def expected_timeouts(self, now: float) -> Iterator[tuple[str, QueuedRequest, int]]:
        """Yield the requests that will not be served in time, and the number of places before each.

        The rate is that of the last window. The first request in the queue is never included.
        """
        rate = self.backlog.current_rate(now)
        if rate is None:
            return
        for before, (stream, item) in enumerate(self.queue.ranked(self.places.tokens)):
            remaining_wait = item.request.wait_limit - (now - item.queued_at)
            if before > rate * remaining_wait:
                yield stream, item, before
