"""Decides where a generation continues after its engine was lost."""

from attrs import define

from papayacourse.routed.eventgaps import GapCause
from papayacourse.routed.events import can_resume_after
from papayacourse.routed.generation import Generation
from papayacourse.routed.migration.standby import Standby
from papayacourse.routed.runstop import EngineLost, OrderLost, RunContinues, RunCopied, RunStop
from papayacourse.routed.seams import Resume
from papayacourse.routed.sendlimiter import SAVE_PATIENCE
from papayacourse.types import Host


@define(eq=False)
class Failover:
    """Finds where one generation continues: at a standby, or from the beginning."""

    generation: Generation

    async def plan_resume(self, why: str) -> Resume:
        """Return where an interrupted run continues.

        Raises StreamBroken or RequestRefused if it can't continue.
        """
        generation = self.generation
        generation.log_failed(why)
        generation.relayed = None
        standby = await generation.pending_move if generation.pending_move is not None else None
        generation.pending_move = None
        generation.gaps.interruption = GapCause.ENGINE_LOST if standby is None else GapCause.MOVE
        if generation.guard.is_condemned():
            raise generation.broken(why)
        if standby is None and (generation.copy is not None or generation.may_restart()):
            standby = await self._stop_lost_run(why)
        if standby is not None and not self._may_continue_at(standby.host):
            standby = generation.copy
        generation.copy = None
        if not can_resume_after(generation.last_id):
            raise generation.broken(f"{why}; no event has an id that can be sent")
        if standby is not None and self._may_continue_at(standby.host):
            return await self._resume_at(standby, why)
        if not generation.may_restart():
            raise generation.broken(why)
        return Resume("", "", generation.last_id)

    async def _stop_lost_run(self, why: str) -> Standby | None:
        """Stop the run on its engine; returns the newest copy, if there is one.

        Raises StreamBroken or RequestRefused if the engine works on.
        """
        generation, target = self.generation, self._copy_target()
        if not generation.shape.moves or target is None:
            return generation.copy
        stop = RunStop(
            generation.fleet, generation.engine, generation.run_id, target, generation.copy_lock,
            generation.stop_orders,
        )  # fmt: skip
        match await stop.run():
            case RunCopied(standby):
                return standby
            case RunContinues(refusal):
                raise generation.broken(f"{why}; {refusal}")
            case EngineLost() | OrderLost():
                generation.stop_later(stop)
        return generation.copy

    def _copy_target(self) -> Host | None:
        """Return the engine to copy the run to: that which has a copy already, if any.

        One that takes no work now is better than none: without a target the run is not stopped.
        """
        generation, fleet = self.generation, self.generation.fleet
        if generation.copy is not None and self._may_continue_at(generation.copy.host):
            return generation.copy.host
        engine, service = generation.engine, generation.request.service
        best = fleet.best_move_target(engine, service, generation.admitted.homes())
        if best is not None and generation.may_go_to(best):
            return best
        return next(filter(self._may_be_target, fleet.servers(service)), None)

    def _may_be_target(self, host: Host) -> bool:
        """Return True if a copy may go to an engine, whether or not it takes work now."""
        generation, fleet = self.generation, self.generation.fleet
        is_other = host.name != generation.engine.name
        return is_other and fleet.is_live(host) and generation.may_go_to(host)

    def _may_continue_at(self, host: Host) -> bool:
        """Return True if the run may continue on an engine.

        It is listed, not drained, in the run's homes, and warm, or this daemon soon has a turn.
        An engine that may still work on the run is none.
        """
        fleet = self.generation.fleet
        is_open = fleet.is_listed(host.name) and not fleet.is_drained(host.name)
        has_turn = fleet.notices.cold.wait_for(host.name) <= SAVE_PATIENCE
        return is_open and has_turn and self.generation.may_go_to(host)

    async def _resume_at(self, standby: Standby, why: str) -> Resume:
        generation, fleet = self.generation, self.generation.fleet
        if not fleet.budget.try_spend(generation.admitted.service, "resume"):
            raise generation.broken(why)
        await fleet.rebind(
            generation.request, generation.engine, standby.host, generation.generated
        )
        generation.engine = standby.host
        generation.is_permitted = standby.is_permitted
        return Resume(standby.holder, standby.handle, generation.last_id)
