"""Tells an outage of the platform's store from a call that failed or a watch that was cut.

While the store is away, entries of servers expire although the servers are alive. What the store
lists just after its return may therefore be old. A single call that ended early says nothing of
that kind: the store may answer the next one at once, and may have changed its entries meanwhile.
"""

import math
import time
from collections.abc import Callable

from attrs import define

from papayacourse import logs

# Seconds without any answer from which the store has been away. Servers renew their entries often
# enough that none expires in less, and a watch that waits in vain is answered sooner.
MIN_OUTAGE = 2.0
RETURN_GRACE = 2.2  # seconds after the store's return in which servers renew expired entries


@define(eq=False)
class StoreContact:
    """Tracks when the store answered, and when it was last away.

    Attributes
    ----------
    is_failing : bool
        Whether the last call failed. That alone doesn't show that the store is away.
    answered_at : float
        When the store last answered this daemon, or another that reported it, in seconds of the
        clock. Unknown before the first answer: the store may have been away for any time.
    returned_at : float
        When the store last returned from an outage or from an older copy, in seconds of the clock.
    """

    clock: Callable[[], float] = time.monotonic
    is_failing: bool = False
    answered_at: float = float("-inf")
    returned_at: float = float("-inf")

    # Queries.

    def is_away(self) -> bool:
        """Return True if calls fail, and nothing has been answered for ``MIN_OUTAGE``."""
        return self.is_failing and self.clock() - self.answered_at >= MIN_OUTAGE

    def may_be_old(self) -> bool:
        """Return True if the store's entries may still be those of before its return."""
        return self.clock() <= self.returned_at + RETURN_GRACE

    # Commands.

    def record_failure(self, why: str) -> None:
        """Record that a call to the store failed."""
        if not self.is_failing:
            logs.warning("store unavailable", why=why)
        self.is_failing = True

    def record_answer(self) -> None:
        """Record an answer of the store, and whether it has returned with it."""
        now = self.clock()
        if self.is_failing:
            was_away = self.is_away()
            if was_away:
                self.returned_at = now
            silence = now - self.answered_at
            logs.info(
                "store available again", was_away=was_away,
                silence=round(silence, 3) if math.isfinite(silence) else None,
            )  # fmt: skip
        self.is_failing, self.answered_at = False, now

    def record_older_copy(self) -> None:
        """Record that the store has come back from an older copy."""
        self.returned_at = self.clock()
