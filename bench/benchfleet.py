"""What the fleets of all benches do alike: take settings, offer a trace, and drain."""

import asyncio
import time
from collections.abc import Callable, Iterable

from attrs import define, field

from bench.caller import Exchange, obey
from bench.shapes import Shape
from bench.trace import Arrival
from standins.fleet import Fleet, wait_until

CANCEL_INTERVAL = 0.2  # seconds
DRAIN_TIME = 1.0  # seconds
DRAIN_LIMIT = 20.0  # seconds


@define(eq=False)
class BenchFleet:
    """The processes of one shape; a context manager.

    Subclasses start them, and name their daemons and engines.
    """

    shape: Shape
    fleet: Fleet = field(factory=lambda: Fleet(log_level="warning"), kw_only=True)

    def __exit__(self, kind, error, traceback) -> None:
        self.fleet.__exit__(kind, error, traceback)

    @property
    def daemons(self) -> list[str]:
        """Return the names of all daemons."""
        raise NotImplementedError

    @property
    def engines(self) -> list[str]:
        """Return the names of all engines."""
        raise NotImplementedError

    def write(self, lines: Iterable[str]) -> None:
        """Write settings."""
        file = self.fleet.path / "settings.ini"
        file.write_text("\n".join(lines) + "\n")
        self.fleet.apply(str(file))

    def put_in_force(self, lines: Iterable[str], settle_time: float) -> None:
        """Write settings and wait until every daemon has them, then for the schedulers.

        Parameters
        ----------
        settle_time : float
            How long the schedulers get to take them, in seconds.
        """
        self.write(lines)
        wait_until("one digest", lambda: len(set(map(self.digest, self.daemons))) == 1)
        time.sleep(settle_time)

    def digest(self, name: str) -> str:
        """Return the digest of the settings that a daemon has."""
        return self.fleet.status(name)["settings"]["digest"]

    def counts(self) -> dict[str, dict]:
        """Return the own counts of the engines that run."""
        living = [n for n in self.engines if self.fleet.processes[n].popen.poll() is None]
        return {name: self.fleet.counts(name) for name in living}

    def drain(self) -> None:
        """Let the daemons cancel what their callers left, then make the engines forget the rest."""
        time.sleep(DRAIN_TIME)
        for name in self.counts():
            self.fleet.admin(name, {"reset": True})
        wait_until("the engines are idle", self._idle, DRAIN_LIMIT)

    def _idle(self) -> bool:
        return all(not c["running"] and not c["waiting"] for c in self.counts().values())

    async def offer_to(
        self,
        addresses: Callable[[], list[str]],
        trace: list[Arrival],
        seconds: float,
        tries: int,
        exchanges: list[Exchange],
    ) -> None:
        """Send every request at its time, whatever became of those before; then drop the rest.

        Parameters
        ----------
        addresses : callable
            Returns where the daemons listen that take these requests.
        seconds : float
            The time after which what has not ended is dropped.
        tries : int
            The most that one request is sent, by a caller who comes back when told.
        exchanges : list of Exchange
            Gets what becomes of each request.
        """
        tasks, start = [], time.monotonic()
        for arrival in sorted(trace, key=lambda one: one.at):
            await asyncio.sleep(max(0.0, start + arrival.at - time.monotonic()))
            made = Exchange(arrival)
            exchanges.append(made)
            there = addresses()
            address = there[arrival.daemon % len(there)]
            call = obey(address, self.shape.service, self.shape.longest, made, tries)
            tasks.append(asyncio.create_task(call))
        await asyncio.sleep(max(0.0, start + seconds - time.monotonic()))
        await drop(tasks)


async def drop(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended."""
    pending = set(tasks)
    while pending:
        # Again and again: asyncio.wait_for of Python 3.11 may swallow a cancellation.
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL)
