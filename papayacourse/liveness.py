"""Finds out which daemons of this domain have died: each is watched by its neighbours on a ring.

A daemon that is not watched counts as alive until a neighbour of it reports its death, and even
then only once it has not answered to a question of one's own. So nobody is taken for dead on
hearsay, and daemons whose views of the ring differ for a moment do no harm.
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

WATCH_INTERVAL = 0.25  # seconds between looks
DEAD_AFTER = 4.0  # seconds without a frame
PROBE_AFTER = 2.5  # seconds without a frame after which a daemon is asked for a sign of life
PROBE_TIMEOUT = 1.0  # seconds; also the time between two probes
DOUBT_TIME = 1.0  # seconds in which a daemon reported dead must be heard
FAR_SILENCE = 50.0  # seconds without a frame after which anybody is watched
WATCH_ALL_TIME = 12.0  # seconds
MAX_PAUSE = 2.0  # seconds between two looks; after more, this daemon was itself stopped


@define(eq=False)
class Watch:
    """Decides who is dead in this domain.

    Attributes
    ----------
    members : dict of str to Member
        Every other daemon known, of any domain.
    on_changed : callable
        Called once a daemon has been taken for dead.
    neighbours : set of str
        This daemon's neighbours on the ring.
    since : dict of str to float
        Who is watched, and from when on; in seconds of the monotonic clock.
    doubts : dict of str to float
        Who has been reported dead and not been heard since, and when that was.
    awake_since : float
        When this daemon last woke from a pause.
    all_until : float
        Until when everybody is watched: a while after a neighbour's death, since more may be cut
        off than the neighbours, and after a pause, in which reports may have been missed.
    """

    me: Hello
    peers: Peers
    members: dict[str, Member]
    on_changed: Callable[[], None]
    clock: Callable[[], float] = time.monotonic
    neighbours: set[str] = field(factory=set)
    since: dict[str, float] = field(factory=dict)
    doubts: dict[str, float] = field(factory=dict)
    probed: dict[str, float] = field(factory=dict)
    probes: set[asyncio.Task] = field(factory=set)
    looked_at: float = inf
    awake_since: float = NEVER
    all_until: float = NEVER

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[DeathReport] = self.reported
        self.peers.silent_since = self.silent_since

    # Queries.

    def expects_beats(self, name: str) -> bool:
        """Tell whether a peer is to hear from this daemon often."""
        member = self.members.get(name)
        if member is None or member.domain != self.me.domain or not member.is_on_ring:
            return True
        return name in self.since

    def silent_since(self, name: str) -> float:
        """Return the moment from which a peer's silence counts against its links."""
        member = self.members.get(name)
        if member is None or member.domain != self.me.domain or member.is_dead:
            return NEVER
        if not member.answers:
            return member.suspected
        return max(self.since.get(name, inf), self.awake_since)

    def _here(self) -> list[Member]:
        return [m for m in self.members.values() if m.domain == self.me.domain]

    def _is_watched(self, member: Member, now: float) -> bool:
        name = member.name
        if name in self.neighbours or now < self.all_until:
            return True
        # Of two links, the one that both ends keep is known by what still comes on it.
        has_one_link = len(self.peers.open_links.get(name, ())) == 1
        return not has_one_link or now - member.last_heard > FAR_SILENCE

    def _deadline(self, member: Member) -> float:
        """Return when a daemon is to be taken for dead, if nothing comes from it until then."""
        name = member.name
        heard = max(member.last_heard, self.awake_since)
        watched = max(heard, self.since.get(name, inf)) + DEAD_AFTER
        doubted = max(heard + DEAD_AFTER, self.doubts.get(name, inf) + DOUBT_TIME)
        return min(watched, doubted)

    # Commands.

    async def run(self) -> None:
        """Look again and again, for ever."""
        while True:
            await next_tick(WATCH_INTERVAL)
            self.look()

    def look(self) -> None:
        """See who is to be watched, who to be asked, and who is dead."""
        now = self.clock()
        if now - self.looked_at > MAX_PAUSE:
            # What the others said meanwhile has yet to be read.
            self.awake_since, self.all_until = now, now + WATCH_ALL_TIME
        self.looked_at = now
        here = self._here()
        self.neighbours = neighbours(self.me.name, [m.name for m in here if not m.is_dead])
        watched = [m.name for m in here if self._is_watched(m, now)]
        self.since = {name: self.since.get(name, now) for name in watched}
        known = {m.name: m.last_heard for m in here}
        self.doubts = {n: at for n, at in self.doubts.items() if known.get(n, inf) <= at}
        self.probed = {name: at for name, at in self.probed.items() if name in known}
        for member in here:
            if not member.is_dead and now > self._deadline(member):
                self._take_for_dead(member, now)
            elif self._is_to_be_asked(member, now):
                self._ask(member.name, now)

    def _is_to_be_asked(self, member: Member, now: float) -> bool:
        if not member.answers or member.name in self.doubts:
            return True
        return member.name in self.since and now - member.last_heard > PROBE_AFTER

    def _ask(self, name: str, now: float) -> None:
        """Ask a daemon for a sign of life, where there is a link and it was not asked just now."""
        if name in self.peers.links and now - self.probed.get(name, NEVER) >= PROBE_TIMEOUT:
            self.probed[name] = now
            task = asyncio.create_task(self._probe(name))
            self.probes.add(task)
            task.add_done_callback(self.probes.discard)

    async def _probe(self, name: str) -> None:
        """Send a beat that wants an answer, which counts as any other frame does."""
        try:
            await self.peers.call(name, Beat(), PROBE_TIMEOUT)
        except PeerError as error:
            logs.debug("no sign of life", peer=name, why=str(error))

    def _take_for_dead(self, member: Member, now: float) -> None:
        member.died = now
        is_reported = self.doubts.pop(member.name, None) is not None
        logs.info("daemon taken for dead", peer=member.name)
        self.on_changed()
        # Where many die at once, those in the middle have no neighbour left that watches them.
        is_found = now < self.all_until and not is_reported
        if member.name in self.neighbours or is_found:
            self._report(DeathReport(member.name, member.incarnation))
        if member.name in self.neighbours:
            self.all_until = now + WATCH_ALL_TIME

    def _report(self, report: DeathReport) -> None:
        """Tell every other daemon of this domain that one is dead."""
        for member in self._here():
            if member.is_on_ring and member.name in self.peers.links:
                try:
                    self.peers.send_on_open_link(member.name, report)
                except PeerError as error:
                    logs.debug("death not reported", peer=member.name, why=str(error))

    async def reported(self, _peer: Hello, report: DeathReport) -> None:
        """Ask a daemon itself that another one takes for dead."""
        member = self.members.get(report.name)
        if member is None or member.domain != self.me.domain or member.is_dead:
            return
        if report.incarnation >= member.incarnation:
            now = self.clock()
            self.doubts.setdefault(report.name, now)
            self._ask(report.name, now)
