"""Tells each peer that this daemon lives, and what has changed here."""

import asyncio
import random
import time
from collections.abc import Callable

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.exceptions import PeerError
from papayacourse.link import Link
from papayacourse.loads import significant_change
from papayacourse.meshmessages import Beat, Heartbeat
from papayacourse.peers import Peers
from papayacourse.ticks import next_tick

CHECK_INTERVAL = 1.0  # seconds between looks at what a heartbeat would say
BEAT_INTERVAL = 2.0  # seconds without any frame to a peer before which it gets a beat
LOOK_INTERVAL = 0.5  # seconds between rounds over all peers; beats keep to BEAT_INTERVAL by it
FULL_INTERVAL = 10.0  # seconds after which a heartbeat is sent in full, changed or not
FAR_FULL_INTERVAL = 20.0  # seconds, to a peer that expects no beats
FULL_SPREAD = 0.8  # least part of these intervals, so that peers met at once get theirs apart

NEVER = float("-inf")


@define
class Told:
    """What one peer has last been told in full.

    Attributes
    ----------
    until : float
        When it is to be told in full again, in seconds of the clock.
    """

    link: Link | None = None
    beat: Heartbeat | None = None
    until: float = NEVER


@define(eq=False)
class Heartbeats:
    """Keeps every peer told, in one round over all of them.

    Attributes
    ----------
    now : callable
        Returns the heartbeat as it should be now.
    is_wanted : callable
        Tells by name whether a peer is still to be told.
    expects_beats : callable
        Tells by name whether a peer is to hear something often, changed or not.
    on_failed : callable
        Called with the name of a peer that could not be told.
    hears_versions : callable
        Tells by name whether a peer hears of newer settings and hosts in another way.
    kept : dict of str to Told
        The peers that are kept told.
    dialling : dict of str to Task
        The links being opened to peers that have none.
    """

    peers: Peers
    now: Callable[[], Heartbeat]
    is_wanted: Callable[[str], bool]
    expects_beats: Callable[[str], bool]
    on_failed: Callable[[str], None]
    hears_versions: Callable[[str], bool] = lambda _name: False
    clock: Callable[[], float] = time.monotonic
    kept: dict[str, Told] = field(factory=dict)
    dialling: dict[str, asyncio.Task] = field(factory=dict)
    checked_at: float = NEVER

    def keep(self, name: str) -> None:
        """Begin to keep a peer told, if it is to be and is not yet."""
        if name not in self.kept and self.is_wanted(name):
            self.kept[name] = Told()
            self._look_at(name, self.now())

    async def run(self) -> None:
        """Look at all peers again and again, for ever."""
        while True:
            await next_tick(LOOK_INTERVAL)
            self.look()

    def look(self) -> None:
        """Tell each peer within a second what has changed, and by a beat that nothing has."""
        beat = None
        if self.clock() - self.checked_at >= CHECK_INTERVAL - LOOK_INTERVAL / 2:
            self.checked_at = self.clock()
            beat = self.now()
        for name in list(self.kept):
            if self.is_wanted(name):
                self._look_at(name, beat)
            else:
                del self.kept[name]

    def _look_at(self, name: str, beat: Heartbeat | None) -> None:
        """Tell one peer what it is to be told now; without a heartbeat only that nothing changed.

        A beat is sent only to a peer that expects beats and has had no other frame for a while.
        """
        link = self.peers.links.get(name)
        if link is None:
            self._dial(name)
            return
        try:
            if beat is not None and self._is_news(name, link, beat):
                self._tell(name, link, beat)
            elif self.expects_beats(name) and self._is_quiet(link):
                self.peers.send_on_open_link(name, Beat())
        except PeerError as error:
            self._note_failed(name, error)

    def _is_news(self, name: str, link: Link, beat: Heartbeat) -> bool:
        told = self.kept[name]
        if link is not told.link or self.clock() > told.until:
            return True
        return differs(told.beat, beat, with_versions=not self.hears_versions(name))

    def _is_quiet(self, link: Link) -> bool:
        return self.clock() - link.last_sent > BEAT_INTERVAL - LOOK_INTERVAL

    def _tell(self, name: str, link: Link, beat: Heartbeat) -> None:
        self.peers.send_on_open_link(name, beat)
        interval = FULL_INTERVAL if self.expects_beats(name) else FAR_FULL_INTERVAL
        until = self.clock() + interval * random.uniform(FULL_SPREAD, 1.0)
        self.kept[name] = Told(link, beat, until)

    def _dial(self, name: str) -> None:
        if name not in self.dialling:
            task = asyncio.create_task(self._open_link(name))
            self.dialling[name] = task
            task.add_done_callback(lambda _: self.dialling.pop(name, None))

    async def _open_link(self, name: str) -> None:
        try:
            await self.peers.link_to(name)
        except PeerError as error:
            self._note_failed(name, error)
            return
        if name in self.kept:
            self._look_at(name, self.now())

    def _note_failed(self, name: str, error: PeerError) -> None:
        logs.debug("heartbeat not sent", peer=name, why=str(error))
        self.on_failed(name)

    def tell_all(self) -> None:
        """Tell every linked peer now."""
        beat = self.now()
        for name in list(self.peers.links):
            try:
                self.peers.send_on_open_link(name, beat)
            except PeerError as error:
                logs.debug("heartbeat not sent", peer=name, why=str(error))


def differs(sent: Heartbeat, now: Heartbeat, with_versions: bool = True) -> bool:
    """Tell whether a heartbeat says something else than the last one that is worth a frame.

    Parameters
    ----------
    with_versions : bool
        Whether newer settings and hosts are.
    """
    kept = {"loads": sent.loads}
    if not with_versions:
        kept |= {
            "hosts_version": sent.hosts_version, "hosts_epoch": sent.hosts_epoch,
            "document_version": sent.document_version,
        }  # fmt: skip
    return sent != evolve(now, **kept) or significant_change(sent.loads, now.loads)
