"""Reports the streams that a daemon relays to the schedulers that keep the ledgers of them."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field, frozen

from papayacourse.membership import Membership
from papayacourse.messages import StreamReport, StreamState
from papayacourse.rendezvous import scheduling_duty

REPORT_INTERVAL = 1.0  # seconds
OWNER_CHECK = 0.2  # seconds between looks at who schedules


@frozen
class Audience:
    """Who is to hear of streams: the scheduler of a service in a failure domain."""

    team: str
    service: str
    domain: str


@define(eq=False)
class Reporting:
    """Tells each scheduler once a second, and a new one at once, what this daemon relays.

    Attributes
    ----------
    relayed : dict of str to StreamState
        The streams that this daemon relays, by stream id.
    placed_in : dict of str to str
        The failure domain of each stream that was placed in another one.
    send : callable
        Sends a report to a daemon.
    """

    membership: Membership
    relayed: dict[str, StreamState]
    placed_in: dict[str, str]
    send: Callable[[str, StreamReport], Awaitable[None]]
    clock: Callable[[], float] = time.monotonic
    reported_to: dict[Audience, tuple[str, float]] = field(factory=dict)

    async def run(self) -> None:
        """Report for ever.

        A new scheduler hears at once, and also that there are no streams: it gives out only a
        part of the engines until every daemon has spoken.
        """
        while True:
            await asyncio.sleep(OWNER_CHECK)
            for audience in self._audiences():
                owner = self._owner(audience)
                if owner and self._due(audience, owner):
                    await self._report(audience, owner)

    def _audiences(self) -> set[Audience]:
        """Return every scheduler that should hear from this daemon."""
        here = self.membership.me.domain
        services = self.membership.catalog.model_services()
        found = {Audience(team, service, here) for team, service in services}
        return found | {self._audience(state) for state in self.relayed.values()}

    def _audience(self, state: StreamState) -> Audience:
        generation = state.generation
        domain = self.placed_in.get(generation.stream, self.membership.me.domain)
        return Audience(generation.team, generation.service, domain)

    def _owner(self, audience: Audience) -> str:
        """Return the daemon that schedules; no name where another domain is out of reach."""
        duty = scheduling_duty(audience.team, audience.service)
        owners = self.membership.owners(duty, audience.domain)
        if owners:
            return owners[0]
        here = audience.domain == self.membership.me.domain
        return self.membership.me.name if here else ""

    def _due(self, audience: Audience, owner: str) -> bool:
        told, at = self.reported_to.get(audience, ("", 0.0))
        if owner != told:
            return True
        streams = any(True for _ in self._states(audience))
        return streams and self.clock() - at >= REPORT_INTERVAL

    def _states(self, audience: Audience) -> Iterator[StreamState]:
        return (state for state in self.relayed.values() if self._audience(state) == audience)

    async def _report(self, audience: Audience, owner: str) -> None:
        self.reported_to[audience] = (owner, self.clock())
        states = tuple(self._states(audience))
        name = self.membership.me.name
        await self.send(owner, StreamReport(name, audience.team, audience.service, states))
