"""Starts the project's daemons with the command of the deploy file, and ends them."""

import asyncio
import itertools
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from web import ask

ROOT = Path(__file__).resolve().parents[2]
HOST = "site.example"
KEY = "key-of-organisers"
PORTS = {"Frontend": 8740, "ControlPlane": 8748, "Readiness": 8749}
ZONES = {"accra-tema": "accra", "kumasi-suame": "kumasi"}
BOUNDS = {
    "ConnectivityMs": 4000,
    "DrainMs": 2500,
    "GracePeriodS": 8,
    "LossSlackMs": 200,
    "ConfigurationApplyMs": 2500,
    "RollbackSlackMs": 250,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 54,
    "RecoveryS": 12,
}
LONGEST = 115.0  # seconds that a case may run
numbers = itertools.count(1)


class CouldNotRun(Exception):
    """The case cannot run here."""


def deploy_role():
    """Return the entry role of the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]


def look_up(fields, name):
    """Return a field of the settings by its dotted name."""
    value = fields
    for part in name.split("."):
        value = value[part]
    return value


def fill(template, fields):
    """Fill the template of the settings, as far as that of this project needs it."""

    def section(found):
        rows = look_up(fields, found[1]).items()
        inner = found[2]
        return "".join(inner.replace("{{@}}", k).replace("{{.}}", v) for k, v in rows)

    text = re.sub(r"\{\{#(\w+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.S)

    def value(found):
        got = look_up(fields, found[1])
        return ",".join(got) if isinstance(got, list) else str(got)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Daemon:
    """One daemon."""

    def __init__(self, fleet, name, zone):
        self.fleet, self.name, self.zone = fleet, name, zone
        number, process = next(numbers), os.getpid()
        self.ip = f"127.{1 + process // 256 % 250}.{process % 256}.{1 + number}"
        self.popen = None
        self.restarts = 0

    def address(self, part):
        """Return the address of one of its listeners."""
        return f"{self.ip}:{PORTS[part]}"

    def write_settings(self):
        """Write its settings file."""
        seeds = [d.address("ControlPlane") for d in self.fleet.daemons.values()][:3]
        fields = {
            "NodeName": self.name,
            "Zone": self.zone,
            "Region": ZONES[self.zone],
            "Zones": ZONES,
            "IpAddress": self.ip,
            "SeedAddresses": seeds,
            "Bounds": BOUNDS,
            "Listen": {part: self.address(part) for part in PORTS},
            "Platform": {"Address": self.fleet.store_address(self)},
        }
        template = (ROOT / deploy_role()["template"]).read_text()
        self.file = self.fleet.folder / f"{self.name}.ini"
        self.file.write_text(fill(template, fields))

    def start(self):
        """Start its process."""
        self.write_settings()
        keep = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = keep | {
            "PAPAYACOURSE_NODE_FILE": str(self.file),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        words = deploy_role()["run"].split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        with self.log.open("ab") as output:
            self.popen = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.restarts += 1

    @property
    def log(self):
        """Return the file of its log."""
        return self.fleet.folder / f"{self.name}.log"

    def signal(self, number):
        """Send a signal."""
        if self.popen is not None and self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def lines(self, kind):
        """Return its log lines of a kind."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f'"message_type":"{kind}"' in line:
                found.append(json.loads(line))
        return found

    async def is_ready(self):
        """Return True if it says that it is ready."""
        got = await ask(self.address("Readiness"), "GET", "/readiness", {"Host": "x"}, limit=1.0)
        return got.status == 200


class Fleet:
    """The daemons of one case; a context manager that ends them."""

    def __init__(self, store_address):
        self.store_address = store_address
        self.daemons = {}
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for daemon in self.daemons.values():
            if daemon.popen is not None and daemon.popen.poll() is None:
                daemon.signal(signal.SIGCONT)
                daemon.popen.kill()
                daemon.popen.wait(5)
        self.temporary.cleanup()

    def add(self, name, zone):
        """Add a daemon, which is not started yet."""
        self.daemons[name] = Daemon(self, name, zone)
        return self.daemons[name]

    async def start(self, limit=40.0):
        """Start all daemons and wait until they are ready."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CouldNotRun("target/deps is missing: run the build of the deploy file")
        for daemon in self.daemons.values():
            daemon.start()
        ends = time.monotonic() + limit
        for daemon in self.daemons.values():
            while not await daemon.is_ready():
                if time.monotonic() > ends or daemon.popen.poll() is not None:
                    tail = daemon.log.read_text(errors="replace")[-1500:]
                    raise CouldNotRun(f"{daemon.name} is not ready: {tail}")
                await asyncio.sleep(0.1)


def route(name, prefix, kind, service, **more):
    """Return a route of the desired state."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": prefix,
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 20000,
        "TargetLatencyMs": 1500,
        "Priority": 1,
        "MaxAttempts": 1,
    } | more


def desired_state(version, *more_routes, **more):
    """Return a desired state with one route of each kind."""
    engine = {
        "Slots": 24,
        "KvCacheTokens": 34309,
        "KvTokenBytes": 35136,
        "LinkMbps": 5100.0,
        "Moves": True,
        "Stride": 1,
    }
    routes = [
        route(
            "plans",
            "/plans/",
            "streaming",
            "planner",
            TargetGapMs=180,
            StickySessions=True,
            TimeoutMs=39000,
            TargetLatencyMs=1800,
        ),
        route("pay", "/pay/", "unsafe", "ledger", TimeoutMs=5000, TargetLatencyMs=250),
        route(
            "view", "/view/", "safe", "ledger", TimeoutMs=5000, TargetLatencyMs=250, MaxAttempts=2
        ),
        *more_routes,
    ]
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": "planner", "Engine": engine}, {"Name": "ledger"}],
        "Limits": {
            "MaxHeaderBytes": 8192,
            "MaxBodyBytes": 100000,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "organisers", "ApiKeys": [KEY]}],
    } | more


def caller_headers(attempt, remaining_ms=10000, **more):
    """Return a client's headers."""
    return {
        "Host": HOST,
        "Api-Key": KEY,
        "X-Attempt-Id": attempt,
        "X-Time-Remaining": str(remaining_ms),
    } | {name.replace("_", "-"): value for name, value in more.items()}


class Record:
    """Writes the record of a case: what was sent, answered and run."""

    def __init__(self, file):
        self.file = Path(file).open("w")  # noqa: SIM115
        self.began = time.monotonic()

    def line(self, text, at=None):
        """Write a line with its time in seconds."""
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.began:9.3f} {text}\n")
        self.file.flush()


def main(case, file):
    """Run a case and write its record; exits with 1 if it returns True, 0 if not, or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(file)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), LONGEST))
    except Exception as error:
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        end(2)
    record.line("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    end(1 if broken else 0)


def end(status):
    """End this process at once; connections that are open need no farewell."""
    sys.stdout.flush()
    os._exit(status)
