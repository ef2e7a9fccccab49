"""Runs daemons of another build beside this one's: ``python -m tests.sidebyside OTHER_TREE``.

In each of two domains one daemon is of the other build. Each must go by changes of the settings
and of the list of servers, while daemons of either build are killed in turn.
"""

import os
import subprocess
import sys
import time
from pathlib import Path

from attrs import define, field

from standins.fleet import Process, wait_until
from tests.routedfleet import RoutedFleet, document

OTHERS = ("old-a", "old-m")  # daemons of the other build
DOMAINS = {"old-a": "lagos", "new-b": "lagos", "old-m": "kano", "new-n": "kano"}
SOON = 2.5  # seconds
ROUNDS = 3


@define(eq=False)
class MixedFleet(RoutedFleet):
    """A fleet whose daemons are of two builds.

    Attributes
    ----------
    other : Path
        The tree of the other build.
    """

    other: Path = field(factory=Path, kw_only=True)

    def start(self, name: str) -> None:
        """Start a daemon's process of its build."""
        if name not in OTHERS:
            RoutedFleet.start(self, name)
            return
        file, log = self.fleet.path / f"{name}.ini", self.fleet.path / f"{name}.log"
        environment = os.environ | {
            "PAPAYACOURSE_NODE_FILE": str(file), "PYTHONPATH": str(self.other),
        }  # fmt: skip
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, str(self.other / "platform" / "run.py")],
                stdout=output, stderr=output, env=environment, cwd=self.other,
            )  # fmt: skip
        self.fleet.processes[name] = Process(name, popen, log)


def check(routed: MixedFleet, version: int, engine: str) -> None:
    """Change settings and servers, and check that each daemon goes by the change."""
    gone = f"desk-{version - 1}"
    routed.engine(engine, "desk", "lagos")
    if gone in routed.places:
        routed.list_engine(gone, "draining")
    routed.write({"op/config": document(version, without="view" if version % 2 else "")})
    status = 404 if version % 2 else 200
    for name in DOMAINS:
        wait_until(
            f"{name} goes by document {version}",
            lambda name=name: routed.ask(name, "GET", "/view/1").status == status,
            SOON,
        )
        wait_until(
            f"{name} sends to {engine}",
            lambda name=name: routed.ask(name, "GET", "/open/1").json["instance"] == engine,
            SOON,
        )


def run(other: Path) -> None:
    """Run the checks."""
    routed = MixedFleet(other=other)
    try:
        routed.store(document(10))
        for name, domain in DOMAINS.items():
            routed.daemon(name, domain)
        time.sleep(SOON)
        version = 11
        for number in range(ROUNDS):
            check(routed, version, f"desk-{version}")
            version += 1
            name = list(DOMAINS)[number % len(DOMAINS)]
            routed.fleet.processes[name].kill()
            routed.start(name)
            wait_until(f"{name} is ready", lambda name=name: routed.readiness(name) == 200)
            time.sleep(1.0)
        check(routed, version, f"desk-{version}")
        bad = {
            n: [*routed.lines(n, "link refused"), *routed.lines(n, "link closed")] for n in DOMAINS
        }
        refused = {
            name: lines for name, lines in bad.items() if any("protocol" in str(x) for x in lines)
        }
        failures = ("loop failed", "message failed", "message refused")
        failed = {n: [line for kind in failures for line in routed.lines(n, kind)] for n in DOMAINS}
        assert not refused, refused
        assert not any(failed.values()), failed
    finally:
        routed.close()


if __name__ == "__main__":
    run(Path(sys.argv[1]).resolve())
    print("the builds work side by side")
