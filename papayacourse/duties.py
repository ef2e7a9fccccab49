"""Manages the schedulers of this daemon: started on demand, handed over, dropped when idle."""

import asyncio
import importlib
import time
from collections.abc import Callable, Iterator

from attrs import define, field

from papayacourse import logs
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell
from papayacourse.membership import Membership
from papayacourse.meshmessages import ServiceLoad
from papayacourse.scheduler import Scheduler
from papayacourse.schedulingmessages import NotScheduler
from papayacourse.tasks import keep_running
from papayacourse.ticks import next_tick

SCHEDULER_IDLE_TIMEOUT = 30.0  # seconds, for the scheduler of a cell owned elsewhere
MAINTENANCE_INTERVAL = 1.0  # seconds
OWNER_TIME = 3.0  # seconds; while daemons start, each owns every cell until it meets the others
FORECASTS = "papayacourse.forecastgrid"


@define(eq=False)
class Duties:
    """The schedulers of this daemon.

    Attributes
    ----------
    make : callable
        Returns a new scheduler of a cell, not yet started.
    last_used : dict of Cell to float
        When each cell was last owned or busy, in seconds of the monotonic clock.
    owner_since : float or None
        Since when this daemon has owned any cell, in seconds of the monotonic clock; None if it
        owns none.
    has_forecasts : bool
        Whether what forecasts need is imported.
    """

    membership: Membership
    cell_map: CellMap
    make: Callable[[Cell], Scheduler]
    clock: Callable[[], float] = time.monotonic
    schedulers: dict[Cell, Scheduler] = field(factory=dict)
    last_used: dict[Cell, float] = field(factory=dict)
    owner_since: float | None = None
    has_forecasts: bool = False

    def __attrs_post_init__(self) -> None:
        self.membership.loads_here = self.loads

    # Queries.

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the loads of the cells that this daemon owns."""
        return tuple(
            scheduler.grant_queue.load()
            for cell, scheduler in self.schedulers.items()
            if self.owns(cell)
        )

    def owns(self, cell: Cell) -> bool:
        """Return True if the cell exists and this daemon should schedule it."""
        here = self.cell_map.has(self.membership.me.domain, cell)
        return here and self.membership.owns(cell.duty)

    def can_hand_over(self) -> bool:
        """Return True if this daemon takes no duties and another daemon is live."""
        return not self.membership.takes_duties() and bool(self.membership.live())

    def _queued(self) -> Iterator[tuple[Scheduler, str, str]]:
        """Yield the scheduler, daemon and stream of each queued request."""
        for scheduler in self.schedulers.values():
            for account in scheduler.grant_queue.queue.accounts.values():
                for stream, item in account.waiting.items():
                    yield scheduler, item.daemon, stream

    # Commands.

    def open_scheduler(self, team: str, service: str, number: int) -> Scheduler:
        """Return the scheduler of a cell, and start it if necessary."""
        cell = Cell(team, service, number)
        if cell not in self.schedulers:
            scheduler = self.make(cell)
            scheduler.task = asyncio.create_task(keep_running(scheduler.run))
            self.schedulers[cell] = scheduler
            logs.info("scheduling", team=team, service=service, cell=number)
        self.last_used[cell] = self.clock()
        return self.schedulers[cell]

    def drain_engine(self, cell: Cell, engine: str, seconds: float) -> set[str]:
        """Drain an engine for a time in seconds; return the daemons with streams on it."""
        scheduler = self.schedulers.get(cell)
        if scheduler is None:
            return set()
        scheduler.drain(engine, seconds)
        ledger = scheduler.ledgers.get(engine)
        return {stream.daemon for stream in ledger.streams.values()} if ledger else set()

    def hand_over(self) -> int:
        """Send every queued request to the cell's next owner; return their number."""
        if not self.can_hand_over():
            return 0
        queued = list(self._queued())
        for scheduler, daemon, stream in queued:
            scheduler.grant_queue.queue.discard(stream)
            scheduler.grant_queue.send_later(daemon, NotScheduler(stream))
        return len(queued)

    async def run_maintenance(self) -> None:
        """Hand over queued requests while leaving, and drop idle schedulers, until cancelled."""
        while True:
            await next_tick(MAINTENANCE_INTERVAL)
            self.hand_over()
            await self.prepare_forecasts()
            for cell, scheduler in list(self.schedulers.items()):
                busy = len(scheduler.grant_queue.queue) or any(
                    led.streams for led in scheduler.ledgers.values()
                )
                if busy or self.owns(cell):
                    self.last_used[cell] = self.clock()
                elif self.clock() - self.last_used[cell] > SCHEDULER_IDLE_TIMEOUT:
                    del self.schedulers[cell], self.last_used[cell]
                    await scheduler.__aexit__(None, None, None)
                    logs.info("no longer scheduling", duty=cell.duty)

    async def prepare_forecasts(self) -> None:
        """Import what forecasts need once this daemon is an owner, before its first request.

        A daemon that owns no cell doesn't need the import, and a start isn't delayed by it.
        """
        if self.has_forecasts:
            return
        if not any(map(self.owns, self.cell_map.cells(self.membership.me.domain))):
            self.owner_since = None
            return
        if self.owner_since is None:
            self.owner_since = self.clock()
        if self.clock() - self.owner_since >= OWNER_TIME:
            self.has_forecasts = True
            await asyncio.to_thread(importlib.import_module, FORECASTS)

    async def close(self) -> None:
        """Stop every scheduler."""
        for scheduler in self.schedulers.values():
            await scheduler.__aexit__(None, None, None)
