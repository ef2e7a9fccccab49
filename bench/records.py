"""Measures key-value writes per non-repeatable request at several request rates."""

import asyncio
import json
import statistics
import time

from attrs import asdict, define, field, frozen

from papayacourse.httpcall import HttpCall
from papayacourse.types import Address
from standins.fleet import Fleet
from tests.callers import KEYS

RATES = (1, 10, 100, 500)  # requests a second
DAEMONS = ("a", "b", "c")
SECONDS = {1: 15.0, 10: 10.0, 100: 8.0, 500: 8.0}
PATH = "/services/deposit-ledger/refunds"
SETTINGS = ("examples/sound-trust.ini", "examples/bottle-returns.ini")
SETTINGS_PATHS = 12


@frozen
class Measured:
    """What one rate gave.

    Attributes
    ----------
    writes_per_request, reads_per_request : float
        Key-value calls for each request that succeeded.
    p50_ms, p99_ms : float
        The time of a request, in milliseconds.
    """

    rate: int
    offered: int
    succeeded: int
    reached_rate: float
    writes_per_request: float
    reads_per_request: float
    writes_per_second: float
    p50_ms: float
    p99_ms: float


@define
class Load:
    """An open-loop load over all daemons."""

    addresses: list[Address]
    rate: int
    times: list[float] = field(factory=list)
    failed: int = 0

    async def run(self, seconds: float) -> None:
        """Send requests at the rate, whether or not earlier ones have been answered."""
        started = time.monotonic()
        count = int(self.rate * seconds)
        tasks = []
        for number in range(count):
            await asyncio.sleep(started + number / self.rate - time.monotonic())
            tasks.append(asyncio.create_task(self._send(number)))
        await asyncio.gather(*tasks)

    async def _send(self, number: int) -> None:
        headers = {
            "Authorization": f"Bearer {KEYS['depots']}",
            "Idempotency-Key": f"{self.rate}-{number}",
        }
        address = self.addresses[number % len(self.addresses)]
        started = time.monotonic()
        async with HttpCall(address, "POST", PATH, headers, b"{}", 5.0, 30.0) as call:
            await call.read()
        if call.status == 200:
            self.times.append(time.monotonic() - started)
        else:
            self.failed += 1


def measure(rate: int) -> Measured:
    """Measure one rate with a fleet of its own."""
    with Fleet() as fleet:
        fleet.log_level = "warning"
        fleet.platform()
        fleet.apply(*SETTINGS)
        for number in range(2):
            fleet.plain(f"ledger-{number}", "accra-1", "accra")
        for name in DAEMONS:
            fleet.daemon(name, "accra-1", "accra")
        fleet.wait_settled(*DAEMONS, paths=SETTINGS_PATHS)
        before = fleet.counts("kv")["counts"]
        load = Load([Address.parse(fleet.processes[name].http) for name in DAEMONS], rate)
        started = time.monotonic()
        asyncio.run(load.run(SECONDS[rate]))
        took = time.monotonic() - started
        after = fleet.counts("kv")["counts"]
    return summary(load, took, before, after)


def summary(load: Load, took: float, before: dict, after: dict) -> Measured:
    """Work out the figures of one rate."""
    done = len(load.times)
    writes = after.get("swap", 0) - before.get("swap", 0)
    reads = sum(after.get(kind, 0) - before.get(kind, 0) for kind in ("get", "list"))
    cuts = statistics.quantiles(load.times, n=100)
    return Measured(
        load.rate,
        done + load.failed,
        done,
        round(done / took, 1),
        round(writes / done, 3),
        round(reads / done, 3),
        round(writes / took, 1),
        round(1000 * cuts[49], 1),
        round(1000 * cuts[98], 1),
    )


def main() -> None:
    """Measure every rate and print JSON."""
    print(json.dumps([asdict(measure(rate)) for rate in RATES], indent=2))


if __name__ == "__main__":
    main()
