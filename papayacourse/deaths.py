"""Detects servers that die while running a request and counts a strike against the request."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager

from attrs import define, field, frozen

from papayacourse import logs
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
from papayacourse.serverreach import ServerReach
from papayacourse.ticks import next_tick
from papayacourse.types import Address, Host

PROBE_TIMEOUT = 0.2  # seconds a server may take to accept a connection
# Seconds before each probe; an ending process closes its sockets one by one.
PROBE_PAUSES = (0.0, 0.015, 0.1)
PROBE_RESULT_TIMEOUT = 0.05  # seconds that a lost run waits, so that a retry sees the strike
LISTING_LAG = 6.0  # seconds within which a crashed server leaves the host list
SETTLING_TIME = 0.5  # seconds of output after which a run is past the beginning of its answer
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
    output_at : float or None
        When the server first sent a part of the body.
    is_settled : bool
        Whether the server is past the beginning of its answer.
    has_completed : bool
        Whether the server has completed it.
    on_settled : callable
        Called when the run is first past the beginning of its answer.
    """

    clock: Callable[[], float]
    on_settled: Callable[[], None] = lambda: None
    heard_at: float = float("-inf")
    output_at: float | None = None
    is_settled: bool = False
    has_completed: bool = False

    @property
    def is_answering(self) -> bool:
        """Return True if the server has sent any part of an answer."""
        return self.heard_at > float("-inf")

    def record_activity(self) -> None:
        """Record that the server has just sent something."""
        self.heard_at = self.clock()

    def record_output(self) -> None:
        """Record that the server has just sent a part of the body."""
        self.record_activity()
        if self.output_at is None:
            self.output_at = self.heard_at
        if self.heard_at - self.output_at >= SETTLING_TIME:
            self.settle()

    def settle(self) -> None:
        """Record that the server is past the beginning of its answer."""
        if not self.is_settled:
            self.is_settled = True
            self.on_settled()

    def record_answer(self, status: int) -> None:
        """Record a complete answer; one with a server error does not count as completed."""
        self.has_completed = status < SERVER_ERROR

    def is_silent(self) -> bool:
        """Return True if the server has sent nothing recently."""
        return self.clock() - self.heard_at > ACTIVITY_WINDOW_SECONDS


@frozen
class LostRun:
    """A run that a server may have lost by its death.

    Attributes
    ----------
    at : float
        When it was lost, in seconds of the clock.
    parts : str
        The fingerprint of its prompt's parts; empty if they cannot have crashed the server.
    was_answered : bool
        Whether the server had sent any part of an answer.
    """

    at: float
    parts: str = ""
    was_answered: bool = False


def suspect_parts(runs: Iterable[LostRun]) -> tuple[str, ...]:
    """Return the fingerprints of the parts that may have crashed the server of these runs.

    A part crashes a server as it begins an answer; so runs that were waiting come into question
    only where no answer had begun.
    """
    with_parts = [run for run in runs if run.parts]
    begun = [run.parts for run in with_parts if run.was_answered]
    return tuple(dict.fromkeys(begun or [run.parts for run in with_parts]))


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
    reach : ServerReach
        Tells whether any server can be reached; if not, servers that refuse may be well.
    lost : dict of str to dict of str to LostRun
        The lost runs whose server may still be alive, by server and fingerprint.
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
    reach: ServerReach = field(factory=ServerReach, kw_only=True)
    clock: Callable[[], float] = time.monotonic
    lost: dict[str, dict[str, LostRun]] = field(factory=dict)
    leaving_seen_at: dict[str, float] = field(factory=dict)
    ended_at: dict[str, float] = field(factory=dict)
    last_listing: HostListing | None = None
    probe_tasks: dict[str, asyncio.Task] = field(factory=dict)

    @asynccontextmanager
    async def watch_run(
        self, server: Host, fingerprint: str, parts: str = ""
    ) -> AsyncIterator[WatchedRun]:
        """Watch one run; a lost run is recorded and probed before its error propagates.

        Parameters
        ----------
        parts : str
            The fingerprint of its prompt's parts; empty if it has none to watch.
        """
        run = WatchedRun(self.clock, lambda: self.quarantine.record_served(parts))
        try:
            yield run
            if run.has_completed:
                run.settle()
                # A restarted server may have the same name, so it may be alive again.
                self.ended_at.pop(server.name, None)
                await self._absolve_request(fingerprint)
        except (BackendAnswerLost, BackendLinkLost, BackendProtocolError) as error:
            lost = self._lost_run(run, parts)
            if is_silence(error):
                self._record_silent_run(server, fingerprint, lost)
            else:
                await self._record_closed_run(server, fingerprint, lost)
            raise
        except BackendGone:
            if server.name in self.lost and not await self.reach.check():
                self._strike_lost_runs(server.name, "nobody listens at its address")
            raise
        except asyncio.CancelledError:
            # The caller left or timed out, perhaps while waiting for a dead server.
            if run.is_silent():
                self._record_silent_run(server, fingerprint, self._lost_run(run, parts))
            raise

    # Queries.

    def listed(self, name: str) -> Host | None:
        """Return a server of the newest host list by name, or None."""
        return self.listing().by_name.get(name)

    def is_end_announced(self, server: Host) -> bool:
        """Return True if a server or its operator has announced its end."""
        listed = self.listed(server.name) or server
        is_leaving = listed.leaves() or self.has_announced_leave(server.name)
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
        leaving = {host.name: now for host in listing.hosts if host.leaves()}
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
            self.lost[name] = {
                f: run for f, run in self.lost[name].items() if now - run.at < LISTING_LAG
            }
            if not self.lost[name]:
                del self.lost[name]

    def _lost_run(self, run: WatchedRun, parts: str) -> LostRun:
        return LostRun(self.clock(), "" if run.is_settled else parts, run.is_answering)

    def _record_silent_run(self, server: Host, fingerprint: str, run: LostRun) -> None:
        """Record a run whose server stopped sending."""
        if self.is_end_announced(server) or self.reach.is_cut_off:
            return
        self._record_lost_run(server.name, fingerprint, run)
        if server.name in self.ended_at or self.listed(server.name) is None:
            self._strike_lost_runs(server.name, "vanished from the list")

    async def _record_closed_run(self, server: Host, fingerprint: str, run: LostRun) -> None:
        """Record a run whose connection closed, and probe whether its server has ended."""
        left = self.listed(server.name) is None and server.name not in self.ended_at
        if left or self.is_end_announced(server):
            # A server that leaves the list on its own keeps serving for a while before it ends.
            return
        self._record_lost_run(server.name, fingerprint, run)
        task = self.probe_tasks.get(server.name)
        if task is None:
            task = self.probe_tasks[server.name] = asyncio.create_task(self._probe_server(server))
            task.add_done_callback(lambda _: self.probe_tasks.pop(server.name, None))
        await asyncio.wait([task], timeout=PROBE_RESULT_TIMEOUT)

    async def _probe_server(self, server: Host) -> None:
        """Strike the lost runs of a server if nothing listens at its address."""
        has_ended = server.name in self.ended_at or await self.has_no_listener(server)
        if has_ended and not await self.reach.check():
            self._strike_lost_runs(server.name, "nobody listens at its address")

    def _record_lost_run(self, name: str, fingerprint: str, run: LostRun) -> None:
        runs = self.lost.setdefault(name, {})
        runs[fingerprint] = run
        if len(runs) > MAX_LOST_RUNS:
            del runs[next(iter(runs))]

    def _strike_lost_runs(self, name: str, why: str) -> None:
        """Record a server's death as a strike against every request lost on it."""
        self.ended_at[name] = self.clock()
        runs = self.lost.pop(name, {})
        if runs:
            parts = suspect_parts(runs.values())
            logs.warning("server ended", server=name, why=why, requests=len(runs), prompts=parts)
            self.quarantine.strike(name, (*runs, *parts))
