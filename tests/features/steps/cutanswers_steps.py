"""Steps about answers with neither a length nor chunks that a close has cut."""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable

from attrs import frozen
from behave import given, then

from papayacourse import engines
from papayacourse.exceptions import PapayacourseError
from papayacourse.hostlist import HostList
from papayacourse.kvstore import KeyValueStore
from papayacourse.rollout import ask_daemon
from papayacourse.types import Address, Host, HostKind
from tests.cutserver import CutServer
from tests.routedfleet import ROOT

sys.path.append(str(ROOT / "platform"))

from userplatform.enginecalls import HttpEngineCalls
from userplatform.storeclient import StoreClient

ENTRY = {"key": "/a", "value": "text", "revision": 12}
ITEM = {"Key": "servers/a", "Value": "e30=", "Revision": 5, "Created": 4, "Lease": 0}
ITEMS = [ITEM, ITEM | {"Key": "servers/b"}]
LOADED = {"model": "m", "adapter": "", "version": "3", "role": "decode"}
LOAD = {"running": 12, "waiting": 10, "memory_used": 100, "memory_total": 900, "preemptions": 10}
REPORT = {
    "RunningRequests": 2, "WaitingRequests": 10, "KvCacheUsed": 100, "KvCacheTotal": 30000,
    "State": "draining", "leaves_ms": 12000, "born": 7,
}  # fmt: skip
RUNS = [["run-1", 100, 20, 0], ["run-2", 200, 30, 1]]
HOSTS = [
    {"name": f"e{n}", "kind": "engine", "address": f"127.0.0.1:{n}", "domain": "d", "region": "r"}
    for n in (10, 11)
]
ORDER = engines.Order(7, engines.LoadSpec("m", "", "3", "decode"))


@frozen
class Sample:
    """A call, given the address of its server, and a whole answer to it."""

    call: Callable[[str], Awaitable[object]]
    answer: object
    status: int = 200

    def encode(self) -> bytes:
        """Return the whole answer, which ends with its connection."""
        return b"HTTP/1.1 %d Said\r\n\r\n" % self.status + json.dumps(self.answer).encode()


def host(address: str) -> Host:
    """Return the engine at an address."""
    return Host("e@7", HostKind.ENGINE, address, "d", "r")


def at_engine(method: str, *arguments) -> Callable[[str], Awaitable[object]]:
    """Return a call of the users' platform to an engine."""
    calls = HttpEngineCalls(lambda _host, _notice: None)
    return lambda address: getattr(calls, method)(host(address), *arguments)


def at_store(method: str, *arguments) -> Callable[[str], Awaitable[object]]:
    """Return a call to the users' platform's store."""
    return lambda address: getattr(StoreClient(Address.parse(address)), method)(*arguments)


def at_keys(method: str, *arguments) -> Callable[[str], Awaitable[object]]:
    """Return a call to the key-value service."""
    return lambda address: getattr(KeyValueStore(Address.parse(address)), method)(*arguments)


async def first_watched(address: str) -> object:
    """Return what the first answer of a watch of the store holds."""
    async for found in StoreClient(Address.parse(address)).watch("", 1, 1.0):
        return found
    raise AssertionError("it ends")


SAMPLES = {
    "engine load": Sample(engines.load, LOAD | {"leaving": True}),
    "engine state": Sample(
        engines.engine_state, {"loaded": LOADED, "fence": 12, "weights": ["m@3"], "running": 10}
    ),
    "engine stream state": Sample(
        lambda address: engines.state(address, "s"),
        {"readers": 10, "generated": 120, "reason": "stop"},
    ),
    "engine cache events": Sample(
        lambda address: engines.cache_events(address, 1),
        {"events": [{"prefix": 12, "kind": "stored"}, {"prefix": 13, "kind": "gone"}], "last": 12},
    ),
    "engine order": Sample(lambda address: engines.order(address, ORDER), {"loaded": LOADED}),
    "engine cancel": Sample(lambda address: engines.control(address, "DELETE", "/streams/s"), {}),
    "platform engine load": Sample(at_engine("load"), REPORT),
    "platform engine runs": Sample(at_engine("runs"), REPORT | {"Runs": RUNS}),
    "platform engine without run": Sample(at_engine("runs"), REPORT | {"born": 8, "Runs": []}),
    "platform engine move": Sample(
        at_engine("copy_run", "run-1", host("127.0.0.1:9"), True), {"Handle": 1234}
    ),
    "platform engine no room": Sample(
        at_engine("copy_run", "run-1", host("127.0.0.1:9"), True), {"Handle": 1234}, 503
    ),
    "platform engine drop": Sample(at_engine("drop_copy", "h"), {}),
    "key get": Sample(at_keys("get", "/a"), ENTRY),
    "key list": Sample(
        at_keys("list", "/"), {"entries": [ENTRY, ENTRY | {"key": "/b"}], "revision": 120}
    ),
    "key watch": Sample(
        at_keys("watch", "/", 1, 1.0), {"entries": [ENTRY, ENTRY], "revision": 120}
    ),
    "key swap": Sample(at_keys("swap", "/a", "x", 1), {"swapped": True, "revision": 120}),
    "key swap conflict": Sample(
        at_keys("swap", "/a", "x", 1), {"swapped": False, "current": ENTRY}
    ),
    "key lease": Sample(at_keys("open_lease", 10.0), {"lease": "l-12", "ttl": 10.25}),
    "key lease renewed": Sample(at_keys("renew_lease", "l"), {"renewed": True}),
    "key lease ended": Sample(at_keys("renew_lease", "l"), {"renewed": False}),
    "key lease revoke": Sample(at_keys("revoke_lease", "l"), {}),
    "host list": Sample(
        lambda address: HostList(Address.parse(address)).get(), {"version": 120, "hosts": HOSTS}
    ),
    "daemon page": Sample(
        lambda address: ask_daemon(Address.parse(address), "key", "/debug/settings"),
        {"paths": {"/a": {"revision": 120}, "/b": {"revision": 121}}},
    ),
    "store range": Sample(at_store("range", ""), {"Items": ITEMS, "HasMore": False, "At": 120}),
    "store watch": Sample(first_watched, {"events": ITEMS, "At": 120}),
    "store lease": Sample(at_store("grant_lease", 1.0), {"Lease": 123, "TtlMs": 1000}),
    "store lease renewed": Sample(at_store("renew_lease", 123), {"TtlMs": 1000}),
    "store lease ended": Sample(at_store("renew_lease", 123), {}, 404),
    "store put": Sample(at_store("put", {"a": b"x"}, 123), {"Revision": 120}),
    "store put refused": Sample(at_store("put", {"a": b"x"}, 123), {}, 404),
    "store remove": Sample(at_store("remove", ["a"]), {"Revision": 120}),
    "store lease end": Sample(at_store("end_lease", 123), {}),
}


@given("a server whose answers have neither a length nor chunks")
def cut_server(context):
    context.server = CutServer()
    context.add_cleanup(context.server.close)


@then('the answer to "{name}", cut after each of its bytes, is an error or means the same')
def cut_everywhere(context, name):
    sample, server = SAMPLES[name], context.server
    whole = sample.encode()

    async def ask(size: int) -> object:
        server.answer = whole[:size]
        return await sample.call(server.address)

    async def believed() -> list:
        meaning = await ask(len(whole))
        found = []
        for size in range(len(whole)):
            try:
                cut = await ask(size)
            except PapayacourseError:
                continue
            if cut != meaning:
                found.append((whole[:size], cut))
        return found

    wrong = asyncio.run(believed())
    assert not wrong, f"{len(wrong)} of {len(whole)} are believed: {wrong[0]}"
