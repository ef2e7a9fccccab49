"""What a server's limit costs the daemons that divide it; run as ``python -m bench.limits``."""

import asyncio
import time

from papayacourse.limitmessages import LendShares, LimitNotice, ShareLoan, SharesLent
from papayacourse.routed.sendlimiter import DUTY, LEND_INTERVAL
from papayacourse.routed.sharepool import LOAN_TIME
from papayacourse.wire import Frame, decode, encode
from tests.limitfleet import LimitFleet, ranked

SECONDS = 20.0  # simulated, after the limit has become known everywhere
SETTLING = 5.0  # simulated seconds
SHAPES = ((3, 2), (6, 14), (6, 32), (8, 47))  # domains and daemons in each
LIMIT = 2.0  # requests per second
DEMAND = 0.2  # calls per second and daemon
LIMITED_SERVERS = (1, 10)
REPEATS = 2000


def lend_cost(servers: int) -> tuple[float, int]:
    """Return the processor seconds and bytes of one loan and its answer, for some servers."""
    names = [f"service/i-{number:010d}@1772062584600" for number in range(servers)]
    notices = tuple(LimitNotice(name, LIMIT, 1.5) for name in names)
    question = Frame(1, False, LendShares(tuple(ShareLoan(n, 1) for n in notices), False))
    answer = Frame(1, True, SharesLent((2 * LOAN_TIME,) * len(names), ()))
    began = time.process_time()
    for _ in range(REPEATS):
        decode(encode(question))
        decode(encode(answer))
    spent = (time.process_time() - began) / REPEATS
    return spent, len(encode(question)) + len(encode(answer))


def simulate(domains: int, daemons: int) -> str:
    """Return a line on one fleet: messages in all, and how many the busiest daemon handles."""
    fleet = LimitFleet(domains, daemons, DEMAND, seed=1)
    fleet.set_limit(LIMIT)
    asyncio.run(fleet.run(SETTLING))
    before = fleet.messages
    asyncio.run(fleet.run(SECONDS))
    rate = (fleet.messages - before) / SECONDS
    busiest = ranked(DUTY, fleet.by_domain["d0"])[0]
    lenders = daemons - 1 + domains - 1
    return (
        f"{domains * daemons:4d} daemons in {domains} domains: {rate:6.1f} calls/s in all, "
        f"{lenders / LEND_INTERVAL:5.1f} loans/s to {busiest}; "
        f"{fleet.used(1000 + SETTLING):.2f} of the limit used"
    )


def main() -> None:
    """Print the figures."""
    for servers in LIMITED_SERVERS:
        spent, size = lend_cost(servers)
        print(f"a loan for {servers} servers: {spent * 1e6:.0f} us at both ends, {size} bytes")
    for domains, daemons in SHAPES:
        print(simulate(domains, daemons))


if __name__ == "__main__":
    main()
