"""Tells whether this daemon reaches any server, by connections that are opened or fail."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterable

from attrs import define

from papayacourse import logs
from papayacourse.exceptions import BackendUnreachable
from papayacourse.httpcall import connect
from papayacourse.ticks import next_tick
from papayacourse.types import Address, Host, HostState

CONNECT_TIMEOUT = 0.4  # seconds; a handshake between regions takes 30 ms
RECENT_CONTACT = 0.2  # seconds after a connection in which a failed one means nothing
SAMPLE_SIZE = 4  # servers that are asked at once
MIN_SAMPLE = 2  # one server that cannot be reached may be down
CHECK_INTERVAL = 0.5  # seconds between checks while no server can be reached


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

    # Commands.

    def record_contact(self) -> None:
        """Record that a connection to a server has been opened."""
        self.contact_at = self.clock()
        if self.is_cut_off:
            self.is_cut_off = False
            logs.info("servers reachable again")

    def record_failure(self) -> None:
        """Record that a connection to a server failed, and check whether others can be reached."""
        if self.clock() - self.contact_at > RECENT_CONTACT:
            self._begin_check()

    async def check(self) -> bool:
        """Try some servers; returns True if none can be reached."""
        await asyncio.shield(self._begin_check())
        return self.is_cut_off

    async def run(self) -> None:
        """Check periodically, while cut off, whether servers can be reached again."""
        while True:
            await next_tick(CHECK_INTERVAL)
            if self.is_cut_off:
                await self.check()

    def _begin_check(self) -> asyncio.Task:
        if self.checking is None or self.checking.done():
            self.checking = asyncio.create_task(self._check())
        return self.checking

    async def _check(self) -> None:
        began_at = self.clock()
        sample = self._sample()
        results = await asyncio.gather(*map(self.can_connect, sample))
        if any(results):
            self.record_contact()
        elif len(sample) >= MIN_SAMPLE and self.contact_at < began_at and not self.is_cut_off:
            self.is_cut_off = True
            logs.warning("no server reachable", tried=[server.name for server in sample])

    def _sample(self) -> list[Host]:
        """Return a few servers, of as many services and failure domains as possible."""
        live = [server for server in self.servers() if server.state == HostState.LIVE]
        random.shuffle(live)
        by_place = {(server.service, server.domain): server for server in live}
        first = list(by_place.values())
        rest = [server for server in live if server not in first]
        return [*first, *rest][:SAMPLE_SIZE]
