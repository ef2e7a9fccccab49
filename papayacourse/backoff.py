"""How long to leave alone what has just failed."""

import random
import time

from attrs import define

MIN_BACKOFF = 0.25  # seconds
MAX_BACKOFF = 8.0  # seconds


@define
class Backoff:
    """How long to leave an address alone after it has failed.

    Attributes
    ----------
    until : float
        When it may be dialled again, in seconds of the monotonic clock.
    """

    delay: float = 0.0
    until: float = 0.0

    def fail(self) -> None:
        """Wait longer than the last time, by a random part so that many do not dial at once."""
        self.delay = min(MAX_BACKOFF, max(MIN_BACKOFF, self.delay * 2))
        self.until = time.monotonic() + self.delay * random.uniform(0.5, 1.5)
