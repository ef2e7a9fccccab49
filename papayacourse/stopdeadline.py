"""Bounds the time of requests by the end of a planned stop."""

import asyncio
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define, field

from papayacourse.exceptions import RequestRefused, StopExpired
from papayacourse.types import Ran

CANCEL_INTERVAL = 0.02  # seconds
RETRY_AFTER = 1.0  # seconds; another daemon can serve the request at once
SPARE = 0.2  # seconds that a request must need less than a planned stop leaves
EXPIRED = "the daemon stops, and no time is left"


@define(eq=False)
class StopDeadline:
    """The time that a planned stop leaves for requests.

    Attributes
    ----------
    asked_at : float or None
        When the daemon was asked to stop; None before.
    ends_at : float or None
        When requests that are still in progress are ended.
    is_expired : bool
        Whether they have been ended.
    tasks : set of asyncio.Task
        The tasks that serve requests and are not yet ended.
    on_expire : callable
        Called when requests are ended.
    """

    clock: Callable[[], float] = time.monotonic
    asked_at: float | None = None
    ends_at: float | None = None
    is_expired: bool = False
    tasks: set[asyncio.Task] = field(factory=set)
    on_expire: Callable[[], None] = lambda: None

    def begin(self, seconds: float) -> None:
        """Record that the daemon is asked to stop, and has so many seconds for requests."""
        self.asked_at = self.clock()
        self.ends_at = self.asked_at + seconds

    def time_left(self) -> float:
        """Return the seconds until requests are ended; infinite unless the daemon stops."""
        return float("inf") if self.ends_at is None else self.ends_at - self.clock()

    def check_begin(self, seconds: float) -> None:
        """Raise StopExpired if the stop leaves too little time for a request that takes so long."""
        if seconds + SPARE > self.time_left():
            raise StopExpired("the daemon stops, and too little time is left")

    @contextmanager
    def bound(self) -> Iterator[None]:
        """Bound the time of the request that this task serves.

        Raises
        ------
        StopExpired
            When the stop leaves no more time.
        """
        if self.is_expired:
            raise StopExpired(EXPIRED)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            yield
        except asyncio.CancelledError as error:
            if not self.is_expired:
                raise
            raise StopExpired(EXPIRED, has_begun=True) from error
        finally:
            self.tasks.discard(task)

    async def expire(self) -> None:
        """End all requests in progress, and refuse those that still come."""
        self.is_expired = True
        self.on_expire()
        while self.tasks:
            # Repeated, since a cancellation may get lost (see `cancel_all`).
            for task in self.tasks:
                task.cancel()
            await asyncio.sleep(CANCEL_INTERVAL)

    def log_fields(self) -> dict[str, float]:
        """Return how far a stop is, for log lines; nothing unless the daemon stops."""
        if self.asked_at is None:
            return {}
        seconds = self.clock() - self.asked_at
        return {"stopping_for": round(seconds, 3), "stop_left": round(self.time_left(), 3)}


def stop_refusal(expired: StopExpired, may_have_run: bool) -> RequestRefused:
    """Return the refusal of a request for which a planned stop leaves no more time."""
    if may_have_run:
        return RequestRefused(504, "stopping", str(expired), Ran.UNKNOWN)
    return RequestRefused(503, "stopping", str(expired), retry_after=RETRY_AFTER)
