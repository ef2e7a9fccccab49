"""Reads what a failure domain's engines have loaded and reports it to the orders lease holder."""

import asyncio
import random
import time
from collections.abc import Callable, Iterator

from attrs import define, field

from papayacourse import engines, logs
from papayacourse.engines import LoadSpec
from papayacourse.exceptions import BackendError, PeerError
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.peers import Peers
from papayacourse.schedulingmessages import EnginesAsk, EnginesOutOfLine
from papayacourse.targets import Target, Targets

DUTY = "engine-reader"
READ_INTERVAL = 1.0  # seconds between rounds
READS_PER_ROUND = 8  # engines; the others are read in later rounds
REQUEST_VALID_SECONDS = 5.0  # reading goes on this long after the last request
ASK_TIMEOUT = 0.5  # seconds
MAX_READERS_TRIED = 2  # daemons of a domain tried per request
MAX_NAMED = 32  # engines per response


@define(eq=False)
class EngineReader:
    """Reads this domain's engines on request and queries the readers of other domains.

    The holder of the orders lease asks the first daemon of each domain in rendezvous order, and
    the daemon that is asked reads. The next one thus replaces a reader that dies, freezes or
    leaves, and a reader that gets no more requests stops.

    Attributes
    ----------
    loaded : dict of str to LoadSpec
        What each engine had loaded at its last read.
    read_at : dict of str to float
        Clock time in seconds of the last attempt to read each engine.
    reading : dict of str to Task
        Reads in progress; a silent engine delays no other.
    asked_at : float
        Clock time in seconds of the last request to this daemon.
    reads : int
        Number of reads since the start.
    """

    targets: Targets
    membership: Membership
    peers: Peers
    clock: Callable[[], float] = time.monotonic
    loaded: dict[str, LoadSpec] = field(factory=dict)
    read_at: dict[str, float] = field(factory=dict)
    reading: dict[str, asyncio.Task] = field(factory=dict)
    asked_at: float = float("-inf")
    reads: int = 0

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[EnginesAsk] = self.answer

    # Queries.

    def local_targets(self) -> dict[str, Target]:
        """Return the targets of this domain."""
        return self.targets.in_domain(self.membership.me.domain)

    def mismatched_engines(self) -> list[str]:
        """Return the engines whose loaded model differs from their target."""
        local_targets, loaded = self.local_targets(), self.loaded
        return [
            name
            for name in local_targets
            if name in loaded and loaded[name] != local_targets[name].load_spec
        ]

    def due_targets(self) -> list[Target]:
        """Return the engines to read in this round, least recently read first.

        Up to half of them are mismatched engines.
        """
        local_targets, out = self.local_targets(), set(self.mismatched_engines())
        waiting = sorted(local_targets.keys() - self.reading.keys(), key=self._last_read)
        first = [name for name in waiting if name in out][: READS_PER_ROUND // 2]
        others = [name for name in waiting if name not in first]
        return [local_targets[name] for name in (first + others)[:READS_PER_ROUND]]

    def _last_read(self, name: str) -> float:
        return self.read_at.get(name, float("-inf"))

    def _candidates(self, domain: str) -> Iterator[str]:
        yield from self.membership.owners(DUTY, domain)[:MAX_READERS_TRIED]

    # Commands.

    async def ask(self, domain: str) -> tuple[str, ...] | None:
        """Return the mismatched engines of a domain; None if no reader answers."""
        me = self.membership.me
        for name in self._candidates(domain):
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
        """Return mismatched engines, a random sample of many, and keep reading."""
        self.asked_at = self.clock()
        names = self.mismatched_engines()
        if len(names) > MAX_NAMED:
            names = random.sample(names, MAX_NAMED)
        return EnginesOutOfLine(tuple(names))

    async def run(self) -> None:
        """Read engines while requests arrive; never returns."""
        while True:
            if self.clock() - self.asked_at < REQUEST_VALID_SECONDS:
                self.read()
            else:
                self.loaded.clear()
                self.read_at.clear()
            await asyncio.sleep(READ_INTERVAL)

    def read(self) -> None:
        """Start reads of the engines that are due."""
        local_targets = self.local_targets()
        for name in self.read_at.keys() - local_targets.keys():
            del self.read_at[name]
            self.loaded.pop(name, None)
        for target in self.due_targets():
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
