"""Finds the parts of prompts that crash engines, by the engines' deaths and by what was served."""

import time
from collections.abc import Callable, Collection, Iterator, Sequence

import xxhash
from attrs import define, field

KIND = "parts:"  # begins the fingerprints of this module
MAX_PARTS = 32  # of a prompt; longer ones are not tracked
MIN_CAUSES = 3  # that it would take to explain a part's deaths without it
MIN_CAUSES_IF_SERVED = 5  # the same for a part that engines have answered before
SAME_MOMENT = 0.1  # seconds; engines that die together may have a cause in common
MAX_DEATHS_WEIGHED = 16  # the latest of a part
DEATH_LIFETIME = 600.0  # seconds for which a death counts
MAX_MARKS = 20_000


def encode(request: str, parts: Sequence[str]) -> str:
    """Return the fingerprint of a request's parts; empty if it has none or too many.

    Parameters
    ----------
    request : str
        The fingerprint of the whole request.
    parts : sequence of str
        The names of those parts that other requests may hold as well.
    """
    if not parts or len(parts) > MAX_PARTS:
        return ""
    return KIND + ",".join(xxhash.xxh3_64_hexdigest(name.encode()) for name in (request, *parts))


def decode(fingerprint: str) -> tuple[str, ...]:
    """Return the marks in a fingerprint, that of the request first; empty for other kinds."""
    kind, _, marks = fingerprint.partition(KIND)
    return () if kind or not marks else tuple(marks.split(","))


@define
class Death:
    """The death of an engine.

    Attributes
    ----------
    at : float
        When it was noticed, in seconds since 1970.
    marks : set of str
        The marks of the requests that it may have begun to answer.
    """

    at: float
    marks: set[str] = field(factory=set)


@define(eq=False)
class PartBlame:
    """Decides whether a part of a request's prompt has crashed engines.

    A mark is a digest of a part, or of a whole request. Each death has a cause among the marks
    that were there and have not been served since. A part is to blame if its deaths would take
    several causes without it: other marks, which the request at hand doesn't hold, or chance.

    Attributes
    ----------
    deaths : dict of str to Death
        The known deaths by engine, the oldest first.
    served_at : dict of str to float
        When an answer to each mark last went well, in seconds since 1970, the latest last.
    """

    clock: Callable[[], float] = time.time
    deaths: dict[str, Death] = field(factory=dict)
    served_at: dict[str, float] = field(factory=dict)

    # Queries.

    def culprits(self, marks: Sequence[str]) -> list[str]:
        """Return the marks of a request's parts of which one at least crashes engines.

        Parameters
        ----------
        marks : sequence of str
            The marks of the request, its own first.
        """
        return [mark for mark in marks[1:] if self._is_to_blame(mark, marks)]

    def engines(self, mark: str) -> list[str]:
        """Return the engines whose deaths may be due to a mark."""
        return [name for name, death in self.deaths.items() if mark in self._suspects(death)]

    def time_left(self, mark: str) -> float:
        """Return the time until the oldest death of a mark no longer counts, in seconds."""
        ages = (self.clock() - self.deaths[name].at for name in self.engines(mark))
        return max(0.0, DEATH_LIFETIME - max(ages, default=DEATH_LIFETIME))

    def _is_to_blame(self, mark: str, marks: Collection[str]) -> bool:
        others = [death - set(marks) for death in self._separate_deaths(mark)]
        least = MIN_CAUSES_IF_SERVED if mark in self.served_at else MIN_CAUSES
        return not are_explained(others, least - 1)

    def _separate_deaths(self, mark: str) -> list[set[str]]:
        """Return the suspects of a mark's deaths, one death of each moment."""
        deaths = sorted((self.deaths[name] for name in self.engines(mark)), key=lambda d: d.at)
        found, last = [], float("-inf")
        for death in deaths[-MAX_DEATHS_WEIGHED:]:
            if death.at - last >= SAME_MOMENT:
                found.append(self._suspects(death))
                last = death.at
        return found

    def _suspects(self, death: Death) -> set[str]:
        """Return the marks that may have caused a death."""
        if self.clock() - death.at > DEATH_LIFETIME:
            return set()
        return {mark for mark in death.marks if self._served(mark) < death.at}

    def _served(self, mark: str) -> float:
        return self.served_at.get(mark, float("-inf"))

    # Commands.

    def record_death(self, engine: str, marks: Collection[str], at: float) -> None:
        """Record an engine's death and the marks of a request that it may have begun to answer."""
        death = self.deaths.setdefault(engine, Death(at))
        death.at = min(death.at, at)
        death.marks.update(marks)
        self._forget_old()

    def record_served(self, marks: Collection[str], at: float) -> list[str]:
        """Record that a request is being answered; returns the marks that this clears."""
        cleared = [mark for mark in marks if any(self._uncleared_by(mark, at))]
        for mark in marks:
            before = self.served_at.pop(mark, at)
            self.served_at[mark] = max(before, at)
        while len(self.served_at) > MAX_MARKS:
            del self.served_at[next(iter(self.served_at))]
        return cleared

    def _uncleared_by(self, mark: str, at: float) -> Iterator[bool]:
        for death in self.deaths.values():
            yield mark in death.marks and self._served(mark) < death.at <= at

    def _forget_old(self) -> None:
        now = self.clock()
        while self.deaths:
            engine, death = next(iter(self.deaths.items()))
            if now - death.at <= DEATH_LIFETIME and len(self.deaths) <= MAX_MARKS:
                return
            del self.deaths[engine]


def are_explained(deaths: Sequence[set[str]], causes: int) -> bool:
    """Return True if a number of causes is enough to explain some deaths.

    Each cause is a mark, which explains all deaths that it was at, or chance, which explains one.
    """
    if len(deaths) <= causes:
        return True
    if not causes:
        return False
    first, *rest = deaths
    if are_explained(rest, causes - 1):
        return True
    return any(are_explained([d for d in rest if mark not in d], causes - 1) for mark in first)
