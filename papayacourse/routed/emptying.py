"""Moves the runs of one engine that leaves to engines that stay."""

import asyncio
import math
import time
from collections.abc import Callable

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import BackendError, BackendNoRoom
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.routed.moveschedule import MIN_REGION_COPY, schedule_moves
from papayacourse.routed.moving import Move
from papayacourse.routed.seams import EngineRuns, RunState
from papayacourse.types import Host

WAIT_STEP = 0.1  # seconds between looks at what is still to be moved
ROOM_WAIT = 0.2  # seconds until engines without room are asked again
TARGETS_TRIED = 3
NOTICE = 1.4  # seconds that an engine works on after its notice, where it does not say
REPORT_AGE = 0.5  # seconds that what an engine says of itself may be old
ASK_AGAIN_AFTER = 0.6  # seconds; an engine's reports lag, and the first may not tell its end yet
LEAST_REST = 1.0  # seconds; a run that ends sooner is not moved
LEAST_LEFT = 0.05  # seconds; with less left no move is begun


def is_worth_moving(generation: Generation) -> bool:
    """Tell whether a run goes on for so long that it may not end within its engine's notice."""
    return generation.can_move() and generation.time_to_end() > LEAST_REST


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
    begins : dict of str to float
        When each run is moved, by its id, in seconds of the monotonic clock.
    says_when : bool
        Whether the engine itself has said when it will be gone.
    """

    fleet: FleetView
    engine: Host
    service: str
    running: Callable[[], list[Generation]]
    since: float
    ends_at: float = math.inf
    begins: dict[str, float] = field(factory=dict)
    says_when: bool = False
    asked_again: bool = False

    async def run(self) -> None:
        """Move one run after another until nothing is left to move."""
        await self._move_copied()
        await self._plan()
        while (generation := self._next()) is not None:
            await self._ask_for_end()
            wait = self._begin(generation) - time.monotonic()
            if self.says_when and self._left() < LEAST_LEFT:
                logs.info("no time to move", request=generation.run_id, engine=self.engine.name)
                generation.unmovable = True
            elif wait > 0:
                await asyncio.sleep(min(WAIT_STEP, wait))
            else:
                await self._move(generation)

    # Queries.

    def _next(self) -> Generation | None:
        movable = [g for g in self.running() if is_worth_moving(g)]
        return min(movable, key=self._begin, default=None)

    def _begin(self, generation: Generation) -> float:
        """Return when a run's turn begins; one that has begun since the report need not wait."""
        return self.begins.get(generation.run_id, time.monotonic())

    def _left(self) -> float:
        """Return for how long the engine works on, in seconds, as far as known."""
        return self.ends_at - time.monotonic()

    def _outlives_notice(self) -> bool:
        """Tell whether the engine works on for longer than engines do that are taken away."""
        return not self.says_when and self._left() < 0

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
        self._take_end(report)
        target = self.fleet.refuge(self.engine, self.service)
        if target is None:
            return
        reach = self.fleet.reach(self.engine, target)
        rate = self.fleet.shape(self.service).copy_rate
        for turn in schedule_moves(report.runs, rate, reach):
            # Others' runs may be copied already, so a turn may come sooner than planned: what
            # would come too late begins while there still is time for it alone.
            latest = self.ends_at - (turn.end - turn.begin)
            self.begins[turn.run] = min(self.since + turn.begin, latest)
        logs.info(
            "emptying", engine=self.engine.name, runs=len(report.runs),
            here=len(self.running()), leaves_in=report.leaves_in, reach=reach.value,
        )  # fmt: skip

    def _take_end(self, report: EngineRuns) -> None:
        self.says_when = report.leaves_in is not None
        if self.says_when:
            self.ends_at = time.monotonic() + report.leaves_in - REPORT_AGE
        else:
            self.ends_at = self.since + NOTICE

    async def _ask_for_end(self) -> None:
        """Ask the engine once more when it will be gone, if it has not said so yet."""
        late = time.monotonic() - self.since > ASK_AGAIN_AFTER
        if late and not self.says_when and not self.asked_again:
            self.asked_again = True
            self._take_end(await self._report())

    async def _report(self) -> EngineRuns:
        try:
            return await self.fleet.engine_calls.runs(self.engine)
        except BackendError as error:
            # Without the others' runs the moves of this daemon follow each other at least.
            logs.info("runs not reported", engine=self.engine.name, why=str(error))
            states = (RunState(g.run_id, g.memory_tokens) for g in self.running())
            return EngineRuns(None, tuple(states))

    async def _move(self, generation: Generation) -> None:
        move = Move(self.fleet, self.engine, generation)
        targets = self._targets()
        try:
            await move.run(targets)
        except BackendNoRoom:
            self.begins[generation.run_id] = time.monotonic() + ROOM_WAIT
        except BackendError:
            generation.unmovable = True

    def _targets(self) -> list[Host]:
        """Return the engines to ask for room: those of the region, others where these are none.

        A copy to another region would not arrive in time, and hold up what asks here again.
        """
        found = self.fleet.refuges(self.engine, self.service)
        near = [host for host in found if self.fleet.is_near(self.engine, host)]
        far_arrives = self._left() > MIN_REGION_COPY or self._outlives_notice()
        return (found if far_arrives else near or found)[:TARGETS_TRIED]
