"""Shows what a domain's return after a partition costs: ``python -m bench.rejoin``.

Two domains of two engines, two plain servers and three daemons each. Both serve generations and
bookings that may not be repeated, 10 a second each, whose callers come back when told until they
are served. One domain is cut off from the other and from the platform for 20 s, then given back.
Prints, for each second from 5 s before the return to 10 s after it, the key-value service's calls,
reads of the host list, and the mesh's dials and bytes: medians and ranges over the seeds, and the
median of the 5 s before the cut.
"""

import asyncio
import itertools
import statistics
import time
from collections.abc import Iterator

from attrs import define, evolve, field

from bench import runs
from bench.regions import SHAPE
from bench.regionsite import Domain, RegionSite
from bench.table import figure
from bench.trace import arrivals
from papayacourse.exceptions import BackendError
from papayacourse.httpcall import HttpCall
from papayacourse.types import Address

DOMAINS = (Domain("lagos-ikeja", "lagos", 2, 3), Domain("kano-sabon", "kano", 2, 3))
PLAIN_SERVERS = 2
BEFORE = 8.0  # seconds before the cut, the last five of which are its measure
CUT = 20.0  # seconds
AFTER = 11.0  # seconds
SHOWN_BEFORE, SHOWN_AFTER = 5, 10  # seconds around the return
BOOKINGS = 10.0  # a second in each domain
BOOKING_LIMIT = 40.0  # seconds after which a caller gives up
PATH = "/services/hiredesk/bookings"
OTHER_SETTINGS = (
    "[/teams/sound-trust/services/hiredesk]",
    "kind = plain",
    "non_repeatable = POST /bookings*",
    "[/teams/sound-trust/deployments/hiredesk]",
    "service = hiredesk",
    "backends = hiredesk-*",
)
COLUMNS = ("reads", "writes", "watches", "host_reads", "dials", "mesh_bytes", "booked", "refused")


@define
class Bookings:
    """What became of the bookings so far."""

    booked: int = 0
    refused: int = 0
    uncertain: int = 0
    waiting: set[int] = field(factory=set)


async def book(address: str, key: str, number: int, seen: Bookings) -> None:
    """Book, coming back when told, until it is done or the caller gives up."""
    seen.waiting.add(number)
    headers = {
        "Authorization": f"Bearer {SHAPE.accounts[0].key}",
        "Idempotency-Key": f"{key}-{number}",
    }
    give_up = time.monotonic() + BOOKING_LIMIT
    while time.monotonic() < give_up:
        call = HttpCall(Address.parse(address), "POST", PATH, headers, b"{}", 5.0, 30.0)
        try:
            async with call:
                await call.read()
        except BackendError:
            seen.uncertain += 1
            break
        if call.status == 200:
            seen.booked += 1
            break
        seen.refused += 1
        await asyncio.sleep(float(call.headers.get("Retry-After", "1")))
    seen.waiting.discard(number)


async def offer_bookings(site: RegionSite, domain: Domain, key: str, seen: Bookings) -> None:
    """Book at a steady rate through a domain's daemons, for ever."""
    start, number = time.monotonic(), 0
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(start + number / BOOKINGS - time.monotonic())
            daemon = domain.daemon_names[number % len(domain.daemon_names)]
            group.create_task(book(site.address(daemon), key, number, seen))
            number += 1


def totals(site: RegionSite, seen: list[Bookings]) -> dict[str, float]:
    """Return every total so far."""
    counts = site.fleet.counts("kv")["counts"]
    states = [site.fleet.status(name) for name in site.daemons]
    return {
        "reads": counts.get("get", 0) + counts.get("list", 0),
        "writes": counts.get("swap", 0) + sum(counts.get(k, 0) for k in ("grant", "renew")),
        "watches": counts.get("watch", 0),
        "host_reads": sum(state["hosts"]["reads"] for state in states),
        "dials": sum(state["mesh"]["dials"] for state in states),
        "mesh_bytes": sum(state["mesh_bytes"] for state in states) / 2,
        "booked": sum(one.booked for one in seen),
        "refused": sum(one.refused for one in seen),
    }


async def sample(
    site: RegionSite, seen: list[Bookings], until: float
) -> list[tuple[float, dict[str, float]]]:
    """Return the totals once a second, with the time of each."""
    found = []
    tick = time.monotonic()
    while tick <= until:
        await asyncio.sleep(tick - time.monotonic())
        found.append((time.monotonic(), await asyncio.to_thread(totals, site, seen)))
        tick += 1.0
    return found


async def run_cell(site: RegionSite, seed: int, tokens_per_second: float) -> dict:
    """Cut a domain off under load and give it back; return the totals of each second."""
    seconds = BEFORE + CUT + AFTER
    start = time.monotonic()
    seen = [Bookings() for _ in site.domains]
    work, exchanges = [], []
    for number, domain in enumerate(site.domains):
        trace = arrivals(site.shape, tokens_per_second, seconds, seed + 100 * number)
        work.append(site.offer(domain, trace, seconds, exchanges))
    booking = [
        asyncio.create_task(offer_bookings(site, domain, f"{seed}-{domain.region}", one))
        for domain, one in zip(site.domains, seen, strict=True)
    ]
    offering = [asyncio.create_task(one) for one in work]
    sampling = asyncio.create_task(sample(site, seen, start + seconds))
    cut_off = site.domains[1]
    await asyncio.sleep(BEFORE)
    await asyncio.to_thread(site.cut, cut_off)
    await asyncio.sleep(start + BEFORE + CUT - time.monotonic())
    await asyncio.to_thread(site.heal, cut_off)
    healed = time.monotonic() - start
    samples = await sampling
    await asyncio.gather(*offering)
    for task in booking:
        task.cancel()
    await asyncio.gather(*booking, return_exceptions=True)
    return {
        "seed": seed,
        "healed": healed,
        "seconds": rates(samples, start),
        "uncertain": sum(one.uncertain for one in seen),
        "answers": sum(one.done for one in exchanges),
        "broken": sum(one.failed for one in exchanges),
    }


def rates(samples: list[tuple[float, dict]], start: float) -> list[dict[str, float]]:
    """Return what each second added, with the time at which it began."""
    found = []
    for (at, before), (later, after) in itertools.pairwise(samples):
        row = {name: (after[name] - before[name]) / (later - at) for name in COLUMNS}
        found.append({"at": at - start} | row)
    return found


def rows(cells: list[dict]) -> Iterator[str]:
    """Yield the lines of the table."""
    names = ("reads", "writes", "watches", "reads of the host list", "dials", "mesh bytes/s")
    yield from runs.header("second", *names, "booked", "refused")
    calm = [s for c in cells for s in c["seconds"] if BEFORE - 5 <= s["at"] < BEFORE - 1]
    middle = [f"{statistics.median(s[name] for s in calm):.0f}" for name in COLUMNS]
    yield runs.row(["before the cut", *middle])
    for number in range(-SHOWN_BEFORE, SHOWN_AFTER):
        some = [nearest(cell, number) for cell in cells]
        yield runs.row([str(number), *(figure([s[n] for s in some]) for n in COLUMNS)])
    for cell in cells:
        yield (
            f"seed {cell['seed']}: {cell['answers']} answers whole, {cell['broken']} broken, "
            f"{cell['uncertain']} bookings without an answer"
        )


def nearest(cell: dict, number: int) -> dict[str, float]:
    """Return the second that begins closest to so long after the return."""
    return min(cell["seconds"], key=lambda second: abs(second["at"] - cell["healed"] - number))


def main() -> None:
    """Cut a domain off and give it back, once for each seed, each in a fleet of its own."""
    parser = runs.options(__doc__)
    parser.add_argument("--tokens", type=float, default=300.0, help="offered to each, tokens/s")
    wanted, cells = parser.parse_args(), []
    shape = evolve(SHAPE, service_options=("spill_other_region = 600",))
    for seed in runs.seeds(wanted):
        with RegionSite(shape, DOMAINS, cuttable=True, other_settings=OTHER_SETTINGS) as site:
            for domain in site.domains:
                for number in range(PLAIN_SERVERS):
                    name = f"hiredesk-{domain.region}-{number}"
                    site.fleet.plain(name, domain.name, domain.region)
            cells.append(asyncio.run(run_cell(site, seed, wanted.tokens)))
    runs.save(wanted, "rejoin", cells)
    print("\n".join(rows(cells)))


if __name__ == "__main__":
    main()
