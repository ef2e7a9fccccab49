"""Compares the retry budget with none in an engine loss under load: ``python -m bench.storm``.

Sound Trust's planner on five engines and three daemons in one domain, with short answers only (8
tokens) so that many requests come; after 6 s three engines are killed at once and the load goes on
for 8 s. Each run
has a fleet of its own; the alternatives take turns within each seed. A caller who is refused with
a Retry-After comes back, up to four times in all. Attempts are places given by a scheduler. Prints
a table of medians and ranges over the seeds.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Iterator

from attrs import evolve

from bench import runs
from bench.caller import Exchange
from bench.recovery import kill_half, seconds_seen
from bench.regions import SHAPE as SHORT
from bench.shapes import WorkClass
from bench.site import Site
from bench.table import figure, percent
from bench.trace import arrivals
from standins.metricsreader import total

BEFORE = 6.0  # seconds of load before the engines are killed
NORMAL_FROM = 3.0  # seconds from which the load counts as settled
AFTER = 8.0  # seconds of load after that
CALM = 2  # seconds at the end that must be normal
NORMAL_FACTOR = 2.0  # of the median first token before, up to which a second is normal
TRIES = 4
SHAPE = evolve(SHORT, classes=(WorkClass("check", 8, 0.6, 40, 1.0),))
BUDGETS = ("limited", "unlimited")


def placements(site: Site) -> float:
    """Return the places given so far."""
    return sum(total(address, "papayacourse_placements_total") for address in site.addresses())


def normal_after(made: list[Exchange], start: float) -> float | None:
    """Return the seconds until first tokens stay normal; None if they do not."""
    seconds = seconds_seen(made, start, start + BEFORE + AFTER)
    before = sorted(s.first for s in seconds[int(NORMAL_FROM) : int(BEFORE)])
    limit = NORMAL_FACTOR * before[len(before) // 2]
    bad = [s.at for s in seconds[int(BEFORE) :] if s.first > limit]
    after = bad[-1] + 1 - BEFORE if bad else 0.0
    return after if after <= AFTER - CALM else None


async def run_cell(site: Site, seed: int, tokens_per_second: float) -> dict:
    """Offer the load, kill engines, and count what became of the requests sent after that."""
    seconds = BEFORE + AFTER
    trace = arrivals(site.shape, tokens_per_second, seconds, seed)
    made: list[Exchange] = []
    start = time.monotonic()
    offering = asyncio.create_task(site.offer(trace, seconds, TRIES, made))
    await asyncio.sleep(BEFORE)
    before = await asyncio.to_thread(placements, site)
    struck = time.monotonic()
    await asyncio.to_thread(kill_half, site)
    await offering
    attempts = await asyncio.to_thread(placements, site) - before
    later = [one for one in made if one.arrival.at > struck - start]
    return {
        "seed": seed,
        "requests": len(later),
        "sent": sum(one.tries for one in later),
        "attempts": attempts,
        "broken": sum(one.failed for one in made),
        "refused": Counter(one.reason for one in later if one.status not in (0, 200)),
        "refused_at_first": Counter(one.reason for one in later if one.refusal_times),
        "normal_after": normal_after(made, start),
    }


def seconds_text(seconds: float | None) -> str:
    """Return a time in seconds, or that there was none."""
    return "not in time" if seconds is None else f"{seconds:.0f}"


def rows(cells: list[dict]) -> Iterator[str]:
    """Yield the lines of the table."""
    sent = ("places / request", "sent / request", "refused at first %", "not served %")
    refused = ("for want of retries", "engine_lost", "overloaded")
    yield from runs.header("budget", *sent, *refused, "answers broken", "normal after s")
    for budget in BUDGETS:
        some = [cell for cell in cells if cell["budget"] == budget]
        if not some:
            continue
        at_first = [cell["refused_at_first"] for cell in some]
        columns = [
            budget,
            figure([cell["attempts"] / cell["requests"] for cell in some], 2),
            figure([cell["sent"] / cell["requests"] for cell in some], 2),
            figure([percent(sum(c["refused_at_first"].values()), c["requests"]) for c in some]),
            figure([percent(sum(c["refused"].values()), c["requests"]) for c in some]),
            *(
                figure([counts[reason] for counts in at_first])
                for reason in ("retries_exhausted", "engine_lost", "overloaded")
            ),
            figure([cell["broken"] for cell in some]),
            ", ".join(seconds_text(cell["normal_after"]) for cell in some),
        ]
        yield runs.row(columns)


def main() -> None:
    """Run both budgets for every seed, in turns."""
    parser = runs.options(__doc__)
    parser.add_argument("--tokens", type=float, default=400.0, help="offered, tokens/s")
    wanted, cells = parser.parse_args(), []
    for seed in runs.seeds(wanted):
        for budget in runs.in_turns(BUDGETS, seed):
            shape = evolve(SHAPE, service_options=(f"retry_budget = {budget}",))
            with Site(shape) as site:
                cell = asyncio.run(run_cell(site, seed, wanted.tokens))
            cells.append(cell | {"budget": budget})
    runs.save(wanted, "storm", cells)
    print("\n".join(rows(cells)))


if __name__ == "__main__":
    main()
