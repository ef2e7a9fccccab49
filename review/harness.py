"""Starts a small deployment on loopback for a case, and records what was sent, answered, run."""

import contextlib
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
ZONES = {"accra-tema": "accra", "kumasi-suame": "kumasi", "tamale-central": "tamale"}
PORTS = {"Frontend": 8740, "ControlPlane": 8748, "Readiness": 8749, "Metrics": 9464}
SITE_HOST = "yard.example"
KEY = "key-of-the-yard"
# The bounds of sites/abbr-papaya.toml, in seconds.
CONNECTIVITY, DRAIN, CONFIGURATION_APPLY, HEARTBEAT = 4.0, 2.5, 2.5, 1.2
BOUNDS = {
    "SeedLagS": 3, "AddressReuseS": 2, "ConnectivityMs": 4000, "ReceiptMs": 5000, "CatchUpS": 4,
    "DrainMs": 2500, "GracePeriodS": 8, "LossSlackMs": 200, "ConfigurationApplyMs": 2500,
    "RollbackSlackMs": 250, "OuterBoundMs": 6000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
    "RetryBudgetSlack": 54, "RecoveryS": 12, "PassMs": 250,
}  # fmt: skip
READY_LIMIT = 40.0  # seconds


class CaseError(Exception):
    """The case could not run."""


def route(name: str, kind: str, service: str, **more) -> dict:
    """Return a route of the desired state."""
    return {
        "Name": name, "Host": SITE_HOST, "Prefix": f"/{name}/", "Kind": kind, "Service": service,
        "TimeoutMs": 1200, "TargetLatencyMs": 250, "Priority": 2, "MaxAttempts": 1,
    } | more  # fmt: skip


def desired_state(version: int, *routes: dict) -> dict:
    """Return a desired state with these routes."""
    engine = {
        "Slots": 24, "KvCacheTokens": 34309, "KvTokenBytes": 35136, "LinkMbps": 5100.0,
        "Moves": True, "Stride": 4, "HandleS": 5,
    }  # fmt: skip
    plain = sorted({r["Service"] for r in routes} - {"llm"})
    return {
        "Version": version,
        "Routes": list(routes),
        "Services": [{"Name": "llm", "Engine": engine}, *({"Name": name} for name in plain)],
        "Limits": {
            "MaxHeaderBytes": 8192, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "yard", "ApiKeys": [KEY]}],
    }  # fmt: skip


def fill_in(template: str, values: dict) -> str:
    """Fill in the settings template as the platform does, as far as deploy/daemon.ini needs it."""

    def look_up(name: str) -> str:
        found = values
        for part in name.split("."):
            found = found[part]
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    def section(match: re.Match) -> str:
        pairs = values[match[1]].items()
        inner = match[2].strip("\n")
        return "".join(
            inner.replace("{{@}}", key).replace("{{.}}", value) + "\n" for key, value in pairs
        )

    text = re.sub(r"\{\{#(\w+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: look_up(match[1]), text)


class Deployment:
    """The store, engines and daemons of one case; a context manager that ends them all."""

    def __init__(self, record: Path):
        self.started = time.monotonic()
        self.record_file = record.open("w", encoding="utf-8")
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        self.ips: dict[str, str] = {}
        self.entries: dict[str, dict] = {}
        self.lock = threading.Lock()
        self.numbers = iter(range(1, 1_000_000))
        self.temporary = tempfile.TemporaryDirectory(prefix="papayacourse-review-")
        self.folder = Path(self.temporary.name)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *_error) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.temporary.cleanup()
        self.record_file.close()

    # The record.

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.started

    def record(self, what: str, **fields) -> None:
        """Write a line of the record."""
        with self.lock:
            told = " ".join(f"{name}={value}" for name, value in fields.items())
            self.record_file.write(f"{self.now():8.3f} {what} {told}\n")
            self.record_file.flush()

    def at(self, monotonic: float) -> float:
        """Return a time of the monotonic clock as seconds since the case began, rounded."""
        return round(monotonic - self.started, 3)

    # Processes.

    def launch(self, name: str, program: list[str], environment: dict | None = None) -> None:
        """Start a process with its output in a file."""
        known = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in known if key in os.environ}
        env |= {"PYTHONPATH": f"{ROOT / 'target' / 'deps'}"} | (environment or {})
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                program, stdin=subprocess.PIPE, stdout=log, stderr=log, cwd=ROOT, env=env
            )

    def standin(self, name: str, module: str, argument: str) -> str:
        """Start a stand-in of this folder; return its address."""
        log = self.folder / f"{name}.log"
        offset = log.stat().st_size if log.exists() else 0
        path = f"{ROOT}:{ROOT / 'target' / 'deps'}"
        self.launch(name, ["python3", "-m", module, argument], {"PYTHONPATH": path})
        address = self.wait(f"{name} is ready", lambda: self.printed(log, offset, "address"))
        self.addresses[name] = address
        return address

    def printed(self, log: Path, offset: int, field: str) -> str | None:
        """Return a field of a JSON line that a stand-in has printed."""
        for line in log.read_bytes()[offset:].splitlines():
            with contextlib.suppress(ValueError):
                found = json.loads(line)
                if field in found:
                    return found[field]
        return None

    def wait(self, what: str, condition, limit: float = READY_LIMIT):
        """Wait until a condition returns something true; return that."""
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, http.client.HTTPException):
                if found := condition():
                    return found
            time.sleep(0.05)
        raise CaseError(f"not within {limit} s: {what}")

    def start_store(self) -> None:
        """Start the store."""
        self.standin("store", "review.store", json.dumps({"port": 0}))

    def start_engine(self, name: str, service: str, zone: str, port: int = 0) -> str:
        """Start an engine without listing it; return its address."""
        address = self.standin(
            name, "review.engine", json.dumps({"instance": f"i-{name}", "port": port})
        )
        self.entries[name] = {
            "Service": service, "Address": address, "Zone": zone, "Version": "1", "Slots": 6,
            "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": int(time.time() * 1000),
        }  # fmt: skip
        return address

    def list_engine(self, name: str, **changes) -> None:
        """Write an engine's entry, as the engine does."""
        self.entries[name] |= changes
        self.write({f"servers/i-{name}": json.dumps(self.entries[name])}, "engine")

    def write(self, values: dict[str, str | None], who: str = "operator") -> None:
        """Write keys of the store; returns with the store's ack."""
        self.admin("store", {"write": values})
        told = {k: v if v is None or len(v) < 200 else f"{len(v)} bytes" for k, v in values.items()}
        self.record("written", by=who, values=json.dumps(told))

    def set_state(self, document: dict) -> None:
        """Write a desired state, as the operator does."""
        self.admin("store", {"write": {"op/config": json.dumps(document)}})
        self.record("acknowledged", version=document["Version"])

    def admin(self, name: str, order: dict) -> dict:
        """Give a stand-in an order, and return what it tells."""
        return json.loads(self.call(self.addresses[name], "POST", "/admin", json.dumps(order))[2])

    def start_daemon(self, name: str, zone: str, seeds: list[str] | None = None) -> None:
        """Start a daemon as the deploy file does, and wait until it is ready."""
        ip = self.ips.setdefault(name, free_ip())
        values = {
            "NodeName": name, "Zone": zone, "Region": ZONES[zone], "Zones": ZONES,
            "IpAddress": ip, "Bounds": BOUNDS, "Platform": {"Address": self.addresses["store"]},
            "Listen": {part: f"{ip}:{port}" for part, port in PORTS.items()},
            "SeedAddresses": [
                f"{self.ips[seed]}:{PORTS['ControlPlane']}" for seed in seeds or () if seed != name
            ],
        }  # fmt: skip
        template = (ROOT / "deploy" / "daemon.ini").read_text(encoding="utf-8")
        file = self.folder / f"{name}.ini"
        file.write_text(fill_in(template, values), encoding="utf-8")
        self.launch(name, ["python3", "platform/run.py"], {"PAPAYACOURSE_NODE_FILE": str(file)})
        self.record("started", daemon=name)

    def is_ready(self, name: str) -> bool:
        """Return True if a daemon's readiness page says that it is ready."""
        address = f"{self.ips[name]}:{PORTS['Readiness']}"
        return self.call(address, "GET", "/readiness", limit=1.0)[0] == 200

    def wait_ready(self, *names: str) -> None:
        """Wait until daemons are ready."""
        for name in names:
            self.wait(f"{name} is ready", lambda name=name: self.is_ready(name))
            self.record("ready", daemon=name)

    def start_daemons(self, zones: dict[str, str]) -> None:
        """Start daemons in their zones and wait until they are ready."""
        for name in zones:
            self.ips[name] = free_ip()
        for name, zone in zones.items():
            self.start_daemon(name, zone, list(zones))
        self.wait_ready(*zones)

    def stop(self, name: str, limit: float = 12.0) -> None:
        """Send SIGTERM to a process and wait until it has ended."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        self.record("SIGTERM", process=name)
        process.wait(limit)
        self.record("ended", process=name, status=process.returncode)

    # Clients.

    def call(
        self, address: str, method: str, path: str, body: str = "", headers: dict | None = None,
        limit: float = 20.0,
    ) -> tuple[int, dict[str, str], bytes]:  # fmt: skip
        """Make a call on a new connection; return status, headers and body."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=limit)
        try:
            connection.request(method, path, body.encode() or None, headers or {})
            response = connection.getresponse()
            found = {name.lower(): value for name, value in response.getheaders()}
            return response.status, found, response.read()
        finally:
            connection.close()

    def attempt_id(self) -> str:
        """Return an id that no other attempt has."""
        return f"{next(self.numbers):04x}{random.getrandbits(48):012x}"

    def ask(
        self, daemon: str, method: str, path: str, body: str = "", remaining: float = 1.2, **headers
    ) -> tuple[str, int, dict[str, str], bytes]:
        """Send a client's attempt; return its id, the status (0: none), headers and body."""
        attempt = self.attempt_id()
        sent = {
            "Host": SITE_HOST, "X-Attempt-Id": attempt, "Api-Key": KEY,
            "X-Time-Remaining": str(int(remaining * 1000)),
        } | {name.replace("_", "-"): value for name, value in headers.items()}  # fmt: skip
        self.record("sent", attempt=attempt, to=daemon, request=f"{method} {path} {body[:60]}")
        address = f"{self.ips[daemon]}:{PORTS['Frontend']}"
        try:
            status, found, data = self.call(address, method, path, body, sent, remaining + 1.0)
        except (OSError, http.client.HTTPException) as error:
            self.record("no answer", attempt=attempt, why=repr(error))
            return attempt, 0, {}, b""
        self.record(
            "answered", attempt=attempt, status=status, retry_after=found.get("retry-after"),
            signed=found.get("x-server-signature"), body=data[:160],
        )  # fmt: skip
        return attempt, status, found, data

    def runs(self, engine: str) -> list[dict]:
        """Return what an engine has run."""
        return self.admin(engine, {})["runs"]


def free_ip() -> str:
    """Return a loopback address at which the ports of a daemon are free."""
    for _ in range(100):
        ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        with contextlib.ExitStack() as stack:
            try:
                for port in PORTS.values():
                    link = stack.enter_context(socket.socket())
                    link.bind((ip, port))
            except OSError:
                continue
        return ip
    raise CaseError("no free loopback address")


def has_trouble() -> bool:
    """Return False if the case is to run without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(record: Path, case) -> None:
    """Run a case, write its record and end with its exit status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    status = NOT_RUN
    with Deployment(record) as deployment:
        try:
            broken = case(deployment)
        except (CaseError, OSError, subprocess.TimeoutExpired) as error:
            deployment.record("the case could not run", why=repr(error))
            print(f"could not run: {error!r}")
        else:
            status = BROKEN if broken else HELD
            deployment.record("verdict", broken=broken or "no rule")
            print(f"broken: {broken}" if broken else "held")
        if keep := os.environ.get("KEEP_LOGS"):
            for log in deployment.folder.iterdir():
                (Path(keep) / log.name).write_bytes(log.read_bytes())
    sys.exit(status)
