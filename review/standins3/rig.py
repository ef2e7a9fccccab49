"""Starts a small deployment on loopback addresses: store, engines and the project's daemons.

The store and the engines run in the event loop of the case; each daemon is a process of its own,
started with the command of the deploy file and the settings that the platform would fill in.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
HOST = "desk.example"
KEY = "key-of-the-desk"
TENANT = "desk"
ZONES = {"lagos-ikeja": "lagos", "kano-sabon": "kano"}
# The bounds of sites/sautin-fleet.toml.
BOUNDS = {
    "SeedLagS": 3, "AddressReuseS": 2, "ConnectivityMs": 4000, "ReceiptMs": 5000, "CatchUpS": 4,
    "DrainMs": 2500, "GracePeriodS": 8, "LossSlackMs": 200, "ConfigurationApplyMs": 2500,
    "RollbackSlackMs": 250, "OuterBoundMs": 6000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
    "RetryBudgetSlack": 54, "RecoveryS": 12, "PassMs": 250,
}  # fmt: skip
PORTS = {"Frontend": 8740, "ControlPlane": 8748, "Readiness": 8749}
READY_LIMIT = 30.0  # seconds
RESTART_DELAY = 0.5  # seconds until the platform starts a process again
HEARTBEAT = 1.2  # seconds between two writes of an engine's entry
numbers = itertools.count(1)


class CouldNotRun(Exception):
    """The case cannot run here."""


def own_address():
    """Return a loopback address that no other process of the case listens at."""
    process = os.getpid()
    return f"127.{1 + process // 256 % 250}.{process % 256}.{next(numbers) % 250 + 1}"


# HTTP, as far as the stand-ins need it.


class Head:
    """The head of a request or an answer."""

    def __init__(self, line, fields):
        self.line, self.fields = line, fields

    def get(self, name, default=""):
        """Return the first value of a header."""
        return next((v for n, v in self.fields if n.lower() == name.lower()), default)


async def read_head(reader):
    """Return the head of the next message; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    line, *rows = data.decode("latin1").rstrip("\r\n").split("\r\n")
    return Head(line, [(n, v.strip()) for n, _, v in (row.partition(":") for row in rows)])


async def read_chunks(reader, head):
    """Yield the body of a message with a length, or in chunks."""
    if "chunked" in head.get("Transfer-Encoding").lower():
        while size := int((await reader.readline()).split(b";")[0], 16):
            yield await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return
    left = int(head.get("Content-Length", "0") or 0)
    while left:
        data = await reader.read(min(left, 65536))
        if not data:
            raise ConnectionError("the body has ended early")
        left -= len(data)
        yield data


async def read_body(reader, head):
    """Return the whole body of a message."""
    return b"".join([data async for data in read_chunks(reader, head)])


def message(line, fields, body=b""):
    """Return a message with a length."""
    rows = [line, *(f"{n}: {v}" for n, v in fields), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(rows).encode("latin1") + body


async def ask(address, method, path, body=None, timeout=3.0):
    """Send a request on a connection of its own; return status and body."""
    host, port = address.split(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(message(f"{method} {path} HTTP/1.1", [("Host", address)], data))
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            return int(head.line.split()[1]), await read_body(reader, head)
        finally:
            writer.close()


# The platform's store.


class Store:
    """The platform's store, with leases and history; it loses nothing."""

    def __init__(self):
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.lease_numbers = 10, itertools.count(1)
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self):
        """Serve on a free port."""
        server = await asyncio.start_server(self._serve, own_address(), 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return [server, asyncio.create_task(self._end_leases())]

    def write(self, key, value, lease=0):
        """Put a key, or remove it where the value is None."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision, lease)
        self.events.append((self.revision, key, value, lease))
        self.changed.set()
        self.changed = asyncio.Event()

    def write_json(self, key, value):
        """Put a key with a JSON value."""
        self.write(key, json.dumps(value).encode())

    async def _end_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for number in [n for n, (_, until) in self.leases.items() if until < now]:
                self._end(number)

    def _end(self, number):
        self.leases.pop(number, None)
        for key in [k for k, item in self.items.items() if item[2] == number]:
            self.write(key, None)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.line.split(" ")
                body = json.loads(await read_body(reader, head) or b"{}")
                split = urlsplit(target)
                query = {n: v[0] for n, v in parse_qs(split.query).items()}
                status, answer = await self.answer(method, split.path, query, body)
                data = json.dumps(answer).encode()
                fields = [("Content-Type", "application/json")]
                writer.write(message(f"HTTP/1.1 {status} x", fields, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        """Return status and body of the answer to a call."""
        parts = path.strip("/").split("/")
        match parts[0]:
            case "kv-key":
                item = self.items.get(query["Key"])
                if item is None:
                    return 404, {}
                return 200, shown(query["Key"], *item) | {"At": self.revision}
            case "kv-range":
                prefix, after = query.get("Prefix", ""), query.get("After", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                rows = [shown(k, *self.items[k]) for k in keys[:50]]
                return 200, {"Items": rows, "HasMore": len(keys) > 50, "At": self.revision}
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._write_all(body)
            case "kv-lease":
                number, ttl = next(self.lease_numbers), body["TtlMs"] / 1000
                self.leases[number] = (ttl, time.monotonic() + ttl)
                return 200, {"Lease": number, "TtlMs": body["TtlMs"]}
            case "kv-keep":
                number = int(parts[1])
                if number not in self.leases:
                    return 404, {}
                ttl = self.leases[number][0]
                self.leases[number] = (ttl, time.monotonic() + ttl)
                return 200, {"TtlMs": int(ttl * 1000)}
            case "kv-lease-end":
                self._end(int(parts[1]))
                return 200, {}
        return 404, {}

    async def _watch(self, query):
        prefix, after = query.get("Prefix", ""), int(query["After"])
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            news = [e for e in self.events if e[0] > after and e[1].startswith(prefix)]
            left = deadline - time.monotonic()
            if news or left <= 0:
                rows = [shown(key, value, rev, lease) for rev, key, value, lease in news]
                return 200, {"events": rows, "At": news[-1][0] if news else after}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def _write_all(self, body):
        held = body.get("ExpectedRevision") or []
        now = {row["Key"]: self.items.get(row["Key"], (b"", 0, 0))[1] for row in held}
        if any(now[row["Key"]] != row["Revision"] for row in held):
            rows = [shown(k, *self.items[k]) for k in now if k in self.items]
            return 412, {"Items": rows}
        puts = body.get("Puts") or []
        if any(put.get("Lease") and put["Lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.write(put["Key"], base64.b64decode(put["Value"]), put.get("Lease", 0))
        for key in body.get("Remove") or []:
            self.write(key, None)
        return 200, {"Revision": self.revision}


def shown(key, value, revision, lease):
    """Return an item, or the tombstone of a removed one, as the store answers it."""
    if value is None:
        return {"Key": key, "Revision": revision, "Tombstone": True}
    text = base64.b64encode(value).decode()
    return {"Key": key, "Value": text, "Revision": revision, "Created": revision, "Lease": lease}


# Engines.


class Engine:
    """An engine; a case sets what differs from a sound and quick one.

    Its ``run`` answers one request whose head has come: it reads the body and writes the answer.
    """

    def __init__(self, rig, name, service, zone, slots=6):
        self.rig, self.name, self.service, self.zone, self.slots = rig, name, service, zone, slots
        self.born = int(time.time() * 1000)
        self.runs, self.sequence, self.address = [], 0, ""
        self.state = "ready"

    async def start(self):
        """Serve on a free port, and list the engine."""
        server = await asyncio.start_server(self._serve, own_address(), 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.list()
        return [server, asyncio.create_task(self._beat())]

    def list(self):
        """Write the engine's entry."""
        self.sequence += 1
        self.rig.store.write_json(f"servers/{self.name}", {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": 1,
            "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
            "Sequence": self.sequence, "born": self.born,
        })  # fmt: skip

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            self.list()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.line.split(" ")
                if target in ("/report", "/health"):
                    await self._report(writer)
                elif head.get("X-Expected-Instance") not in ("", self.name):
                    await self.reject(writer, head, 421)
                else:
                    self.rig.record("arrived", engine=self.name, id=head.get("X-Attempt-Id"))
                    self.runs.append(head.get("X-Attempt-Id"))
                    await self.run(reader, writer, method, target, head)
                if "close" in head.get("Connection").lower():
                    return
        except (
            ConnectionError, asyncio.IncompleteReadError, TimeoutError, asyncio.CancelledError
        ):  # fmt: skip
            pass
        finally:
            writer.close()

    async def _report(self, writer):
        body = json.dumps({
            "Stage": "combined", "Models": [], "Busy": False, "Sequence": 1, "WaitingRequests": 0,
            "RunningRequests": 0, "KvCacheUsed": 0, "KvCacheTotal": 26881, "Handles": 0,
            "Runs": [], "born": self.born,
        }).encode()  # fmt: skip
        writer.write(message("HTTP/1.1 200 OK", [("X-Instance-Id", self.name)], body))
        await writer.drain()

    async def reject(self, writer, head, status):
        """Answer that the request has not run."""
        fields = [("X-Attempt-Id", head.get("X-Attempt-Id")), ("X-Not-Executed", "1")]
        writer.write(message(f"HTTP/1.1 {status} x", fields))
        await writer.drain()

    async def run(self, reader, writer, method, target, head):
        """Read the body, and answer at once."""
        body = await read_body(reader, head)
        await self.succeed(writer, head, f"{len(body)} bytes of {target}".encode())

    async def succeed(self, writer, head, body):
        """Answer with success."""
        self.rig.record("ran", engine=self.name, id=head.get("X-Attempt-Id"))
        fields = [
            ("X-Attempt-Id", head.get("X-Attempt-Id")), ("X-Server-Signature", f"s.{self.name}"),
        ]  # fmt: skip
        writer.write(message("HTTP/1.1 200 OK", fields, body))
        await writer.drain()


# Daemons.


def deploy_role():
    """Return the entry role of the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]


def fill(template, fields):
    """Fill in the template of the settings, as far as that of this project needs it."""

    def look_up(name):
        found = fields
        for part in name.split("."):
            found = found[part]
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    def section(match):
        inner = match[2].removeprefix("\n")
        rows = look_up_raw(match[1]).items()
        return "".join(inner.replace("{{@}}", k).replace("{{.}}", v) for k, v in rows)

    def look_up_raw(name):
        return fields[name]

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: look_up(match[1]), text)


class Daemon:
    """One daemon of the project."""

    def __init__(self, rig, name, zone, memory_mb):
        self.rig, self.name, self.zone, self.memory_mb = rig, name, zone, memory_mb
        self.ip, self.process, self.output = own_address(), None, None

    def address(self, part):
        """Return where it listens."""
        return f"{self.ip}:{PORTS[part]}"

    def settings(self):
        """Return the fields that the platform fills in."""
        seeds = [d.address("ControlPlane") for d in self.rig.daemons if d is not self][:3]
        return {
            "NodeName": self.name, "Role": "entry", "IpAddress": self.ip, "Zone": self.zone,
            "Region": ZONES[self.zone], "Zones": ZONES, "SeedAddresses": seeds,
            "Listen": {part: self.address(part) for part in PORTS}, "Bounds": BOUNDS,
            "Limits": {"MemoryMb": self.memory_mb}, "Platform": {"Address": self.rig.store.address},
        }  # fmt: skip

    async def start(self):
        """Start the process with the command of the deploy file."""
        role = deploy_role()
        file = self.rig.folder / f"{self.name}.settings"
        file.write_text(fill((ROOT / role["template"]).read_text(), self.settings()))
        environment = {
            "PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1",
            "PAPAYACOURSE_NODE_FILE": str(file),
        }  # fmt: skip
        self.output = (self.rig.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=environment, stdout=self.output, stderr=self.output
        )

    def kill(self):
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    async def wait_until_ready(self):
        """Wait until the readiness page answers 200."""
        deadline = time.monotonic() + READY_LIMIT
        while time.monotonic() < deadline:
            try:
                if (await ask(self.address("Readiness"), "GET", "/readiness"))[0] == 200:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} is not ready")

    def memory(self):
        """Return the resident memory of the process in MB; 0 if it does not run."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0


def route(name, kind, service, **more):
    """Return a route of the desired state."""
    return {
        "Name": name, "Host": HOST, "Prefix": f"/{name}/", "Kind": kind, "Service": service,
        "TimeoutMs": 39000, "TargetLatencyMs": 4000, "Priority": 2, "MaxAttempts": 1,
        "AllowAnonymous": False,
    } | more  # fmt: skip


def desired_state(version, routes, services):
    """Return a desired state."""
    return {
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }  # fmt: skip


class Rig:
    """The deployment of one case; ends all that it has started."""

    def __init__(self, record):
        self.began = time.monotonic()
        self.lines = record.open("w")
        self.folder = Path(tempfile.mkdtemp(prefix="papayacourse-review-"))
        self.store, self.daemons, self.running = Store(), [], []

    async def __aenter__(self):
        self.running += await self.store.start()
        return self

    async def __aexit__(self, *_error):
        for daemon in self.daemons:
            daemon.kill()
            if daemon.process is not None:
                await daemon.process.wait()
        for each in self.running:
            each.cancel() if isinstance(each, asyncio.Task) else each.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.lines.close()

    def record(self, what, **fields):
        """Write a line of the record."""
        line = {"at": round(time.monotonic() - self.began, 3), "what": what} | fields
        self.lines.write(json.dumps(line) + "\n")
        self.lines.flush()

    async def engine(self, kind, *arguments, **more):
        """Start an engine."""
        engine = kind(self, *arguments, **more)
        self.running += await engine.start()
        return engine

    async def start_daemons(self, places, memory_mb=256):
        """Start daemons, a name and a zone each, and wait until all are ready."""
        self.daemons = [Daemon(self, name, zone, memory_mb) for name, zone in places]
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_until_ready()


def fields(method="POST", milliseconds=39000, **more):
    """Return the headers of a client's request, with an id of its own."""
    found = {
        "Host": HOST, "X-Attempt-Id": f"{os.getpid():x}-{next(numbers)}",
        "X-Time-Remaining": str(milliseconds), "Api-Key": KEY,
    }  # fmt: skip
    return found | more


def main(case, file):
    """Run a case, whose coroutine returns whether the rule held; exit as the issue asks."""
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        sys.exit(NOT_RUN)
    record = Path(file).parent / "record.txt"
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except (CouldNotRun, OSError, TimeoutError) as error:
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    sys.exit(HELD if held else BROKEN)
