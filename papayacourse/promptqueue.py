"""Estimates how long prompts wait on an engine until they are computed.

The pattern: engines compute prompts in chunks between the steps of the streams that run, one prompt
after another. An engine with memory to spare that gets many prompts at once keeps the last of them
waiting for longer than callers find good, while other engines compute none.
"""

import math

from attrs import define

FIRST_SPEED = 7000.0  # prompt tokens a second, until an engine's own speed is known
SPEED_RANGE = (500.0, 200_000.0)  # prompt tokens a second that can be believed
SPEED_WEIGHT = 0.2  # of one prompt
LEAST_LEARNT_FROM = 2000  # prompt tokens; fewer take hardly longer than the rest of a first step


@define
class PromptQueue:
    """The prompts that an engine has been given and has yet to compute.

    Attributes
    ----------
    speed : float
        The prompt tokens that it computes a second while it has any to compute.
    tokens : float
        Those still to be computed at ``noted_at``, in seconds of the monotonic clock.
    """

    speed: float = FIRST_SPEED
    tokens: float = 0.0
    noted_at: float = -math.inf

    def waiting(self, now: float) -> float:
        """Return the prompt tokens still to be computed."""
        if self.tokens <= 0:
            return 0.0
        return max(0.0, self.tokens - self.speed * (now - self.noted_at))

    def wait(self, tokens: int, now: float) -> float:
        """Return how long a prompt takes that is given to it now, in seconds."""
        return (self.waiting(now) + tokens) / self.speed

    def takes(self, tokens: int, limit: float, now: float) -> bool:
        """Tell whether a prompt would be computed within a limit, or would be the first.

        Parameters
        ----------
        limit : float
            In seconds; 0 for none.
        """
        return not limit or self.waiting(now) <= 0 or self.wait(tokens, now) <= limit

    def note(self, tokens: int, now: float) -> float:
        """Note a prompt; returns the tokens to be computed with it."""
        self.tokens, self.noted_at = self.waiting(now) + tokens, now
        return self.tokens

    def learn(self, tokens: float, seconds: float) -> None:
        """Note that so many tokens were computed in so many seconds.

        Where the speed is taken for too low, too many tokens seem to wait, so that it rises.
        """
        if tokens < LEAST_LEARNT_FROM or seconds <= 0:
            return
        sample = min(max(tokens / seconds, SPEED_RANGE[0]), SPEED_RANGE[1])
        self.speed += (sample - self.speed) * SPEED_WEIGHT
