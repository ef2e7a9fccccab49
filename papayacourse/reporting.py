"""Reports the streams that a daemon relays to the schedulers that keep the ledgers of them."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field, frozen

from papayacourse.membership import Membership
from papayacourse.messages import (
    Progress,
    ProgressReport,
    StreamReport,
    StreamState,
    StreamsUnknown,
)
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
        Sends a report to a daemon; returns the streams not known there, or None when the daemon
        was not reached.
    """

    membership: Membership
    relayed: dict[str, StreamState]
    placed_in: dict[str, str]
    send: Callable[[str, StreamReport | ProgressReport], Awaitable[StreamsUnknown | None]]
    clock: Callable[[], float] = time.monotonic
    reported_to: dict[Audience, tuple[str, float]] = field(factory=dict)

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
        """Report in full to a scheduler that has heard nothing yet, else only what has changed."""
        told, _ = self.reported_to.get(audience, ("", 0.0))
        self.reported_to[audience] = (owner, self.clock())
        states = {state.generation.stream: state for state in self._states(audience)}
        if owner != told:
            await self._report_whole(audience, owner, tuple(states.values()))
            return
        rows = tuple(Progress(name, state.generated) for name, state in states.items())
        name = self.membership.me.name
        report = ProgressReport(name, audience.team, audience.service, rows)
        answer = await self.send(owner, report)
        if answer is not None and answer.streams:
            missing = tuple(states[stream] for stream in answer.streams if stream in states)
            await self._report_whole(audience, owner, missing)

    async def _report_whole(
        self, audience: Audience, owner: str, states: tuple[StreamState, ...]
    ) -> None:
        name = self.membership.me.name
        report = StreamReport(name, audience.team, audience.service, states)
        if await self.send(owner, report) is None:
            self.reported_to.pop(audience, None)
