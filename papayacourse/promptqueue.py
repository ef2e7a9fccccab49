"""Estimates how long prompts wait on an engine until they are prefilled.

Engines use chunked prefill: they prefill one prompt after another, in chunks between the decode
steps of running streams. If an engine with free memory gets many prompts at once, the last ones
wait too long for callers, while other engines are idle.
"""

import math

from attrs import define

INITIAL_TOKENS_PER_SECOND = 7000.0  # default until the engine has been measured
TOKENS_PER_SECOND_RANGE = (500.0, 200_000.0)  # plausible values; others are clamped
SPEED_WEIGHT = 0.2  # weight of one prompt in the moving average
MIN_SAMPLE_TOKENS = 2000  # fewer take little longer than the rest of the first step


@define
class PromptQueue:
    """The prompts assigned to an engine that it has not prefilled yet.

    Attributes
    ----------
    speed : float
        The prefill speed while there are prompts to prefill, in tokens per second.
    tokens : float
        The prompt tokens to prefill at ``updated_at``, in seconds of the monotonic clock.
    """

    speed: float = INITIAL_TOKENS_PER_SECOND
    tokens: float = 0.0
    updated_at: float = -math.inf

    def pending_tokens(self, now: float) -> float:
        """Return the number of prompt tokens still to prefill."""
        if self.tokens <= 0:
            return 0.0
        return max(0.0, self.tokens - self.speed * (now - self.updated_at))

    def expected_wait(self, tokens: int, now: float) -> float:
        """Return the time until a prompt added now is prefilled, in seconds."""
        return (self.pending_tokens(now) + tokens) / self.speed

    def accepts_prompt(self, tokens: int, limit: float, now: float) -> bool:
        """Return True if a prompt would be prefilled within a limit, or no other prompt waits.

        Parameters
        ----------
        limit : float
            Maximum time until the prompt is prefilled, in seconds; 0 for no limit.
        """
        return (
            not limit or self.pending_tokens(now) <= 0 or self.expected_wait(tokens, now) <= limit
        )

    def add_prompt(self, tokens: int, now: float) -> float:
        """Add a prompt; return the number of tokens to prefill, including it."""
        self.tokens, self.updated_at = self.pending_tokens(now) + tokens, now
        return self.tokens

    def update_speed(self, tokens: float, seconds: float) -> None:
        """Update the speed from a measured prefill.

        The estimate corrects itself: while the speed is too low, the number of waiting tokens is
        too high, and so are the samples.
        """
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        sample = min(max(tokens / seconds, TOKENS_PER_SECOND_RANGE[0]), TOKENS_PER_SECOND_RANGE[1])
        self.speed += (sample - self.speed) * SPEED_WEIGHT
