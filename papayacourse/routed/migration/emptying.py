"""Moves the runs of an engine that leaves or is drained to engines that stay."""

import asyncio
import math
import time
from collections.abc import Callable

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import BackendError, BackendNoRoom
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.routed.migration.moveschedule import MIN_REGION_COPY, schedule_moves
from papayacourse.routed.migration.moving import Move
from papayacourse.routed.seams import EngineRuns, RunState
from papayacourse.types import Host

WAIT_STEP = 0.1  # seconds between checks for runs still to be moved
NO_ROOM_BACKOFF = 0.2  # back-off in seconds after no engine had room
DRAINED_NO_ROOM_BACKOFF = 1.0  # seconds; the engine serves on, so that nothing is lost meanwhile
TARGETS_TRIED = 3
DEFAULT_NOTICE = 1.4  # seconds from notice to shutdown, if the engine reports no time
REPORT_AGE = 0.5  # seconds by which an engine's report may be out of date
ASK_AGAIN_AFTER = 0.6  # seconds; reports lag, and the first may lack the shutdown time
MIN_REMAINING_RUN = 1.0  # seconds; a run that ends sooner is not moved
MIN_MOVE_TIME = 0.05  # seconds; with less left no move starts


def is_worth_moving(generation: Generation) -> bool:
    """Return True if a run may not end within its engine's stop notice."""
    return generation.can_move() and generation.time_to_end() > MIN_REMAINING_RUN


@define(eq=False)
class Emptying:
    """Moves all runs off one engine.

    Attributes
    ----------
    running : callable
        Returns the runs on the engine that this daemon relays.
    since : float
        When it became known that the engine is leaving, in seconds of the monotonic clock.
    ends_at : float
        When the engine is expected to stop, in seconds of the monotonic clock; infinite for one
        that serves on in a drained domain.
    move_starts : dict of str to float
        When each run's move starts, by run id, in seconds of the monotonic clock.
    reports_end : bool
        Whether the engine itself has reported when it stops.
    """

    fleet: FleetView
    engine: Host
    service: str
    running: Callable[[], list[Generation]]
    since: float
    ends_at: float = math.inf
    move_starts: dict[str, float] = field(factory=dict)
    reports_end: bool = False
    asked_again: bool = False

    async def run(self) -> None:
        """Move runs one after another until none is left to move, or the engine stays again."""
        await self._move_copied()
        await self._plan()
        while (generation := self._next()) is not None:
            if self.fleet.stays(self.engine.name):
                logs.info("engine stays again", engine=self.engine.name, here=len(self.running()))
                return
            await self._ask_for_end()
            wait = self._begin(generation) - time.monotonic()
            if self.reports_end and self._left() < MIN_MOVE_TIME:
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
        """Return when a run's move starts; a run newer than the report moves at once."""
        return self.move_starts.get(generation.run_id, time.monotonic())

    def _left(self) -> float:
        """Return the expected time in seconds until the engine stops."""
        return self.ends_at - time.monotonic()

    def _serves_on(self) -> bool:
        """Return True if the engine's domain is drained, and the engine itself is not leaving."""
        name = self.engine.name
        return self.fleet.is_drained(name) and not self.fleet.notices.is_leaving(name)

    def _outlives_notice(self) -> bool:
        """Return True if the engine still runs past the default notice, and reports no end."""
        return not self.reports_end and self._left() < 0

    # Commands.

    async def _move_copied(self) -> None:
        """Move the runs that have a copy elsewhere first: little is left to copy."""
        for generation in list(self.running()):
            copy = generation.copy
            if copy is not None and generation.can_move() and self.fleet.stays(copy.host.name):
                await self._move(generation)

    async def _plan(self) -> None:
        """Schedule the moves of all runs on the engine."""
        report = await self._report()
        self._update_end(report)
        target = self.fleet.best_move_target(self.engine, self.service)
        if target is None:
            return
        reach = self.fleet.reach(self.engine, target)
        rate = self.fleet.shape(self.service).copy_rate
        for turn in schedule_moves(report.runs, rate, reach):
            # Runs of other daemons may be copied already, which frees the link early. A move
            # scheduled too late starts at the last moment that leaves time for it alone.
            latest = self.ends_at - (turn.end - turn.begin)
            self.move_starts[turn.run] = min(self.since + turn.begin, latest)
        logs.info(
            "emptying", engine=self.engine.name, runs=len(report.runs),
            here=len(self.running()), leaves_in=report.leaves_in, reach=reach.value,
        )  # fmt: skip

    def _update_end(self, report: EngineRuns) -> None:
        self.reports_end = report.leaves_in is not None
        if self.reports_end:
            self.ends_at = time.monotonic() + report.leaves_in - REPORT_AGE
        elif self._serves_on():
            self.ends_at = math.inf
        else:
            self.ends_at = self.since + DEFAULT_NOTICE

    async def _ask_for_end(self) -> None:
        """Ask the engine once more when it stops, if it has not reported that yet."""
        late = time.monotonic() - self.since > ASK_AGAIN_AFTER
        if late and not self.reports_end and not self.asked_again:
            self.asked_again = True
            self._update_end(await self._report())

    async def _report(self) -> EngineRuns:
        try:
            return await self.fleet.engine_calls.runs(self.engine)
        except BackendError as error:
            # The runs of other daemons are unknown, but this daemon's moves still run in sequence.
            logs.info("runs not reported", engine=self.engine.name, why=str(error))
            states = (RunState(g.run_id, g.memory_tokens) for g in self.running())
            return EngineRuns(None, tuple(states))

    async def _move(self, generation: Generation) -> None:
        if generation not in self.running() or not generation.can_move():
            return  # it has gone on elsewhere, or ended, while the engine was asked
        move = Move(self.fleet, self.engine, generation)
        targets = self._targets(generation)
        try:
            standby = await move.run(targets)
        except BackendError as error:
            if self._serves_on() or isinstance(error, BackendNoRoom):
                self._back_off(generation)
            else:
                generation.unmovable = True
        else:
            if standby.host.name == self.engine.name:
                self._back_off(generation)

    def _back_off(self, generation: Generation) -> None:
        """Try to move a run again only after a while."""
        backoff = DRAINED_NO_ROOM_BACKOFF if self._serves_on() else NO_ROOM_BACKOFF
        self.move_starts[generation.run_id] = time.monotonic() + backoff

    def _targets(self, generation: Generation) -> list[Host]:
        """Return the engines to ask for room: those of the region, or others if it has none.

        They are in the home regions of the run.

        If little time is left, a copy to another region would not arrive, and it would delay
        the retry within the region.
        """
        homes = generation.admitted.homes()
        found = [
            host
            for host in self.fleet.move_targets(self.engine, self.service, homes)
            if generation.may_go_to(host)
        ]
        near = [host for host in found if self.fleet.is_near(self.engine, host)]
        far_arrives = self._left() > MIN_REGION_COPY or self._outlives_notice()
        return (found if far_arrives else near or found)[:TARGETS_TRIED]
