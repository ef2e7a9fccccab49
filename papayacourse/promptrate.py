"""Measures the recent rate of prompt tokens that an engine has to prefill."""

import math

from attrs import define

TIME_CONSTANT_SECONDS = 10.0  # of the exponential moving average


@define
class PromptRate:
    """An exponential moving average of the prompt tokens that an engine prefills per second.

    Attributes
    ----------
    tokens : float
        The sum of prompt tokens, exponentially decayed to ``updated_at``.
    updated_at : float
        Time of the last prompt, in seconds of the monotonic clock.
    """

    tokens: float = 0.0
    updated_at: float = -math.inf

    # Queries.

    def per_second(self, now: float) -> float:
        """Return the recent rate, in prompt tokens per second."""
        return (
            self.tokens
            * math.exp((self.updated_at - now) / TIME_CONSTANT_SECONDS)
            / TIME_CONSTANT_SECONDS
        )

    # Commands.

    def add_prompt(self, tokens: int, now: float) -> None:
        """Add the prompt tokens of a request that the engine has to prefill."""
        self.tokens = self.per_second(now) * TIME_CONSTANT_SECONDS + tokens
        self.updated_at = now
