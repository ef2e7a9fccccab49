"""Finds the engine that a generation begins on."""

import asyncio
import time

from attrs import define, field

from papayacourse import logs
from papayacourse.routed.admitted import Admitted
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.sending import left_alone
from papayacourse.schedulingmessages import Granted, GrantRequest
from papayacourse.types import GenerationRequest, Host

WAIT_PART = 0.8  # part of the objective that a request may wait for a place
LISTING_LOOKS = 12  # for the news of an engine that a scheduler knows already
LISTING_STEP = 0.02  # seconds between looks


@define(eq=False)
class Placing:
    """Asks schedulers for places for one request.

    Attributes
    ----------
    request : GenerationRequest
        What the schedulers know of it.
    refused : set of str
        The engines that did not take it.
    """

    fleet: FleetView
    admitted: Admitted
    request: GenerationRequest
    refused: set[str] = field(factory=set)

    async def find(self, is_long: bool) -> Host:
        """Return the engine on which the request has got a place.

        Parameters
        ----------
        is_long : bool
            Whether the run goes on for so long that it may have to move.

        Raises
        ------
        RequestRefused
            When no place came free in time.
        """
        while True:
            self._refuse_if_paused()
            place = await self._place(is_long)
            host = await self._listed(place.engine)
            if host is not None and self.fleet.notices.takes_work(host):
                return host
            logs.info("engine takes no work", engine=place.engine, is_listed=host is not None)
            self.refused.add(place.engine)
            await self.fleet.placement.release_grant(self.request)

    def _refuse_if_paused(self) -> None:
        """Refuse at once a request whose every engine wants to be left alone."""
        pause = self.fleet.notices.earliest(self.fleet.servers(self.admitted.service))
        if pause is not None:
            raise left_alone(pause)

    def _avoided(self) -> tuple[str, ...]:
        """Return the engines that must not be granted."""
        servers = self.fleet.servers(self.admitted.service)
        idle = {host.name for host in servers if not self.fleet.notices.takes_work(host)}
        return tuple(sorted(self.refused | idle))

    async def _place(self, is_long: bool) -> Granted:
        limit = min(self.admitted.route.objective * WAIT_PART, self.admitted.time_left())
        ask = GrantRequest(self.request, limit, self._avoided())
        asked_at = time.monotonic()
        place = await self._place_safely(ask) if is_long else None
        place = place or await self.fleet.placement.place(ask)
        waited = time.monotonic() - asked_at
        logs.info("placed", engine=place.engine, waited=round(waited, 3), is_long=is_long)
        return place

    async def _place_safely(self, ask: GrantRequest) -> Granted | None:
        """Ask for a place on an engine that a long run can be moved from."""
        domains = self.fleet.safer_domains(self.admitted.service)
        place = await self.fleet.placement.place_in(domains, ask) if domains else None
        if domains and place is None:
            logs.info("no safer place", domains=domains)
        return place

    async def _listed(self, engine: str) -> Host | None:
        """Return an engine; a scheduler may know one whose entry has yet to be told here."""
        for _ in range(LISTING_LOOKS):
            host = self.fleet.host(engine)
            if host is not None:
                return host
            await asyncio.sleep(LISTING_STEP)
        return None
