"""Measures what control costs the daemons of one domain under load, by kind of message.

Run ``python -m bench.meshload``; prints JSON. A few daemons relay streams of stand-in engines, one
of the others schedules them, or several with ``--cells``, and the rest are idle. First come short
requests at a steady rate, then long streams, few and many: what a request and what a stream costs
are the differences.
"""

import asyncio
import json
import statistics
import time

import fire
from attrs import define, frozen

from bench.mesh import ACK_BYTES, FRAME_OVERHEAD, SETTINGS, alive_count, read
from papayacourse.cells import Cell
from papayacourse.rendezvous import ranked
from standins.fleet import Fleet, wait_until

ENGINES = 4
ENGINE_MEMORY = 10_000_000  # tokens
STEP = 0.044  # seconds between tokens
SHORT, LONG = 20, 1800  # tokens
SETTLE_TIME = 8.0  # seconds
MEASURE_TIME = 20.0  # seconds
READ_BYTES = 64 * 1024
DEPLOYMENT = "[deployment]\nservice = planner\nbackends = planner-*\nmax_batch = 512\n"
DEPLOYMENT += f"memory_tokens = {ENGINE_MEMORY}\n"
HEARTBEATS = ("Beat", "Heartbeat")
REPORTS = ("ProgressReport", "StreamReport", "StreamsUnknown")
PLACES = ("GrantRequest", "Granted", "Queued", "GrantRefused", "NotScheduler", "StreamEnded")

# The size that decides the design: what one entry daemon and one scheduler have.
SERVICES, DAEMONS = 9, 48
SERVICE = "/teams/sound-trust/services/planner"
ENTRY_STREAMS, ENTRY_REQUESTS = 116, 8.7
SCHEDULER_STREAMS, SCHEDULER_REQUESTS = 610, 46


@frozen
class Cost:
    """What one daemon spent: bytes a second by kinds of message, and parts of a core."""

    heartbeats: float
    reports: float
    places: float
    others: float
    cpu: float


@define
class Callers:
    """Callers in this process that read answers and throw them away."""

    addresses: list[str]
    asked: int = 0
    failed: int = 0

    async def stream(self, address: str, tokens: int) -> None:
        """Read one answer."""
        self.asked += 1
        body = {
            "model": "planner", "prompt": f"plan {self.asked} [len={tokens}]", "stream": True,
            "max_tokens": tokens + 1,
        }  # fmt: skip
        data = json.dumps(body).encode()
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            f"Authorization: Bearer organisers-key\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(head.encode() + data)
            first = await reader.readline()
            self.failed += b" 200 " not in first
            while await reader.read(READ_BYTES):
                pass
        finally:
            writer.close()

    async def at_rate(self, rate: float, seconds: float) -> None:
        """Begin short requests at a steady rate at each daemon, and wait for them."""
        tasks, start = [], time.monotonic()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, start + number / rate - time.monotonic()))
            tasks += [asyncio.create_task(self.stream(a, SHORT)) for a in self.addresses]
        await asyncio.gather(*tasks)


@define
class Bench:
    """The fleet under load, and who does what in it."""

    fleet: Fleet
    names: list[str]
    entries: list[str]
    schedulers: list[str]
    duration: float

    async def measure(self, names: list[str]) -> dict[str, Cost]:
        """Return what each daemon spends over the measuring time."""
        before = {name: (read(self.fleet, name), self.messages(name)) for name in names}
        await asyncio.sleep(self.duration)
        return {name: self.cost(name, *before[name]) for name in names}

    def messages(self, name: str) -> dict:
        """Return a daemon's counts of messages."""
        return self.fleet.status(name)["mesh"]["messages"]

    def cost(self, name, reading, counts) -> Cost:
        """Return what a daemon has spent since a reading."""
        now, after = read(self.fleet, name), self.messages(name)
        seconds = now.at - reading.at
        by_kind = {kind: wire(row) - wire(counts.get(kind, {})) for kind, row in after.items()}
        groups = [sum(by_kind.pop(k, 0) for k in kinds) for kinds in (HEARTBEATS, REPORTS, PLACES)]
        spent = [*groups, sum(by_kind.values()), now.cpu - reading.cpu]
        return Cost(*(amount / seconds for amount in spent))


def wire(row: dict[str, int]) -> int:
    """Return the bytes on the wire of one kind of message, with the overhead of mesh frames."""
    frames = row.get("sent", 0) + row.get("received", 0)
    payload = row.get("sent_bytes", 0) + row.get("received_bytes", 0)
    return payload + frames * (FRAME_OVERHEAD + ACK_BYTES)


def busiest(costs: list[Cost]) -> float:
    """Return the most bytes a second that one of several daemons spent."""
    return max(cost.heartbeats + cost.reports + cost.places + cost.others for cost in costs)


def mean(costs: list[Cost]) -> Cost:
    """Return the mean of several daemons' costs."""
    fields = ("heartbeats", "reports", "places", "others", "cpu")
    return Cost(*(statistics.mean(getattr(cost, name) for cost in costs) for name in fields))


async def run(bench: Bench, rate: float, few: int, many: int) -> dict:
    """Put the loads on, one after another, and return what they cost."""
    callers = Callers([bench.fleet.processes[name].http for name in bench.entries])
    busy = [*bench.entries, *bench.schedulers]
    idle = await bench.measure(bench.names)
    asking = asyncio.create_task(callers.at_rate(rate, SETTLE_TIME + bench.duration))
    await asyncio.sleep(SETTLE_TIME)
    requests = await bench.measure(busy)
    await asking
    tasks, streams = [], []
    for count in (few, many):
        more = [
            a for a in callers.addresses for _ in range(count - len(tasks) // len(bench.entries))
        ]
        tasks += [asyncio.create_task(callers.stream(a, LONG)) for a in more]
        await asyncio.sleep(SETTLE_TIME)
        streams.append(await bench.measure(busy))
    ended = sum(task.done() for task in tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if callers.failed or ended:
        raise RuntimeError(f"{callers.failed} requests failed, {ended} streams ended too early")
    return summary(bench, rate, few, many, idle, requests, streams)


def summary(bench, rate, few, many, idle, requests, streams) -> dict:
    """Work out the slopes, and the sums at the size that decides the design."""
    entries, cells = bench.entries, len(bench.schedulers)
    entry = [mean([costs[n] for n in entries]) for costs in (requests, *streams)]
    per_stream = (entry[2].reports - entry[1].reports) / (many - few)
    fixed = (entry[1].reports - few * per_stream) / cells
    per_request = entry[0].places / rate
    beats = mean(list(idle.values())).heartbeats
    others = mean(list(idle.values())).others
    schedules = [mean([costs[n] for n in bench.schedulers]) for costs in (requests, *streams)]
    idle_cpu = mean([idle[n] for n in bench.schedulers]).cpu
    # Of each scheduler on average.
    all_requests = rate * len(entries) / cells
    added = len(entries) * (many - few) / cells

    def total(services, streams_there, requests_there):
        parts = services * fixed, streams_there * per_stream, requests_there * per_request
        return round(beats + others + sum(parts))

    rest = [idle[n].cpu for n in bench.names]
    return {
        "daemons": len(bench.names), "entries": len(entries), "cells": cells,
        "heartbeat_bytes_per_s": round(beats), "other_bytes_per_s_idle": round(others),
        "heartbeat_bytes_per_s_entry_under_load": round(entry[0].heartbeats),
        "bytes_per_request": round(per_request), "bytes_per_s_per_stream": round(per_stream, 2),
        "bytes_per_s_per_scheduler_reported_to": round(fixed),
        "scheduler_bytes_per_request": round(schedules[0].places / all_requests),
        "scheduler_bytes_per_s_per_stream": round(
            (schedules[2].reports - schedules[1].reports) / added, 2
        ),
        "cpu_percent_idle_mean": round(100 * statistics.mean(rest), 2),
        "scheduler_cpu_us_per_request": round(
            (schedules[0].cpu - idle_cpu) / all_requests * 1e6
        ),
        "scheduler_cpu_us_per_s_per_stream": round(
            (schedules[2].cpu - schedules[1].cpu) / added * 1e6
        ),
        "entry_bytes_per_s_at_full_size": total(
            SERVICES * cells, ENTRY_STREAMS, ENTRY_REQUESTS
        ),
        "scheduler_bytes_per_s_at_full_size": total(
            DAEMONS - 1, SCHEDULER_STREAMS / cells, SCHEDULER_REQUESTS / cells
        ),
        "busiest_scheduler_bytes_per_s": round(busiest([streams[1][n] for n in bench.schedulers])),
        "busiest_scheduler_places_per_s": round(max(requests[n].places for n in bench.schedulers)),
        "scheduler_cpu_percent": [
            round(100 * (cost.cpu - idle_cpu), 2) for cost in schedules
        ],
        "entry_cpu_percent": [round(100 * cost.cpu, 2) for cost in entry],
        "entry_heartbeat_bytes_per_s": [round(cost.heartbeats) for cost in entry],
    }  # fmt: skip


def main(
    daemons: int = DAEMONS,
    entries: int = 4,
    rate: float = ENTRY_REQUESTS,
    few: int = 10,
    many: int = 40,
    duration: float = MEASURE_TIME,
    cells: int = 1,
) -> None:
    """Measure one domain under load; rates and streams are those of each entry daemon."""
    names = [f"d{number:02d}" for number in range(daemons)]
    orders = [ranked(Cell("sound-trust", "planner", n).duty, names) for n in range(cells)]
    schedulers = [order[0] for order in orders]
    if len(set(schedulers)) < cells:
        raise ValueError("one daemon would schedule two cells; take another number of daemons")
    with Fleet(log_level="warning") as fleet:
        fleet.platform()
        fleet.apply(*SETTINGS)
        fleet.settings("set", "/teams/sound-trust/deployments/planner", text=DEPLOYMENT)
        size = f"[service]\nkind = model\ncell_engines = {ENGINES // cells}\n"
        fleet.settings("set", SERVICE, text=size)
        options = ("--step", str(STEP), "--step-per-stream", "0", "--max-batch", "512")
        for number in range(ENGINES):
            memory = ("--memory", str(ENGINE_MEMORY))
            fleet.engine(f"planner-{number}", "lagos-1", "lagos", *options, *memory)
        for name in names:
            fleet.daemon(name, "lagos-1", "lagos")
        for name in names:
            wait_until(f"{name} meets all", lambda n=name: alive_count(fleet, n) == daemons - 1, 90)
        time.sleep(SETTLE_TIME)
        # The last ones in order, so that none of them takes the duty while another is slow.
        others = [name for name in reversed(orders[0]) if name not in schedulers]
        bench = Bench(fleet, names, others[:entries], schedulers, duration)
        print(json.dumps(asyncio.run(run(bench, rate, few, many)), indent=2))


if __name__ == "__main__":
    fire.Fire(main)
