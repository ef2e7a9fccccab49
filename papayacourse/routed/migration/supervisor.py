"""Supervises the runs in progress: copies long ones, and moves runs off leaving engines."""

import asyncio
import time
from collections.abc import Callable

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import BackendError
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.routed.migration.copying import Copying, is_worth_copying
from papayacourse.routed.migration.emptying import Emptying, is_worth_moving
from papayacourse.ticks import next_tick
from papayacourse.types import Host

LOOK_INTERVAL = 0.1  # seconds
IDLE_INTERVAL = 0.5  # seconds, while no run is relayed; host list changes are checked at once
ASK_INTERVAL = 0.3  # seconds between queries to one engine; a stop notice may be only 1.5 s


@define(eq=False)
class RunSupervisor:
    """Starts the copies of long runs and the moves off engines that are leaving.

    Attributes
    ----------
    store_is_away : callable
        Returns True if the store cannot be read, so that it cannot report leaving engines.
    running : set of Generation
        The runs that this daemon relays.
    leaving_since : dict of str to float
        When each engine became known to be leaving, in seconds of the monotonic clock.
    emptying : dict of str to asyncio.Task
        The tasks that move runs off engines, by engine name.
    copying : dict of Generation to asyncio.Task
        The tasks that keep copies of runs.
    """

    fleet: FleetView
    store_is_away: Callable[[], bool]
    running: set[Generation] = field(factory=set)
    leaving_since: dict[str, float] = field(factory=dict)
    emptying: dict[str, asyncio.Task] = field(factory=dict)
    copying: dict[Generation, asyncio.Task] = field(factory=dict)
    asking: dict[str, asyncio.Task] = field(factory=dict)
    dropping: set[asyncio.Task] = field(factory=set)

    async def run(self) -> None:
        """Check the engines and runs, forever."""
        while True:
            self.look()
            self._ask_engines()
            if self.running:
                await asyncio.sleep(LOOK_INTERVAL)
            else:
                await next_tick(IDLE_INTERVAL)

    def _ask_engines(self) -> None:
        """Ask the engines of long runs whether they are leaving, while the store is unavailable."""
        if not self.store_is_away():
            return
        for generation in self.running:
            engine = generation.engine
            if engine is None or not is_worth_copying(generation):
                continue
            task = self.asking.get(engine.name)
            if task is None or task.done():
                self.asking[engine.name] = asyncio.create_task(self._ask(engine))

    async def _ask(self, engine: Host) -> None:
        try:
            report = await self.fleet.engine_calls.runs(engine)
        except BackendError as error:
            logs.info("engine not asked", engine=engine.name, why=str(error))
        else:
            if report.leaves:
                self.fleet.notices.record_leaving(engine, "its report")
        await asyncio.sleep(ASK_INTERVAL)

    def on(self, engine: str) -> list[Generation]:
        """Return the runs on an engine that this daemon relays."""
        return [g for g in self.running if g.engine is not None and g.engine.name == engine]

    def look(self) -> None:
        """Start the moves off leaving engines and the copies of long runs."""
        self._update_leaving_since()
        for tasks in (self.emptying, self.copying):
            for key in [key for key, task in tasks.items() if task.done()]:
                del tasks[key]
        for generation in self.running:
            if generation.engine is None or not generation.can_move():
                continue
            if not self.fleet.stays(generation.engine.name):
                if is_worth_moving(generation):
                    self._empty(generation.engine, generation.request.service)
            elif generation not in self.copying and is_worth_copying(generation):
                work = Copying(self.fleet, generation, generation.engine)
                self.copying[generation] = asyncio.create_task(work.run())

    def _update_leaving_since(self) -> None:
        """Record when engines began to leave, even those without runs to move yet."""
        now = time.monotonic()
        self.leaving_since = {
            host.name: self.leaving_since.get(host.name, now) for host in self.fleet.leaving()
        }

    def _empty(self, engine: Host, service: str) -> None:
        if engine.name not in self.emptying:
            since = self.leaving_since.get(engine.name, time.monotonic())
            work = Emptying(self.fleet, engine, service, lambda: self.on(engine.name), since)
            self.emptying[engine.name] = asyncio.create_task(work.run())

    def ended(self, generation: Generation) -> None:
        """Forget a finished run, and free its copy."""
        self.running.discard(generation)
        task = self.copying.pop(generation, None)
        if task is not None:
            task.cancel()
        copy = generation.copy
        if copy is not None and generation.engine is not None:
            work = self.fleet.drop_copy(generation.engine, copy.handle)
            task = asyncio.create_task(work)
            self.dropping.add(task)
            task.add_done_callback(self.dropping.discard)
