"""Detects when engines that could not be reached accept connections again."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

from papayacourse import logs
from papayacourse.serverreach import can_connect
from papayacourse.tasks import BackgroundTasks, cancel_all
from papayacourse.types import Host

PROBE_INTERVAL = 0.15  # seconds between the starts of two connection attempts
FAST_TIME = 3.0  # seconds after the last wait began in which attempts follow each other so fast
SLOW_PROBE_INTERVAL = 1.0  # seconds


@define(eq=False)
class Absence:
    """An engine that cannot be reached.

    Attributes
    ----------
    waiting : int
        How many wait for its return.
    asked_at : float
        When the last of them began to wait, in seconds of the monotonic clock.
    has_returned : asyncio.Event
        Set once a connection attempt has succeeded.
    changed : asyncio.Event
        Set when the engine has returned, or somebody else waits for it.
    """

    waiting: int = 0
    asked_at: float = 0.0
    has_returned: asyncio.Event = field(factory=asyncio.Event)
    changed: asyncio.Event = field(factory=asyncio.Event)

    def interval(self) -> float:
        """Return the time until the next connection attempt, in seconds."""
        is_fast = time.monotonic() - self.asked_at < FAST_TIME
        return PROBE_INTERVAL if is_fast else SLOW_PROBE_INTERVAL


@define(eq=False)
class EngineReturns:
    """Tries to connect to engines while somebody waits for their return.

    Attempts overlap: one that was begun before the path healed fails later than the next succeeds.
    All who wait for one engine share its attempts.

    Attributes
    ----------
    absences : dict of str to Absence
        The engines that are waited for, by name.
    """

    can_connect: Callable[[Host], Awaitable[bool]] = can_connect
    tasks: BackgroundTasks = field(factory=BackgroundTasks)
    absences: dict[str, Absence] = field(factory=dict)

    async def wait_for(self, engine: Host) -> None:
        """Wait until an engine accepts a connection."""
        absence = self.absences.get(engine.name)
        if absence is None:
            absence = self.absences[engine.name] = Absence()
            self.tasks.spawn(self._probe(engine, absence))
        absence.asked_at = time.monotonic()
        absence.waiting += 1
        absence.changed.set()
        try:
            await absence.has_returned.wait()
        finally:
            absence.waiting -= 1

    async def _probe(self, engine: Host, absence: Absence) -> None:
        """Start connection attempts until one succeeds, or nobody waits any more."""
        began, attempts = time.monotonic(), set()
        while absence.waiting and not absence.has_returned.is_set():
            absence.changed.clear()
            attempt = self.tasks.spawn(self._attempt(engine, absence))
            attempts.add(attempt)
            attempt.add_done_callback(attempts.discard)
            changed = asyncio.ensure_future(absence.changed.wait())
            await asyncio.wait([changed], timeout=absence.interval())
            changed.cancel()
        del self.absences[engine.name]
        logs.info(
            "engine waited for", engine=engine.name, reached=absence.has_returned.is_set(),
            seconds=round(time.monotonic() - began, 3),
        )  # fmt: skip
        await cancel_all(attempts)

    async def _attempt(self, engine: Host, absence: Absence) -> None:
        if await self.can_connect(engine):
            absence.has_returned.set()
            absence.changed.set()
