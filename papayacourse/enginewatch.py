"""Follows the engines' lagging load reports and late cache events."""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, field

from papayacourse import engines, logs
from papayacourse.exceptions import BackendError, BackendRefused
from papayacourse.ledger import EngineLedger
from papayacourse.prefixes import PrefixIndex

POLL_INTERVAL = 0.5  # seconds between load reports
EVENTS_EVERY = 4  # load reports to one look at the cache events
UNUSABLE_AFTER = 3  # load reports missed in a row
REPORTS_KEPT = 4  # load reports whose time a lagging one may speak of
FOREIGN_SLACK = 0.05  # part of the memory that may go unexplained
FULL = 0.9  # part of the memory above which a queue inside the engine means that it is full


@define
class Watched:
    """What is known of one engine from its reports.

    Attributes
    ----------
    missed : int
        Load reports missed in a row.
    preemptions : int
        Its count in the last report; -1 before the first.
    own_tokens : deque of float
        What the ledger thought that its streams took at the last reports, in tokens.
    """

    missed: int = 0
    polls: int = 0
    leaving: bool = False
    preemptions: int = -1
    own_tokens: deque[float] = field(factory=lambda: deque(maxlen=REPORTS_KEPT))
    task: asyncio.Task | None = None


@define(eq=False)
class EngineReports:
    """Reads what engines say of themselves; this one in the product's own protocol.

    Attributes
    ----------
    interval : float
        Seconds between two reports asked of an engine.
    """

    interval: float = POLL_INTERVAL

    async def load(self, ledger: EngineLedger) -> engines.EngineLoad:
        """Return an engine's load; raises BackendError."""
        return await engines.load(ledger.address)

    async def cache_events(self, ledger: EngineLedger, after: int) -> engines.CacheEvents:
        """Return what an engine's cache has gained and lost since an event's number."""
        return await engines.cache_events(ledger.address, after)


def count_nothing(_engine: str, _preemptions: int) -> None:
    """Count nothing, until the daemon says where to."""


@define(eq=False)
class EngineWatch:
    """Polls the engines of one service, each on its own, so that a silent one delays none.

    Attributes
    ----------
    count : callable
        Called with an engine's name and its preemptions since the last report, for metrics.
    reports : EngineReports
        How engines are asked.
    """

    prefixes: PrefixIndex
    clock: Callable[[], float] = time.monotonic
    count: Callable[[str, int], None] = count_nothing
    watched: dict[str, Watched] = field(factory=dict)
    reports: EngineReports = field(factory=EngineReports)

    # Queries.

    def answers(self, name: str) -> bool:
        """Tell whether an engine answers and stays."""
        seen = self.watched.get(name)
        return seen is None or (seen.missed < UNUSABLE_AFTER and not seen.leaving)

    # Commands.

    def failed(self, name: str) -> None:
        """Count a failure that a daemon met as a report missed."""
        self.watched.setdefault(name, Watched()).missed += 1

    def gone(self, name: str) -> None:
        """Give an engine at whose address nobody listens no work until it reports again."""
        self.watched.setdefault(name, Watched()).missed = UNUSABLE_AFTER

    def progressed(self, name: str) -> None:
        """Note that an engine generates, whether or not it reports its load."""
        self.watched.setdefault(name, Watched()).missed = 0

    def poll(self, ledgers: Iterable[EngineLedger]) -> None:
        """Ask every engine for its load, but those still asked."""
        for ledger in ledgers:
            seen = self.watched.setdefault(ledger.name, Watched())
            if seen.task is None or seen.task.done():
                seen.task = asyncio.create_task(self._poll(ledger, seen))

    def keep(self, names: Iterable[str]) -> None:
        """Forget the engines that are no longer there."""
        for name in self.watched.keys() - set(names):
            gone = self.watched.pop(name)
            if gone.task is not None:
                gone.task.cancel()

    async def close(self) -> None:
        """Stop asking."""
        tasks = [seen.task for seen in self.watched.values() if seen.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll(self, ledger: EngineLedger, seen: Watched) -> None:
        try:
            load = await self.reports.load(ledger)
            self._take(ledger, seen, load)
            seen.polls += 1
            if seen.polls % EVENTS_EVERY == 1:
                await self._take_events(ledger)
        except BackendRefused as error:
            # It answers, though not with its load: the ledger alone has to do.
            seen.missed = 0
            ledger.memory_exceeded = ledger.suspect = False
            logs.debug("no load report", engine=ledger.name, why=str(error))
        except BackendError as error:
            seen.missed += 1
            if seen.missed == UNUSABLE_AFTER:
                logs.warning("engine unusable", engine=ledger.name, why=str(error))

    def _take(self, ledger: EngineLedger, seen: Watched, load: engines.EngineLoad) -> None:
        seen.missed = 0
        ledger.suspect = False
        seen.leaving = load.leaving
        if load.leaving:
            ledger.usable = False
        # An engine that preempts, or queues although its memory is full, was given too much:
        # nothing more until it reports that it has recovered.
        full = load.waiting > 0 and load.memory_used > FULL * load.memory_total
        preempted = load.preemptions - seen.preemptions if seen.preemptions >= 0 else 0
        ledger.memory_exceeded = full or preempted > 0
        if preempted > 0:
            self.count(ledger.name, preempted)
        seen.preemptions = load.preemptions
        seen.own_tokens.append(ledger.expected_tokens(self.clock()))
        # The report is about some moment of the last few: only what none of them explains is
        # taken for streams that this ledger does not know.
        slack = FOREIGN_SLACK * load.memory_total
        ledger.unattributed_tokens = max(0, int(load.memory_used - max(seen.own_tokens) - slack))

    async def _take_events(self, ledger: EngineLedger) -> None:
        after = self.prefixes.last_event.get(ledger.name, 0)
        found = await self.reports.cache_events(ledger, after)
        self.prefixes.apply_events(ledger.name, found.events, found.last, self.clock())
