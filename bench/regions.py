"""Compares spill prices over three regions with the brief's latencies: ``python -m bench.regions``.

Sound Trust's planner over lagos-ikeja (2 engines, 1.3 times its capacity offered), kano-sabon (2,
0.6) and enugu-ogui (1, 0.5): 12 ms one way between regions by the delaying proxy, on the mesh and
before the engines; the round trip that opens a connection is added to its first piece. The other
latencies are below what the bench can tell and are left out. Times are 1:20, as in bench.load, so
the default price of 5 s is 0.25 s; engines run 8 streams, plans have a median of 50 tokens and at
most 400. Prints a table of medians and ranges over the seeds.
"""

import asyncio
import time
from collections.abc import Iterator

from attrs import evolve

from bench import runs
from bench.caller import Exchange
from bench.measures import times_of
from bench.regionsite import Domain, RegionSite
from bench.shapes import SOUND_TRUST, Shape, WorkClass
from bench.table import figure, percent
from bench.trace import arrivals
from standins.metricsreader import total

WARM_UP = 3.0  # seconds before the measures begin
MEASURED = 7.0  # seconds
DOMAINS = (
    Domain("lagos-ikeja", "lagos", 2, 2),
    Domain("kano-sabon", "kano", 2, 2),
    Domain("enugu-ogui", "enugu", 1, 2),
)
# Outputs are cut so that a cell of some seconds has enough of them; the batch fills first.
SHAPE = evolve(
    SOUND_TRUST,
    memory=2400,
    max_batch=8,
    classes=(WorkClass("plan", 50, 0.9, 400, 0.55), WorkClass("check", 8, 0.6, 40, 0.45)),
)
LOADS = {"lagos": 1.3, "kano": 0.6, "enugu": 0.5}  # of the domain's own capacity
SCALE = 20.0  # times shorter than in service
PRICES = {"never": 600.0, "default": 5.0 / SCALE, "free": 0.001}  # seconds
SEED_STEP = 100  # keeps the regions' seeds apart


def priced(shape: Shape, price: float) -> Shape:
    """Return the shape with a spill price, in seconds."""
    lines = (f"spill_other_region = {price}", f"spill_same_region = {price}")
    return evolve(shape, service_options=lines)


def crossed(site: RegionSite) -> dict[str, float]:
    """Return the totals so far of what crossed regions."""
    found = {"control": 0.0, "stream": 0.0}
    for name in site.daemons:
        for carried in found:
            labels = {"link": "other_region", "carried": carried}
            found[carried] += total(site.address(name), "papayacourse_link_bytes_total", **labels)
    found["control"] /= 2  # both ends count a frame
    found["questions"] = sum(
        total(site.address(name), "papayacourse_spill_questions_total") for name in site.daemons
    )
    found["preemptions"] = sum(site.fleet.counts(name)["preemptions"] for name in site.engines)
    for domain in site.domains:
        placed = (
            total(site.address(name), "papayacourse_placements_total", link="other_region")
            for name in domain.daemon_names
        )
        found[domain.region] = sum(placed)
    return found


async def run_cell(site: RegionSite, seed: int, per_engine: float) -> dict:
    """Offer every region its load and measure what callers there see."""
    seconds = WARM_UP + MEASURED
    made: dict[str, list[Exchange]] = {domain.region: [] for domain in site.domains}
    offering = []
    for number, domain in enumerate(site.domains):
        tokens = per_engine * domain.engines * LOADS[domain.region]
        trace = arrivals(site.shape, tokens, seconds, seed + SEED_STEP * number)
        offering.append(
            asyncio.create_task(site.offer(domain, trace, seconds, made[domain.region]))
        )
    await asyncio.sleep(WARM_UP)
    start = time.monotonic()
    before = await asyncio.to_thread(crossed, site)
    await asyncio.sleep(start + MEASURED - time.monotonic())
    # Before the counts are read, which takes a while in which the offering ends.
    end = time.monotonic()
    after = await asyncio.to_thread(crossed, site)
    await asyncio.gather(*offering)
    preemptions = after.pop("preemptions") - before.pop("preemptions")
    questions = after.pop("questions") - before.pop("questions")
    passed = {name: (after[name] - before[name]) for name in after}
    regions = {}
    for region, exchanges in made.items():
        seen = times_of(exchanges, start, end).summary(end - start)
        asked = [one for one in exchanges if start <= one.sent < end]
        regions[region] = {
            "first_ms": seen["first_token_ms"],
            "stall_s": seen["stall_seconds"],
            "tokens_per_second": seen["tokens_per_second"],
            "asked": len(asked),
            "refused": sum(bool(one.refusal_times) for one in asked),
            "failed": sum(one.failed for one in asked),
            "elsewhere": passed[region],
        }
    return {
        "preemptions": preemptions,
        "questions": questions,
        "control_bytes_per_second": passed["control"] / (end - start),
        "stream_bytes_per_second": passed["stream"] / (end - start),
        "regions": regions,
    }


def rows(cells: list[dict]) -> Iterator[str]:
    """Yield the lines of the tables."""
    times = ("first p50 ms", "first p95 ms")
    yield from runs.header("price", "asked in", *times, "elsewhere %", "refused %", "stall s")
    for price in dict.fromkeys(cell["price"] for cell in cells):
        some = [cell["regions"] for cell in cells if cell["price"] == price]
        for region in some[0]:
            seen = [regions[region] for regions in some]
            columns = [
                price,
                region,
                figure([one["first_ms"]["p50"] for one in seen]),
                figure([one["first_ms"]["p95"] for one in seen]),
                figure([percent(one["elsewhere"], one["asked"]) for one in seen]),
                figure([percent(one["refused"], one["asked"]) for one in seen]),
                figure([one["stall_s"] for one in seen], 1),
            ]
            yield runs.row(columns)
    yield ""
    carried = ("control bytes/s", "stream bytes/s", "asked elsewhere", "placed elsewhere")
    yield from runs.header("price", "tokens/s", *carried, "preemptions", "answers broken")
    for price in dict.fromkeys(cell["price"] for cell in cells):
        some = [cell for cell in cells if cell["price"] == price]
        tokens = [sum(r["tokens_per_second"] for r in c["regions"].values()) for c in some]
        broken = sum(r["failed"] for c in some for r in c["regions"].values())
        columns = [
            price,
            figure(tokens),
            figure([cell["control_bytes_per_second"] for cell in some]),
            figure([cell["stream_bytes_per_second"] for cell in some]),
            figure([cell["questions"] for cell in some]),
            figure([sum(r["elsewhere"] for r in cell["regions"].values()) for cell in some]),
            figure([cell["preemptions"] for cell in some]),
            str(broken),
        ]
        yield runs.row(columns)


def main() -> None:
    """Run every price for every seed in one fleet, in turns."""
    parser = runs.options(__doc__)
    parser.add_argument("--prices", default=",".join(PRICES), help="names, or seconds")
    parser.add_argument("--per-engine", type=float, default=300.0, help="tokens/s at load 1")
    wanted = parser.parse_args()
    prices, cells = wanted.prices.split(","), []
    with RegionSite(SHAPE, DOMAINS) as site:
        for seed in runs.seeds(wanted):
            for price in runs.in_turns(prices, seed):
                site.apply(priced(SHAPE, PRICES.get(price) or float(price)))
                cell = asyncio.run(run_cell(site, seed, wanted.per_engine))
                cells.append(cell | {"price": price, "seed": seed})
                site.drain()
    runs.save(wanted, "regions", cells)
    print("\n".join(rows(sorted(cells, key=lambda cell: prices.index(cell["price"])))))


if __name__ == "__main__":
    main()
