"""Failure detection within a domain: each daemon is monitored by its neighbours on a ring.

A daemon that is not watched here counts as alive until one of its neighbours reports its death
and it also fails to answer a probe sent from here. A report alone never makes a daemon dead, so
brief differences between the daemons' views of the ring are harmless.
"""

import asyncio
import time
from collections.abc import Callable
from math import inf

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import PeerError
from papayacourse.members import NEVER, Member
from papayacourse.meshmessages import Beat, DeathReport, Hello
from papayacourse.peers import Peers
from papayacourse.ring import neighbours
from papayacourse.ticks import next_tick

WATCH_INTERVAL = 0.25  # seconds between checks
DEAD_AFTER = 4.0  # seconds without a frame
PROBE_AFTER = 2.5  # seconds without a frame after which a daemon is probed
PROBE_TIMEOUT = 1.0  # seconds; also the least time between two probes
REPORT_CONFIRMATION_SECONDS = 1.0  # a daemon reported dead must send a frame within it
MAX_UNWATCHED_SILENCE_SECONDS = 50.0  # any daemon silent for longer is watched
WATCH_ALL_SECONDS = 12.0
MAX_CHECK_GAP_SECONDS = 2.0  # after a longer gap, this daemon itself was suspended


@define(eq=False)
class FailureDetector:
    """Decides which daemons of this domain are dead.

    Attributes
    ----------
    members : dict of str to Member
        Every other known daemon, of any domain.
    on_changed : callable
        Called after a daemon has been declared dead.
    neighbours : set of str
        This daemon's neighbours on the ring.
    watched_since : dict of str to float
        The watched daemons and when watching began, in seconds of the monotonic clock.
    reported_dead_at : dict of str to float
        The daemons reported dead that have sent no frame since, and when they were reported.
    resumed_at : float
        When this daemon last resumed after a suspension.
    watch_all_until : float
        Until when all daemons are watched: for a while after a neighbour's death, since others
        may be unreachable as well, and after a suspension, which may have missed reports.
    """

    me: Hello
    peers: Peers
    members: dict[str, Member]
    on_changed: Callable[[], None]
    clock: Callable[[], float] = time.monotonic
    neighbours: set[str] = field(factory=set)
    watched_since: dict[str, float] = field(factory=dict)
    reported_dead_at: dict[str, float] = field(factory=dict)
    probed: dict[str, float] = field(factory=dict)
    probes: set[asyncio.Task] = field(factory=set)
    last_check_at: float = inf
    resumed_at: float = NEVER
    watch_all_until: float = NEVER

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[DeathReport] = self.handle_death_report
        self.peers.silent_since = self.silent_since

    # Queries.

    def expects_beats(self, name: str) -> bool:
        """Return True if a peer expects frequent frames from this daemon."""
        member = self.members.get(name)
        if member is None or member.domain != self.me.domain or not member.is_on_ring:
            return True
        return name in self.watched_since

    def silent_since(self, name: str) -> float:
        """Return the time from which a peer's silence counts against its links."""
        member = self.members.get(name)
        if member is None or member.domain != self.me.domain or member.is_dead:
            return NEVER
        if not member.answers:
            return member.suspected
        return max(self.watched_since.get(name, inf), self.resumed_at)

    def _domain_members(self) -> list[Member]:
        return [m for m in self.members.values() if m.domain == self.me.domain]

    def _needs_watching(self, member: Member, now: float) -> bool:
        name = member.name
        if name in self.neighbours or now < self.watch_all_until:
            return True
        # With two links open, received frames show which of them both ends keep.
        has_one_link = len(self.peers.open_links.get(name, ())) == 1
        return not has_one_link or now - member.last_heard > MAX_UNWATCHED_SILENCE_SECONDS

    def _deadline(self, member: Member) -> float:
        """Return the time at which a daemon is declared dead unless it sends a frame first."""
        name = member.name
        last_heard = max(member.last_heard, self.resumed_at)
        silent = max(last_heard, self.watched_since.get(name, inf)) + DEAD_AFTER
        reported = max(
            last_heard + DEAD_AFTER,
            self.reported_dead_at.get(name, inf) + REPORT_CONFIRMATION_SECONDS,
        )
        return min(silent, reported)

    # Commands.

    async def run(self) -> None:
        """Check the members periodically."""
        while True:
            await next_tick(WATCH_INTERVAL)
            self.check_members()

    def check_members(self) -> None:
        """Update the watched daemons, probe silent ones and declare dead ones."""
        now = self.clock()
        if now - self.last_check_at > MAX_CHECK_GAP_SECONDS:
            # Frames that arrived during the suspension have not been read yet.
            self.resumed_at, self.watch_all_until = now, now + WATCH_ALL_SECONDS
        self.last_check_at = now
        members = self._domain_members()
        self.neighbours = neighbours(self.me.name, [m.name for m in members if not m.is_dead])
        watched = [m.name for m in members if self._needs_watching(m, now)]
        self.watched_since = {name: self.watched_since.get(name, now) for name in watched}
        known = {m.name: m.last_heard for m in members}
        self.reported_dead_at = {
            n: at for n, at in self.reported_dead_at.items() if known.get(n, inf) <= at
        }
        self.probed = {name: at for name, at in self.probed.items() if name in known}
        for member in members:
            if not member.is_dead and now > self._deadline(member):
                self._declare_dead(member, now)
            elif self._needs_probe(member, now):
                self._start_probe(member.name, now)

    def _needs_probe(self, member: Member, now: float) -> bool:
        if not member.answers or member.name in self.reported_dead_at:
            return True
        return member.name in self.watched_since and now - member.last_heard > PROBE_AFTER

    def _start_probe(self, name: str, now: float) -> None:
        """Probe a linked daemon, at most once every `PROBE_TIMEOUT`."""
        if name in self.peers.links and now - self.probed.get(name, NEVER) >= PROBE_TIMEOUT:
            self.probed[name] = now
            task = asyncio.create_task(self._probe(name))
            self.probes.add(task)
            task.add_done_callback(self.probes.discard)

    async def _probe(self, name: str) -> None:
        """Send a beat that requires an answer; the answer counts like any other frame."""
        try:
            await self.peers.call(name, Beat(), PROBE_TIMEOUT)
        except PeerError as error:
            logs.debug("probe not answered", peer=name, why=str(error))

    def _declare_dead(self, member: Member, now: float) -> None:
        member.died = now
        is_reported = self.reported_dead_at.pop(member.name, None) is not None
        logs.info("daemon taken for dead", peer=member.name)
        self.on_changed()
        # When many daemons die at once, some have no live neighbour left to report them.
        is_own_finding = now < self.watch_all_until and not is_reported
        if member.name in self.neighbours or is_own_finding:
            self._report(DeathReport(member.name, member.incarnation))
        if member.name in self.neighbours:
            self.watch_all_until = now + WATCH_ALL_SECONDS

    def _report(self, report: DeathReport) -> None:
        """Report a dead daemon to every other daemon of this domain."""
        for member in self._domain_members():
            if member.is_on_ring and member.name in self.peers.links:
                try:
                    self.peers.send_on_open_link(member.name, report)
                except PeerError as error:
                    logs.debug("death report not sent", peer=member.name, why=str(error))

    async def handle_death_report(self, _peer: Hello, report: DeathReport) -> None:
        """Probe a daemon that a peer has reported dead."""
        member = self.members.get(report.name)
        if member is None or member.domain != self.me.domain or member.is_dead:
            return
        if report.incarnation >= member.incarnation:
            now = self.clock()
            self.reported_dead_at.setdefault(report.name, now)
            self._start_probe(report.name, now)
