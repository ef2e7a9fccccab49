"""Keeps a copy of a long run on a near engine, so that the run can continue there at any time."""

import asyncio
import time

from attrs import define

from papayacourse import logs
from papayacourse.exceptions import BackendError
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.routed.migration.standby import Standby
from papayacourse.types import Host

COPY_INTERVAL = 3.0  # seconds between copies; an engine drops one not renewed for 5 s
LOOK_INTERVAL = 0.3  # seconds between searches for a near engine while there is none
TARGETS_ASKED = 2  # engines asked for room per search
MAX_MEMORY_FRACTION_NEW_COPY = 0.5  # of the target's memory, including the new copy
MAX_MEMORY_FRACTION_KEPT_COPY = 0.7  # more drops the copy, to leave room for runs
MIN_REMAINING_RUN = 2.5  # seconds; a copy of a shorter run does not pay


def is_worth_copying(generation: Generation) -> bool:
    """Return True if a run may continue for long enough that a copy pays."""
    return generation.can_move() and generation.time_to_end() > MIN_REMAINING_RUN


@define(eq=False)
class Copying:
    """Keeps a copy of one run up to date.

    Attributes
    ----------
    source : Host
        The engine that the run is on; copying ends when the run continues elsewhere.
    """

    fleet: FleetView
    generation: Generation
    source: Host

    async def run(self) -> None:
        """Renew the copy for as long as the engine stays and the run goes on for long enough."""
        while self._is_active():
            await self._renew()
            lacks_target = self.generation.copy is None and not self._nearby_targets()
            await asyncio.sleep(LOOK_INTERVAL if lacks_target else COPY_INTERVAL)

    def _is_active(self) -> bool:
        generation = self.generation
        stays = self.fleet.stays(self.source.name)
        return stays and generation.engine == self.source and is_worth_copying(generation)

    async def _renew(self) -> None:
        generation = self.generation
        async with generation.copy_lock:
            copy = generation.copy
            if copy is not None and not await self._may_stay(copy.host):
                await self._drop_copy()
                copy = None
            target = copy.host if copy is not None else await self._target()
            if target is not None and self._is_active():
                await self._copy(target)

    async def _may_stay(self, host: Host) -> bool:
        """Return True if the engine with the copy stays and has memory for it."""
        return (
            self.fleet.stays(host.name)
            and self.generation.may_go_to(host)
            and await self._memory_fraction(host) <= MAX_MEMORY_FRACTION_KEPT_COPY
        )

    def _nearby_targets(self) -> list[Host]:
        """Return the engines to ask for room, of the same region only.

        A first copy to another region would occupy links that moves of other runs need.
        """
        service, homes = self.generation.request.service, self.generation.admitted.homes()
        found = self.fleet.move_targets(self.source, service, homes)
        open_hosts = (host for host in found if self.generation.may_go_to(host))
        near = [host for host in open_hosts if self.fleet.is_near(self.source, host)]
        return near[:TARGETS_ASKED]

    async def _target(self) -> Host | None:
        """Return the nearest engine that has room, or None."""
        for host in self._nearby_targets():
            if await self._memory_fraction(host, with_copy=True) <= MAX_MEMORY_FRACTION_NEW_COPY:
                return host
        return None

    async def _memory_fraction(self, host: Host, with_copy: bool = False) -> float:
        """Return the fraction of an engine's memory in use; 1.0 if it is unknown."""
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
            await self._drop_copy()
            return
        generation.copy = Standby(target, self.source.address, copied.handle)
        logs.info(
            "copied", request=generation.run_id, engine=self.source.name, target=target.name,
            seconds=round(time.monotonic() - began, 3),
        )  # fmt: skip

    async def _drop_copy(self) -> None:
        """Drop the copy; the engine copies the run nowhere else while the handle exists."""
        copy, self.generation.copy = self.generation.copy, None
        if copy is not None:
            await self.fleet.drop_copy(self.source, copy.handle)
