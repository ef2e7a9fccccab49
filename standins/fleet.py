"""Starts stand-ins and daemons as separate processes on loopback, for tests, demo and bench."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from attrs import define, field

MESH_KEY = "a mesh key for tests and demos"
READY_LIMIT = 20.0  # seconds
STOP_LIMIT = 30.0  # seconds
KILL_LIMIT = 5.0  # seconds
CONDITION_POLL = 0.05  # seconds


class FleetError(Exception):
    """A process did not do what was expected of it."""


@define(eq=False)
class Process:
    """One process that the fleet started."""

    name: str
    popen: subprocess.Popen
    log: Path
    ready: dict = field(factory=dict)
    frozen: bool = False
    read_to: int = 0

    @property
    def http(self) -> str:
        """Return the ``host:port`` of its HTTP listener."""
        return self.ready["http"]

    def read_line(self, limit: float = READY_LIMIT) -> dict:
        """Return the next JSON line it prints that is no line of its log."""
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            ended = self.popen.poll() is not None
            found = self._next_line()
            if found is not None:
                return found
            if ended:
                break
            time.sleep(CONDITION_POLL)
        raise FleetError(f"{self.name} is not ready: {self.log.read_text()[-2000:]}")

    def _next_line(self) -> dict | None:
        """Return what it has printed since the last line, if that is whole by now."""
        with self.log.open("rb") as printed:
            printed.seek(self.read_to)
            for line in printed:
                if not line.endswith(b"\n"):
                    break
                self.read_to += len(line)
                if line.startswith(b"{") and b'"message_type"' not in line:
                    return json.loads(line)
        return None

    def kill(self) -> None:
        """End it at once."""
        self.popen.kill()
        self.popen.wait(KILL_LIMIT)

    def freeze(self) -> None:
        """Stop it with SIGSTOP."""
        self.frozen = True
        os.kill(self.popen.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self.frozen = False
        os.kill(self.popen.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to stop gracefully."""
        self.popen.terminate()

    def wait(self, limit: float = STOP_LIMIT) -> int:
        """Return its exit status once it has ended."""
        return self.popen.wait(limit)


@define
class Answer:
    """An HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict:
        """Return the body read as JSON."""
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | dict | None = None,
    headers: dict | None = None,
    limit: float = 30.0,
) -> Answer:
    """Make one HTTP call; a dict is sent as JSON."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=limit)
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    try:
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()), response.read())
    finally:
        connection.close()


def wait_until(what: str, condition, limit: float = 20.0):
    """Wait for a condition to give something true, and return that."""
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(CONDITION_POLL)
    raise FleetError(f"not within {limit} s: {what}")


@define(eq=False)
class Fleet:
    """A set of processes; a context manager that ends those it started."""

    processes: dict[str, Process] = field(factory=dict)
    folder: tempfile.TemporaryDirectory = field(factory=tempfile.TemporaryDirectory)
    hosts: dict[str, dict] = field(factory=dict)
    log_level: str = "info"
    platform_options: str = ""
    daemon_program: list[str] = field(factory=lambda: [sys.executable, "-m", "papayacourse"])

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, kind, error, traceback) -> None:
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.kill()
        self.folder.cleanup()

    @property
    def path(self) -> Path:
        """Return the folder that holds configurations and logs."""
        return Path(self.folder.name)

    def start(self, name: str, command: list[str]) -> Process:
        """Start a process and wait for its first line besides its log's."""
        log = self.path / f"{name}.log"
        with log.open("ab") as output:
            # A process that is started again goes on in the same file.
            before = log.stat().st_size
            popen = subprocess.Popen(command, stdout=output, stderr=output)
        process = Process(name, popen, log, read_to=before)
        self.processes[name] = process
        process.ready = process.read_line()
        return process

    def standin(self, module: str, name: str, *options: str) -> Process:
        """Start a stand-in."""
        command = [sys.executable, "-m", f"standins.{module}", "--name", name, *options]
        return self.start(name, command)

    def proxy(self, name: str, target: str) -> Process:
        """Start a fault-injecting proxy; ``ready["address"]`` is where it forwards from."""
        process = self.standin("faultproxy", name, "--target", target)
        lines = [process.ready, process.read_line()]
        process.ready = {key: value for line in lines for key, value in line.items()}
        return process

    def platform(self, *, lag: float = 0.0) -> None:
        """Start the key-value service and the host list."""
        self.standin("kvservice", "kv")
        self.standin("hostservice", "hosts", "--lag", str(lag))

    def engine(self, name: str, domain: str, region: str, *options: str) -> Process:
        """Start an engine and list its host."""
        process = self.standin("engine", name, *options)
        self.list_host(name, "engine", process.http, domain, region)
        return process

    def plain(self, name: str, domain: str, region: str, *options: str) -> Process:
        """Start a plain service and list its host."""
        process = self.standin("plainservice", name, *options)
        self.list_host(name, "plain", process.http, domain, region)
        return process

    def list_host(
        self, name: str, kind: str, address: str, domain: str, region: str, mesh: str = ""
    ) -> None:
        """Put a host on the platform's list."""
        host = {
            "name": name,
            "kind": kind,
            "address": address,
            "domain": domain,
            "region": region,
            "state": "live",
            "mesh": mesh,
            "service": "",
        }
        self.hosts[name] = host
        self.admin("hosts", {"put": [host]})

    def write_config(
        self, name: str, domain: str, region: str, seeds: list[str], **platform: str
    ) -> Path:
        """Write a daemon's configuration file and return its path."""
        kv = platform.get("kv") or self.processes["kv"].http
        hosts = platform.get("hosts") or self.processes["hosts"].http
        file = self.path / f"{name}.ini"
        file.write_text(
            f"[daemon]\nname = {name}\ndomain = {domain}\nregion = {region}\n"
            f"[listen]\nhttp = 127.0.0.1:0\nmesh = {platform.get('ip', '127.0.0.1')}:0\n"
            f"{platform.get('listen', '')}"
            f"[platform]\n{self.platform_options}kvstore = {kv}\nhostlist = {hosts}\n"
            f"[mesh]\nkey = {MESH_KEY}\nseeds = {' '.join(seeds)}\n"
            f"[log]\nlevel = {self.log_level}\n"
            "[invariants]\nfatal = yes\n"
            f"{platform.get('extra', '')}"
        )
        return file

    def daemon(
        self, name: str, domain: str, region: str, seeds: list[str] | None = None, **platform: str
    ) -> Process:
        """Start a daemon and list its host; a name may be started again."""
        file = self.write_config(name, domain, region, seeds or [], **platform)
        process = self.start(name, [*self.daemon_program, "serve", "--config", str(file)])
        mesh = platform.get("mesh") or process.ready["mesh"]
        self.list_host(name, "entry", process.http, domain, region, mesh)
        return process

    def admin(self, name: str, switches: dict) -> dict:
        """Set a stand-in's switches."""
        return call(self.processes[name].http, "POST", "/admin", switches).json

    def counts(self, name: str) -> dict:
        """Return a stand-in's own counts."""
        return call(self.processes[name].http, "GET", "/admin").json

    def command(self, *arguments: str, text: str = "") -> subprocess.CompletedProcess:
        """Run the program's command line to its end."""
        return subprocess.run(
            [*self.daemon_program, *arguments],
            input=text,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def settings(self, *arguments: str, text: str = "") -> subprocess.CompletedProcess:
        """Run a settings command against the fleet's key-value service."""
        platform = f"--platform={self.processes['kv'].http}"
        return self.command("settings", *arguments, platform, text=text)

    def apply(self, *files: str) -> None:
        """Apply settings files, and fail loudly when that fails."""
        done = self.settings("apply", *files)
        if done.returncode:
            raise FleetError(done.stderr)

    def status(self, name: str) -> dict:
        """Return a daemon's status."""
        headers = {"Authorization": f"Bearer {MESH_KEY}"}
        return call(self.processes[name].http, "GET", "/debug/status", headers=headers).json

    def wait_settled(self, *daemons: str, paths: int) -> None:
        """Wait until daemons know so many settings paths and each other."""
        for name in daemons:
            wait_until(f"{name} has {paths} settings paths", lambda n=name: self._settled(n, paths))
            wait_until(f"{name} sees its peers", lambda n=name: self._sees(n, set(daemons) - {n}))

    def rss(self, name: str) -> int:
        """Return a process's resident memory in bytes."""
        pages = Path(f"/proc/{self.processes[name].popen.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def _settled(self, name: str, paths: int) -> bool:
        return self.status(name)["settings"]["paths"] >= paths

    def _sees(self, name: str, others: set[str]) -> bool:
        mine = self.status(name)
        alive = {peer["name"] for peer in mine["peers"] if peer["alive"]}
        domain = mine["domain"]
        return all(other in alive for other in others if self.hosts[other]["domain"] == domain)
