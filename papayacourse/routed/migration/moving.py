"""Moves one run from its engine to another."""

import asyncio
import time
from collections.abc import Iterable

from attrs import define

from papayacourse import logs
from papayacourse.exceptions import BackendError, BackendNoRoom, BackendUnreachable
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.routed.migration.standby import Standby
from papayacourse.routed.sendlimiter import SAVE_PATIENCE
from papayacourse.types import Host

NO_ROOM_STATUS = 503  # HTTP status reported for a move that an engine's limit does not permit


@define(eq=False)
class Move:
    """Moves one run.

    Attributes
    ----------
    engine : Host
        The engine that the run is on.
    """

    fleet: FleetView
    engine: Host
    generation: Generation

    async def run(self, targets: Iterable[Host]) -> Standby:
        """Move the run to the engine with its copy, or to the first target that has room.

        Returns where it continues: on its engine if that has stopped it, but not passed it on.

        Raises
        ------
        BackendError
            If the run stays on its engine.
        """
        generation = self.generation
        generation.pending_move = asyncio.get_running_loop().create_future()
        began, events = time.monotonic(), generation.events
        result, why = None, ""
        try:
            async with generation.copy_lock:
                result = await self._copy_and_stop(targets)
            return result
        except BackendError as error:
            why = str(error)
            raise
        finally:
            logs.info(
                "moved" if result else "not moved", request=generation.run_id,
                engine=self.engine.name, target=result.host.name if result else "", why=why,
                events=events, seconds=round(time.monotonic() - began, 3),
            )  # fmt: skip
            generation.finish_move(result)

    async def _copy_and_stop(self, targets: Iterable[Host]) -> Standby:
        """Copy the run while it continues, then stop it and copy the remainder."""
        calls, run = self.fleet.engine_calls, self.generation.run_id
        target = await self._usable_copy_target() or await self._copy_first(targets)
        # Asked while the run still continues: it stays where it is if it may not go there.
        if not await self.fleet.notices.cold.wait_for_turn(target.name, SAVE_PATIENCE):
            raise BackendNoRoom(NO_ROOM_STATUS, f"{target.name} is cold")
        if not await self.fleet.limiter.admit_saving_run(target):
            raise BackendNoRoom(NO_ROOM_STATUS, f"the limit of {target.name} is reached")
        orders = self.generation.stop_orders
        copied = await orders.order(calls, self.engine, run, target)
        if not copied.complete:
            # The copy before is kept, in case that the run may not go on where it is.
            return Standby(self.engine, self.engine.address, copied.handle)
        self.generation.copy = None
        return Standby(target, self.engine.address, copied.handle, is_permitted=True)

    async def _copy_first(self, targets: Iterable[Host]) -> Host:
        """Copy the run to the first target that has room; raises BackendError if none has."""
        run = self.generation.run_id
        last: BackendError = BackendUnreachable("no other engine stays")
        for target in targets:
            try:
                first = await self.fleet.engine_calls.copy_run(self.engine, run, target, stop=False)
            except BackendNoRoom as error:
                logs.info("no room", request=run, target=target.name)
                last = error
                continue
            self.generation.copy = Standby(target, self.engine.address, first.handle)
            return target
        raise last

    async def _usable_copy_target(self) -> Host | None:
        """Return the engine with the copy; drops the copy if that engine is leaving or gone."""
        copy = self.generation.copy
        if copy is None:
            return None
        if self.fleet.stays(copy.host.name) and self.generation.may_go_to(copy.host):
            return copy.host
        self.generation.copy = None
        await self.fleet.drop_copy(self.engine, copy.handle)
        return None
