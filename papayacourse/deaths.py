"""Finds out which servers ended while they ran a request, and counts that against the request."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from attrs import define, field, frozen

from papayacourse import logs
from papayacourse.answermemory import AnswerMemory
from papayacourse.exceptions import (
    BackendAnswerLost,
    BackendError,
    BackendGone,
    BackendLinkLost,
    BackendProtocolError,
    BackendSilent,
    BackendUnanswered,
    BackendUnreachable,
)
from papayacourse.hostlist import HostListing
from papayacourse.httpcall import connect
from papayacourse.quarantine import Quarantine
from papayacourse.ticks import next_tick
from papayacourse.types import Address, Host, HostState

PROBE_TIMEOUT = 0.2  # seconds that a server may take to accept a connection
PROBE_PAUSES = (0.0, 0.015, 0.1)  # seconds before each probe: a process's sockets close one by one
VERDICT_WAIT = 0.05  # seconds that a lost run waits for it, so that its repeats come after it
LISTING_LAG = 6.0  # seconds in which a server that has ended without a word leaves the list
SIGN_OF_LIFE = 1.0  # seconds for which what a server has sent shows that it lives
KEPT = 120.0  # seconds for which it is remembered why a server has gone
LOOK_INTERVAL = 0.25  # seconds
SERVER_ERROR = 500  # the least status of a failure of the server itself
MAX_LOST_RUNS = 1000  # of one server, kept until it is known what became of it


@define(eq=False)
class WatchedRun:
    """A run on a server.

    Attributes
    ----------
    heard_at : float
        When the server last sent something of it, in seconds of the clock.
    has_ended_well : bool
        Whether the server has brought it to its end.
    """

    clock: Callable[[], float]
    heard_at: float = float("-inf")
    has_ended_well: bool = False

    def heard(self) -> None:
        """Note that the server has just sent something."""
        self.heard_at = self.clock()

    def answered(self, status: int) -> None:
        """Note that a whole answer has come; a failure of the server shows nothing."""
        self.has_ended_well = status < SERVER_ERROR

    def is_silent(self) -> bool:
        """Tell whether nothing has come lately."""
        return self.clock() - self.heard_at > SIGN_OF_LIFE


def is_silence(error: BackendError) -> bool:
    """Tell whether a run was lost because nothing came any more, rather than by a break."""
    silence = (BackendSilent, BackendUnanswered, TimeoutError)
    return isinstance(error, silence) or isinstance(error.__cause__, silence)


async def is_deserted(server: Host) -> bool:
    """Tell whether nobody listens at a server's address."""
    for pause in PROBE_PAUSES:
        await asyncio.sleep(pause)
        try:
            stream = await connect(Address.parse(server.address), PROBE_TIMEOUT)
        except BackendGone:
            return True
        except BackendUnreachable:
            continue
        stream.close()
    return False


@define(eq=False)
class ServerDeaths:
    """Tells servers that ended under a request from links that broke and servers that left.

    A run that ends without a whole answer is a question, not yet a death. It counts as one where
    nobody listens at the server's address any more, or where the server vanishes from the list
    soon afterwards without ever having said that it leaves.

    Attributes
    ----------
    listing : callable
        Returns the newest host list.
    says_it_leaves : callable
        Tells by a server's name whether it has said that it leaves.
    is_deserted : callable
        Tells whether nobody listens at a server's address.
    lost : dict of str to dict of str to float
        By server and fingerprint: when a run was lost whose server may still be alive.
    gone : dict of str to float
        The servers whose end was announced, and when that was last seen.
    dead : dict of str to float
        The servers that were found to have ended without a word, and when.
    looked_at : HostListing or None
        The list that was taken last.
    looking : dict of str to asyncio.Task
        What finds out whether a server has ended, by server; one answers all who ask.
    """

    quarantine: Quarantine
    listing: Callable[[], HostListing]
    says_it_leaves: Callable[[str], bool]
    is_deserted: Callable[[Host], Awaitable[bool]] = is_deserted
    clock: Callable[[], float] = time.monotonic
    lost: dict[str, dict[str, float]] = field(factory=dict)
    gone: dict[str, float] = field(factory=dict)
    dead: dict[str, float] = field(factory=dict)
    looked_at: HostListing | None = None
    looking: dict[str, asyncio.Task] = field(factory=dict)

    @asynccontextmanager
    async def watching(self, server: Host, fingerprint: str) -> AsyncIterator[WatchedRun]:
        """Watch one run; a lost one is noted, and looked into before its error goes on."""
        run = WatchedRun(self.clock)
        try:
            yield run
            if run.has_ended_well:
                # Where a server's name does not tell its starts apart, it may be back.
                self.dead.pop(server.name, None)
                await self._survived(fingerprint)
        except (BackendAnswerLost, BackendLinkLost, BackendProtocolError) as error:
            if is_silence(error):
                self._note_silent(server, fingerprint)
            else:
                await self._note_closed(server, fingerprint)
            raise
        except BackendGone:
            if server.name in self.lost:
                self._count(server.name, "nobody listens at its address")
            raise
        except asyncio.CancelledError:
            # The caller has gone or its time is over: it may have waited for a dead server.
            if run.is_silent():
                self._note_silent(server, fingerprint)
            raise

    # Queries.

    def listed(self, name: str) -> Host | None:
        """Return a listed server by its name."""
        return self.listing().by_name.get(name)

    def is_announced(self, server: Host) -> bool:
        """Tell whether a server's end is its own doing or its operator's."""
        listed = self.listed(server.name) or server
        is_leaving = listed.state != HostState.LIVE or self.says_it_leaves(server.name)
        return is_leaving or server.name in self.gone

    # Commands.

    async def run(self) -> None:
        """Look at the list again and again, for ever."""
        while True:
            await next_tick(LOOK_INTERVAL)
            self.look()

    async def _survived(self, fingerprint: str) -> None:
        """Take a request for harmless: a server has brought it to its end."""
        for runs in self.lost.values():
            runs.pop(fingerprint, None)
        await self.quarantine.clear_suspect(fingerprint)

    def _take_list(self, listing: HostListing) -> None:
        """Note which servers are listed as leaving."""
        now, self.looked_at = self.clock(), listing
        leaving = {host.name: now for host in listing.hosts if host.state != HostState.LIVE}
        self.gone = {n: at for n, at in self.gone.items() if now - at < KEPT} | leaving
        self.dead = {name: at for name, at in self.dead.items() if now - at < KEPT}

    def look(self) -> None:
        """Decide about lost runs, as far as the list tells by now."""
        listing = self.listing()
        if listing is not self.looked_at:
            self._take_list(listing)
        now = self.clock()
        for name in list(self.lost):
            self._look_at(name, now)

    def _look_at(self, name: str, now: float) -> None:
        if self.says_it_leaves(name) or name in self.gone:
            del self.lost[name]
        elif self.listed(name) is None:
            self._count(name, "vanished from the list")
        else:
            self.lost[name] = {f: at for f, at in self.lost[name].items() if now - at < LISTING_LAG}
            if not self.lost[name]:
                del self.lost[name]

    def _note_silent(self, server: Host, fingerprint: str) -> None:
        """Note a run whose server has fallen silent, perhaps for good."""
        if self.is_announced(server):
            return
        self._note(server.name, fingerprint)
        if server.name in self.dead or self.listed(server.name) is None:
            self._count(server.name, "vanished from the list")

    async def _note_closed(self, server: Host, fingerprint: str) -> None:
        """Note a run whose connection has ended, and see whether its server has ended with it."""
        left = self.listed(server.name) is None and server.name not in self.dead
        if left or self.is_announced(server):
            # One that has left the list of its own accord serves on for a while, and then ends.
            return
        self._note(server.name, fingerprint)
        task = self.looking.get(server.name)
        if task is None:
            task = self.looking[server.name] = asyncio.create_task(self._look_into(server))
            task.add_done_callback(lambda _: self.looking.pop(server.name, None))
        await asyncio.wait([task], timeout=VERDICT_WAIT)

    async def _look_into(self, server: Host) -> None:
        """Find out whether a server has ended that does not answer any more."""
        if server.name in self.dead or await self.is_deserted(server):
            self._count(server.name, "nobody listens at its address")

    def _note(self, name: str, fingerprint: str) -> None:
        runs = self.lost.setdefault(name, {})
        runs[fingerprint] = self.clock()
        if len(runs) > MAX_LOST_RUNS:
            del runs[next(iter(runs))]

    def _count(self, name: str, why: str) -> None:
        """Count a server's end against all that it ran."""
        self.dead[name] = self.clock()
        requests = tuple(self.lost.pop(name, ()))
        if requests:
            logs.warning("server ended", server=name, why=why, requests=len(requests))
            self.quarantine.strike(name, requests)


@frozen
class Guard:
    """What stands between one request and the servers.

    Attributes
    ----------
    answers : AnswerMemory
        The memory for answers that are read whole.
    fingerprint : str
        What the request is recognised by.
    """

    deaths: ServerDeaths
    answers: AnswerMemory
    fingerprint: str

    def check(self) -> None:
        """Refuse a request under which too many servers have ended; raises RequestRefused."""
        self.deaths.quarantine.check(self.fingerprint)

    def is_condemned(self) -> bool:
        """Tell whether too many servers have ended under it."""
        return self.deaths.quarantine.is_condemned(self.fingerprint)

    def is_struck(self) -> bool:
        """Tell whether a server has ended under it, for which nothing else is to blame."""
        return self.deaths.quarantine.is_struck(self.fingerprint)

    def watching(self, server: Host) -> AbstractAsyncContextManager[WatchedRun]:
        """Watch its run on a server."""
        return self.deaths.watching(server, self.fingerprint)
