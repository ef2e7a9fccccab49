"""Watches the runs in progress: has long ones copied, and engines emptied that leave."""

import asyncio

from attrs import define, field

from papayacourse.routed.copying import Copying, is_worth_copying
from papayacourse.routed.emptying import Emptying
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.types import Host

LOOK_INTERVAL = 0.1  # seconds


@define(eq=False)
class Evacuation:
    """Begins to empty engines that leave.

    Attributes
    ----------
    running : set of Generation
        The runs that this daemon passes on.
    emptying : dict of str to asyncio.Task
        The engines whose runs are being moved, by name.
    copying : dict of Generation to asyncio.Task
        The runs of which copies are kept.
    """

    fleet: FleetView
    running: set[Generation] = field(factory=set)
    emptying: dict[str, asyncio.Task] = field(factory=dict)
    copying: dict[Generation, asyncio.Task] = field(factory=dict)
    dropping: set[asyncio.Task] = field(factory=set)

    async def run(self) -> None:
        """Look at the engines for ever."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_INTERVAL)

    def on(self, engine: str) -> list[Generation]:
        """Return the runs on an engine that this daemon passes on."""
        return [g for g in self.running if g.engine is not None and g.engine.name == engine]

    def look(self) -> None:
        """Begin to empty the engines that leave."""
        for tasks in (self.emptying, self.copying):
            for key in [key for key, task in tasks.items() if task.done()]:
                del tasks[key]
        for generation in self.running:
            if generation.engine is None or not generation.can_move():
                continue
            if not self.fleet.stays(generation.engine.name):
                self._empty(generation.engine, generation.request.service)
            elif generation not in self.copying and is_worth_copying(generation):
                work = Copying(self.fleet, generation, generation.engine)
                self.copying[generation] = asyncio.create_task(work.run())

    def _empty(self, engine: Host, service: str) -> None:
        if engine.name not in self.emptying:
            work = Emptying(self.fleet, engine, service, lambda: self.on(engine.name))
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
