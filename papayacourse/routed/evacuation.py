"""Moves the runs of engines that leave, while they run, to engines that stay."""

import asyncio
import time

from attrs import define, field, frozen

from papayacourse import logs
from papayacourse.exceptions import BackendError, RequestRefused
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation, left_over
from papayacourse.routed.seams import Copied
from papayacourse.schedulingmessages import GrantRequest
from papayacourse.types import Host

LOOK_INTERVAL = 0.1  # seconds
NOTICE = 1.2  # seconds that an engine certainly works on after its notice
PLACE_LIMIT = 0.15  # seconds to wait for a place, since the engine leaves soon


@frozen
class Moved:
    """Where a run continues after a move.

    Attributes
    ----------
    host : Host
        The engine to continue at.
    holder : Host
        The engine that gave the handle.
    """

    host: Host
    holder: Host
    handle: str


def is_worth_moving(generation: Generation) -> bool:
    """Tell whether a run will not end by itself within its engine's notice."""
    return generation.time_to_end() > NOTICE


def in_order(generations: list[Generation]) -> list[Generation]:
    """Return the runs to move, the longest to come first: they lose most."""
    worth = [generation for generation in generations if is_worth_moving(generation)]
    return sorted(worth, key=lambda generation: -generation.time_to_end())


@define(eq=False)
class Evacuation:
    """Watches the engines of the runs in progress.

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

    def look(self) -> None:
        """Begin to empty the engines that leave."""
        for name, task in list(self.emptying.items()):
            if task.done():
                del self.emptying[name]
        by_engine: dict[str, list[Generation]] = {}
        for generation in self.running:
            if generation.engine is not None and generation.moved is None:
                by_engine.setdefault(generation.engine.name, []).append(generation)
        for name, generations in by_engine.items():
            if name not in self.emptying and not self.fleet.stays(name):
                self._empty(name, generations)

    def _empty(self, name: str, generations: list[Generation]) -> None:
        ordered = [g for g in in_order(generations) if not g.unmovable and g.events]
        if ordered:
            logs.info("engine leaves", engine=name, runs=len(generations), moving=len(ordered))
            self.emptying[name] = asyncio.create_task(self._move_all(name, ordered))

    async def _move_all(self, name: str, generations: list[Generation]) -> None:
        """Move runs one after another, since their copies share the engine's link."""
        for generation in generations:
            still = generation in self.running and generation.moved is None
            if still and generation.engine.name == name:
                await self._move(generation)

    async def _move(self, generation: Generation) -> None:
        generation.moved = asyncio.get_running_loop().create_future()
        began = time.monotonic()
        result, why = None, ""
        try:
            result = await self._copy(generation)
        except (RequestRefused, BackendError) as error:
            why = str(error)
            generation.unmovable = True
        logs.info(
            "moved" if result else "not moved", request=generation.admitted.call.request_id,
            engine=generation.engine.name, target=result.host.name if result else "", why=why,
            events=generation.events, seconds=round(time.monotonic() - began, 3),
        )  # fmt: skip
        if generation.moved is not None and not generation.moved.done():
            generation.moved.set_result(result)
        if result is None:
            generation.moved = None

    async def _copy(self, generation: Generation) -> Moved:
        source = generation.engine
        target = await self._place(generation, source)
        try:
            copied = await self._copy_twice(generation, source, target)
        except BackendError:
            # The run goes on where it was, or ends with its engine.
            request = generation.request
            await self.fleet.rebind(request, target, source, generation.generated)
            raise
        return Moved(target if copied.complete else source, source, copied.handle)

    async def _copy_twice(self, generation: Generation, source: Host, target: Host) -> Copied:
        """Copy a run while it goes on, then stop it and copy the short rest."""
        run = generation.admitted.call.request_id
        calls = self.fleet.engine_calls
        first = await calls.copy_run(source, run, target, stop=False)
        try:
            return await calls.copy_run(source, run, target, stop=True)
        except BackendError:
            await self._drop(source, first.handle)
            raise

    async def _drop(self, source: Host, handle: str) -> None:
        try:
            await self.fleet.engine_calls.drop_copy(source, handle)
        except BackendError as error:
            # The engines free it by themselves after a while.
            logs.info("copy not dropped", engine=source.name, why=str(error))

    async def _place(self, generation: Generation, source: Host) -> Host:
        ask = GrantRequest(left_over(generation), PLACE_LIMIT, (source.name,))
        place = await self.fleet.placement.place(ask)
        target = self.fleet.host(place.engine)
        if target is None:
            raise BackendError(f"{place.engine} is not listed here")
        return target
