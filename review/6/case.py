"""The machines are partitioned from all engines for a little over two seconds."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from fleet import Fleet, Record, ask, caller_headers, desired_state, main  # noqa: E402
from model import ModelEngine  # noqa: E402
from proxy import Proxy  # noqa: E402
from store import Store  # noqa: E402

ENGINES = 6
CUT = 2.3  # seconds
STREAMS = 18
EVENTS = 400
STEP = 0.03  # seconds between events
SPARE = 0.4  # seconds that the engine before may still work, from the rule


async def case(record: Record, trouble: bool) -> bool:
    """Return True if a run goes on at another engine while the engine before works on."""
    store, engines, proxies = Store(), {}, []
    await store.start()
    for number in range(ENGINES):
        engine = ModelEngine(f"llm-{number}", "planner", "accra-tema", engines)
        engine.events, engine.step, engine.drops_closed = EVENTS, STEP, number % 3 != 0
        proxy = Proxy(await engine.start())
        engine.address = await proxy.start()
        engines[engine.address] = engine
        proxies.append(proxy)
        await store.write(f"servers/{engine.name}", engine.entry())
    await store.write("op/config", desired_state(1))
    with Fleet(lambda _daemon: store.address) as fleet:
        for number in (1, 2):
            fleet.add(f"frontend-{number}", "accra-tema")
        await fleet.start()
        await asyncio.sleep(4.0)
        return await play(record, trouble, fleet, list(engines.values()), proxies)


async def stream(record, daemon, attempt):
    """Send one request and record its answer."""
    headers = caller_headers(
        attempt,
        39000,
        X_Model="m",
        X_Token_Counts=f"850,{EVENTS}",
        X_Prompt_Prefix=f"5c1e07a2:800,{attempt}:50",
    )
    got = await ask(daemon.address("Frontend"), "POST", "/plans/week", headers, b"{}", 40.0)
    ids = [line[4:] for line in got.body.decode().splitlines() if line.startswith("id: ")]
    whole = got.whole and ids == [str(n + 1) for n in range(EVENTS)]
    record.line(f"{attempt}: {got.status}, {len(ids)} events, {'whole' if whole else 'not whole'}")


async def play(record, trouble, fleet, engines, proxies):
    """Send streams, and cut the machines off from the engines if there is to be trouble."""
    daemons, pending = list(fleet.daemons.values()), []
    for number in range(STREAMS):
        daemon = daemons[number % len(daemons)]
        pending.append(asyncio.ensure_future(stream(record, daemon, f"a{number}")))
        await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)
    keeping = [e for e in engines if not e.drops_closed]
    engine = max(keeping, key=lambda e: len(e.live))
    record.line(f"{engine.name} runs {sorted(engine.live)}")
    healed_at = time.monotonic()
    if trouble:
        for proxy in proxies:
            proxy.cut()
        record.line("the machines are partitioned from all engines")
        await asyncio.sleep(CUT)
        for proxy in proxies:
            proxy.heal()
        healed_at = time.monotonic()
        record.line("they reach all engines again")
    await asyncio.gather(*pending)
    return judge(record, engine, engines, healed_at)


def judge(record, engine, engines, healed_at):
    """Return True if a run went on elsewhere and its engine before worked on."""
    broken = 0
    before = {run.attempt: run for run in engine.history}
    for other in engines:
        for run in other.history:
            old = before.get(run.attempt)
            if other is engine or old is None or run.began < old.began:
                continue
            both = old.worked_at - run.began
            record.line(
                f"{run.attempt} goes on at {other.name}, {run.began - healed_at:+.3f} s after"
                f" {engine.name} was reachable again; that one works on for {both:.3f} s",
                run.began,
            )
            broken += run.began > healed_at and both > SPARE
    record.line(f"{broken} requests ran on two engines for longer than {SPARE} s")
    return broken > 0


if __name__ == "__main__":
    main(case, FOLDER / "record.txt")
