"""Times the tokens of one stream for the metrics."""

import time
from collections.abc import Callable

from attrs import define

from papayacourse.engines import End, EngineEvent
from papayacourse.metrics import Metrics
from papayacourse.types import GenerationRequest

STALL_AFTER = 0.5  # seconds without a token after which a stream counts as stalled


@define
class TokenClock:
    """Records time to first token, time between tokens, stall time and length.

    Attributes
    ----------
    asked : float
        When the request came, in seconds of the clock.
    """

    metrics: Metrics
    attributes: dict[str, str]
    clock: Callable[[], float] = time.monotonic
    asked: float = 0.0
    last: float = 0.0
    stalled: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.asked = self.clock()

    def placed(self) -> None:
        """Record how long the request waited for an engine."""
        self.metrics.queue_wait.record(self.clock() - self.asked, self.attributes)

    def retried(self) -> None:
        """Count a start on another engine."""
        self.metrics.retries.add(1, self.attributes)

    def resumed(self) -> None:
        """Count a link to the engine that had to be opened again."""
        self.metrics.resumes.add(1, self.attributes)

    def batch(self, events: list[EngineEvent]) -> None:
        """Count a batch of events that has been written to the caller."""
        now = self.clock()
        if not self.last:
            self.metrics.first_token.record(now - self.asked, self.attributes)
        else:
            gap = now - self.last
            self.stalled += max(0.0, gap - STALL_AFTER)
            self.metrics.between_tokens.record(gap, self.attributes)
        self.last = now
        if isinstance(events[-1], End):
            self.metrics.output_length.record(events[-1].offset, self.attributes)
            self.metrics.stall.record(self.stalled, self.attributes)


def token_clock(metrics: Metrics, generation: GenerationRequest) -> TokenClock:
    """Return a clock for one generation."""
    attributes = {
        "team": generation.team,
        "service": generation.service,
        "account": generation.account,
    }
    return TokenClock(metrics, attributes)
