"""Measures the processor time of one grant against the size of the fleet.

Run ``python -m bench.grants``; it starts no processes.
"""

import random
import time

from papayacourse.admission import choose_engine
from papayacourse.ledger import EngineLedger, Stream, add_stream, remove_stream
from papayacourse.lengths import LengthModel
from papayacourse.policies import POLICIES
from papayacourse.prefixes import PrefixIndex
from papayacourse.types import GenerationRequest

SIZES = (
    (5, 12),
    (11, 14),
    (12, 64),
    (22, 48),
    (44, 14),
    (44, 32),
    (44, 64),
)  # engines, streams on each
ACCOUNTS = 300
GRANTS = 460
GRANTS_PER_SECOND = 46  # of one scheduler at the size to come
OUTPUTS_LEARNT = 3000


def stream(number: int, rng: random.Random) -> Stream:
    """Return one stream of a random account."""
    owner = rng.randrange(ACCOUNTS)
    account, prefixes = f"account-{owner}", (2 * owner + rng.randrange(2), number)
    request = GenerationRequest(f"s{number}", "t", "s", account, "", 100, 20_000, 0, prefixes)
    return Stream(request, "daemon")


def grant_time(engines: int, streams: int) -> float:
    """Return the mean processor time of choosing an engine, in seconds."""
    rng = random.Random(1)
    lengths, prefixes = LengthModel(), PrefixIndex()
    for _ in range(OUTPUTS_LEARNT):
        lengths.add(stream(0, rng).template, int(rng.lognormvariate(4.5, 1)))
    ledgers = [
        EngineLedger(f"e{n}", "", 10**6, 2 * streams, 0.1, POLICIES["predicted"], affinity_bound=1)
        for n in range(engines)
    ]
    for number, ledger in enumerate(ledgers):
        for other in range(streams):
            add_stream(ledger, stream(number * streams + other, rng))
    spent = 0.0
    for number in range(GRANTS):
        candidate = stream(10**6 + number, rng)
        begun = time.process_time()
        ledger = choose_engine(
            ledgers, candidate, lengths, number, number / GRANTS_PER_SECOND, prefixes
        )
        add_stream(ledger, candidate)
        spent += time.process_time() - begun
        ended = remove_stream(ledger, next(iter(ledger.streams)))
        lengths.add(ended.template, int(rng.lognormvariate(4.5, 1)))
    return spent / GRANTS


def main() -> None:
    """Print the time of a grant for each size."""
    for engines, streams in SIZES:
        seconds = grant_time(engines, streams)
        part = 100 * seconds * GRANTS_PER_SECOND
        print(
            f"{engines} engines with {streams} streams: {seconds * 1e6:.0f} us a grant, "
            f"{part:.2f}% of a core at {GRANTS_PER_SECOND} grants/s"
        )


if __name__ == "__main__":
    main()
