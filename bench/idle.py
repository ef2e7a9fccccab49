"""Measures what an idle daemon on the users' platform costs, by the number of daemons.

Run ``python -m bench.idle``; prints JSON. Daemons of two failure domains watch the stand-in of the
store while an engine is listed or leaves a few times a second, and nobody calls them.
"""

import json
import os
import statistics
import time
from collections import Counter
from pathlib import Path

import fire
from attrs import asdict, frozen

from standins.fleet import wait_until
from tests.routedfleet import RoutedFleet, document

DOMAINS = ("lagos", "kano")
SIZES = (6, 24, 60)  # daemons
SETTLE_TIME = 15.0  # seconds after all daemons are ready
MEASURE_TIME = 20.0  # seconds
CHANGE_INTERVAL = 0.6  # seconds between changes of the engines listed
READY_TIME = 90.0  # seconds
ENGINES = 20
STORE_PAGE = 500  # items
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
FRAMES = "papayacourse_mesh_frames_total"


@frozen
class Cost:
    """What one idle daemon costs: parts of a core, and numbers a second."""

    daemons: int
    cpu_mean: float
    cpu_max: float
    frames_mean: float
    frames_by_kind: dict[str, float]
    store_calls_all: dict[str, float]


def cpu_time(pid: int) -> float:
    """Return the processor time that a process has taken, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS


def frames(fleet: RoutedFleet, names: list[str]) -> Counter:
    """Return the frames that daemons have received, by kind of message."""
    found: Counter = Counter()
    for name in names:
        for line in fleet.metrics(name).splitlines():
            if line.startswith(FRAMES) and 'direction="received"' in line:
                kind = line.partition('kind="')[2].partition('"')[0]
                found[kind] += int(float(line.rpartition(" ")[2]))
    return found


def store_calls(fleet: RoutedFleet) -> Counter:
    """Return the calls that the store has had, by kind."""
    return Counter(fleet.fleet.counts("store")["counts"])


def change_engines(fleet: RoutedFleet, seconds: float) -> None:
    """List engines and take them away for a while."""
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        name = f"servers/engine-{number % ENGINES}"
        entry = {
            "Service": "planner", "Address": f"127.0.0.1:{1 + number % ENGINES}", "Slots": 24,
            "Zone": DOMAINS[number % 2], "State": "ready", "Sequence": 1, "born": 1 + number,
        }  # fmt: skip
        fleet.write({name: entry})
        number += 1
        time.sleep(CHANGE_INTERVAL)


def measure(size: int) -> Cost:
    """Return what an idle daemon costs among so many."""
    fleet = RoutedFleet()
    try:
        fleet.store(document(5))
        fleet.fleet.admin("store", {"page": STORE_PAGE})
        names = [f"d{number}" for number in range(size)]
        for number, name in enumerate(names):
            fleet.daemon(name, DOMAINS[number % 2], wait=False, most_seeds=3)
        for name in names:
            wait_until(f"{name} is ready", lambda n=name: fleet.readiness(n) == 200, READY_TIME)
        change_engines(fleet, SETTLE_TIME)
        pids = [fleet.fleet.processes[name].popen.pid for name in names]
        sample = names[:6]
        before, heard = [cpu_time(pid) for pid in pids], frames(fleet, sample)
        calls = store_calls(fleet)
        began = time.monotonic()
        change_engines(fleet, MEASURE_TIME)
        span = time.monotonic() - began
        spent = [(cpu_time(pid) - at) / span for pid, at in zip(pids, before, strict=True)]
        heard = frames(fleet, sample) - heard
        calls = store_calls(fleet) - calls
    finally:
        fleet.close()
    return Cost(
        size, round(statistics.mean(spent), 4), round(max(spent), 4),
        round(heard.total() / span / len(sample), 2),
        {kind: round(count / span / len(sample), 2) for kind, count in heard.most_common()},
        {call: round(count / span, 2) for call, count in calls.most_common()},
    )  # fmt: skip


def main(*sizes: int) -> None:
    """Measure at several numbers of daemons and print what was found."""
    for size in sizes or SIZES:
        print(json.dumps(asdict(measure(int(size)))), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
