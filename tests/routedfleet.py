"""Daemons on the stand-in of the users' platform, as separate processes."""

import contextlib
import itertools
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from attrs import define, field

from standins.fleet import Answer, Fleet, Process, call, wait_until

PORTS = {"http": 8740, "readiness": 8749, "mesh": 8748, "metrics": 9464}
ROOT = Path(__file__).parent.parent
HOST = "site.example"
RESTART = 20.0  # seconds until a daemon that was killed is ready again
KEY = "key-of-organisers"
MESH_KEY = "k" * 20


hosts = itertools.count(1)


def own_address() -> str:
    """Return a loopback address that no other process of the tests listens at.

    A port that is free on 127.0.0.1 may be taken, by any connection, before a daemon binds it.
    """
    number, process = next(hosts), os.getpid()
    return f"127.{1 + process // 256 % 250}.{process % 256}.{1 + number % 250}"


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route of the settings document."""
    return {
        "Name": name, "Host": HOST, "Prefix": prefix, "Kind": kind, "Service": service,
        "TimeoutMs": 20000, "TargetLatencyMs": 1500, "Priority": 1, "MaxAttempts": 1,
        "TargetGapMs": 180,
    } | more  # fmt: skip


def document(version: int, *extra_routes: dict, without: str = "") -> dict:
    """Return a settings document with one route of each kind."""
    routes = [
        route("plans", "/plans/", "streaming", "planner"),
        route("book", "/book/", "unsafe", "desk"),
        route("view", "/view/", "safe", "desk", MaxAttempts=2),
        route("open", "/open/", "safe", "desk", AllowAnonymous=True),
        *extra_routes,
    ]
    engine = {
        "Slots": 24, "KvCacheTokens": 30000, "KvTokenBytes": 192512, "LinkMbps": 28000.0,
        "Moves": True, "Stride": 1,
    }  # fmt: skip
    return {
        "Version": version,
        "Routes": [r for r in routes if r["Name"] != without],
        "Services": [{"Name": "planner", "Engine": engine}, {"Name": "desk"}],
        "Limits": {
            "MaxHeaderBytes": 8192, "MaxBodyBytes": 100000, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "organisers", "ApiKeys": [KEY]}],
    }  # fmt: skip


@define(eq=False)
class RoutedFleet:
    """The store, engines and daemons of one scenario.

    Attributes
    ----------
    addresses : dict of str to str
        The IP number of each daemon.
    wrapper : list of str
        The program that starts the daemons', if any.
    stop_notice : float
        Seconds for which daemons that are asked to stop still take connections.
    """

    fleet: Fleet = field(factory=Fleet)
    addresses: dict[str, str] = field(factory=dict)
    places: dict[str, dict] = field(factory=dict)
    wrapper: list[str] = field(factory=list)
    stop_notice: float = 0.5
    number: int = 0

    def close(self) -> None:
        """End every process."""
        for process in self.fleet.processes.values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.popen.pid, signal.SIGCONT)
        self.fleet.__exit__(None, None, None)

    def store(self, doc: dict | None) -> None:
        """Start the store, with a document or none."""
        self.fleet.standin("platformstore", "store")
        if doc is not None:
            self.write({"op/config": doc})

    def write(self, keys: dict) -> None:
        """Write keys as the operator or an engine; None removes one."""
        self.fleet.admin("store", {"put": keys})

    def engine(
        self, name: str, service: str, domain: str, *options: str, proxied: bool = False
    ) -> Process:
        """Start an engine and list it, behind a proxy of its own if asked to."""
        process = self.fleet.standin("platformengine", name, *options)
        address = process.http
        if proxied:
            address = self.fleet.proxy(f"{name}-proxy", address).ready["address"]
        self.places[name] = {"Service": service, "Address": address, "Zone": domain}
        self.list_engine(name)
        return process

    def list_engine(self, name: str, state: str = "ready") -> None:
        """Write an engine's entry."""
        entry = self.places[name] | {"State": state, "Slots": 6, "Sequence": 1, "born": 1}
        self.write({f"servers/{name}": entry})

    def daemon(
        self, name: str, domain: str, store: str = "", wait: bool = True,
        most_seeds: int | None = None, mesh_key: str = MESH_KEY,
    ) -> None:  # fmt: skip
        """Start a daemon; a name may be started again."""
        ip = self.addresses.setdefault(name, own_address())
        others = [address for other, address in self.addresses.items() if other != name]
        seeds = ",".join(f"{address}:{PORTS['mesh']}" for address in others[:most_seeds])
        text = (
            f"[daemon]\nname = {name}\ndomain = {domain}\nregion = {domain}\nregions =\n"
            "    lagos = lagos\n    kano = kano\n[listen]\n"
            + "".join(f"{part} = {ip}:{port}\n" for part, port in PORTS.items())
            + f"[platform]\nstore = {store or self.fleet.processes['store'].http}\n"
            f"[mesh]\nkey = {mesh_key}\nseeds = {seeds}\n[limits]\ngrace = 8\n"
            f"stop_notice = {self.stop_notice}\n"
        )
        (self.fleet.path / f"{name}.ini").write_text(text)
        self.start(name)
        if wait:
            wait_until(f"{name} is ready", lambda: self.readiness(name) == 200)

    def start(self, name: str) -> None:
        """Start a daemon's process."""
        file, log = self.fleet.path / f"{name}.ini", self.fleet.path / f"{name}.log"
        environment = os.environ | {
            "PAPAYACOURSE_NODE_FILE": str(file), "PAPAYACOURSE_TEST_CUT": str(self.cut_file(name)),
        }  # fmt: skip
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, *self.wrapper, str(ROOT / "platform" / "run.py")],
                stdout=output, stderr=output, env=environment,
            )  # fmt: skip
        self.fleet.processes[name] = Process(name, popen, log)

    def restart_all(self, names: list[str], limit: float = RESTART) -> None:
        """Kill daemons all at once, start them again, and wait until each is ready."""
        for name in names:
            self.fleet.processes[name].kill()
        for name in names:
            self.start(name)
        for name in names:
            wait_until(f"{name} is ready", lambda name=name: self.readiness(name) == 200, limit)

    def cut_file(self, name: str) -> Path:
        """Return the file that tells a daemon under ``tests/cutoff.py`` what it is cut off from."""
        return self.fleet.path / f"{name}.cut"

    def readiness(self, name: str) -> int:
        """Return the status of a daemon's readiness page; 0 without an answer."""
        try:
            return call(self.listener(name, "readiness"), "GET", "/readiness").status
        except OSError:
            return 0

    def metrics(self, name: str) -> str:
        """Return a daemon's metrics."""
        return call(self.listener(name, "metrics"), "GET", "/metrics").body.decode()

    def address(self, name: str) -> str:
        """Return where a daemon serves callers."""
        return self.listener(name, "http")

    def listener(self, name: str, part: str) -> str:
        """Return the address of one of a daemon's listeners."""
        return f"{self.addresses[name]}:{PORTS[part]}"

    def headers(self, **more) -> dict[str, str]:
        """Return a caller's headers, with a fresh id."""
        self.number += 1
        found = {"Host": HOST, "Api-Key": KEY, "X-Attempt-Id": f"id-{self.number}"}
        found["X-Time-Remaining"] = "15000"
        found |= {name.replace("_", "-"): value for name, value in more.items()}
        return {name: value for name, value in found.items() if value is not None}

    def ask(self, daemon: str, method: str, path: str, body: bytes = b"", **headers) -> Answer:
        """Send a request through a daemon."""
        answer = call(self.address(daemon), method, path, body or None, self.headers(**headers))
        answer.headers = {name.lower(): value for name, value in answer.headers.items()}
        return answer

    def runs(self, engine: str) -> list[dict]:
        """Return what ran on an engine."""
        return self.fleet.counts(engine)["runs"]

    def lines(self, daemon: str, kind: str) -> list[dict]:
        """Return a daemon's log lines of a kind."""
        found = []
        for line in (self.fleet.path / f"{daemon}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                raw = json.loads(line)
                if raw.get("message_type") == kind:
                    found.append(raw)
        return found
