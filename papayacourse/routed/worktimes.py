"""How long requests of each route have lately taken, and so how long the next one may take."""

from contextlib import AbstractContextManager

from attrs import define, field

from papayacourse.recenttimes import RecentTimes
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.document import Repeat

FIRST_EVENT_TIME = 0.5  # seconds until a stream begins
SECONDS_PER_TOKEN = 0.012  # of a stream


@define(eq=False)
class WorkTimes:
    """The times that plain calls have lately taken.

    Attributes
    ----------
    times : RecentTimes
        The times that the last requests of each route have taken.
    """

    times: RecentTimes = field(factory=RecentTimes)

    def record(self, admitted: AdmittedRequest) -> AbstractContextManager[None]:
        """Record how long a call takes that ends with an answer."""
        return self.times.record(admitted.route.name)

    def expected(self, admitted: AdmittedRequest) -> float:
        """Return how long a request may take, in seconds."""
        prompt = admitted.call.prompt
        if admitted.route.repeat == Repeat.STREAM and prompt is not None:
            return FIRST_EVENT_TIME + prompt.max_output * SECONDS_PER_TOKEN
        return self.times.expected(admitted.route.name)
