"""Reports the streams that a daemon relays to the schedulers that keep the ledgers of them."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field, frozen

from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.numbering import write_progress
from papayacourse.rendezvous import ranked
from papayacourse.schedulingmessages import (
    ProgressReport,
    StreamReport,
    StreamState,
    StreamsUnknown,
)
from papayacourse.ticks import next_tick

REPORT_INTERVAL = 1.0  # seconds
CELL_REPORT_INTERVAL = 1.8  # seconds, where a service has several schedulers; below that of beats
OWNER_CHECK = 0.2  # seconds between looks at who schedules


@frozen
class Audience:
    """Who is to hear of streams: the scheduler of a cell in a failure domain."""

    cell: Cell
    domain: str


@frozen
class Owner:
    """The daemon that schedules, and which of its processes."""

    name: str
    incarnation: int


@define(eq=False)
class Reporting:
    """Tells each scheduler every second or two, and a new one at once, what this daemon relays.

    Attributes
    ----------
    cell_map : CellMap
        Which cell an engine belongs to.
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
    cell_map: CellMap
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
            await next_tick(OWNER_CHECK)
            await asyncio.gather(*(self._report(*due) for due in list(self._due())))

    def _due(self) -> Iterator[tuple[Audience, Owner, list[StreamState]]]:
        """Yield whom to report to now, and which streams."""
        live: dict[str, list[str]] = {}
        for audience, states in self._audiences().items():
            if audience.domain not in live:
                live[audience.domain] = self.membership.live(audience.domain)
            owner = self._owner(audience, live[audience.domain])
            if owner is not None and self._is_due(audience, owner, states):
                yield audience, owner, states

    def _audiences(self) -> dict[Audience, list[StreamState]]:
        """Return every scheduler that should hear from this daemon, and the streams it keeps."""
        here = self.membership.me.domain
        found = {Audience(cell, here): [] for cell in self.cell_map.cells(here)}
        for state in self.relayed.values():
            found.setdefault(self._audience(state), []).append(state)
        return found

    def _audience(self, state: StreamState) -> Audience:
        generation = state.generation
        domain = self.placed_in.get(generation.stream, self.membership.me.domain)
        where = (domain, generation.team, generation.service)
        return Audience(self.cell_map.of_engine(*where, state.engine), domain)

    def _owner(self, audience: Audience, live: list[str]) -> Owner | None:
        """Return the daemon that schedules; None where another domain is out of reach."""
        me = self.membership.me
        owners = ranked(audience.cell.duty, live)
        if not owners and audience.domain != me.domain:
            return None
        member = self.membership.members.get(owners[0]) if owners else None
        if member is None:
            return Owner(me.name, me.incarnation)
        return Owner(member.name, member.incarnation)

    def _is_due(self, audience: Audience, owner: Owner, states: list[StreamState]) -> bool:
        told, at = self.reported_to.get(audience, (None, 0.0))
        if owner != told:
            return True
        return bool(states) and self.clock() - at >= self._interval(audience)

    def _interval(self, audience: Audience) -> float:
        """Return the time between reports; many schedulers hear of few streams each."""
        cell = audience.cell
        layout = self.cell_map.layout(audience.domain, cell.team, cell.service)
        return CELL_REPORT_INTERVAL if len(layout.memory) > 1 else REPORT_INTERVAL

    async def _report(self, audience: Audience, owner: Owner, states: list[StreamState]) -> None:
        """Report in full to a scheduler that has heard nothing yet, else only how far it is."""
        told, _ = self.reported_to.get(audience, (None, 0.0))
        self.reported_to[audience] = (owner, self.clock())
        if owner != told:
            await self._report_whole(audience, owner, tuple(states))
            return
        rows = ((state.number, state.generated) for state in states)
        await self.send(owner.name, write_progress(audience.cell, rows))

    async def asked(self, peer: Hello, unknown: StreamsUnknown) -> None:
        """Report streams in full to a scheduler that does not know them."""
        numbers = set(unknown.numbers)
        states = tuple(state for state in self.relayed.values() if state.number in numbers)
        if states:
            report = StreamReport(unknown.team, unknown.service, states, unknown.cell)
            await self.send(peer.name, report)

    async def _report_whole(
        self, audience: Audience, owner: Owner, states: tuple[StreamState, ...]
    ) -> None:
        cell = audience.cell
        report = StreamReport(cell.team, cell.service, states, cell.number)
        if not await self.send(owner.name, report):
            self.reported_to.pop(audience, None)
