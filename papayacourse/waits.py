"""Estimates how long a request waits from the rate at which places are released."""

import math
from collections import deque
from collections.abc import Iterable

from attrs import define, field

GRANT_WINDOW = 10.0  # seconds of grants kept
RESIDENCE_WEIGHT = 0.05  # of the latest stream in the moving average
TOKENS_WEIGHT = 0.05  # of the latest output
MIN_WINDOW_FRACTION = 0.2  # fraction of a window needed to extrapolate its rate
LOW_QUANTILE = 0.1  # fraction of windows that release fewer places than estimated
MAX_SAMPLES = 200
MAX_SAMPLE_AGE_WINDOWS = 20.0
PROMPT_WEIGHT = 0.05  # of the latest prompt


@define
class ReleaseRate:
    """The rate at which the engines of a service release places.

    Attributes
    ----------
    residence : float
        The mean time of a stream on its engine, in seconds; 0 while unknown.
    tokens : float
        The mean output length, in tokens.
    prompt : float
        The mean prompt length, in tokens; 0 while unknown.
    granted : deque of (float, str)
        The time and account of each grant in the last GRANT_WINDOW seconds.
    """

    residence: float = 0.0
    tokens: float = 0.0
    prompt: float = 0.0
    granted: deque[tuple[float, str]] = field(factory=deque)

    def places_needed(self, prompt_tokens: int) -> int:
        """Return the size of a request as a multiple of the mean request, at least 1."""
        ordinary = self.prompt + self.tokens
        return max(1, int((prompt_tokens + self.tokens) / ordinary)) if self.prompt else 1

    def record_grant(self, account: str, now: float, prompt_tokens: int) -> None:
        """Record the grant of a place."""
        self.prompt += (prompt_tokens - self.prompt) * (PROMPT_WEIGHT if self.prompt else 1.0)
        self.granted.append((now, account))
        while now - self.granted[0][0] > GRANT_WINDOW:
            self.granted.popleft()

    def record_end(self, seconds: float, tokens: int) -> None:
        """Record the end of a stream, in seconds on its engine and output tokens."""
        if not self.residence:
            self.residence, self.tokens = seconds, float(tokens)
        self.residence += (seconds - self.residence) * RESIDENCE_WEIGHT
        self.tokens += (tokens - self.tokens) * TOKENS_WEIGHT

    def per_second(self, running: int, now: float) -> float:
        """Return the places released per second with `running` streams; 0 if unknown."""
        by_residence = running / self.residence if self.residence else 0.0
        watched = now - self.granted[0][0] if self.granted else 0.0
        # A new scheduler has granted few places, whatever its engines can do.
        lately = self._recent_grant_rate(now) if watched >= GRANT_WINDOW / 2 else 0.0
        # Take the lower rate: a request whose wait is underestimated is refused only after
        # the whole wait limit.
        return min(by_residence, lately) or max(by_residence, lately)

    def account_share(self, account: str, now: float, others: Iterable[str]) -> float:
        """Return the fraction of the places that an account can expect.

        This is its fraction of the recent grants, but at least an equal share among the
        accounts with recent grants and `others`.
        """
        recent = [who for at, who in self.granted if now - at <= GRANT_WINDOW]
        even = 1 / len({account, *recent, *others})
        return max(even, recent.count(account) / len(recent) if recent else 0.0)

    def _recent_grant_rate(self, now: float) -> float:
        recent = sum(1 for at, _ in self.granted if now - at <= GRANT_WINDOW)
        if not recent:
            return 0.0
        span = max(1.0, min(GRANT_WINDOW, now - self.granted[0][0]))
        return recent / span


@define
class Backlog:
    """The rate at which places are released while requests are queued.

    Memory is released in bursts, so the mean rate does not predict a single wait. Instead, the
    grants are counted in each window as long as a request may wait.

    Attributes
    ----------
    window : float
        The length of the windows, in seconds.
    since : float
        The time since which the queue has not been empty; infinite while it is empty.
    counts : deque of (float, int)
        The end of each sampled window, and the places granted in it.
    granted : deque of float
        The times of the grants in the last window.
    """

    window: float = 1.0
    since: float = math.inf
    counts: deque[tuple[float, int]] = field(factory=lambda: deque(maxlen=MAX_SAMPLES))
    granted: deque[float] = field(factory=deque)

    # Queries.

    def reliable_places(self, now: float) -> float | None:
        """Return the places that nearly every window releases; None while unknown.

        The current window counts before it ends, so that a burst or stall shows early.
        """
        counts = sorted(count for _, count in self.counts)
        known = 1.0 + counts[int(LOW_QUANTILE * len(counts))] if counts else math.inf
        waited = now - self.since
        if waited >= self.window:
            return min(known, float(self._recent_grants(now)))
        if waited >= MIN_WINDOW_FRACTION * self.window:
            lately = sum(1 for at in self.granted if at >= self.since)
            known = min(known, (lately + 1) * self.window / waited)
        return None if math.isinf(known) else known

    def current_rate(self, now: float) -> float | None:
        """Return the places granted per second in the window that ends now, or None if unknown."""
        if now - self.since < self.window:
            return None
        return self._recent_grants(now) / self.window

    def _recent_grants(self, now: float) -> int:
        while self.granted and now - self.granted[0] > self.window:
            self.granted.popleft()
        return len(self.granted)

    # Commands.

    def resize(self, window: float) -> None:
        """Set the length of the windows, in seconds."""
        if window != self.window:
            self.window = window
            self.counts.clear()

    def record_grant(self, now: float) -> None:
        """Record the grant of a place."""
        self.granted.append(now)
        self._recent_grants(now)

    def record_sample(self, waiting: int, now: float) -> None:
        """Sample the window that ends now if requests were queued throughout it."""
        while self.counts and now - self.counts[0][0] > MAX_SAMPLE_AGE_WINDOWS * self.window:
            self.counts.popleft()
        if not waiting:
            self.since = math.inf
            return
        self.since = min(self.since, now)
        if now - self.since >= self.window:
            self.counts.append((now, self._recent_grants(now)))
