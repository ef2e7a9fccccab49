"""Compares copies of one harmless prompt with different prompts: ``python -m bench.copies``.

Sound Trust's planner on its own engines, all idle, with as many requests at once as a site might
get. Every answer has the same length, which is the worst for copies: none shows the prompt to be
harmless before the others are nearly through. Prints medians and ranges over the rounds.
"""

import asyncio
import itertools
import time

from bench.caller import Exchange, exchange
from bench.shapes import SOUND_TRUST
from bench.site import DRAIN_TIME, Site
from bench.table import figure
from bench.trace import Arrival

ROUNDS = 5
COUNTS = (10, 40, 120)  # requests at once
LENGTH = 100  # tokens
HEAD = "| at once | prompts | last first token ms | all whole after ms | engines | not served |"


async def burst(site: Site, prompts: list[str]) -> tuple[list[Exchange], float]:
    """Send requests at once; returns them with the seconds that all of them took."""
    account, addresses = site.shape.accounts[0], itertools.cycle(site.addresses())
    made = [Exchange(Arrival(0.0, account, "copy", prompt, LENGTH, 0)) for prompt in prompts]
    begun = time.monotonic()
    await asyncio.gather(
        *(exchange(next(addresses), site.shape.service, LENGTH + 1, one) for one in made)
    )
    return made, time.monotonic() - begun


def started(site: Site) -> dict[str, int]:
    """Return how many generations each engine has begun."""
    return {name: count["started"] for name, count in site.counts().items()}


def measure(site: Site, prompts: list[str]) -> tuple[float, float, int, int]:
    """Return last first token and end, in ms, engines that worked, and requests not served."""
    before = started(site)
    made, seconds = asyncio.run(burst(site, prompts))
    worked = sum(count > before[name] for name, count in started(site).items())
    served = [one for one in made if one.done and not one.failed]
    first = max(one.times[0][0] - one.sent for one in served)
    time.sleep(DRAIN_TIME)
    return 1000 * first, 1000 * seconds, worked, len(made) - len(served)


def main() -> None:
    """Print a row for each count and kind of prompts, which take turns."""
    rows: dict[tuple[int, str], list[tuple[float, float, int, int]]] = {}
    with Site(SOUND_TRUST) as site:
        time.sleep(2 * DRAIN_TIME)
        for turn, count in itertools.product(range(ROUNDS), COUNTS):
            for kind in ("one", "different"):
                name = f"{kind} of turn {turn} at {count}"
                own = [f"{name}, {n}" if kind == "different" else name for n in range(count)]
                rows.setdefault((count, kind), []).append(measure(site, own))
    print(HEAD + "\n" + "|---" * HEAD.count(" |") + "|")
    for (count, kind), found in rows.items():
        cells = " | ".join(figure(list(values)) for values in zip(*found, strict=True))
        print(f"| {count} | {kind} | {cells} |")


if __name__ == "__main__":
    main()
