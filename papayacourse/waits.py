"""Estimates how long a request waits, from how fast places come free."""

import math
from collections import deque
from collections.abc import Iterable

from attrs import define, field

WINDOW = 10.0  # seconds of grants that are remembered
RESIDENCE_WEIGHT = 0.05  # of one stream that has ended
TOKENS_WEIGHT = 0.05  # of one output
LEAST_EVIDENCE = 0.2  # part of a window that must have passed to tell of its pace
SURE_QUANTILE = 0.1  # of the windows, in which fewer places came free than are counted on
SAMPLES = 200  # looks at the queue remembered
SAMPLES_AGE = 20.0  # windows for which a look is remembered
PROMPT_WEIGHT = 0.05  # of one prompt


@define
class PlaceRate:
    """How fast the engines of a service give places back.

    Attributes
    ----------
    residence : float
        The mean time of a stream on its engine, in seconds; 0 while unknown.
    tokens : float
        The mean output, in tokens.
    prompt : float
        The mean prompt, in tokens; 0 while unknown.
    granted : deque of (float, str)
        When places were granted lately, and to which account.
    """

    residence: float = 0.0
    tokens: float = 0.0
    prompt: float = 0.0
    granted: deque[tuple[float, str]] = field(factory=deque)

    def places_for(self, prompt_tokens: int) -> int:
        """Return how many ordinary places a request takes."""
        ordinary = self.prompt + self.tokens
        return max(1, int((prompt_tokens + self.tokens) / ordinary)) if self.prompt else 1

    def note_grant(self, account: str, now: float, prompt_tokens: int) -> None:
        """Count a place granted."""
        self.prompt += (prompt_tokens - self.prompt) * (PROMPT_WEIGHT if self.prompt else 1.0)
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
        lately = self._lately(now) if watched >= WINDOW / 2 else 0.0
        # The lower of the two: a wait that is underrated ends in a refusal after the whole limit.
        return min(by_residence, lately) or max(by_residence, lately)

    def part_of(self, account: str, now: float, others: Iterable[str]) -> float:
        """Return the part of the places that an account may count on.

        It is what it was granted lately, or an even part for each account that asks.
        """
        recent = [who for at, who in self.granted if now - at <= WINDOW]
        even = 1 / len({account, *recent, *others})
        return max(even, recent.count(account) / len(recent) if recent else 0.0)

    def _lately(self, now: float) -> float:
        recent = sum(1 for at, _ in self.granted if now - at <= WINDOW)
        if not recent:
            return 0.0
        span = max(1.0, min(WINDOW, now - self.granted[0][0]))
        return recent / span


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
    counts : deque of (float, int)
        When a window was looked at lately, and the places granted in it.
    granted : deque of float
        When places were granted in the last window.
    """

    window: float = 1.0
    since: float = math.inf
    counts: deque[tuple[float, int]] = field(factory=lambda: deque(maxlen=SAMPLES))
    granted: deque[float] = field(factory=deque)

    # Queries.

    def places(self, now: float) -> float | None:
        """Return the places that come free in a window, nearly always; None while unknown.

        The window that goes on tells of a burst or a standstill before it has passed.
        """
        counts = sorted(count for _, count in self.counts)
        known = 1.0 + counts[int(SURE_QUANTILE * len(counts))] if counts else math.inf
        waited = now - self.since
        if waited >= self.window:
            return min(known, float(self._granted_lately(now)))
        if waited >= LEAST_EVIDENCE * self.window:
            lately = sum(1 for at in self.granted if at >= self.since)
            known = min(known, (lately + 1) * self.window / waited)
        return None if math.isinf(known) else known

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
        self._granted_lately(now)

    def look(self, waiting: int, now: float) -> None:
        """Count the places of the window that ends now, if something has waited all through it."""
        while self.counts and now - self.counts[0][0] > SAMPLES_AGE * self.window:
            self.counts.popleft()
        if not waiting:
            self.since = math.inf
            return
        self.since = min(self.since, now)
        if now - self.since >= self.window:
            self.counts.append((now, self._granted_lately(now)))
