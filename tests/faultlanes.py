"""What the long randomised runs share: faults side by side, guarded threads, the command line."""

import argparse
import json
import random
import threading
import time
from collections.abc import Callable

MIN_PAUSE, MAX_PAUSE = 0.5, 2.5  # seconds between faults


class FaultLanes:
    """Injects faults, for a run with a `seed`, `seconds`, `faults` and `problems`."""

    def inject(self, lanes: dict[str, tuple]) -> None:
        """Inject faults until the time is up: those of one lane in turn, lanes side by side."""
        end = time.monotonic() + self.seconds
        workers = [self.worker(self.break_some, name, kinds, end) for name, kinds in lanes.items()]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()

    def break_some(self, lane: str, kinds: tuple, end: float) -> None:
        """Inject one fault after another until the time is up."""
        rng = random.Random(f"{self.seed} faults {lane}")
        while time.monotonic() < end:
            kind = rng.choice(kinds)
            self.faults.append(kind.__name__)
            kind(rng)
            time.sleep(rng.uniform(MIN_PAUSE, MAX_PAUSE))

    def worker(self, work: Callable, *arguments) -> threading.Thread:
        """Return a thread whose failure is a problem of the run."""

        def guarded() -> None:
            try:
                work(*arguments)
            except Exception as error:
                self.problems.append(f"{work.__name__} {arguments[0]} failed: {error!r}")

        return threading.Thread(target=guarded)


def main(description: str, run: Callable[[int, float], dict]) -> int:
    """Run with the seed and time of the command line; returns the exit status."""
    options = argparse.ArgumentParser(description=description)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--seconds", type=float, default=120.0)
    parsed = options.parse_args()
    summary = run(parsed.seed, parsed.seconds)
    logs = summary.pop("logs")
    print(json.dumps(summary, indent=2))
    for name, tail in logs.items():
        print(f"--- {name}\n{tail}")
    return 1 if summary["problems"] else 0
