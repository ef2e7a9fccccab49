"""Steps about log lines with odd values."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).parents[3]
SHOWN = {
    "half a character": "\\ud800",
    "a big integer": hex(2**64),
    "bytes": repr(b"\xff\0"),
    "an exception": repr(ValueError("\ud800")),
    "names that are no text": {"1": "a", "(2, b'b')": "c", "None": "\\ud800"},
    "a name of half a character": {"\\ud800": 1},
}


def run_odd_lines(context, kind, count):
    """Run the process that writes odd lines to a file, and keep its output."""
    command = [sys.executable, "-m", "tests.oddlines", kind, str(count)]
    with tempfile.TemporaryFile() as output:
        done = subprocess.run(
            command, stdout=output, stderr=subprocess.PIPE, cwd=ROOT, check=False, timeout=120,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )  # fmt: skip
        output.seek(0)
        context.raw_lines = output.read().splitlines()
    assert done.returncode == 0, done.stderr.decode()


@when("a process logs each odd value")
def log_named(context):
    run_odd_lines(context, "named", 0)


@when("a process logs {count:d} random values")
def log_random(context, count):
    run_odd_lines(context, "random", count)


@then("each line is whole, shorter than {limit:d} KiB, and names its type, request and daemon")
def lines_are_whole(context, limit):
    assert max(map(len, context.raw_lines)) < limit * 1024
    context.lines = [json.loads(line) for line in context.raw_lines]
    *lines, last = context.lines
    found = [(line["message_type"], line.get("number"), line.get("after")) for line in lines]
    assert found == [("odd", number, "sound") for number in range(1, last["number"] + 1)], found
    for line in context.lines:
        assert (line["request"], line["daemon"]) == ("id-1", "odd-1"), line
        assert line["level"] == ("error" if "traceback" in line else "info"), line
        assert {"timestamp", "task_uuid"} <= line.keys()


@then("each value that can be shown is shown")
def values_are_shown(context):
    values = {line["name"]: line["value"] for line in context.lines if "value" in line}
    for name, shown in SHOWN.items():
        assert values[name] == shown, (name, values[name])
    for name, value in values.items():
        assert name.startswith(("no number", "an endless number")) or value is not None, name
