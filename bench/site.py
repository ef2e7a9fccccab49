"""Sets up the fleet of one shape and changes its policy between cells."""

import asyncio
import time
from collections.abc import Iterable

from attrs import define, field

from bench.caller import Exchange, obey
from bench.shapes import DAEMONS, Shape
from bench.trace import Arrival
from standins.fleet import Fleet, wait_until

SETTLE_TIME = 0.8  # seconds for the schedulers to take new settings
CANCEL_INTERVAL = 0.2  # seconds
DRAIN_TIME = 1.0  # seconds
DRAIN_LIMIT = 20.0  # seconds
PATHS_BESIDE_ACCOUNTS = 3


@define(eq=False)
class Site:
    """The processes of one shape; a context manager."""

    shape: Shape
    fleet: Fleet = field(factory=lambda: Fleet(log_level="warning"))

    def __enter__(self) -> "Site":
        shape, fleet = self.shape, self.fleet
        fleet.platform()
        self.write(shape.settings())
        self.write(shape.deployment("predicted"))
        for number in range(shape.engines):
            name = f"{shape.service}-{number}"
            options = ("--memory", str(shape.memory), "--max-batch", str(shape.max_batch))
            fleet.engine(name, shape.domain, shape.region, *shape.engine_options, *options)
        for name in DAEMONS:
            fleet.daemon(name, shape.domain, shape.region)
        fleet.wait_settled(*DAEMONS, paths=len(shape.accounts) + PATHS_BESIDE_ACCOUNTS)
        return self

    def __exit__(self, kind, error, traceback) -> None:
        self.fleet.__exit__(kind, error, traceback)

    @property
    def engines(self) -> list[str]:
        """Return the names of its engines."""
        return [f"{self.shape.service}-{number}" for number in range(self.shape.engines)]

    def addresses(self) -> list[str]:
        """Return where the daemons that run listen for callers."""
        processes = [self.fleet.processes[name] for name in DAEMONS]
        return [process.http for process in processes if process.popen.poll() is None]

    def write(self, lines: Iterable[str]) -> None:
        """Write settings."""
        file = self.fleet.path / "settings.ini"
        file.write_text("\n".join(lines) + "\n")
        self.fleet.apply(str(file))

    def apply(self, shape: Shape, policy: str) -> None:
        """Put a deployment's settings in force, at every daemon that runs."""
        self.write(shape.deployment(policy))
        wait_until("one digest", lambda: len({self.digest(name) for name in DAEMONS}) == 1)
        time.sleep(SETTLE_TIME)

    def digest(self, name: str) -> str:
        """Return the digest of the settings that a daemon has."""
        return self.fleet.status(name)["settings"]["digest"]

    def counts(self) -> dict[str, dict]:
        """Return the engines' own counts."""
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

    async def offer(
        self, trace: list[Arrival], seconds: float, tries: int, exchanges: list[Exchange]
    ) -> None:
        """Send every request at its time, whatever became of those before; then drop the rest."""
        tasks, start = [], time.monotonic()
        for arrival in sorted(trace, key=lambda one: one.at):
            await asyncio.sleep(max(0.0, start + arrival.at - time.monotonic()))
            addresses = self.addresses()
            made = Exchange(arrival)
            exchanges.append(made)
            address = addresses[arrival.daemon % len(addresses)]
            call = obey(address, self.shape.service, self.shape.longest, made, tries)
            tasks.append(asyncio.create_task(call))
        await asyncio.sleep(max(0.0, start + seconds - time.monotonic()))
        pending = set(tasks)
        while pending:
            # Again and again: asyncio.wait_for of Python 3.11 may swallow a cancellation.
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL)
