"""Reports the streams that a daemon relays to the schedulers that account for them."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field, frozen

from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.numbering import ProgressRow, encode_progress
from papayacourse.rendezvous import ranked
from papayacourse.schedulingmessages import (
    ProgressReport,
    StreamReport,
    StreamState,
    StreamsUnknown,
)
from papayacourse.ticks import next_tick

REPORT_INTERVAL = 1.0  # seconds
CELL_REPORT_INTERVAL = 1.8  # seconds, if a service has several cells; below the heartbeat interval
OWNER_CHECK_INTERVAL = 0.2  # seconds between checks for a new scheduler


@frozen
class ReportTarget:
    """The recipient of reports: the scheduler of a cell in a failure domain."""

    cell: Cell
    domain: str


@frozen
class Owner:
    """The daemon that schedules a cell, and the incarnation of its process."""

    name: str
    incarnation: int


@define(eq=False)
class Reporting:
    """Reports the relayed streams to each scheduler periodically, and to a new one at once.

    Attributes
    ----------
    cell_map : CellMap
        The cells of the engines.
    relayed : dict of str to StreamState
        The streams that this daemon relays, by stream id.
    remote_domains : dict of str to str
        By stream id: the failure domain of each stream placed outside this one.
    send : callable
        Sends a report to a daemon; returns False if it could not be delivered.
    reported_to : dict of ReportTarget to (Owner, float)
        The owner last reported to, and when, in seconds of the monotonic clock.
    longest_gaps : dict of str to float
        By stream id: the longest gap between two events since the last report, in seconds.
    """

    membership: Membership
    cell_map: CellMap
    relayed: dict[str, StreamState]
    remote_domains: dict[str, str]
    send: Callable[[str, StreamReport | ProgressReport], Awaitable[bool]]
    clock: Callable[[], float] = time.monotonic
    reported_to: dict[ReportTarget, tuple[Owner | None, float]] = field(factory=dict)
    longest_gaps: dict[str, float] = field(factory=dict)

    def record_gap(self, stream: str, gap: float) -> None:
        """Record a gap between two events of a stream, in seconds."""
        self.longest_gaps[stream] = max(gap, self.longest_gaps.get(stream, 0.0))

    async def run(self) -> None:
        """Send reports until cancelled.

        A new scheduler gets a report at once, even an empty one, because it grants only a part of
        its engines' capacity until every daemon has reported.
        """
        while True:
            await next_tick(OWNER_CHECK_INTERVAL)
            for stream in self.longest_gaps.keys() - self.relayed.keys():
                del self.longest_gaps[stream]
            await asyncio.gather(*(self._report(*due) for due in list(self._due())))

    def _due(self) -> Iterator[tuple[ReportTarget, Owner, list[StreamState]]]:
        """Yield each report due now: its target, the owner and the streams."""
        live: dict[str, list[str]] = {}
        for target, states in self._targets().items():
            if target.domain not in live:
                live[target.domain] = self.membership.live(target.domain)
            owner = self._owner(target, live[target.domain])
            if owner is not None and self._is_due(target, owner, states):
                yield target, owner, states

    def _targets(self) -> dict[ReportTarget, list[StreamState]]:
        """Return every scheduler that this daemon reports to, with the streams to report."""
        here = self.membership.me.domain
        found = {ReportTarget(cell, here): [] for cell in self.cell_map.cells(here)}
        for state in self.relayed.values():
            found.setdefault(self._target(state), []).append(state)
        return found

    def _target(self, state: StreamState) -> ReportTarget:
        generation = state.generation
        domain = self.remote_domains.get(generation.stream, self.membership.me.domain)
        where = (domain, generation.team, generation.service)
        return ReportTarget(self.cell_map.of_engine(*where, state.engine), domain)

    def _owner(self, target: ReportTarget, live: list[str]) -> Owner | None:
        """Return the daemon that schedules a target; None if its domain is unreachable."""
        me = self.membership.me
        owners = ranked(target.cell.duty, live)
        if not owners and target.domain != me.domain:
            return None
        member = self.membership.members.get(owners[0]) if owners else None
        if member is None:
            return Owner(me.name, me.incarnation)
        return Owner(member.name, member.incarnation)

    def _is_due(self, target: ReportTarget, owner: Owner, states: list[StreamState]) -> bool:
        last_owner, at = self.reported_to.get(target, (None, 0.0))
        if owner != last_owner:
            return True
        return bool(states) and self.clock() - at >= self._interval(target)

    def _interval(self, target: ReportTarget) -> float:
        """Return the seconds between reports; longer with several cells, of few streams each."""
        cell = target.cell
        layout = self.cell_map.layout(target.domain, cell.team, cell.service)
        return CELL_REPORT_INTERVAL if len(layout.memory) > 1 else REPORT_INTERVAL

    async def _report(self, target: ReportTarget, owner: Owner, states: list[StreamState]) -> None:
        """Report in full to a new scheduler, and only the progress to a known one."""
        last_owner, _ = self.reported_to.get(target, (None, 0.0))
        self.reported_to[target] = (owner, self.clock())
        if owner != last_owner:
            await self._report_in_full(target, owner, tuple(states))
            return
        await self.send(owner.name, encode_progress(target.cell, map(self._row, states)))

    def _row(self, state: StreamState) -> ProgressRow:
        gap = self.longest_gaps.pop(state.generation.stream, 0.0)
        return ProgressRow(state.number, state.generated, gap)

    async def report_unknown_streams(self, peer: Hello, unknown: StreamsUnknown) -> None:
        """Report in full the streams that a scheduler does not know."""
        numbers = set(unknown.numbers)
        states = tuple(state for state in self.relayed.values() if state.number in numbers)
        if states:
            report = StreamReport(unknown.team, unknown.service, states, unknown.cell)
            await self.send(peer.name, report)

    async def _report_in_full(
        self, target: ReportTarget, owner: Owner, states: tuple[StreamState, ...]
    ) -> None:
        cell = target.cell
        report = StreamReport(cell.team, cell.service, states, cell.number)
        if not await self.send(owner.name, report):
            self.reported_to.pop(target, None)
