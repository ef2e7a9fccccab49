"""Tells each peer that this daemon lives, and what has changed here."""

import asyncio
import random
import time
from collections.abc import Callable
from math import inf

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.exceptions import PeerError
from papayacourse.loads import significant_change
from papayacourse.meshmessages import Beat, Heartbeat
from papayacourse.peers import Peers

CHECK_INTERVAL = 1.0  # seconds between looks at what a heartbeat would say
BEAT_INTERVAL = 2.0  # seconds without any frame to a peer after which it gets a beat
BEAT_SPREAD = 0.95  # least part of that interval, so that beats to many peers spread out
FULL_INTERVAL = 10.0  # seconds after which a heartbeat is sent in full, changed or not
FAR_FULL_INTERVAL = 20.0  # seconds, to a peer that expects no beats
LOOK_TIME = 0.1  # seconds for which what a heartbeat would say is not looked at again
MIN_PAUSE = 0.02  # seconds between two looks

NEVER = float("-inf")


@define(eq=False)
class Heartbeats:
    """One task for each peer that is kept told.

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
    """

    peers: Peers
    now: Callable[[], Heartbeat]
    is_wanted: Callable[[str], bool]
    expects_beats: Callable[[str], bool]
    on_failed: Callable[[str], None]
    clock: Callable[[], float] = time.monotonic
    tasks: dict[str, asyncio.Task] = field(factory=dict)
    said: Heartbeat | None = None
    looked_at: float = NEVER

    def keep(self, name: str) -> None:
        """Begin to keep a peer told, if it is to be and is not yet."""
        if name not in self.tasks and self.is_wanted(name):
            self.tasks[name] = asyncio.create_task(self._beat(name))

    async def _beat(self, name: str) -> None:
        """Tell one peer within a second what has changed, and by a beat that nothing has.

        A beat is sent only to a peer that expects beats and has had no other frame for a while.
        """
        sent: Heartbeat | None = None
        link, sent_at = None, NEVER
        try:
            while self.is_wanted(name):
                beat = self._to_say()
                full = sent is not beat or link is not self.peers.links.get(name)
                full = full or self.clock() - sent_at > self._full_interval(name)
                try:
                    if full or self._until_beat(name) <= 0:
                        await self.peers.send(name, beat if full else Beat())
                except PeerError as error:
                    logs.debug("heartbeat not sent", peer=name, why=str(error))
                    self.on_failed(name)
                else:
                    link = self.peers.links.get(name)
                    sent, sent_at = (beat, self.clock()) if full else (sent, sent_at)
                pause = CHECK_INTERVAL * random.uniform(0.9, 1.1)
                await asyncio.sleep(max(MIN_PAUSE, min(pause, self._until_beat(name))))
        finally:
            self.tasks.pop(name, None)

    def _to_say(self) -> Heartbeat:
        """Return the heartbeat that every peer should have; a new object where it has changed."""
        if self.clock() - self.looked_at > LOOK_TIME:
            self.looked_at = self.clock()
            beat = self.now()
            if self.said is None or differs(self.said, beat):
                self.said = beat
        return self.said

    def _full_interval(self, name: str) -> float:
        return FULL_INTERVAL if self.expects_beats(name) else FAR_FULL_INTERVAL

    def _until_beat(self, name: str) -> float:
        """Return the time until a peer must hear something, in seconds."""
        if not self.expects_beats(name):
            return inf
        link = self.peers.links.get(name)
        if link is None:
            return BEAT_INTERVAL
        interval = BEAT_INTERVAL * random.uniform(BEAT_SPREAD, 1.0)
        return link.last_sent + interval - self.clock()

    async def tell_all(self) -> None:
        """Tell every linked peer now."""
        for name in list(self.peers.links):
            try:
                await self.peers.send(name, self.now())
            except PeerError as error:
                logs.debug("heartbeat not sent", peer=name, why=str(error))


def differs(sent: Heartbeat, now: Heartbeat) -> bool:
    """Tell whether a heartbeat says something else than the last one."""
    same = evolve(sent, loads=()) == evolve(now, loads=())
    return not same or significant_change(sent.loads, now.loads)
