"""Polls the engines' load reports and cache events, both of which lag."""

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
REPORTS_PER_EVENT_POLL = 4  # load reports per poll of the cache events
MAX_MISSED_REPORTS = 3  # missed load reports in a row that make an engine unusable
REPORT_HISTORY_LENGTH = 4  # recent load reports; a lagging one may describe the time of any
UNATTRIBUTED_MEMORY_SLACK = 0.05  # share of the memory that may stay unattributed
MEMORY_FULL_SHARE = 0.9  # share of memory above which a queue in the engine means that it is full


@define
class EngineStatus:
    """The status of one engine according to its reports.

    Attributes
    ----------
    missed : int
        Missed load reports in a row.
    preemptions : int
        Preemption count of the last report; -1 before the first.
    own_tokens : deque of float
        Memory in tokens that the ledger expected at the time of each recent report.
    """

    missed: int = 0
    polls: int = 0
    leaving: bool = False
    preemptions: int = -1
    own_tokens: deque[float] = field(factory=lambda: deque(maxlen=REPORT_HISTORY_LENGTH))
    task: asyncio.Task | None = None


@define(eq=False)
class EngineReports:
    """Reads load reports and cache events over the system's own engine protocol.

    Attributes
    ----------
    interval : float
        Seconds between load reports of an engine.
    """

    interval: float = POLL_INTERVAL

    async def load(self, ledger: EngineLedger) -> engines.EngineLoad:
        """Return an engine's load report; raise BackendError on failure."""
        return await engines.load(ledger.address)

    async def cache_events(self, ledger: EngineLedger, after: int) -> engines.CacheEvents:
        """Return the cache events of an engine that follow a given event number."""
        return await engines.cache_events(ledger.address, after)


def ignore_preemptions(_engine: str, _preemptions: int) -> None:
    """Ignore preemptions until the daemon sets a metrics callback."""


@define(eq=False)
class EngineWatch:
    """Polls the engines of a service independently, so that a silent one delays no other.

    Attributes
    ----------
    count : callable
        Metrics callback for an engine's name and its preemptions since the last report.
    reports : EngineReports
        Client for the engines' reports.
    """

    prefixes: PrefixIndex
    clock: Callable[[], float] = time.monotonic
    count: Callable[[str, int], None] = ignore_preemptions
    watched: dict[str, EngineStatus] = field(factory=dict)
    reports: EngineReports = field(factory=EngineReports)

    # Queries.

    def is_available(self, name: str) -> bool:
        """Return True if an engine answers and is not leaving."""
        seen = self.watched.get(name)
        return seen is None or (seen.missed < MAX_MISSED_REPORTS and not seen.leaving)

    # Commands.

    def record_failure(self, name: str) -> None:
        """Count a failure reported by a daemon as a missed load report."""
        self.watched.setdefault(name, EngineStatus()).missed += 1

    def record_unreachable(self, name: str) -> None:
        """Mark an engine that refuses connections as unusable until its next report."""
        self.watched.setdefault(name, EngineStatus()).missed = MAX_MISSED_REPORTS

    def record_progress(self, name: str) -> None:
        """Reset the missed reports of an engine that generates tokens."""
        self.watched.setdefault(name, EngineStatus()).missed = 0

    def poll(self, ledgers: Iterable[EngineLedger]) -> None:
        """Poll every engine that has no poll in progress."""
        for ledger in ledgers:
            seen = self.watched.setdefault(ledger.name, EngineStatus())
            if seen.task is None or seen.task.done():
                seen.task = asyncio.create_task(self._poll(ledger, seen))

    def retain_engines(self, names: Iterable[str]) -> None:
        """Remove the engines that are not among the given names."""
        for name in self.watched.keys() - set(names):
            removed = self.watched.pop(name)
            if removed.task is not None:
                removed.task.cancel()

    async def close(self) -> None:
        """Cancel all polls."""
        tasks = [seen.task for seen in self.watched.values() if seen.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll(self, ledger: EngineLedger, seen: EngineStatus) -> None:
        try:
            load = await self.reports.load(ledger)
            self._apply_load(ledger, seen, load)
            seen.polls += 1
            if seen.polls % REPORTS_PER_EVENT_POLL == 1:
                await self._poll_events(ledger)
        except BackendRefused as error:
            # The engine answers without a load report, so only the ledger is used.
            seen.missed = 0
            ledger.memory_exceeded = ledger.suspect = False
            logs.debug("no load report", engine=ledger.name, why=str(error))
        except BackendError as error:
            seen.missed += 1
            if seen.missed == MAX_MISSED_REPORTS:
                logs.warning("engine unusable", engine=ledger.name, why=str(error))

    def _apply_load(
        self, ledger: EngineLedger, seen: EngineStatus, load: engines.EngineLoad
    ) -> None:
        seen.missed = 0
        ledger.suspect = False
        seen.leaving = load.leaving
        if load.leaving:
            ledger.usable = False
        # An engine that preempts, or queues while its memory is full, is overcommitted. It
        # gets no new work until it reports that it has recovered.
        full = load.waiting > 0 and load.memory_used > MEMORY_FULL_SHARE * load.memory_total
        preempted = load.preemptions - seen.preemptions if seen.preemptions >= 0 else 0
        ledger.memory_exceeded = full or preempted > 0
        if preempted > 0:
            self.count(ledger.name, preempted)
        seen.preemptions = load.preemptions
        seen.own_tokens.append(ledger.expected_tokens(self.clock()))
        # The report may describe any of the last few polls. Only memory that the ledger explains
        # at none of them is attributed to unknown streams.
        slack = UNATTRIBUTED_MEMORY_SLACK * load.memory_total
        ledger.unattributed_tokens = max(0, int(load.memory_used - max(seen.own_tokens) - slack))

    async def _poll_events(self, ledger: EngineLedger) -> None:
        after = self.prefixes.last_event.get(ledger.name, 0)
        batch = await self.reports.cache_events(ledger, after)
        self.prefixes.apply_events(ledger.name, batch.events, batch.last, self.clock())
