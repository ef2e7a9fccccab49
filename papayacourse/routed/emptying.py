"""Moves the runs of one engine that leaves to engines that stay."""

import asyncio
import math
import time
from collections.abc import Callable

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import BackendError, BackendRefused, BackendUnreachable
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.routed.seams import EngineRuns, RunState
from papayacourse.routed.standby import Standby
from papayacourse.routed.turns import Turn, turns
from papayacourse.types import Host

WAIT_STEP = 0.1  # seconds between looks at what is still to be moved
TARGETS_TRIED = 3
NO_ROOM = 503  # an engine's status
NOTICE = 1.4  # seconds that an engine works on after its notice, where it does not say
LEAST_REST = 1.0  # seconds; a run that ends sooner is not moved


@define(eq=False)
class Emptying:
    """Empties one engine.

    Attributes
    ----------
    running : callable
        Returns the runs that this daemon passes on from the engine.
    since : float
        Since when it has been known to leave, in seconds of the monotonic clock.
    ends_at : float
        When the engine will be gone, as far as known.
    planned : dict of str to Turn
        When each run is moved, by its id.
    """

    fleet: FleetView
    engine: Host
    service: str
    running: Callable[[], list[Generation]]
    since: float = field(factory=time.monotonic)
    ends_at: float = math.inf
    planned: dict[str, Turn] = field(factory=dict)

    async def run(self) -> None:
        """Move one run after another until nothing is left to move."""
        await self._move_copied()
        await self._plan()
        while (generation := self._next()) is not None:
            turn = self.planned.get(generation.run_id)
            if turn is not None and self.since + turn.end > self.ends_at:
                logs.info(
                    "no time to move", request=generation.run_id, engine=self.engine.name,
                    begin=round(turn.begin, 2), left=round(self.ends_at - time.monotonic(), 2),
                )  # fmt: skip
                generation.unmovable = True
            elif turn is not None and self.since + turn.begin > time.monotonic():
                await asyncio.sleep(min(WAIT_STEP, self.since + turn.begin - time.monotonic()))
            else:
                await self._move(generation)

    # Queries.

    def _next(self) -> Generation | None:
        movable = [g for g in self.running() if g.can_move() and g.time_to_end() > LEAST_REST]
        return min(movable, key=self._begin, default=None)

    def _begin(self, generation: Generation) -> float:
        """Return when a run's turn begins; one that was not reported goes last."""
        turn = self.planned.get(generation.run_id)
        return turn.begin if turn is not None else math.inf

    # Commands.

    async def _move_copied(self) -> None:
        """Move the runs that have a copy elsewhere already; what is left of them is short."""
        for generation in list(self.running()):
            copy = generation.copy
            if copy is not None and generation.can_move() and self.fleet.stays(copy.host.name):
                await self._move(generation)

    async def _plan(self) -> None:
        """Work out the turns of all runs on the engine."""
        report = await self._report()
        self.ends_at = self.since + (report.leaves_in or NOTICE)
        target = self.fleet.refuge(self.engine, self.service)
        if target is None:
            return
        reach = self.fleet.reach(self.engine, target)
        rate = self.fleet.shape(self.service).copy_rate
        self.planned = {turn.run: turn for turn in turns(report.runs, rate, reach)}
        logs.info(
            "emptying", engine=self.engine.name, runs=len(report.runs),
            here=len(self.running()), leaves_in=report.leaves_in, reach=reach.value,
        )  # fmt: skip

    async def _report(self) -> EngineRuns:
        try:
            return await self.fleet.engine_calls.runs(self.engine)
        except BackendError as error:
            # Without the others' runs the moves of this daemon follow each other at least.
            logs.info("runs not reported", engine=self.engine.name, why=str(error))
            states = (RunState(g.run_id, g.memory_tokens) for g in self.running())
            return EngineRuns(None, tuple(states))

    async def _move(self, generation: Generation) -> None:
        generation.moved = asyncio.get_running_loop().create_future()
        began, events = time.monotonic(), generation.events
        result, why = None, ""
        try:
            async with generation.copy_lock:
                result = await self._copy_and_stop(generation)
        except BackendError as error:
            why = str(error)
            generation.unmovable = True
        logs.info(
            "moved" if result else "not moved", request=generation.run_id,
            engine=self.engine.name, target=result.host.name if result else "", why=why,
            events=events, seconds=round(time.monotonic() - began, 3),
        )  # fmt: skip
        generation.note_moved(result)

    async def _copy_and_stop(self, generation: Generation) -> Standby:
        """Copy a run while it goes on, then stop it and copy the short rest."""
        calls, run = self.fleet.engine_calls, generation.run_id
        target = await self._copied_to(generation) or await self._copy_first(generation)
        copied = await calls.copy_run(self.engine, run, target, stop=True)
        generation.copy = None
        return Standby(
            target if copied.complete else self.engine, self.engine.address, copied.handle
        )

    async def _copy_first(self, generation: Generation) -> Host:
        """Copy a run to the first engine that has room, the nearest first."""
        last: BackendError = BackendUnreachable("no other engine stays")
        for target in self.fleet.refuges(self.engine, self.service)[:TARGETS_TRIED]:
            try:
                first = await self.fleet.engine_calls.copy_run(
                    self.engine, generation.run_id, target, stop=False
                )
            except BackendRefused as error:
                if error.status != NO_ROOM:
                    raise
                logs.info("no room", request=generation.run_id, target=target.name)
                last = error
                continue
            generation.copy = Standby(target, self.engine.address, first.handle)
            return target
        raise last

    async def _copied_to(self, generation: Generation) -> Host | None:
        """Return the engine that has a copy and stays; drops a copy at one that does not."""
        copy = generation.copy
        if copy is None or self.fleet.stays(copy.host.name):
            return copy.host if copy else None
        generation.copy = None
        await self.fleet.drop_copy(self.engine, copy.handle)
        return None
