"""Tracks which prompt prefixes each engine probably has in its cache."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from papayacourse.engines import CacheEvent

HINT_TTL = 60.0  # seconds after which an unused prefix is presumed evicted
MAX_HINTS = 20_000  # prefixes per engine


@define
class PrefixIndex:
    """Cache hints from routed requests and from the engines' cache events.

    Events are delayed and may be missing, so a hint may be wrong either way. It only decides
    between engines that are about equally full.

    Attributes
    ----------
    engines : dict of str to OrderedDict
        By engine: the time of each prefix hash's last use, the oldest first.
    last_event : dict of str to int
        By engine: the number of the last cache event applied.
    """

    engines: dict[str, OrderedDict[int, float]] = field(factory=dict)
    last_event: dict[str, int] = field(factory=dict)

    def count_cached(self, engine: str, prefixes: tuple[int, ...], now: float) -> int:
        """Return the number of a prompt's successive prefixes that an engine probably caches."""
        hints = self.engines.get(engine, {})
        count = 0
        for prefix in prefixes:
            if now - hints.get(prefix, -HINT_TTL) >= HINT_TTL:
                break
            count += 1
        return count

    def record_prefixes(self, engine: str, prefixes: Iterable[int], now: float) -> None:
        """Record the prefixes of a prompt that an engine computes or reports as stored."""
        hints = self.engines.setdefault(engine, OrderedDict())
        for prefix in prefixes:
            hints[prefix] = now
            hints.move_to_end(prefix)
        while len(hints) > MAX_HINTS:
            hints.popitem(last=False)

    def apply_events(
        self, engine: str, events: Iterable[CacheEvent], last: int, now: float
    ) -> None:
        """Apply an engine's cache events, some of which may be missing."""
        for event in events:
            if event.stored:
                self.record_prefixes(engine, (event.prefix,), now)
            else:
                self.engines.get(engine, {}).pop(event.prefix, None)
        self.last_event[engine] = last

    def retain_engines(self, engines: Iterable[str]) -> None:
        """Drop the engines not listed."""
        for name in self.engines.keys() - set(engines):
            del self.engines[name]
        for name in self.last_event.keys() - set(engines):
            del self.last_event[name]
