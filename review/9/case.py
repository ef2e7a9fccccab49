"""An engine leaves the store while the store cuts waiting watches now and then."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from engine import Engine  # noqa: E402
from fleet import Fleet, Record, ask, caller_headers, desired_state, main  # noqa: E402
from store import Store  # noqa: E402

DRAIN = 2.5  # seconds, DrainMs
LINGER = 3.0  # seconds that the engine serves on beyond that ("at times many seconds")
CUT_INTERVAL = 1.5  # seconds between the cuts of waiting watches
CUTS = 2
REQUESTS_PER_S = 40


async def case(record: Record, trouble: bool) -> bool:
    """Return True if a request reached the engine later than DrainMs after it had left."""
    store = Store()
    await store.start()
    engines = [Engine(f"ledger-{n}", "ledger", "accra-tema") for n in range(3)]
    for engine in engines:
        await engine.start()
        await store.write(f"servers/{engine.name}", engine.entry())
        asyncio.ensure_future(engine.beat(store))
    await store.write("op/config", desired_state(1))
    with Fleet(lambda _daemon: store.address) as fleet:
        for number in (1, 2):
            fleet.add(f"frontend-{number}", "accra-tema")
        await fleet.start()
        await asyncio.sleep(5.0)
        return await play(record, trouble, store, engines, fleet)


async def play(record, trouble, store, engines, fleet):
    """Send requests, remove one engine, and cut watches if there is to be trouble."""
    sending, leaver, loop = [], engines[0], asyncio.get_running_loop()
    daemons, stop = list(fleet.daemons.values()), asyncio.Event()

    async def send():
        number = 0
        while not stop.is_set():
            number += 1
            daemon = daemons[number % len(daemons)]
            sending.append(loop.create_task(request(record, daemon, f"a{number}")))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    sender = loop.create_task(send())
    await asyncio.sleep(3.0)
    if trouble:
        await store.cut_watches()
        record.line(f"waiting watches cut ({store.cuts} so far)")
    await asyncio.sleep(0.05)
    await store.write(f"servers/{leaver.name}", None)
    left_at = time.monotonic()
    record.line(f"{leaver.name}: entry removed; it serves on for {DRAIN + LINGER} s")
    for _ in range(CUTS - 1):
        await asyncio.sleep(CUT_INTERVAL)
        if trouble:
            await store.cut_watches()
            record.line(f"waiting watches cut ({store.cuts} so far)")
    await asyncio.sleep(max(0.0, left_at + DRAIN + LINGER - time.monotonic()))
    await leaver.exit()
    record.line(f"{leaver.name}: has exited")
    await asyncio.sleep(2.0)
    stop.set()
    await sender
    await asyncio.gather(*sending)
    late = [(at - left_at, attempt) for at, attempt in leaver.arrivals if at > left_at + DRAIN]
    for engine in engines:
        record.line(f"{engine.name}: {len(engine.arrivals)} arrivals, {len(engine.runs)} runs")
    for after, attempt in late:
        record.line(f"{attempt} reached {leaver.name} {after:.3f} s after it had left the store")
    record.line(f"{len(late)} requests reached it later than {DRAIN} s")
    return bool(late)


async def request(record, daemon, attempt):
    """Send one request and record its answer."""
    got = await ask(
        daemon.address("Frontend"), "GET", "/view/balance", caller_headers(attempt, 5000)
    )
    record.line(f"{attempt} through {daemon.name}: {got.status} {got.body.decode('latin1')[:40]}")


if __name__ == "__main__":
    main(case, FOLDER / "record.txt")
