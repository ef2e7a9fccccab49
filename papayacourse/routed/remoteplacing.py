"""Finds an engine in another failure domain for a generation that its own domain cannot place.

A daemon outside a request's home regions, or in a domain without an engine that takes work, has no
scheduler whose queue the request could wait in. It asks the schedulers of the other domains for a
place that is free now, and asks again until the request has waited for as long as it may.
"""

import asyncio
import random
import time

from attrs import define

from papayacourse import logs
from papayacourse.exceptions import RequestRefused
from papayacourse.loads import total_load
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.fleetview import FleetView
from papayacourse.schedulingmessages import Granted, GrantRequest

ASK_INTERVAL = 0.15  # seconds, the longest pause between rounds over the domains; at least half
RETRY_AFTER = 0.5  # seconds that a refused caller is told to wait


@define(eq=False)
class RemoteSearch:
    """Asks other failure domains for a place for one request."""

    fleet: FleetView
    admitted: AdmittedRequest

    async def find(self, ask: GrantRequest) -> Granted:
        """Return a place in another failure domain.

        Raises
        ------
        RequestRefused
            At once when no other domain may serve the request; later when none had a place in time.
        """
        deadline = time.monotonic() + ask.wait_limit
        while True:
            domains = self._domains()
            if not domains:
                raise self._logged_refusal(
                    "no_engine", "no other domain may serve it and has engines"
                )
            granted = await self.fleet.placement.place_in(domains, ask)
            if granted is not None:
                return granted
            if time.monotonic() > deadline:
                raise self._logged_refusal(
                    "overloaded", "no place in another domain came free in time"
                )
            await asyncio.sleep(ASK_INTERVAL * random.uniform(0.5, 1.0))

    def _domains(self) -> list[str]:
        """Return the domains to ask: those of this region first, then by their expected wait."""
        here, service = self.fleet.here, self.admitted.service
        places = {
            host.domain: host.region
            for host in self.fleet.servers(service)
            if self.fleet.notices.takes_work(host) and self.admitted.may_go_to(host)
        }
        places.pop(here.domain, None)
        return sorted(
            places,
            key=lambda domain: (
                places[domain] != here.region, self._expected_wait(domain), random.random()
            ),
        )  # fmt: skip

    def _expected_wait(self, domain: str) -> float:
        """Return the expected wait in a domain, in seconds; 0 if its load is unknown."""
        load = total_load(self.fleet.loads(domain, self.admitted.service))
        return load.expected_wait if load is not None else 0.0

    def _logged_refusal(self, reason: str, detail: str) -> RequestRefused:
        """Log that no place was found, and return the refusal to raise."""
        logs.info("no place elsewhere", reason=reason, homes=self.admitted.homes().names())
        return RequestRefused(503, reason, detail, retry_after=RETRY_AFTER)
