"""Measures how long stalls and first tokens take to be normal again: ``python -m bench.recovery``.

Each run offers a steady load, brings one failure about, and looks at each second after it.
"""

import asyncio
import statistics
import time
from collections.abc import Callable

from attrs import asdict, frozen

from bench import runs
from bench.caller import Exchange
from bench.capacity import capacity
from bench.measures import STALL_THRESHOLD, gaps
from bench.shapes import DAEMONS, SHAPES
from bench.site import Site
from bench.trace import arrivals

BEFORE = 10.0  # seconds of load before the failure
NORMAL_FROM = 5.0  # seconds from which the load counts as settled
AFTER = 15.0  # seconds of load after it
CALM = 2  # seconds at the end that must be normal
FIRST_TOKEN_FACTOR = 2.0  # of the median before, up to which a second is normal


@frozen
class Failure:
    """A failure and the load under which it is brought about."""

    name: str
    load: float
    strike: Callable[[Site], None]


@frozen
class Second:
    """What callers saw in one second.

    Attributes
    ----------
    stall : float
        Seconds of stall that ended in it.
    first : float
        The median time to first token of the requests sent in it, in seconds.
    """

    at: int
    stall: float
    first: float
    broken: int
    refused: int


def kill_scheduler(site: Site) -> None:
    """Kill the daemon that schedules the service."""
    held = {}
    for name in DAEMONS:
        schedulers = site.fleet.status(name)["schedulers"]
        held[name] = sum(engine["streams"] for s in schedulers for engine in s["engines"])
    site.fleet.processes[max(held, key=held.get)].kill()


def kill_half(site: Site) -> None:
    """Kill half of the engines at once."""
    for name in site.engines[: (len(site.engines) + 1) // 2]:
        site.fleet.processes[name].popen.kill()


def mute_loads(site: Site) -> None:
    """Make every engine's load reports fail, while it goes on generating."""
    for name in site.engines:
        site.fleet.admin(name, {"mute": True})


FAILURES = (
    Failure("scheduler lost at full load", 1.0, kill_scheduler),
    Failure("load reports out", 0.8, mute_loads),
    Failure("half of the engines lost", 0.4, kill_half),
)


def seconds_seen(made: list[Exchange], start: float, end: float) -> list[Second]:
    """Return what callers saw in each second of a run."""
    found = []
    for number in range(int(end - start)):
        low, high = start + number, start + number + 1
        firsts = [
            (one.times[0][0] if one.times else end) - one.sent
            for one in made
            if low <= one.sent < high and one.status in (0, 200) and not one.failed
        ]
        stall = sum(
            max(0.0, seconds - STALL_THRESHOLD)
            for one in made
            for (at, seconds), _ in gaps(one, end)
            if seconds is not None and low <= at < high
        )
        sent = [one for one in made if low <= one.sent < high]
        found.append(
            Second(
                number,
                stall,
                statistics.median(firsts) if firsts else 0.0,
                sum(one.failed for one in sent),
                sum(bool(one.refusal_times) for one in sent),
            )
        )
    return found


def recovered(seconds: list[Second], struck: int) -> int | None:
    """Return the seconds after which stall and first token stay normal; None if they do not."""
    normal = seconds[int(NORMAL_FROM) : struck]
    stall = max(second.stall for second in normal) + STALL_THRESHOLD
    first = FIRST_TOKEN_FACTOR * statistics.median(second.first for second in normal)
    bad = [s.at for s in seconds[struck:] if s.stall > stall or s.first > first]
    if not bad:
        return 0
    after = bad[-1] + 1
    return after - struck if len(seconds) - after >= CALM else None


async def run_failure(site: Site, failure: Failure, capacity: float, seed: int) -> list[Second]:
    """Offer the load, strike, and return what callers saw."""
    seconds = BEFORE + AFTER
    trace = arrivals(site.shape, capacity * failure.load, seconds, seed)
    made: list[Exchange] = []
    start = time.monotonic()
    offering = asyncio.create_task(site.offer(trace, seconds, 1, made))
    await asyncio.sleep(BEFORE)
    await asyncio.to_thread(failure.strike, site)
    await offering
    return seconds_seen(made, start, start + seconds)


def main() -> None:
    """Run every failure for every seed; print and save what was seen."""
    parser = runs.options(__doc__)
    parser.add_argument("--shape", default="sound-trust")
    parser.add_argument("--capacity", type=float, default=0.0, help="tokens/s; 0 works it out")
    wanted = parser.parse_args()
    shape, results = SHAPES[wanted.shape], []
    full = wanted.capacity or capacity(shape)
    for seed in runs.seeds(wanted):
        for failure in FAILURES:
            with Site(shape) as site:
                site.apply(shape, "predicted")
                seen = asyncio.run(run_failure(site, failure, full, seed))
            time_taken = recovered(seen, int(BEFORE))
            worst = max(second.first for second in seen[int(BEFORE) :])
            stall = sum(second.stall for second in seen[int(BEFORE) :])
            broken = sum(second.broken for second in seen)
            print(
                f"{failure.name}, seed {seed}: normal after {time_taken} s; worst median first "
                f"token {worst:.2f} s; stall {stall:.1f} s; {broken} answers broken",
                flush=True,
            )
            results.append(
                {
                    "failure": failure.name,
                    "seed": seed,
                    "recovered": time_taken,
                    "seconds": [asdict(second) for second in seen],
                }
            )
    runs.save(wanted, "recovery", results)


if __name__ == "__main__":
    main()
