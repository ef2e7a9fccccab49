"""Follows how many prompt tokens an engine has had to compute lately."""

import math

from attrs import define

MEAN_TIME = 10.0  # seconds over which the rate is a mean; older prompts weigh less


@define
class PromptRate:
    """An exponential mean of the prompt tokens that an engine computes a second.

    Attributes
    ----------
    tokens : float
        The prompt tokens computed, each weighing less the older it is, as of ``noted_at``.
    noted_at : float
        Seconds of the monotonic clock.
    """

    tokens: float = 0.0
    noted_at: float = -math.inf

    # Queries.

    def per_second(self, now: float) -> float:
        """Return the prompt tokens computed a second, lately."""
        return self.tokens * math.exp((self.noted_at - now) / MEAN_TIME) / MEAN_TIME

    # Commands.

    def note(self, tokens: int, now: float) -> None:
        """Note that the engine has to compute more prompt tokens."""
        self.tokens = self.per_second(now) * MEAN_TIME + tokens
        self.noted_at = now
