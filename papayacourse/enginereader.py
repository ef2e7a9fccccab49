"""Reads what the engines of a failure domain have loaded, and tells the orders holder."""

import asyncio
import random
import time
from collections.abc import Callable, Iterator

from attrs import define, field

from papayacourse import engines, logs
from papayacourse.engines import Wanted
from papayacourse.exceptions import BackendError, PeerError
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.peers import Peers
from papayacourse.schedulingmessages import EnginesAsk, EnginesOutOfLine
from papayacourse.targets import Target, Targets

DUTY = "engine-reader"
READ_INTERVAL = 1.0  # seconds between rounds
READS_PER_ROUND = 8  # engines; more of them wait for their turn in later rounds
ASKED_FOR = 5.0  # seconds for which engines are read on after a question
ASK_TIMEOUT = 0.5  # seconds
READERS_TRIED = 2  # daemons of a domain asked in one round
MAX_NAMED = 32  # engines named in one answer


@define(eq=False)
class EngineReader:
    """Reads this domain's engines while it is asked for them, and asks other domains' readers.

    Whoever is asked reads: the orders holder asks the first in rendezvous order of each domain,
    so that a reader which dies, freezes or leaves is replaced by the next one, and stops by
    itself once nobody asks.

    Attributes
    ----------
    loaded : dict of str to Wanted
        What each engine had loaded when it was last read.
    read_at : dict of str to float
        When each was last read or tried, in seconds of the clock.
    reading : dict of str to Task
        The readings in progress; a silent engine delays no other.
    asked_at : float
        When this daemon was last asked, in seconds of the clock.
    reads : int
        Readings since the start.
    """

    targets: Targets
    membership: Membership
    peers: Peers
    clock: Callable[[], float] = time.monotonic
    loaded: dict[str, Wanted] = field(factory=dict)
    read_at: dict[str, float] = field(factory=dict)
    reading: dict[str, asyncio.Task] = field(factory=dict)
    asked_at: float = float("-inf")
    reads: int = 0

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[EnginesAsk] = self.answer

    # Queries.

    def mine(self) -> dict[str, Target]:
        """Return the targets of this domain."""
        return self.targets.in_domain(self.membership.me.domain)

    def out_of_line(self) -> list[str]:
        """Return the engines that had something else loaded than they must have."""
        mine, loaded = self.mine(), self.loaded
        return [name for name in mine if name in loaded and loaded[name] != mine[name].wanted]

    def due(self) -> list[Target]:
        """Return the engines to read in this round: half of them out of line, the oldest first."""
        mine, out = self.mine(), set(self.out_of_line())
        waiting = sorted(mine.keys() - self.reading.keys(), key=self._last_read)
        first = [name for name in waiting if name in out][: READS_PER_ROUND // 2]
        others = [name for name in waiting if name not in first]
        return [mine[name] for name in (first + others)[:READS_PER_ROUND]]

    def _last_read(self, name: str) -> float:
        return self.read_at.get(name, float("-inf"))

    def _askable(self, domain: str) -> Iterator[str]:
        yield from self.membership.owners(DUTY, domain)[:READERS_TRIED]

    # Commands.

    async def ask(self, domain: str) -> tuple[str, ...] | None:
        """Return the engines of a domain said to be out of line; None when nobody there answers."""
        me = self.membership.me
        for name in self._askable(domain):
            if name == me.name:
                return (await self.answer(me, EnginesAsk())).engines
            try:
                answer = await self.peers.call(name, EnginesAsk(), ASK_TIMEOUT)
            except PeerError as error:
                logs.debug("engine reader silent", daemon=name, why=str(error))
                continue
            if isinstance(answer, EnginesOutOfLine):
                return answer.engines
        return None

    async def answer(self, _peer: Hello, _ask: EnginesAsk) -> EnginesOutOfLine:
        """Name engines out of line, any of them when there are many, and go on reading."""
        self.asked_at = self.clock()
        names = self.out_of_line()
        if len(names) > MAX_NAMED:
            names = random.sample(names, MAX_NAMED)
        return EnginesOutOfLine(tuple(names))

    async def run(self) -> None:
        """Read for as long as somebody asks, for ever."""
        while True:
            if self.clock() - self.asked_at < ASKED_FOR:
                self.read()
            else:
                self.loaded.clear()
                self.read_at.clear()
            await asyncio.sleep(READ_INTERVAL)

    def read(self) -> None:
        """Begin to read the engines whose turn it is."""
        mine = self.mine()
        for name in self.read_at.keys() - mine.keys():
            del self.read_at[name]
            self.loaded.pop(name, None)
        for target in self.due():
            name = target.host.name
            self.reads += 1
            self.read_at[name] = self.clock()
            self.reading[name] = asyncio.create_task(self._read(target))

    async def _read(self, target: Target) -> None:
        name = target.host.name
        try:
            state = await engines.engine_state(target.host.address)
            self.loaded[name] = state.loaded
        except BackendError as error:
            self.loaded.pop(name, None)
            logs.debug("engine state not read", engine=name, why=str(error))
        finally:
            del self.reading[name]
