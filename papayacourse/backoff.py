"""Exponential back-off between attempts to connect to an address."""

import random
import time

from attrs import define

MIN_BACKOFF = 0.25  # seconds
MAX_BACKOFF = 8.0  # seconds


@define
class Backoff:
    """The back-off of one address after failed connections.

    Attributes
    ----------
    until : float
        The earliest time of the next attempt, in seconds of the monotonic clock.
    """

    delay: float = 0.0
    until: float = 0.0

    def record_failure(self) -> None:
        """Double the delay; random jitter keeps many daemons from connecting at once."""
        self.delay = min(MAX_BACKOFF, max(MIN_BACKOFF, self.delay * 2))
        self.until = time.monotonic() + self.delay * random.uniform(0.5, 1.5)
