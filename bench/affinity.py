"""Compares choices of engine by prefixes: ``python -m bench.affinity``.

Sound Trust's planner, with the shorter outputs of bench.regions, on five engines and three daemons
in one domain. Each of ten accounts has a prefix of 512 tokens for each of its two kinds of work,
and an engine's cache holds six such prefixes. Hits are the prompt tokens that the stand-in engines
found in their cache, of all prompt tokens, by their own count. The ways take turns within each
seed, in one fleet. Prints a table of medians and ranges over the seeds.
"""

import asyncio
import time
from collections.abc import Iterator

from attrs import evolve

from bench import runs
from bench.caller import Exchange
from bench.measures import times_of
from bench.regions import SHAPE as SHORT
from bench.site import Site
from bench.table import figure, percent
from bench.trace import PREFIX_BYTES, Arrival, arrivals

WARM_UP = 3.0  # seconds before the measures begin
MEASURED = 6.0  # seconds
LONG_PREFIX_BYTES = 2048  # of a prompt, 512 tokens
CACHED_PREFIXES = 6  # held by one engine
BYTES_PER_TOKEN = 4
WAYS = ("off", "emptiest 0.2", "least-delay 0.2", "least-delay 0.5")
COUNTS = ("prompt_tokens", "prefix_hits", "preemptions")
SHAPE = evolve(
    SHORT,
    memory=4800,
    engine_options=(
        *SHORT.engine_options,
        *("--cache-tokens", str(CACHED_PREFIXES * LONG_PREFIX_BYTES // BYTES_PER_TOKEN)),
    ),
)


def lengthened(arrival: Arrival) -> Arrival:
    """Return a request whose shared prefix is as long as the bench wants it."""
    prefix, own = arrival.prompt[:PREFIX_BYTES], arrival.prompt[PREFIX_BYTES:]
    return evolve(arrival, prompt=prefix.ljust(LONG_PREFIX_BYTES, ".") + own)


def sums(site: Site) -> dict[str, int]:
    """Return the engines' own counts, summed."""
    counts = site.counts().values()
    return {name: sum(one[name] for one in counts) for name in COUNTS}


async def run_cell(site: Site, seed: int, tokens_per_second: float) -> dict:
    """Offer the load and measure it."""
    seconds = WARM_UP + MEASURED
    trace = list(map(lengthened, arrivals(site.shape, tokens_per_second, seconds, seed)))
    made: list[Exchange] = []
    offering = asyncio.create_task(site.offer(trace, seconds, 1, made))
    await asyncio.sleep(WARM_UP)
    start = time.monotonic()
    before = await asyncio.to_thread(sums, site)
    await asyncio.sleep(start + MEASURED - time.monotonic())
    end = time.monotonic()
    after = await asyncio.to_thread(sums, site)
    await offering
    seen = times_of(made, start, end).summary(end - start)
    asked = [one for one in made if start <= one.sent < end]
    return {
        "seed": seed,
        "counts": {name: after[name] - before[name] for name in COUNTS},
        "between_ms": seen["between_tokens_ms"],
        "first_ms": seen["first_token_ms"],
        "tokens_per_second": seen["tokens_per_second"],
        "stall_s": seen["stall_seconds"],
        "refused": percent(sum(bool(one.refusal_times) for one in asked), len(asked)),
        "broken": sum(one.failed for one in made),
    }


def settings_of(way: str) -> list[str]:
    """Return the deployment's settings for a way: ``off``, or a choice and a bound."""
    if way == "off":
        return ["affinity_bound = off"]
    choice, bound = way.split()
    return [f"engine_choice = {choice}", f"affinity_bound = {bound}"]


def rows(cells: list[dict]) -> Iterator[str]:
    """Yield the lines of the table."""
    times = ("p95 ms", "p99 ms", "p99.9 ms", "first p50 ms", "first p95 ms")
    counts = ("tokens/s", "refused %", "preemptions", "stall s")
    yield from runs.header("choice and bound", "prefix hits %", *times, *counts)
    for way in dict.fromkeys(cell["way"] for cell in cells):
        some = [cell for cell in cells if cell["way"] == way]
        counts = [cell["counts"] for cell in some]
        columns = [
            way,
            figure([percent(one["prefix_hits"], one["prompt_tokens"]) for one in counts]),
            *(figure([c["between_ms"][name] for c in some]) for name in ("p95", "p99", "p999")),
            figure([cell["first_ms"]["p50"] for cell in some]),
            figure([cell["first_ms"]["p95"] for cell in some]),
            figure([cell["tokens_per_second"] for cell in some]),
            figure([cell["refused"] for cell in some]),
            figure([one["preemptions"] for one in counts]),
            figure([cell["stall_s"] for cell in some], 1),
        ]
        yield runs.row(columns)


def main() -> None:
    """Run every way for every seed in one fleet, in turns."""
    parser = runs.options(__doc__)
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--tokens", type=float, default=900.0, help="offered, tokens/s")
    wanted = parser.parse_args()
    ways, cells = wanted.ways.split(","), []
    with Site(SHAPE) as site:
        for seed in runs.seeds(wanted):
            for way in runs.in_turns(ways, seed):
                site.apply(SHAPE.with_options(settings_of(way)), "predicted")
                cell = asyncio.run(run_cell(site, seed, wanted.tokens))
                cells.append(cell | {"way": way})
                site.drain()
    runs.save(wanted, "affinity", cells)
    print("\n".join(rows(sorted(cells, key=lambda cell: ways.index(cell["way"])))))


if __name__ == "__main__":
    main()
