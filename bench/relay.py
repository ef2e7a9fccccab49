"""Measures what the relay costs: processor time per token, and time added to the first token.

Run by ``python -m bench.relay [--streams N] [--tokens N] [--step SECONDS] [--rounds N]``; prints
JSON. The same stand-in engine is asked directly and through a daemon, in turns, in the same run.
"""

import argparse
import http.client
import json
import os
import statistics
import threading
import time
from pathlib import Path

from attrs import define

from standins.fleet import Fleet

EXAMPLES = Path(__file__).parents[1] / "examples"
SETTINGS_PATHS = 12
LIMIT = 300.0  # seconds
READ_BYTES = 64 * 1024
ENGINE_MEMORY = 10_000_000  # tokens
DEPLOYMENT = "[deployment]\nservice = planner\nbackends = planner-*\nmax_batch = 512\n"
DEPLOYMENT += f"memory_tokens = {ENGINE_MEMORY}\n"
TICKS = os.sysconf("SC_CLK_TCK")


@define
class Round:
    """One round of streams by one way.

    Attributes
    ----------
    first_token : float
        The median time to the first token, in seconds.
    cpu : float
        The daemon's processor time, in seconds.
    """

    tokens: int
    seconds: float
    first_token: float
    cpu: float


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def stream(address: str, path: str, body: dict, headers: dict) -> tuple[float, int]:
    """Stream one answer; returns the time to the first token in seconds, and the bytes read."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=LIMIT)
    begun = time.perf_counter()
    connection.request("POST", path, json.dumps(body), headers)
    response = connection.getresponse()
    if response.status != 200:
        raise RuntimeError(f"{path}: {response.status} {response.read()!r}")
    size = len(response.read1(READ_BYTES))
    first = time.perf_counter() - begun
    while piece := response.read1(READ_BYTES):
        size += len(piece)
    connection.close()
    return first, size


def run_round(fleet: Fleet, streams: int, tokens: int, direct: bool, number: int) -> Round:
    """Stream many answers at once."""
    firsts: list[float] = []
    engine, daemon = fleet.processes["planner-1"], fleet.processes["a"]

    def one(index: int) -> None:
        prompt = f"plan [len={tokens}]"
        if direct:
            body = {
                "stream": f"direct-{number}-{index}", "prompt": prompt, "prompt_tokens": 4,
                "max_tokens": tokens + 1, "priority": 0,
            }  # fmt: skip
            first, _ = stream(engine.http, "/generate", body, {})
        else:
            body = {"model": "planner", "prompt": prompt, "stream": True, "max_tokens": tokens + 1}
            headers = {"Authorization": "Bearer organisers-key"}
            first, _ = stream(daemon.http, "/v1/completions", body, headers)
        firsts.append(first)

    before, begun = cpu_seconds(daemon.popen.pid), time.perf_counter()
    threads = [threading.Thread(target=one, args=(index,)) for index in range(streams)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    seconds = time.perf_counter() - begun
    if len(firsts) != streams:
        raise RuntimeError(f"{streams - len(firsts)} streams failed")
    used = cpu_seconds(daemon.popen.pid) - before
    return Round(streams * tokens, seconds, statistics.median(firsts), used)


def measure(options) -> dict:
    """Run the rounds, both ways in turn."""
    with Fleet() as fleet:
        fleet.log_level = "warning"
        fleet.platform()
        fleet.apply(*(str(EXAMPLES / f"{name}.ini") for name in ("sound-trust", "bottle-returns")))
        path = "/teams/sound-trust/deployments/planner"
        fleet.settings("set", path, text=DEPLOYMENT)
        engine = ("--step", str(options.step), "--step-per-stream", "0")
        engine += ("--memory", str(ENGINE_MEMORY), "--max-batch", "512")
        fleet.engine("planner-1", "lagos-1", "lagos", *engine)
        fleet.daemon("a", "lagos-1", "lagos")
        fleet.wait_settled("a", paths=SETTINGS_PATHS)
        run_round(fleet, 1, 50, False, -1)
        direct, relayed, lone_direct, lone_relayed = [], [], [], []
        for number in range(options.rounds):
            direct.append(run_round(fleet, options.streams, options.tokens, True, number))
            relayed.append(run_round(fleet, options.streams, options.tokens, False, number))
            for turn in range(options.lone):
                lone = f"{number}-{turn}"
                lone_direct.append(run_round(fleet, 1, 5, True, f"l{lone}"))
                lone_relayed.append(run_round(fleet, 1, 5, False, f"l{lone}"))
    return summary(options, direct, relayed, lone_direct, lone_relayed)


def summary(options, direct, relayed, lone_direct, lone_relayed) -> dict:
    """Put the rounds together."""

    def median(rounds: list[Round], read) -> float:
        return statistics.median(read(one) for one in rounds)

    first_direct = median(lone_direct, lambda r: r.first_token)
    first_relayed = median(lone_relayed, lambda r: r.first_token)
    costs = [r.cpu / r.tokens * 1e6 for r in relayed]
    return {
        "streams": options.streams,
        "tokens_each": options.tokens,
        "engine_step_s": options.step,
        "rounds": options.rounds,
        "cpu_us_per_token": round(statistics.median(costs), 1),
        "cpu_us_per_token_range": [round(min(costs), 1), round(max(costs), 1)],
        "core_share_at_2600_tokens_per_s": round(statistics.median(costs) * 2600 / 1e6, 3),
        "tokens_per_s_direct": round(median(direct, lambda r: r.tokens / r.seconds)),
        "tokens_per_s_relayed": round(median(relayed, lambda r: r.tokens / r.seconds)),
        "seconds_ratio": round(
            median(relayed, lambda r: r.seconds) / median(direct, lambda r: r.seconds), 3
        ),
        "first_token_ms_direct": round(first_direct * 1e3, 2),
        "first_token_ms_relayed": round(first_relayed * 1e3, 2),
        "first_token_ratio": round(first_relayed / first_direct, 3),
    }


def main() -> None:
    """Measure and print JSON."""
    options = argparse.ArgumentParser(description="cost of the relay")
    options.add_argument("--streams", type=int, default=60)
    options.add_argument("--tokens", type=int, default=250)
    options.add_argument("--step", type=float, default=0.044)
    options.add_argument("--rounds", type=int, default=3)
    options.add_argument("--lone", type=int, default=10, help="lone streams for the first token")
    print(json.dumps(measure(options.parse_args()), indent=2))


if __name__ == "__main__":
    main()
