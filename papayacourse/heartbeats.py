"""Sends heartbeats: periodic beats, and full heartbeats when the state here changes."""

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

CHECK_INTERVAL = 1.0  # seconds between checks for a changed heartbeat
BEAT_INTERVAL = 2.0  # seconds without a frame to a peer within which it gets a beat
ROUND_INTERVAL = 0.5  # seconds between rounds over all peers, so that beats keep BEAT_INTERVAL
FULL_INTERVAL = 10.0  # seconds after which a full heartbeat is sent even if unchanged
UNWATCHED_FULL_INTERVAL = 20.0  # seconds, for a peer that expects no beats
MIN_INTERVAL_FRACTION = 0.8  # of the full intervals; staggers peers that connected at once

NEVER = float("-inf")


@define
class SentHeartbeat:
    """The last full heartbeat sent to a peer.

    Attributes
    ----------
    until : float
        When the next full heartbeat is due, in seconds of the clock.
    """

    link: Link | None = None
    beat: Heartbeat | None = None
    until: float = NEVER


@define(eq=False)
class Heartbeats:
    """Sends heartbeats and beats to all peers, in one round over all of them.

    Attributes
    ----------
    now : callable
        Returns the current heartbeat of this daemon.
    needs_link : callable
        Returns True if this daemon keeps a link to the named peer.
    expects_beats : callable
        Returns True if the named peer expects frequent frames, also without a change.
    on_failed : callable
        Called with the name of a peer to which sending failed.
    pushes_versions : callable
        Returns True if newer settings and hosts are pushed to the named peer otherwise.
    sent_to : dict of str to SentHeartbeat
        The peers that get heartbeats, and what each was last sent.
    dial_tasks : dict of str to Task
        The tasks that open links to peers without one.
    """

    peers: Peers
    now: Callable[[], Heartbeat]
    needs_link: Callable[[str], bool]
    expects_beats: Callable[[str], bool]
    on_failed: Callable[[str], None]
    pushes_versions: Callable[[str], bool] = lambda _name: False
    clock: Callable[[], float] = time.monotonic
    sent_to: dict[str, SentHeartbeat] = field(factory=dict)
    dial_tasks: dict[str, asyncio.Task] = field(factory=dict)
    checked_at: float = NEVER

    def add_peer(self, name: str) -> None:
        """Start heartbeats to a peer that needs a link and gets none yet."""
        if name not in self.sent_to and self.needs_link(name):
            self.sent_to[name] = SentHeartbeat()
            self._send_due_to(name, self.now())

    async def run(self) -> None:
        """Run the rounds over all peers periodically."""
        while True:
            await next_tick(ROUND_INTERVAL)
            self.send_due()

    def send_due(self) -> None:
        """Send changed heartbeats within a second, and beats to quiet peers."""
        beat = None
        if self.clock() - self.checked_at >= CHECK_INTERVAL - ROUND_INTERVAL / 2:
            self.checked_at = self.clock()
            beat = self.now()
        for name in list(self.sent_to):
            if self.needs_link(name):
                self._send_due_to(name, beat)
            else:
                del self.sent_to[name]

    def _send_due_to(self, name: str, beat: Heartbeat | None) -> None:
        """Send one peer the heartbeat if it is due, or else a beat if that is due.

        A beat is sent only to a peer that expects beats and has not been sent a frame recently.
        """
        link = self.peers.links.get(name)
        if link is None:
            self._dial(name)
            return
        try:
            if beat is not None and self._is_due(name, link, beat):
                self._send_heartbeat(name, link, beat)
            elif self.expects_beats(name) and self._is_quiet(link):
                self.peers.send_on_open_link(name, Beat())
        except PeerError as error:
            self._handle_failure(name, error)

    def _is_due(self, name: str, link: Link, beat: Heartbeat) -> bool:
        last = self.sent_to[name]
        if link is not last.link or self.clock() > last.until:
            return True
        return differs(last.beat, beat, with_versions=not self.pushes_versions(name))

    def _is_quiet(self, link: Link) -> bool:
        return self.clock() - link.last_sent > BEAT_INTERVAL - ROUND_INTERVAL

    def _send_heartbeat(self, name: str, link: Link, beat: Heartbeat) -> None:
        self.peers.send_on_open_link(name, beat)
        interval = FULL_INTERVAL if self.expects_beats(name) else UNWATCHED_FULL_INTERVAL
        until = self.clock() + interval * random.uniform(MIN_INTERVAL_FRACTION, 1.0)
        self.sent_to[name] = SentHeartbeat(link, beat, until)

    def _dial(self, name: str) -> None:
        if name not in self.dial_tasks:
            task = asyncio.create_task(self._open_link(name))
            self.dial_tasks[name] = task
            task.add_done_callback(lambda _: self.dial_tasks.pop(name, None))

    async def _open_link(self, name: str) -> None:
        try:
            await self.peers.link_to(name)
        except PeerError as error:
            self._handle_failure(name, error)
            return
        if name in self.sent_to:
            self._send_due_to(name, self.now())

    def _handle_failure(self, name: str, error: PeerError) -> None:
        logs.debug("heartbeat not sent", peer=name, why=str(error))
        self.on_failed(name)

    def send_to_all(self) -> None:
        """Send the current heartbeat to every linked peer."""
        beat = self.now()
        for name in list(self.peers.links):
            try:
                self.peers.send_on_open_link(name, beat)
            except PeerError as error:
                logs.debug("heartbeat not sent", peer=name, why=str(error))


def differs(sent: Heartbeat, now: Heartbeat, with_versions: bool = True) -> bool:
    """Return True if a heartbeat differs enough from the last one sent to be sent.

    Parameters
    ----------
    with_versions : bool
        Whether newer settings and hosts count as a difference.
    """
    ignored = {"loads": sent.loads}
    if not with_versions:
        ignored |= {
            "hosts_version": sent.hosts_version, "hosts_epoch": sent.hosts_epoch,
            "document_version": sent.document_version,
        }  # fmt: skip
    return sent != evolve(now, **ignored) or significant_change(sent.loads, now.loads)
