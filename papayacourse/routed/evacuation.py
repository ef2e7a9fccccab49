"""Watches the runs in progress: has long ones copied, and engines emptied that leave."""

import asyncio
import time
from collections.abc import Callable

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import BackendError
from papayacourse.routed.copying import Copying, is_worth_copying
from papayacourse.routed.emptying import Emptying, is_worth_moving
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.ticks import next_tick
from papayacourse.types import Host

LOOK_INTERVAL = 0.1  # seconds
IDLE_INTERVAL = 0.5  # seconds, while no run is passed on; a changed list is looked at when it comes
ASK_INTERVAL = 0.3  # seconds between questions to one engine; a notice may be 1.5 s


@define(eq=False)
class Evacuation:
    """Begins to empty engines that leave.

    Attributes
    ----------
    store_is_away : callable
        Tells whether the store cannot be read, so that it does not tell which engines leave.
    running : set of Generation
        The runs that this daemon passes on.
    leaving_since : dict of str to float
        Since when each engine has been known to leave, in seconds of the monotonic clock.
    emptying : dict of str to asyncio.Task
        The engines whose runs are being moved, by name.
    copying : dict of Generation to asyncio.Task
        The runs of which copies are kept.
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
        """Look at the engines for ever."""
        while True:
            self.look()
            self._ask_engines()
            if self.running:
                await asyncio.sleep(LOOK_INTERVAL)
            else:
                await next_tick(IDLE_INTERVAL)

    def _ask_engines(self) -> None:
        """Ask the engines of long runs themselves whether they leave, while the store is away."""
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
        """Return the runs on an engine that this daemon passes on."""
        return [g for g in self.running if g.engine is not None and g.engine.name == engine]

    def look(self) -> None:
        """Begin to empty the engines that leave."""
        self._note_leaving()
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

    def _note_leaving(self) -> None:
        """Note since when engines leave, whether they have runs to be moved yet or not."""
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
        """Forget a run, and free its copy."""
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
