"""Estimates how long a request waits, from how fast places come free."""

from collections import deque

from attrs import define, field

WINDOW = 10.0  # seconds of grants that are remembered
RESIDENCE_WEIGHT = 0.05  # of one stream that has ended
TOKENS_WEIGHT = 0.05  # of one output


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
