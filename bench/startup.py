"""Measures the start of a daemon on the users' platform: ``python -m bench.startup``.

A daemon starts on the stand-in of the store, and serves one plain request. Prints JSON: its
processor time and memory by then, with and without what the build compiles, and the time that
each package takes to import. Writes what the build compiles of classes into target/.
"""

import json
import os
import re
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest.mock import patch

import fire
from attrs import asdict, frozen

from bench.idle import cpu_time
from papayacourse import classcode
from tests.routedfleet import ROOT, RoutedFleet, document

RUNS = 5
DOMAIN = "lagos"
SCRIPT = ROOT / "platform" / "run.py"
IMPORT_DAEMON = (
    f"import runpy, sys; sys.path[0] = {str(SCRIPT.parent)!r}; "
    f"runpy.run_path({str(SCRIPT)!r}, run_name='imported')"
)
IMPORT_LINE = re.compile(r"import time:\s+(\d+) \|\s+\d+ \| +([\w]+)")
MOST_PACKAGES = 12
MICROSECONDS = 1e6  # a second


@frozen
class Start:
    """One start of a daemon, until it has served a request.

    Attributes
    ----------
    import_cpu, cpu, elapsed : float
        Processor time to import the daemon, and to serve a request; time that passed; in seconds.
    memory : float
        Resident memory, in MiB.
    """

    import_cpu: float
    cpu: float
    elapsed: float
    memory: float


def resident(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024


def import_time() -> float:
    """Return the processor time of a process that imports the daemon and ends, in seconds."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-c", IMPORT_DAEMON], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def packages() -> dict[str, float]:
    """Return the seconds that the longest imports take, by package."""
    command = [sys.executable, "-X", "importtime", "-c", IMPORT_DAEMON]
    printed = subprocess.run(command, check=True, capture_output=True, text=True).stderr
    found: Counter[str] = Counter()
    for microseconds, package in IMPORT_LINE.findall(printed):
        found[package] += int(microseconds)
    return {
        name: round(spent / MICROSECONDS, 3) for name, spent in found.most_common(MOST_PACKAGES)
    }


@contextmanager
def bytecode(kept: bool) -> Iterator[None]:
    """Let processes find compiled modules and classes, as after a build, or neither.

    Leaves the compiled classes in target/ if ``kept`` is true, and removes them if not.
    """
    compiled = ROOT / "target" / classcode.FILE_NAME
    compiled.parent.mkdir(exist_ok=True)
    compiled.unlink(missing_ok=True)
    with tempfile.TemporaryDirectory() as folder, patch.dict(os.environ):
        os.environ["PYTHONPYCACHEPREFIX"] = folder
        os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
        if kept:
            script = ROOT / "deploy" / "compileclasses.py"
            subprocess.run([sys.executable, str(script), str(compiled.parent)], check=True)
        else:
            os.environ["PYTHONDONTWRITEBYTECODE"] = "1"
        yield


def start(fleet: RoutedFleet, name: str) -> Start:
    """Start a daemon, let it serve a request, and end it."""
    import_cpu, began = import_time(), time.monotonic()
    fleet.daemon(name, DOMAIN)
    answer = fleet.ask(name, "GET", "/view/1")
    elapsed = time.monotonic() - began
    if answer.status != 200:
        raise RuntimeError(f"the request was answered {answer.status}")
    process = fleet.fleet.processes[name]
    seen = Start(import_cpu, cpu_time(process.popen.pid), elapsed, resident(process.popen.pid))
    process.kill()
    return seen


def medians(starts: list[Start]) -> dict[str, float]:
    """Return the median of each measure."""
    return {
        name: round(statistics.median(asdict(one)[name] for one in starts), 3)
        for name in asdict(starts[0])
    }


def main(runs: int = RUNS) -> None:
    """Print the medians of some starts of each kind."""
    fleet, found = RoutedFleet(), {}
    try:
        fleet.store(document(1))
        fleet.engine("desk-1", "desk", DOMAIN)
        for kept in (False, True):
            with bytecode(kept):
                names = [f"daemon-{kept}-{number}" for number in range(runs)]
                starts = [start(fleet, name) for name in names]
                title = "compiled by the build" if kept else "not compiled"
                found[title] = medians(starts)
                found[f"{title}: imports"] = packages()
    finally:
        fleet.close()
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    fire.Fire(main)
