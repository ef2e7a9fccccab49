"""Measures what idle daemons of one domain spend on each other, and how soon dead ones are seen."""

import json
import os
import statistics
import time
from pathlib import Path

import fire
from attrs import asdict, define, frozen

from standins.fleet import Fleet, Process, wait_until

SETTLE_TIME = 15.0  # seconds after the last daemon has met all others
MEASURE_TIME = 20.0  # seconds
# Each frame is a segment of its own: websocket header (2 to 4 bytes, and 4 of mask from the side
# that dialled), TCP with time stamps (32) and IP (20); and the other side acknowledges it (52).
FRAME_OVERHEAD = 2 + 2 + 52
ACK_BYTES = 52
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
RACKS = 7  # parts of a domain of which one is lost at once
SETTINGS = ("examples/sound-trust.ini", "examples/bottle-returns.ini")


@frozen
class Reading:
    """One daemon's counters at one moment; processor time in seconds, memory in bytes."""

    at: float
    cpu: float
    rss: int
    payload: int
    frames: int

    @property
    def wire(self) -> int:
        """Return the bytes on the wire, both ways, with the overhead stated above."""
        return self.payload + self.frames * (FRAME_OVERHEAD + ACK_BYTES)


@define
class Size:
    """What was measured at one number of daemons."""

    daemons: int
    cpu_percent_mean: float
    cpu_percent_max: float
    rss_mb_max: float
    payload_bytes_per_s: float
    wire_bytes_per_s_mean: float
    wire_bytes_per_s_max: float
    links_max: int
    detection_s: float
    rack_detection_s: float


def read(fleet: Fleet, name: str) -> Reading:
    """Read one daemon's counters."""
    status = fleet.status(name)
    fields = Path(f"/proc/{fleet.processes[name].popen.pid}/stat").read_text().split()
    cpu = (int(fields[13]) + int(fields[14])) / CLOCK_TICKS
    rss = int(fields[23]) * PAGE_BYTES
    return Reading(time.monotonic(), cpu, rss, status["mesh_bytes"], status["mesh"]["frames"])


def alive_count(fleet: Fleet, name: str) -> int:
    """Return how many peers a daemon takes for alive."""
    return sum(peer["alive"] for peer in fleet.status(name)["peers"])


def detection(fleet: Fleet, left: list[str], gone: list[str], end) -> float:
    """End daemons at once and return when the last of those left has noticed all, in seconds."""
    for name in gone:
        end(fleet.processes[name])
    began = time.monotonic()
    for name in left:
        wait_until("all are noticed", lambda n=name: alive_count(fleet, n) == len(left) - 1, 60)
    return time.monotonic() - began


def rack_detection(fleet: Fleet, names: list[str]) -> float:
    """Freeze the daemons of a rack, whose links stay open and silent, and return as above."""
    size = len(names) // RACKS
    return detection(fleet, names[size:], names[:size], Process.freeze) if size else 0.0


def measure(count: int, settle: float, duration: float) -> Size:
    """Measure one number of daemons."""
    with Fleet(log_level="warning") as fleet:
        fleet.platform()
        fleet.apply(*SETTINGS)
        names = [f"d{number:02d}" for number in range(count)]
        for name in names:
            fleet.daemon(name, "lagos-1", "lagos")
        for name in names:
            wait_until(f"{name} meets all", lambda n=name: alive_count(fleet, n) == count - 1, 60)
        time.sleep(settle)
        before = {name: read(fleet, name) for name in names}
        time.sleep(duration)
        after = {name: read(fleet, name) for name in names}
        links = max(fleet.status(name)["mesh"]["links"] for name in names)
        seconds = {name: after[name].at - before[name].at for name in names}
        cpu = [100 * (after[n].cpu - before[n].cpu) / seconds[n] for n in names]
        wire = [(after[n].wire - before[n].wire) / seconds[n] for n in names]
        payload = [(after[n].payload - before[n].payload) / seconds[n] for n in names]
        return Size(
            count,
            round(statistics.mean(cpu), 2),
            round(max(cpu), 2),
            round(max(reading.rss for reading in after.values()) / 1e6, 1),
            round(statistics.mean(payload)),
            round(statistics.mean(wire)),
            round(max(wire)),
            links,
            round(detection(fleet, names[:-1], names[-1:], Process.kill), 2),
            round(rack_detection(fleet, names[:-1]), 2),
        )


def main(*sizes: int, settle: float = SETTLE_TIME, duration: float = MEASURE_TIME) -> None:
    """Measure each size given, or 2, 8, 16, 32 and 48 daemons; prints one JSON line for each."""
    for count in sizes or (2, 8, 16, 32, 48):
        print(json.dumps(asdict(measure(count, settle, duration))), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
