"""Keeps a copy of a long run at a near engine, so that it can continue there at any moment."""

import asyncio
import time

from attrs import define

from papayacourse import logs
from papayacourse.exceptions import BackendError
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.routed.standby import Standby
from papayacourse.types import Host

COPY_INTERVAL = 3.0  # seconds between copies; an engine drops one that is not renewed for 5
LOOK_INTERVAL = 0.3  # seconds between looks for a near engine where there is none
TARGETS_ASKED = 2  # engines asked for room at a time
ROOM_PART = 0.5  # part of an engine's memory that may be taken with a new copy
KEEP_PART = 0.7  # part that may be taken while a copy stays; the rest is for runs
LONG_RUN = 2.5  # seconds that a run must still be able to take


def is_worth_copying(generation: Generation) -> bool:
    """Tell whether a run goes on for so long that a copy pays."""
    return generation.can_move() and generation.time_to_end() > LONG_RUN


@define(eq=False)
class Copying:
    """Keeps one run's copy.

    Attributes
    ----------
    source : Host
        The engine that runs it; the work ends when the run goes on elsewhere.
    """

    fleet: FleetView
    generation: Generation
    source: Host

    async def run(self) -> None:
        """Copy the run again and again for as long as its engine stays."""
        while self._goes_on():
            await self._renew()
            waits_for_one = self.generation.copy is None and not self._refuges()
            await asyncio.sleep(LOOK_INTERVAL if waits_for_one else COPY_INTERVAL)

    def _goes_on(self) -> bool:
        generation = self.generation
        stays = self.fleet.stays(self.source.name)
        return stays and generation.engine == self.source and is_worth_copying(generation)

    async def _renew(self) -> None:
        generation = self.generation
        async with generation.copy_lock:
            copy = generation.copy
            if copy is not None and not await self._may_stay(copy.host):
                await self._forget_copy()
                copy = None
            target = copy.host if copy is not None else await self._target()
            if target is not None and self._goes_on():
                await self._copy(target)

    async def _may_stay(self, host: Host) -> bool:
        """Tell whether the copy may stay where it is."""
        return self.fleet.stays(host.name) and await self._taken(host) <= KEEP_PART

    def _refuges(self) -> list[Host]:
        """Return the engines to ask for room: those of the region.

        A first copy to another region keeps the links busy on which others' runs are moved.
        """
        found = self.fleet.move_targets(self.source, self.generation.request.service)
        near = [host for host in found if self.fleet.is_near(self.source, host)]
        return near[:TARGETS_ASKED]

    async def _target(self) -> Host | None:
        """Return the nearest engine that has room, or None."""
        for host in self._refuges():
            if await self._taken(host, with_copy=True) <= ROOM_PART:
                return host
        return None

    async def _taken(self, host: Host, with_copy: bool = False) -> float:
        """Return the part of an engine's memory that is taken; all of it where that is unknown."""
        try:
            load = await self.fleet.engine_calls.load(host)
        except BackendError as error:
            logs.info(
                "copy's target not reached", request=self.generation.run_id,
                engine=host.name, why=str(error),
            )  # fmt: skip
            return 1.0
        tokens = load.memory_used + (self.generation.memory_tokens if with_copy else 0)
        return tokens / max(1, load.memory_total)

    async def _copy(self, target: Host) -> None:
        generation, began = self.generation, time.monotonic()
        try:
            calls = self.fleet.engine_calls
            copied = await calls.copy_run(self.source, generation.run_id, target, stop=False)
        except BackendError as error:
            logs.info(
                "not copied", request=generation.run_id, engine=self.source.name,
                target=target.name, why=str(error),
            )  # fmt: skip
            await self._forget_copy()
            return
        generation.copy = Standby(target, self.source.address, copied.handle)
        logs.info(
            "copied", request=generation.run_id, engine=self.source.name, target=target.name,
            seconds=round(time.monotonic() - began, 3),
        )  # fmt: skip

    async def _forget_copy(self) -> None:
        """Give up a copy; while its handle lasts the engine copies the run nowhere else."""
        copy, self.generation.copy = self.generation.copy, None
        if copy is not None:
            await self.fleet.drop_copy(self.source, copy.handle)
