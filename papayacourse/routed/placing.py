"""Finds the engine that starts a generation."""

import asyncio
import time

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.exceptions import RequestRefused
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.remoteplacing import RemoteSearch
from papayacourse.routed.sending import no_opening_refusal
from papayacourse.schedulingmessages import Granted, GrantRequest
from papayacourse.types import GenerationRequest, Host

MAX_WAIT_FRACTION = 0.8  # fraction of the route's objective that a request may wait for a place
LISTING_ATTEMPTS = 12  # looks for a granted engine in the local host list, which may lag
LISTING_RETRY_DELAY = 0.02  # seconds
NO_ENGINE = "no_engine"  # a scheduler's reason where no engine of its domain can serve


@define(eq=False)
class EngineSearch:
    """Requests grants from the schedulers for one request.

    Attributes
    ----------
    request : GenerationRequest
        The request as the schedulers see it.
    refused : set of str
        Names of engines that are not tried again.
    """

    fleet: FleetView
    admitted: AdmittedRequest
    request: GenerationRequest
    refused: set[str] = field(factory=set)

    async def find(self, is_long: bool) -> Host:
        """Return the engine on which the request was granted a place.

        Parameters
        ----------
        is_long : bool
            Whether the run may last so long that it has to move.

        Raises
        ------
        RequestRefused
            When no place became free in time, or every engine has asked for a pause or has
            reached its limit.
        """
        while True:
            self._refuse_if_none_opens()
            grant = await self._request_grant(is_long)
            host = await self._wait_until_listed(grant.engine)
            if host is not None and await self._may_send(host):
                return host
            logs.info(
                "granted engine accepts no work", engine=grant.engine, is_listed=host is not None
            )
            self.refused.add(grant.engine)
            await self.fleet.placement.release_grant(self.request)

    async def _may_send(self, host: Host) -> bool:
        is_open = self.fleet.notices.takes_work(host) and self.admitted.may_go_to(host)
        return is_open and await self.fleet.limiter.admit(host)

    def _servers(self) -> list[Host]:
        """Return the engines of the service in the request's home regions."""
        homes = self.admitted.homes()
        servers = self.fleet.servers(self.admitted.service)
        return [host for host in servers if homes.allow(host.region)]

    def _refuse_if_none_opens(self) -> None:
        """Refuse the request at once if no engine of its service can be sent a request now."""
        time_left = self.admitted.time_left()
        refusal = no_opening_refusal(self.fleet.notices, self._servers(), time_left)
        if refusal is not None:
            raise refusal

    def excluded(self) -> tuple[str, ...]:
        """Return the engines that the schedulers must not grant.

        Engines of drained domains aren't named: their schedulers know of the drain, and there may
        be many.
        Cold engines are granted only where this domain has no warm one that takes work.
        """
        notices, here = self.fleet.notices, self.fleet.here.domain
        listed = [host for host in self._servers() if not host.is_drained]
        unavailable = {host.name for host in listed if not notices.takes_work(host)}
        cold = {host.name for host in listed if notices.cold.is_cold(host.name)}
        warm_here = (h for h in listed if h.domain == here and h.name not in cold | unavailable)
        if cold and any(warm_here):
            unavailable |= cold
        return tuple(sorted(self.refused | unavailable))

    async def _request_grant(self, is_long: bool) -> Granted:
        limit = min(self.admitted.route.objective * MAX_WAIT_FRACTION, self.admitted.time_left())
        ask = GrantRequest(self.request, limit, self.excluded())
        asked_at = time.monotonic()
        grant = await self._request_safer_grant(ask) if is_long else None
        grant = grant or await self.place(ask)
        waited = time.monotonic() - asked_at
        logs.info("placed", engine=grant.engine, waited=round(waited, 3), is_long=is_long)
        return grant

    async def place(self, ask: GrantRequest) -> Granted:
        """Return a place of this failure domain's scheduler, or else of another domain's."""
        remote, began = RemoteSearch(self.fleet, self.admitted), time.monotonic()
        if not self.may_be_served_here():
            return await remote.find(ask)
        try:
            return await self.fleet.placement.place(ask, self.admitted.homes().allow)
        except RequestRefused as error:
            # Its domain may have been drained while it waited there.
            if error.reason != NO_ENGINE or self.may_be_served_here():
                raise
        left = max(0.0, ask.wait_limit - (time.monotonic() - began))
        return await remote.find(evolve(ask, wait_limit=left))

    def may_be_served_here(self) -> bool:
        """Return True if this domain's scheduler may find a place for the request.

        It may not if homes exclude this region, or if any engine here is drained or cold and none
        takes work.
        """
        notices = self.fleet.notices
        if not self.admitted.homes().allow(self.fleet.here.region):
            return False
        servers = self._servers_here()
        is_shut = any(host.is_drained or notices.cold.is_cold(host.name) for host in servers)
        return not is_shut or any(map(notices.takes_work, servers))

    def _servers_here(self) -> list[Host]:
        servers = self.fleet.servers(self.admitted.service)
        return [host for host in servers if host.domain == self.fleet.here.domain]

    async def _request_safer_grant(self, ask: GrantRequest) -> Granted | None:
        """Request a grant in a failure domain whose engines' runs can be moved nearby.

        Returns None if there is none.
        """
        domains = self.fleet.safer_domains(self.admitted)
        grant = await self.fleet.placement.place_in(domains, ask) if domains else None
        if domains and grant is None:
            logs.info("no grant in a safer domain", domains=domains)
        return grant

    async def _wait_until_listed(self, engine: str) -> Host | None:
        """Return an engine from the host list, or None if it isn't there in time.

        A scheduler may know an engine before its entry arrives here.
        """
        for _ in range(LISTING_ATTEMPTS):
            host = self.fleet.host(engine)
            if host is not None:
                return host
            await asyncio.sleep(LISTING_RETRY_DELAY)
        return None
