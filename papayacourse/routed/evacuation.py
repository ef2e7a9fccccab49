"""Moves the runs of engines that leave to engines that stay, one after another."""

import asyncio
import time
from collections.abc import Iterable, Iterator

from attrs import define, field, frozen

from papayacourse import logs
from papayacourse.exceptions import BackendError, BackendUnreachable
from papayacourse.linkclasses import LinkClass, Place
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.routed.seams import Copied, EngineRuns, RunState
from papayacourse.routed.standby import Standby
from papayacourse.types import Host

LOOK_INTERVAL = 0.1  # seconds
NOTICE = 1.4  # seconds that an engine works on after its notice, where it does not say
LEAST_REST = 1.0  # seconds; a run that ends sooner is not moved
MOVE_OVERHEAD = 0.06  # seconds of a move besides its copy: two calls and the short rest
REGION_COPY = 1.2  # seconds at least for a copy to another region, whatever its size
COPY_SLOWNESS = {
    LinkClass.SAME_DOMAIN: 1.0,
    LinkClass.SAME_REGION: 2.0,
    LinkClass.OTHER_REGION: 2.0,
}


@frozen
class Turn:
    """When a run of a leaving engine is moved.

    Attributes
    ----------
    begin, end : float
        Seconds from the notice.
    """

    run: str
    begin: float
    end: float


def copy_time(tokens: int, rate: float, reach: LinkClass) -> float:
    """Return how long a run's copy takes, in seconds, on a link that nothing else uses.

    Parameters
    ----------
    rate : float
        Tokens a second within a failure domain.
    """
    seconds = tokens / rate * COPY_SLOWNESS[reach]
    return max(seconds, REGION_COPY) if reach == LinkClass.OTHER_REGION else seconds


def turns(runs: Iterable[RunState], rate: float, reach: LinkClass) -> Iterator[Turn]:
    """Yield when each run of an engine is moved, the largest first.

    All daemons that pass on runs of the engine work this out from the same report, so that their
    moves follow each other on the engine's link. A move that waits behind another daemon's copy
    would make its stream pause.
    """
    begin = 0.0
    for run in sorted(runs, key=lambda run: (-run.tokens, run.name)):
        end = begin + copy_time(run.tokens, rate, reach) + MOVE_OVERHEAD
        yield Turn(run.name, begin, end)
        begin = end


@define(eq=False)
class Evacuation:
    """Watches the engines of the runs in progress.

    Attributes
    ----------
    running : set of Generation
        The runs that this daemon passes on.
    emptying : dict of str to asyncio.Task
        The engines whose runs are being moved, by name.
    noticed : dict of str to float
        When each engine that leaves was first seen to, in seconds of the monotonic clock.
    """

    fleet: FleetView
    running: set[Generation] = field(factory=set)
    emptying: dict[str, asyncio.Task] = field(factory=dict)
    noticed: dict[str, float] = field(factory=dict)

    async def run(self) -> None:
        """Look at the engines for ever."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_INTERVAL)

    def look(self) -> None:
        """Begin to empty the engines that leave."""
        by_engine: dict[str, list[Generation]] = {}
        for generation in self.running:
            if generation.engine is not None:
                by_engine.setdefault(generation.engine.name, []).append(generation)
        for name in [name for name in self.noticed if name not in by_engine]:
            del self.noticed[name]
        for name, generations in by_engine.items():
            if not self.fleet.stays(name):
                self._empty(name, generations)

    def _empty(self, name: str, generations: list[Generation]) -> None:
        noticed = self.noticed.setdefault(name, time.monotonic())
        task = self.emptying.get(name)
        if task is not None and not task.done():
            return
        movable = [g for g in generations if g.can_move() and g.time_to_end() > LEAST_REST]
        if movable:
            logs.info("engine leaves", engine=name, runs=len(generations), moving=len(movable))
            self.emptying[name] = asyncio.create_task(self._move_all(noticed, movable))

    async def _move_all(self, noticed: float, generations: list[Generation]) -> None:
        """Move runs of one engine, each at its turn among those of all daemons."""
        source = generations[0].engine
        report = await self._report(source, generations)
        left = NOTICE if report.leaves_in is None else report.leaves_in
        target = self.fleet.nearest_other(source, generations[0].request.service)
        reach = LinkClass.SAME_DOMAIN if target is None else reach_of(source, target)
        rate = generations[0].copy_rate
        planned = {turn.run: turn for turn in turns(report.runs, rate, reach)}
        late = time.monotonic() - noticed
        for generation in sorted(generations, key=lambda g: begin_of(planned, g)):
            turn = planned.get(generation.run_id)
            if turn is not None and turn.end > max(left, 0.0) + late and turn.begin > late:
                logs.info("no time to move", request=generation.run_id, begin=round(turn.begin, 2))
                generation.unmovable = True
                continue
            if turn is not None:
                await asyncio.sleep(noticed + turn.begin - time.monotonic())
            if generation in self.running and generation.engine == source:
                await self._move(generation)

    async def _report(self, source: Host, generations: list[Generation]) -> EngineRuns:
        try:
            return await self.fleet.engine_calls.runs(source)
        except BackendError as error:
            # Without the others' runs the moves of this daemon follow each other at least.
            logs.info("runs not reported", engine=source.name, why=str(error))
            states = (RunState(g.run_id, g.memory_tokens) for g in generations)
            return EngineRuns(None, tuple(states))

    async def _move(self, generation: Generation) -> None:
        generation.moved = asyncio.get_running_loop().create_future()
        began = time.monotonic()
        source, result, why, target = generation.engine, None, "", None
        try:
            target = self._target(generation)
            result = await self._copy_and_stop(generation, target)
        except BackendError as error:
            why = str(error)
            generation.unmovable = True
        logs.info(
            "moved" if result else "not moved", request=generation.run_id,
            engine=source.name, target=target.name if target else "", why=why,
            events=generation.events, seconds=round(time.monotonic() - began, 3),
        )  # fmt: skip
        if generation.moved is not None and not generation.moved.done():
            generation.moved.set_result(result)
        if result is None:
            generation.moved = None

    def _target(self, generation: Generation) -> Host:
        target = self.fleet.nearest_other(generation.engine, generation.request.service)
        if target is None:
            raise BackendUnreachable("no other engine stays")
        return target

    async def _copy_and_stop(self, generation: Generation, target: Host) -> Standby:
        """Copy a run while it goes on, then stop it and copy the short rest."""
        source, calls = generation.engine, self.fleet.engine_calls
        first = await calls.copy_run(source, generation.run_id, target, stop=False)
        try:
            copied = await calls.copy_run(source, generation.run_id, target, stop=True)
        except BackendError:
            await self._drop(source, first)
            raise
        host = target if copied.complete else source
        return Standby(host, source.address, copied.handle)

    async def _drop(self, source: Host, copied: Copied) -> None:
        try:
            await self.fleet.engine_calls.drop_copy(source, copied.handle)
        except BackendError as error:
            # The engines free it by themselves after a while.
            logs.info("copy not dropped", engine=source.name, why=str(error))


def reach_of(source: Host, target: Host) -> LinkClass:
    """Return how far two engines are apart."""
    return Place(source.domain, source.region).link_to(target.domain, target.region)


def begin_of(planned: dict[str, Turn], generation: Generation) -> float:
    """Return when a run's turn begins; one that the report does not have goes last."""
    turn = planned.get(generation.run_id)
    return turn.begin if turn is not None else float("inf")
