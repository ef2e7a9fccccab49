"""Detects servers that die while running a request and counts a strike against the request."""

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

PROBE_TIMEOUT = 0.2  # seconds a server may take to accept a connection
# Seconds before each probe; an ending process closes its sockets one by one.
PROBE_PAUSES = (0.0, 0.015, 0.1)
PROBE_RESULT_TIMEOUT = 0.05  # seconds that a lost run waits, so that a retry sees the strike
LISTING_LAG = 6.0  # seconds within which a crashed server leaves the host list
ACTIVITY_WINDOW_SECONDS = 1.0  # a server that has sent something within it is alive
ENDED_RETENTION_SECONDS = 120.0  # for the reasons why servers ended
CHECK_INTERVAL = 0.25  # seconds
SERVER_ERROR = 500  # lowest HTTP status of a server failure
MAX_LOST_RUNS = 1000  # per server whose fate is not known yet


@define(eq=False)
class WatchedRun:
    """A request in progress on a server.

    Attributes
    ----------
    heard_at : float
        When the server last sent a part of its answer, in seconds of the clock.
    has_completed : bool
        Whether the server has completed it.
    """

    clock: Callable[[], float]
    heard_at: float = float("-inf")
    has_completed: bool = False

    def record_activity(self) -> None:
        """Record that the server has just sent something."""
        self.heard_at = self.clock()

    def record_answer(self, status: int) -> None:
        """Record a complete answer; one with a server error does not count as completed."""
        self.has_completed = status < SERVER_ERROR

    def is_silent(self) -> bool:
        """Return True if the server has sent nothing recently."""
        return self.clock() - self.heard_at > ACTIVITY_WINDOW_SECONDS


def is_silence(error: BackendError) -> bool:
    """Return True if a run was lost to a time-out rather than a broken connection."""
    silence = (BackendSilent, BackendUnanswered, TimeoutError)
    return isinstance(error, silence) or isinstance(error.__cause__, silence)


async def has_no_listener(server: Host) -> bool:
    """Return True if nothing listens at a server's address."""
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
    """Distinguishes servers that died under a request from broken links and announced leaves.

    A run that ends without a complete answer does not yet prove a death. It counts as one if
    nothing listens at the server's address any more, or if the server disappears from the list
    soon afterwards without having announced that it leaves.

    Attributes
    ----------
    listing : callable
        Returns the newest host list.
    has_announced_leave : callable
        Returns True if the named server has announced that it leaves.
    has_no_listener : callable
        Returns True if nothing listens at a server's address.
    lost : dict of str to dict of str to float
        When runs were lost whose server may still be alive, by server and fingerprint.
    leaving_seen_at : dict of str to float
        The servers whose end was announced, and when that was last seen.
    ended_at : dict of str to float
        The servers found to have ended without an announcement, and when.
    last_listing : HostListing or None
        The last host list evaluated.
    probe_tasks : dict of str to asyncio.Task
        The running probe of each server, shared by all runs that it lost.
    """

    quarantine: Quarantine
    listing: Callable[[], HostListing]
    has_announced_leave: Callable[[str], bool]
    has_no_listener: Callable[[Host], Awaitable[bool]] = has_no_listener
    clock: Callable[[], float] = time.monotonic
    lost: dict[str, dict[str, float]] = field(factory=dict)
    leaving_seen_at: dict[str, float] = field(factory=dict)
    ended_at: dict[str, float] = field(factory=dict)
    last_listing: HostListing | None = None
    probe_tasks: dict[str, asyncio.Task] = field(factory=dict)

    @asynccontextmanager
    async def watch_run(self, server: Host, fingerprint: str) -> AsyncIterator[WatchedRun]:
        """Watch one run; a lost run is recorded and probed before its error propagates."""
        run = WatchedRun(self.clock)
        try:
            yield run
            if run.has_completed:
                # A restarted server may have the same name, so it may be alive again.
                self.ended_at.pop(server.name, None)
                await self._absolve_request(fingerprint)
        except (BackendAnswerLost, BackendLinkLost, BackendProtocolError) as error:
            if is_silence(error):
                self._record_silent_run(server, fingerprint)
            else:
                await self._record_closed_run(server, fingerprint)
            raise
        except BackendGone:
            if server.name in self.lost:
                self._strike_lost_runs(server.name, "nobody listens at its address")
            raise
        except asyncio.CancelledError:
            # The caller left or timed out, perhaps while waiting for a dead server.
            if run.is_silent():
                self._record_silent_run(server, fingerprint)
            raise

    # Queries.

    def listed(self, name: str) -> Host | None:
        """Return a server of the newest host list by name, or None."""
        return self.listing().by_name.get(name)

    def is_end_announced(self, server: Host) -> bool:
        """Return True if a server or its operator has announced its end."""
        listed = self.listed(server.name) or server
        is_leaving = listed.state != HostState.LIVE or self.has_announced_leave(server.name)
        return is_leaving or server.name in self.leaving_seen_at

    # Commands.

    async def run(self) -> None:
        """Check lost runs against the host list periodically."""
        while True:
            await next_tick(CHECK_INTERVAL)
            self.check_lost_runs()

    async def _absolve_request(self, fingerprint: str) -> None:
        """Stop suspecting a request that a server has completed."""
        for runs in self.lost.values():
            runs.pop(fingerprint, None)
        await self.quarantine.clear_suspect(fingerprint)

    def _record_listing(self, listing: HostListing) -> None:
        """Record the servers that the list marks as leaving, and drop old entries."""
        now, self.last_listing = self.clock(), listing
        leaving = {host.name: now for host in listing.hosts if host.state != HostState.LIVE}
        self.leaving_seen_at = {
            n: at for n, at in self.leaving_seen_at.items() if now - at < ENDED_RETENTION_SECONDS
        } | leaving
        self.ended_at = {
            name: at for name, at in self.ended_at.items() if now - at < ENDED_RETENTION_SECONDS
        }

    def check_lost_runs(self) -> None:
        """Classify lost runs by the newest host list."""
        listing = self.listing()
        if listing is not self.last_listing:
            self._record_listing(listing)
        now = self.clock()
        for name in list(self.lost):
            self._check_server(name, now)

    def _check_server(self, name: str, now: float) -> None:
        if self.has_announced_leave(name) or name in self.leaving_seen_at:
            del self.lost[name]
        elif self.listed(name) is None:
            self._strike_lost_runs(name, "vanished from the list")
        else:
            self.lost[name] = {f: at for f, at in self.lost[name].items() if now - at < LISTING_LAG}
            if not self.lost[name]:
                del self.lost[name]

    def _record_silent_run(self, server: Host, fingerprint: str) -> None:
        """Record a run whose server stopped sending."""
        if self.is_end_announced(server):
            return
        self._record_lost_run(server.name, fingerprint)
        if server.name in self.ended_at or self.listed(server.name) is None:
            self._strike_lost_runs(server.name, "vanished from the list")

    async def _record_closed_run(self, server: Host, fingerprint: str) -> None:
        """Record a run whose connection closed, and probe whether its server has ended."""
        left = self.listed(server.name) is None and server.name not in self.ended_at
        if left or self.is_end_announced(server):
            # A server that leaves the list on its own keeps serving for a while before it ends.
            return
        self._record_lost_run(server.name, fingerprint)
        task = self.probe_tasks.get(server.name)
        if task is None:
            task = self.probe_tasks[server.name] = asyncio.create_task(self._probe_server(server))
            task.add_done_callback(lambda _: self.probe_tasks.pop(server.name, None))
        await asyncio.wait([task], timeout=PROBE_RESULT_TIMEOUT)

    async def _probe_server(self, server: Host) -> None:
        """Strike the lost runs of a server if nothing listens at its address."""
        if server.name in self.ended_at or await self.has_no_listener(server):
            self._strike_lost_runs(server.name, "nobody listens at its address")

    def _record_lost_run(self, name: str, fingerprint: str) -> None:
        runs = self.lost.setdefault(name, {})
        runs[fingerprint] = self.clock()
        if len(runs) > MAX_LOST_RUNS:
            del runs[next(iter(runs))]

    def _strike_lost_runs(self, name: str, why: str) -> None:
        """Record a server's death as a strike against every request lost on it."""
        self.ended_at[name] = self.clock()
        requests = tuple(self.lost.pop(name, ()))
        if requests:
            logs.warning("server ended", server=name, why=why, requests=len(requests))
            self.quarantine.strike(name, requests)


@frozen
class RequestGuard:
    """Checks one request against quarantine and watches its runs.

    Attributes
    ----------
    answers : AnswerMemory
        The memory budget for answers that are buffered whole.
    fingerprint : str
        Identifies repeats of the request.
    """

    deaths: ServerDeaths
    answers: AnswerMemory
    fingerprint: str

    def check(self) -> None:
        """Raise RequestRefused if too many servers have died under the request."""
        self.deaths.quarantine.check(self.fingerprint)

    def is_condemned(self) -> bool:
        """Return True if too many servers have died under the request."""
        return self.deaths.quarantine.is_condemned(self.fingerprint)

    def is_struck(self) -> bool:
        """Return True if a server death is attributed to the request alone."""
        return self.deaths.quarantine.is_struck(self.fingerprint)

    def watch_run(self, server: Host) -> AbstractAsyncContextManager[WatchedRun]:
        """Watch a run of the request on a server."""
        return self.deaths.watch_run(server, self.fingerprint)
