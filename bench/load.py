"""Compares the policies under seeded open-loop load: ``python -m bench.load``."""

import argparse
import asyncio
import json
import resource
import sys
import time
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from attrs import frozen

from bench.caller import Exchange
from bench.capacity import capacity
from bench.measures import Cell, histogram, percentiles, times_of
from bench.shapes import POLICIES, SHAPES
from bench.site import Site
from bench.table import account_rows, rows
from bench.trace import arrivals

WARM_UP = 4.0  # seconds before the measures begin
MEASURED = 8.0  # seconds
TRIES = 2  # requests sent by a caller who obeys Retry-After
LOADS = (0.5, 0.8, 1.0, 1.3)
FULL_LOADS = (0.8, 1.0)  # at which every policy is compared
WARM_LOAD = 0.8  # of the capacity, offered before the first cell
WARM_SEED = 0
WARM_POLICY = "predicted"
FEW_POLICIES = ("predicted", "least-outstanding")


@frozen
class Plan:
    """Which cells to run."""

    shape: str
    loads: tuple[float, ...]
    seeds: tuple[int, ...]
    policies: tuple[str, ...]
    measured: float
    capacity: float
    options: tuple[str, ...]
    folder: Path


def cpu_time() -> float:
    """Return the processor time of this process, in seconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def counted(before: dict[str, dict], after: dict[str, dict], name: str) -> int:
    """Return by how much a count has grown on all engines together."""
    return sum(after[engine][name] - before[engine][name] for engine in after)


async def run_cell(
    site: Site, policy: str, load: float, seed: int, tokens_per_second: float, measured: float
) -> Cell:
    """Offer one load under one policy and measure it."""
    shape = site.shape
    seconds = WARM_UP + measured
    trace = arrivals(shape, tokens_per_second, seconds, seed)
    exchanges: list[Exchange] = []
    offering = asyncio.create_task(site.offer(trace, seconds, TRIES, exchanges))
    await asyncio.sleep(WARM_UP)
    before, start, cpu = await asyncio.to_thread(site.counts), time.monotonic(), cpu_time()
    await asyncio.sleep(measured)
    end, cpu = time.monotonic(), cpu_time() - cpu
    after = await asyncio.to_thread(site.counts)
    await offering
    by_class, by_account = defaultdict(list), defaultdict(list)
    for made in exchanges:
        by_class[made.arrival.work].append(made)
        by_account[made.arrival.account.name].append(made)
    refusals = histogram()
    for made in exchanges:
        for seconds_taken in made.refusal_times:
            refusals.record_value(int(seconds_taken * 1e6) + 1)
    again = [made for made in exchanges if made.tries > 1 and made.status]
    return Cell(
        shape.name,
        policy,
        load,
        seed,
        times_of(exchanges, start, end).summary(end - start),
        {n: times_of(some, start, end).summary(end - start) for n, some in by_class.items()},
        {n: times_of(some, start, end).summary(end - start) for n, some in by_account.items()},
        counted(before, after, "preemptions"),
        counted(before, after, "prompt_tokens"),
        counted(before, after, "prefix_hits"),
        len(trace),
        sum(1 for made in exchanges if made.refusal_times),
        percentiles(refusals),
        len(again),
        sum(1 for made in again if made.status == 200),
        sum(1 for made in exchanges if made.failed),
        cpu / (end - start),
    )


def warm(site: Site, offered: float) -> None:
    """Let the schedulers learn the outputs' lengths, which a cold one knows nothing of."""
    seconds = WARM_UP + MEASURED
    trace = arrivals(site.shape, offered, seconds, WARM_SEED)
    site.apply(site.shape, WARM_POLICY)
    asyncio.run(site.offer(trace, seconds, 1, []))
    site.drain()


def run_shape(plan: Plan) -> dict:
    """Run every cell of a shape; the policies take turns within each seed and load."""
    shape = SHAPES[plan.shape]
    shape = shape.with_options(plan.options)
    cells = []
    with Site(shape) as site:
        full = plan.capacity or capacity(shape)
        warm(site, full * WARM_LOAD)
        for seed in plan.seeds:
            for load in plan.loads:
                every = load in FULL_LOADS or plan.policies != POLICIES
                policies = [p for p in plan.policies if every or p in FEW_POLICIES]
                turn = seed % len(policies)
                for policy in policies[turn:] + policies[:turn]:
                    name, *options = policy.split("+")
                    site.apply(shape.with_options(options), name)
                    offered = full * load
                    cell = run_cell(site, policy, load, seed, offered, plan.measured)
                    cells.append(asyncio.run(cell).as_dict())
                    partial = {"shape": shape.name, "capacity": full, "cells": cells}
                    (plan.folder / f"{shape.name}.json").write_text(json.dumps([partial]))
                    print(shape.name, seed, load, policy, file=sys.stderr, flush=True)
                    site.drain()
    return {"shape": shape.name, "capacity": full, "cells": cells}


def parse(arguments: list[str] | None = None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="one seed, loads 0.8 and 1.0")
    parser.add_argument("--shapes", default=",".join(SHAPES))
    parser.add_argument("--loads", default=",".join(map(str, LOADS)))
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument(
        "--policies", default=",".join(POLICIES), help="such as predicted+memory_margin=0.2"
    )
    parser.add_argument("--measured", type=float, default=MEASURED, help="seconds of each cell")
    parser.add_argument("--capacity", type=float, default=0.0, help="tokens/s; 0 works it out")
    parser.add_argument("--option", action="append", default=[], help="a line of the deployment")
    parser.add_argument("--out", default="out/bench")
    return parser.parse_args(arguments)


def main() -> None:
    """Run the bench, print its table, and save it as JSON and PNG."""
    wanted = parse()
    loads = FULL_LOADS if wanted.quick else tuple(map(float, wanted.loads.split(",")))
    seeds = (1,) if wanted.quick else tuple(map(int, wanted.seeds.split(",")))
    policies = tuple(wanted.policies.split(","))
    folder = Path(wanted.out)
    folder.mkdir(parents=True, exist_ok=True)
    plans = [
        Plan(
            name,
            loads,
            seeds,
            policies,
            wanted.measured,
            wanted.capacity,
            tuple(wanted.option),
            folder,
        )
        for name in wanted.shapes.split(",")
    ]
    with ProcessPoolExecutor(len(plans)) as pool:
        found = list(pool.map(run_shape, plans))
    (folder / "load.json").write_text(json.dumps(found, indent=1))
    for result in found:
        print("\n".join((*rows(result), *account_rows(result))))


if __name__ == "__main__":
    main()
