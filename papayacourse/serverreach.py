"""Tells whether this daemon reaches any server, by connections that are opened or fail."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager

from attrs import define

from papayacourse import logs
from papayacourse.exceptions import BackendUnreachable
from papayacourse.httpcall import connect
from papayacourse.ticks import next_tick
from papayacourse.types import Address, Host

CONNECT_TIMEOUT = 0.4  # seconds; a handshake between regions takes 30 ms
RECENT_CONTACT = 0.2  # seconds after a connection in which a failed one means nothing
SAMPLE_SIZE = 4  # servers that are asked at first
LARGE_SAMPLE_SIZE = 24  # servers that are asked before all are taken to be out of reach
MIN_SAMPLE = 2  # one server that cannot be reached may be down
CHECK_INTERVAL = 0.5  # seconds between checks while no server can be reached
MAX_IDLE_TIME = 2.0  # seconds without a connection after which one is tried
SLOW_CONNECT = 0.1  # seconds after which others are tried while a connection is being opened


async def can_connect(server: Host) -> bool:
    """Return True if a server accepts a connection; it is closed at once."""
    try:
        stream = await connect(Address.parse(server.address), CONNECT_TIMEOUT)
    except BackendUnreachable:
        return False
    stream.close()
    return True


@define(eq=False)
class ServerReach:
    """Detects that no server can be reached from here, though the servers may be well.

    Connections that were open before say nothing: they may outlive the path for new ones.

    Attributes
    ----------
    servers : callable
        Returns the listed servers of all services.
    is_cut_off : bool
        Whether no server could be reached at the last check.
    contact_at : float
        When a connection to a server was last opened, in seconds of the clock.
    checking : asyncio.Task or None
        The check in progress.
    """

    servers: Callable[[], Iterable[Host]] = tuple
    can_connect: Callable[[Host], Awaitable[bool]] = can_connect
    clock: Callable[[], float] = time.monotonic
    is_cut_off: bool = False
    contact_at: float = float("-inf")
    checking: asyncio.Task | None = None

    # Queries.

    def has_recent_contact(self) -> bool:
        """Return True if a connection to a server was opened moments ago."""
        return self.clock() - self.contact_at <= RECENT_CONTACT

    # Commands.

    def record_contact(self) -> None:
        """Record that a connection to a server has been opened."""
        self.contact_at = self.clock()
        if self.is_cut_off:
            self.is_cut_off = False
            logs.info("servers reachable again")

    def record_failure(self) -> None:
        """Record that a connection to a server failed, and check whether others can be reached."""
        if not self.is_cut_off and not self.has_recent_contact():
            self._begin_check()

    @contextmanager
    def watch_connecting(self) -> Iterator[None]:
        """Check whether others can be reached if a connection to a server takes long to open."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(SLOW_CONNECT, self.record_failure)
        try:
            yield
        finally:
            timer.cancel()

    async def check(self) -> bool:
        """Try some servers; returns True if none can be reached."""
        await asyncio.shield(self._begin_check())
        return self.is_cut_off

    async def wait_for_check(self) -> None:
        """Wait until the check in progress, if any, has ended."""
        if self.checking is not None:
            await asyncio.shield(self.checking)

    async def verify(self) -> bool:
        """Return True if no server can be reached, trying some unless one was just reached."""
        return self.is_cut_off if self.has_recent_contact() else await self.check()

    async def run(self) -> None:
        """Check periodically while cut off or idle."""
        while True:
            await next_tick(CHECK_INTERVAL)
            if self.is_cut_off or self.clock() - self.contact_at > MAX_IDLE_TIME:
                await self.check()

    def _begin_check(self) -> asyncio.Task:
        if self.checking is None or self.checking.done():
            self.checking = asyncio.create_task(self._check())
        return self.checking

    async def _check(self) -> None:
        began_at = self.clock()
        sample = self._sample()
        reached = await self._reaches_any(sample[:SAMPLE_SIZE])
        if reached or await self._reaches_any(sample[SAMPLE_SIZE:]):
            self.record_contact()
        elif len(sample) >= MIN_SAMPLE and self.contact_at < began_at and not self.is_cut_off:
            self.is_cut_off = True
            logs.warning("no server reachable", tried=[server.name for server in sample])

    async def _reaches_any(self, sample: list[Host]) -> bool:
        """Return True as soon as one server accepts a connection."""
        tasks = [asyncio.create_task(self.can_connect(server)) for server in sample]
        try:
            for result in asyncio.as_completed(tasks):
                if await result:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    def _sample(self) -> list[Host]:
        """Return some servers; the first ones are of many services and failure domains."""
        live = [server for server in self.servers() if not server.leaves()]
        random.shuffle(live)
        by_place = {(server.service, server.domain): server for server in live}
        first = list(by_place.values())
        rest = [server for server in live if server not in first]
        return [*first, *rest][:LARGE_SAMPLE_SIZE]
