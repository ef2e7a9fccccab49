"""How long work of each kind has lately taken, and so how long the next one may take."""

import time
from collections import defaultdict, deque
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

REMEMBERED = 20  # of each kind
UNKNOWN_TIME = 1.0  # seconds for a kind of which there has been none


@define(eq=False)
class RecentTimes:
    """The times that work of each kind has lately taken.

    Attributes
    ----------
    recent : dict of str to deque of float
        Seconds that the last work of each kind has taken.
    """

    recent: dict[str, deque[float]] = field(
        factory=lambda: defaultdict(lambda: deque(maxlen=REMEMBERED))
    )

    @contextmanager
    def record(self, kind: str) -> Iterator[None]:
        """Record how long work of a kind takes that ends well."""
        began = time.monotonic()
        yield
        self.recent[kind].append(time.monotonic() - began)

    def expected(self, kind: str) -> float:
        """Return how long work of a kind may take, in seconds."""
        return max(self.recent.get(kind, ()), default=UNKNOWN_TIME)
