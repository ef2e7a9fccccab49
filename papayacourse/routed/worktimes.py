"""How long requests of each route have lately taken, and so how long the next one may take."""

import time
from collections import defaultdict, deque
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.document import Repeat

REMEMBERED = 20  # requests of a route
UNKNOWN_TIME = 1.0  # seconds for a request of a route that has had none
FIRST_EVENT_TIME = 0.5  # seconds until a stream begins
SECONDS_PER_TOKEN = 0.012  # of a stream


@define(eq=False)
class WorkTimes:
    """The times that plain calls have lately taken.

    Attributes
    ----------
    recent : dict of str to deque of float
        Seconds that the last requests of each route have taken.
    """

    recent: dict[str, deque[float]] = field(
        factory=lambda: defaultdict(lambda: deque(maxlen=REMEMBERED))
    )

    @contextmanager
    def record(self, admitted: AdmittedRequest) -> Iterator[None]:
        """Record how long a call takes that ends with an answer."""
        began = time.monotonic()
        yield
        self.recent[admitted.route.name].append(time.monotonic() - began)

    def expected(self, admitted: AdmittedRequest) -> float:
        """Return how long a request may take, in seconds."""
        prompt = admitted.call.prompt
        if admitted.route.repeat == Repeat.STREAM and prompt is not None:
            return FIRST_EVENT_TIME + prompt.max_output * SECONDS_PER_TOKEN
        return max(self.recent.get(admitted.route.name, ()), default=UNKNOWN_TIME)
