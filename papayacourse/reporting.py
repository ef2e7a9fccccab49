"""Reports the streams that a daemon relays to the schedulers that keep the ledgers of them."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field, frozen

from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.numbering import write_progress
from papayacourse.rendezvous import scheduling_duty
from papayacourse.schedulingmessages import (
    ProgressReport,
    StreamReport,
    StreamState,
    StreamsUnknown,
)

REPORT_INTERVAL = 1.0  # seconds
OWNER_CHECK = 0.2  # seconds between looks at who schedules


@frozen
class Audience:
    """Who is to hear of streams: the scheduler of a service in a failure domain."""

    team: str
    service: str
    domain: str


@frozen
class Owner:
    """The daemon that schedules, and which of its processes."""

    name: str
    incarnation: int


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
        Sends a report to a daemon; tells whether the daemon was reached.
    reported_to : dict of Audience to (Owner, float)
        Who was last reported to, and when, in seconds of the monotonic clock.
    """

    membership: Membership
    relayed: dict[str, StreamState]
    placed_in: dict[str, str]
    send: Callable[[str, StreamReport | ProgressReport], Awaitable[bool]]
    clock: Callable[[], float] = time.monotonic
    reported_to: dict[Audience, tuple[Owner | None, float]] = field(factory=dict)

    async def run(self) -> None:
        """Report for ever.

        A new scheduler hears at once, and also that there are no streams: it gives out only a
        part of the engines until every daemon has spoken.
        """
        while True:
            await asyncio.sleep(OWNER_CHECK)
            due = [(audience, self._owner(audience)) for audience in self._audiences()]
            await asyncio.gather(
                *(self._report(*pair) for pair in due if pair[1] and self._due(*pair))
            )

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

    def _owner(self, audience: Audience) -> Owner | None:
        """Return the daemon that schedules; None where another domain is out of reach."""
        me = self.membership.me
        duty = scheduling_duty(audience.team, audience.service)
        owners = self.membership.owners(duty, audience.domain)
        if not owners and audience.domain != me.domain:
            return None
        member = self.membership.members.get(owners[0]) if owners else None
        if member is None:
            return Owner(me.name, me.incarnation)
        return Owner(member.name, member.incarnation)

    def _due(self, audience: Audience, owner: Owner) -> bool:
        told, at = self.reported_to.get(audience, (None, 0.0))
        if owner != told:
            return True
        streams = any(True for _ in self._states(audience))
        return streams and self.clock() - at >= REPORT_INTERVAL

    def _states(self, audience: Audience) -> Iterator[StreamState]:
        return (state for state in self.relayed.values() if self._audience(state) == audience)

    async def _report(self, audience: Audience, owner: Owner) -> None:
        """Report in full to a scheduler that has heard nothing yet, else only how far it is."""
        told, _ = self.reported_to.get(audience, (None, 0.0))
        self.reported_to[audience] = (owner, self.clock())
        if owner != told:
            await self._report_whole(audience, owner, tuple(self._states(audience)))
            return
        rows = ((state.number, state.generated) for state in self._states(audience))
        await self.send(owner.name, write_progress(audience.team, audience.service, rows))

    async def asked(self, peer: Hello, unknown: StreamsUnknown) -> None:
        """Report streams in full to a scheduler that does not know them."""
        numbers = set(unknown.numbers)
        states = tuple(state for state in self.relayed.values() if state.number in numbers)
        if states:
            await self.send(peer.name, StreamReport(unknown.team, unknown.service, states))

    async def _report_whole(
        self, audience: Audience, owner: Owner, states: tuple[StreamState, ...]
    ) -> None:
        report = StreamReport(audience.team, audience.service, states)
        if not await self.send(owner.name, report):
            self.reported_to.pop(audience, None)
