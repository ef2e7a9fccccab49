"""Remembers which engine probably holds which prompt prefix in its cache."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from papayacourse.engines import CacheEvent

HINT_LIFE = 60.0  # seconds after which a prefix not heard of again counts as gone
MAX_HINTS = 20_000  # prefixes remembered for one engine


@define
class PrefixIndex:
    """Hints from the requests we routed and from the engines' cache events.

    The events come late and with gaps, so a hint may be wrong either way: nothing but the choice
    between engines that are about as full rests on it.

    Attributes
    ----------
    engines : dict of str to OrderedDict
        By engine: prefix hash to when it was last used, the oldest first.
    heard : dict of str to int
        By engine: the number of the last cache event taken.
    """

    engines: dict[str, OrderedDict[int, float]] = field(factory=dict)
    heard: dict[str, int] = field(factory=dict)

    def held(self, engine: str, prefixes: tuple[int, ...], now: float) -> int:
        """Return how many of a prompt's growing prefixes an engine probably holds."""
        hints = self.engines.get(engine, {})
        count = 0
        for prefix in prefixes:
            if now - hints.get(prefix, -HINT_LIFE) >= HINT_LIFE:
                break
            count += 1
        return count

    def note(self, engine: str, prefixes: Iterable[int], now: float) -> None:
        """Note that an engine works on a prompt, or says that it has stored it."""
        hints = self.engines.setdefault(engine, OrderedDict())
        for prefix in prefixes:
            hints[prefix] = now
            hints.move_to_end(prefix)
        while len(hints) > MAX_HINTS:
            hints.popitem(last=False)

    def take_events(self, engine: str, events: Iterable[CacheEvent], last: int, now: float) -> None:
        """Take an engine's cache events, of which some may be missing."""
        for event in events:
            if event.stored:
                self.note(engine, (event.prefix,), now)
            else:
                self.engines.get(engine, {}).pop(event.prefix, None)
        self.heard[engine] = last

    def keep(self, engines: Iterable[str]) -> None:
        """Forget the engines that are no longer there."""
        for name in self.engines.keys() - set(engines):
            del self.engines[name]
        for name in self.heard.keys() - set(engines):
            del self.heard[name]
