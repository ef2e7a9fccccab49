"""Measures the token timing of one stream for the metrics."""

import time
from collections.abc import Callable

from attrs import define

from papayacourse.engines import End, EngineEvent
from papayacourse.metrics import Metrics
from papayacourse.types import GenerationRequest

STALL_THRESHOLD_SECONDS = 0.5  # longer gaps between tokens count as stalls


@define
class TokenClock:
    """Records time to first token, time between tokens, stall time and output length.

    Attributes
    ----------
    requested_at : float
        Time of the request, in seconds of the monotonic clock.
    last_batch_at : float
        Time of the last batch of tokens, in seconds of the monotonic clock; 0 before the first.
    stalled_seconds : float
        Total length of the gaps between tokens beyond ``STALL_THRESHOLD_SECONDS``.
    """

    metrics: Metrics
    attributes: dict[str, str]
    clock: Callable[[], float] = time.monotonic
    requested_at: float = 0.0
    last_batch_at: float = 0.0
    stalled_seconds: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.requested_at = self.clock()

    def record_placement(self) -> None:
        """Record how long the request waited for an engine."""
        self.metrics.queue_wait.record(self.clock() - self.requested_at, self.attributes)

    def record_retry(self) -> None:
        """Count a retry on another engine."""
        self.metrics.retries.add(1, self.attributes)

    def record_resume(self) -> None:
        """Count a reconnection to the engine."""
        self.metrics.resumes.add(1, self.attributes)

    def record_batch(self, events: list[EngineEvent]) -> None:
        """Record a batch of events written to the caller."""
        now = self.clock()
        if not self.last_batch_at:
            self.metrics.first_token.record(now - self.requested_at, self.attributes)
        else:
            gap = now - self.last_batch_at
            self.stalled_seconds += max(0.0, gap - STALL_THRESHOLD_SECONDS)
            self.metrics.between_tokens.record(gap, self.attributes)
        self.last_batch_at = now
        if isinstance(events[-1], End):
            self.metrics.output_length.record(events[-1].offset, self.attributes)
            self.metrics.stall.record(self.stalled_seconds, self.attributes)


def token_clock(metrics: Metrics, generation: GenerationRequest) -> TokenClock:
    """Return a token clock for one generation."""
    attributes = {
        "team": generation.team,
        "service": generation.service,
        "account": generation.account,
    }
    return TokenClock(metrics, attributes)
