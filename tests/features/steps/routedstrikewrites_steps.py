"""Steps about strikes that the platform's store refuses or takes."""

import asyncio
import base64
import json
import sys
from collections import Counter

from attrs import define, field
from behave import given, then, when
from deaths_steps import NoPeers

from papayacourse import logs, partblame
from papayacourse.callmessages import Strike
from papayacourse.exceptions import PlatformRefused
from papayacourse.quarantine import Quarantine
from papayacourse.routed.keptstrikes import StoredStrikes
from papayacourse.types import Address
from tests.routedfleet import ROOT

sys.path.append(str(ROOT / "platform"))

from userplatform.storeclient import StoreClient
from userplatform.storeview import StoreView, strike_key

ENGINE = "desk/e@1"
ANSWER = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"


@define(eq=False)
class RefusingStore:
    """A store that refuses writes of one request's strikes, and the daemon's part that writes.

    Attributes
    ----------
    asked : Counter
        The writes that came, by fingerprint.
    lines : list of dict
        What was logged.
    """

    refused: str
    status: int
    quarantine: Quarantine = field(factory=lambda: Quarantine(NoPeers()))
    asked: Counter = field(factory=Counter)
    lines: list[dict] = field(factory=list)
    engines: Counter = field(factory=Counter)
    kept: StoredStrikes | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.partition("content-length:")[2].split("\r\n")[0] or 0)
        body = json.loads(await reader.readexactly(length) or b"{}")
        status, answer = self.answer(body)
        writer.write(ANSWER % (status, len(answer), answer))
        await writer.drain()
        writer.close()

    def answer(self, body: dict) -> tuple[int, bytes]:
        """Return the status and the body of an answer."""
        if "Puts" not in body:
            return 200, b'{"Lease": 1, "TtlMs": 1000}'
        names = {put["Key"].split("/")[2] for put in body["Puts"]}
        self.asked.update(names)
        assert all(json.loads(base64.b64decode(put["Value"])) for put in body["Puts"])
        return (self.status, b"{}") if self.refused in names else (200, b'{"Revision": 2}')

    async def write(self, seconds: float) -> None:
        """Store what is to be stored, for some seconds."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        # An event belongs to the loop that has waited for it.
        self.kept.wake = asyncio.Event()
        self.kept.wake.set()
        self.kept.store = StoreView(StoreClient(address), {})
        async with server:
            task = asyncio.create_task(self.kept.run())
            await asyncio.sleep(seconds)
            task.cancel()

    def strike(self, name: str) -> None:
        """Record the deaths of two more engines against a request."""
        self.engines[name] += 2
        number = self.engines[name]
        for engine in (f"desk/e@{number}", f"desk/e@{number + 1}"):
            self.quarantine.strike(engine, (name,))


@given('a store that answers writes of strikes of "{name}" with {status:d}')
def refusing_store(context, name, status):
    store = RefusingStore(name, status)
    store.kept = StoredStrikes(None, store.quarantine)
    write = logs.write

    def record(_level, event, **fields):
        store.lines.append({"event": event} | fields)

    logs.write = record
    context.add_cleanup(setattr, logs, "write", write)
    context.refusing = store


@when('the strikes of "{one}" and then those of "{two}" are to be stored')
def strike_both(context, one, two):
    context.refusing.strike(one)
    context.refusing.strike(two)


@when('the strikes of "{name}" are to be stored again')
def strike_again(context, name):
    context.refusing.strike(name)


@then('within {seconds:g} s the store has been asked {wanted} for "{one}" and 1 time for "{two}"')
def store_asked(context, seconds, wanted, one, two):
    store = context.refusing
    asyncio.run(store.write(seconds))
    first = store.asked[one]
    assert (first == 1) if wanted == "1 time" else (first > 1), store.asked
    assert store.asked[two] == 1, store.asked


@then('the log says once that the strikes of "{name}" were refused')
def logged_once(context, name):
    lines = [line for line in context.refusing.lines if line["event"] == "strikes refused"]
    assert [line["fingerprint"] for line in lines] == [name], context.refusing.lines


@then("the key of a strike of a prompt of {parts:d} parts has at most {most:d} bytes")
def key_is_short(context, parts, most):
    fingerprint = partblame.encode("request", [f"part-{n}" for n in range(parts)])
    key = strike_key(Strike(fingerprint, ENGINE, 1.5))
    assert len(key.encode()) <= most, len(key)


@define(eq=False)
class FullStore:
    """A store that takes no more strikes, and removes those that it has."""

    era: int = 0
    removed: list[Strike] = field(factory=list)

    async def keep_strikes(self, _strikes: tuple[Strike, ...], _ttl: float) -> None:
        """Refuse a write."""
        raise PlatformRefused("too many")

    async def drop_strikes(self, strikes: tuple[Strike, ...]) -> None:
        """Remove strikes."""
        self.removed.extend(strikes)


@given('a store that has two strikes of "{name}" and refuses further ones for good')
def full_store(context, name):
    context.full = FullStore()
    context.kept = StoredStrikes(context.full, Quarantine(NoPeers()))
    old = [Strike(name, f"desk/old@{number}", 9e9) for number in (1, 2)]
    context.kept.stored = {(strike.fingerprint, strike.engine): strike for strike in old}
    context.kept.eras = dict.fromkeys(context.kept.stored, 0)


@when('two more strikes of "{name}" are to be stored, and then "{again}" is absolved')
def strike_and_absolve(context, name, again):
    quarantine = context.kept.quarantine

    async def work() -> None:
        for engine in ("desk/new@1", "desk/new@2"):
            quarantine.strike(engine, (name,))
        await context.kept.write()
        await quarantine.clear_suspect(again)
        await context.kept.write()

    asyncio.run(work())


@then('all strikes of "{name}" that the store had are removed')
def all_removed(context, name):
    removed = sorted(strike.engine for strike in context.full.removed)
    assert removed == ["desk/old@1", "desk/old@2"], removed
    assert not context.kept.strikes_stored_for(name)
