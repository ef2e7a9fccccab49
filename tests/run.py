"""Runs every behave feature, several at once, and prints one closing line."""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from attrs import frozen

TESTS = Path(__file__).parent
OUT = TESTS.parent / "out" / "tests"
KNOWN_RED = TESTS.parent / "KNOWN-RED.txt"
AT_ONCE = 5
FEATURE_LIMIT = 1200  # seconds
SLOW = ("orders", "settings", "recordsteps", "streams", "records")  # begun before the others


@frozen
class Outcome:
    """What became of one scenario."""

    name: str
    passed: bool
    output: str = ""


def known_red() -> set[str]:
    """Return the names of scenarios that KNOWN-RED.txt lists, each on a ``test:`` line."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def run_feature(file: Path) -> list[Outcome]:
    """Run one feature in a process of its own."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [sys.executable, "-m", "behave", "--no-capture", "-f", "json", "-o", report.name]
        command += ["-f", "plain", str(file)]
        done = subprocess.run(
            command,
            cwd=TESTS,
            capture_output=True,
            text=True,
            timeout=FEATURE_LIMIT,
            check=False,
            env=os.environ | {"PYTHONPATH": str(TESTS.parent)},
        )
        text = Path(report.name).read_text(encoding="utf-8")
    output = done.stdout + done.stderr
    OUT.mkdir(parents=True, exist_ok=True)
    (OUT / f"{file.stem}.log").write_text(output, encoding="utf-8")
    try:
        features = json.loads(text)
    except ValueError:
        return [Outcome(f"{file.stem}: did not run", False, output)]
    scenarios = [
        Outcome(element["name"].strip(), element.get("status") == "passed", output)
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]
    if done.returncode and all(outcome.passed for outcome in scenarios):
        scenarios.append(Outcome(f"{file.stem}: behave failed", False, output))
    return scenarios


def all_features() -> list[Path]:
    """Return every feature, the slow ones first, so that none of them is left to run alone."""
    files = sorted(TESTS.glob("features/*.feature"))
    return sorted(files, key=lambda file: file.stem not in SLOW)


def main() -> int:
    """Run what the command line names, or every feature; returns the exit status."""
    files = [Path(name).resolve() for name in sys.argv[1:]] or all_features()
    with ThreadPoolExecutor(AT_ONCE) as pool:
        outcomes = [outcome for found in pool.map(run_feature, files) for outcome in found]
    red = known_red()
    failed = [outcome for outcome in outcomes if not outcome.passed]
    for text in dict.fromkeys(outcome.output for outcome in failed):
        print(text[-8000:])
    for outcome in failed:
        print(f"{'KNOWN RED' if outcome.name in red else 'FAILED'}: {outcome.name}")
    unknown = [outcome for outcome in failed if outcome.name not in red]
    print(f"{len(outcomes) - len(failed)} passed, {len(unknown)} failed")
    return 1 if unknown or not outcomes else 0


if __name__ == "__main__":
    raise SystemExit(main())
