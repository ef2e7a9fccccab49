"""Watches the engines of the runs in progress, and has those emptied that leave."""

import asyncio

from attrs import define, field

from papayacourse.routed.emptying import Emptying
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation

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
    """

    fleet: FleetView
    running: set[Generation] = field(factory=set)
    emptying: dict[str, asyncio.Task] = field(factory=dict)

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
        for name in [name for name, task in self.emptying.items() if task.done()]:
            del self.emptying[name]
        for generation in self.running:
            engine, service = generation.engine, generation.request.service
            if engine is None or engine.name in self.emptying or not generation.can_move():
                continue
            if not self.fleet.stays(engine.name):
                work = Emptying(self.fleet, engine, service, lambda name=engine.name: self.on(name))
                self.emptying[engine.name] = asyncio.create_task(work.run())
