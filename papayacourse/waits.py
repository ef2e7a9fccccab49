"""Estimates how long a request waits, from how fast places come free."""

import math
from collections import deque

from attrs import define, field

WINDOW = 10.0  # seconds of grants that are remembered
RESIDENCE_WEIGHT = 0.05  # of one stream that has ended
TOKENS_WEIGHT = 0.05  # of one output
SAMPLES = 200  # looks at the queue remembered
SURE_QUANTILE = 0.1  # of the windows, in which fewer places came free than are counted on
LEAST_STEADINESS = 0.25  # part of the mean pace that is promised at least


@define
class PlaceRate:
    """How fast the engines of a service give places back.

    Attributes
    ----------
    residence : float
        The mean time of a stream on its engine, in seconds; 0 while unknown.
    tokens : float
        The mean output, in tokens.
    granted : deque of (float, str)
        When places were granted lately, and to which account.
    """

    residence: float = 0.0
    tokens: float = 0.0
    granted: deque[tuple[float, str]] = field(factory=deque)

    def note_grant(self, account: str, now: float) -> None:
        """Count a place granted."""
        self.granted.append((now, account))
        while now - self.granted[0][0] > WINDOW:
            self.granted.popleft()

    def note_end(self, seconds: float, tokens: int) -> None:
        """Count a stream that has left its engine."""
        if not self.residence:
            self.residence, self.tokens = seconds, float(tokens)
        self.residence += (seconds - self.residence) * RESIDENCE_WEIGHT
        self.tokens += (tokens - self.tokens) * TOKENS_WEIGHT

    def per_second(self, running: int, now: float) -> float:
        """Return the places that come free each second while so many streams run; 0 if unknown."""
        by_residence = running / self.residence if self.residence else 0.0
        watched = now - self.granted[0][0] if self.granted else 0.0
        # A scheduler that has just begun has granted little, whatever its engines can do.
        lately = self._lately(now, None) if watched >= WINDOW / 2 else 0.0
        # The lower of the two: a wait that is underrated ends in a refusal after the whole limit.
        return min(by_residence, lately) or max(by_residence, lately)

    def of_account(self, account: str, now: float) -> float:
        """Return the places that an account was granted each second lately."""
        return self._lately(now, account)

    def _lately(self, now: float, account: str | None) -> float:
        recent = [who for at, who in self.granted if now - at <= WINDOW]
        if not recent:
            return 0.0
        span = max(1.0, min(WINDOW, now - self.granted[0][0]))
        return sum(1 for who in recent if account in (None, who)) / span


@define
class Backlog:
    """How fast places came free while something waited for one.

    The mean rate says little about the time of a single wait: memory comes free in lumps. So
    the places granted in each window of the length that a request may wait are counted.

    Attributes
    ----------
    window : float
        The length of the windows, in seconds.
    since : float
        Since when something has waited all along; infinite while nothing does.
    counts : deque of int
        The places granted in each window looked at lately.
    granted : deque of float
        When places were granted in the last window.
    """

    window: float = 1.0
    since: float = math.inf
    counts: deque[int] = field(factory=lambda: deque(maxlen=SAMPLES))
    granted: deque[float] = field(factory=deque)

    # Queries.

    def sure_rate(self) -> float | None:
        """Return the places a second that nearly every window had; None while unknown."""
        if not self.counts:
            return None
        return sorted(self.counts)[int(SURE_QUANTILE * len(self.counts))] / self.window

    def steadiness(self) -> float:
        """Return the part of the mean pace that nearly every window had; 1 while unknown."""
        rate, mean = self.sure_rate(), sum(self.counts) / max(1, len(self.counts)) / self.window
        return max(LEAST_STEADINESS, rate / mean) if rate is not None and mean else 1.0

    def rate_now(self, now: float) -> float | None:
        """Return the places a second of the window that ends now; None while unknown."""
        if now - self.since < self.window:
            return None
        return self._granted_lately(now) / self.window

    def _granted_lately(self, now: float) -> int:
        while self.granted and now - self.granted[0] > self.window:
            self.granted.popleft()
        return len(self.granted)

    # Commands.

    def resize(self, window: float) -> None:
        """Set the length of the windows, in seconds."""
        if window != self.window:
            self.window = window
            self.counts.clear()

    def note_grant(self, now: float) -> None:
        """Count a place granted."""
        self.granted.append(now)

    def look(self, waiting: int, now: float) -> None:
        """Count the places of the window that ends now, if something has waited all through it."""
        if not waiting:
            self.since = math.inf
            return
        self.since = min(self.since, now)
        if now - self.since >= self.window:
            self.counts.append(self._granted_lately(now))
