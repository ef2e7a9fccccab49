"""The users' platform's store: items with revisions, ranges in pages, watches, leases, outages."""

import asyncio
import base64
import contextlib
import copy
import itertools
import json
import time
from collections import Counter

from attrs import define, field
from tornado.iostream import StreamClosedError

from standins.common import JsonHandler, parser, serve

LEASE_LOOK = 0.05  # seconds
MAX_KEY_BYTES = 200
NOISE_ROWS = 500  # items of a page, where pages do not end
NOISE_VALUE = b"n" * 3000


@define
class Lease:
    """A lease and its keys."""

    ttl: float
    expires: float
    keys: set[str] = field(factory=set)


@define(eq=False)
class PlatformStore:
    """The items, the history and the switches that make the store fail.

    Attributes
    ----------
    events : list
        Every change in order: (revision, key, value or None, lease).
    forgotten : int
        The revision up to which history has been forgotten.
    mode : str
        ``up``, ``down`` (calls are closed), ``silent`` (calls hang), ``busy`` (503) or
        ``endless`` (answers do not end).
    deaf : bool
        Whether watches hear nothing.
    page : int
        The items of one page of a range; few, so that readers meet pages.
    era : int
        How often the store has come back from an older copy, + 1; all answers name it.
    saved : dict
        The copy from which it comes back.
    odd : list
        What each page of a range and each answer to a watch with events holds besides, at its end.
    has_endless_pages : bool
        Whether each page of a range names another one, for ever, and holds keys of its own.
    pages : iterator of int
        The numbers of these pages.
    cuts : int
        How often all waiting watches have been cut.
    """

    items: dict[str, tuple[bytes, int, int]] = field(factory=dict)
    events: list = field(factory=list)
    revision: int = 10
    forgotten: int = 0
    leases: dict[int, Lease] = field(factory=dict)
    numbers: itertools.count = field(factory=lambda: itertools.count(1))
    changed: asyncio.Condition = field(factory=asyncio.Condition)
    counts: Counter = field(factory=Counter)
    mode: str = "up"
    deaf: bool = False
    page: int = 3
    era: int = 1
    saved: dict = field(factory=dict)
    odd: list = field(factory=list)
    has_endless_pages: bool = False
    pages: itertools.count = field(factory=itertools.count)
    cuts: int = 0

    async def write(self, key: str, value: bytes | None, lease: int = 0) -> int:
        """Put or remove a key."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision, lease)
        self.events.append((self.revision, key, value, lease))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def run(self) -> None:
        """End leases that have run out, for ever."""
        while True:
            await asyncio.sleep(LEASE_LOOK)
            now = time.monotonic()
            for number in [n for n, lease in self.leases.items() if lease.expires < now]:
                await self.end(number)

    def save(self) -> None:
        """Take a copy of the content, to come back from."""
        names = ("items", "events", "revision", "forgotten", "leases", "numbers")
        self.saved = {name: copy.deepcopy(getattr(self, name)) for name in names}

    async def come_back(self, away: float) -> None:
        """Be away for some seconds and come back from the copy; 0 for a moment unseen."""
        if away:
            self.mode = "down"
            await asyncio.sleep(away)
        for name, value in copy.deepcopy(self.saved).items():
            setattr(self, name, value)
        now = time.monotonic()
        for lease in self.leases.values():
            lease.expires = now + lease.ttl
        self.era += 1
        self.mode = "up"

    async def end(self, number: int) -> None:
        """End a lease."""
        for key in self.leases.pop(number).keys:
            await self.write(key, None)


def shown(key: str, value: bytes | None, revision: int, lease: int) -> dict:
    """Return an item as the store answers it."""
    if value is None:
        return {"Key": key, "Revision": revision, "Tombstone": True}
    text = base64.b64encode(value).decode()
    return {"Key": key, "Value": text, "Revision": revision, "Created": revision, "Lease": lease}


def endless_page(prefix: str, number: int, revision: int) -> dict:
    """Return a page of keys that no other page holds, which names a further page."""
    keys = [f"{prefix}noise-{number:09d}-{row:04d}" for row in range(NOISE_ROWS)]
    rows = [shown(key, NOISE_VALUE, revision, 0) for key in keys]
    return {"Items": rows, "HasMore": True, "At": revision}


class Call(JsonHandler):
    """What all calls share: the switches."""

    async def prepare(self) -> None:
        """Fail as the switches say."""
        store = self.standin
        store.counts[self.request.path.split("/")[1]] += 1
        self.set_header("Store-Era", str(store.era))
        if store.mode == "silent":
            await asyncio.sleep(3600)
        if store.mode == "endless":
            await self.answer_for_ever()
        if store.mode == "down":
            self.request.connection.stream.close()
            self._finished = True
        if store.mode == "busy":
            self.set_status(503)
            self.finish()

    async def answer_for_ever(self) -> None:
        """Write a list without end, until the other side closes."""
        self._finished = True
        stream = self.request.connection.stream
        with contextlib.suppress(StreamClosedError):
            await stream.write(b'HTTP/1.1 200 OK\r\n\r\n{"Items": [')
            while True:
                await stream.write(b'{"Key": "servers/noise"},' * 1000)


class Key(Call):
    """``GET /kv-key``."""

    def get(self) -> None:
        """Return an item."""
        found = self.standin.items.get(self.get_argument("Key"))
        if found is None:
            self.set_status(404)
            self.finish({})
            return
        value, revision, lease = found
        answer = shown(self.get_argument("Key"), value, revision, lease)
        self.finish(answer | {"At": self.standin.revision})


class Range(Call):
    """``GET /kv-range``."""

    def get(self) -> None:
        """Return a page."""
        prefix, after = self.get_argument("Prefix"), self.get_argument("After", "")
        if self.standin.has_endless_pages:
            self.finish(endless_page(prefix, next(self.standin.pages), self.standin.revision))
            return
        keys = sorted(k for k in self.standin.items if k.startswith(prefix) and k > after)
        rows = [shown(key, *self.standin.items[key]) for key in keys[: self.standin.page]]
        more = len(keys) > self.standin.page
        self.finish(
            {"Items": [*rows, *self.standin.odd], "HasMore": more, "At": self.standin.revision}
        )


class Watch(Call):
    """``GET /kv-watch``."""

    async def get(self) -> None:
        """Wait for changes."""
        store, prefix = self.standin, self.get_argument("Prefix")
        after = int(self.get_argument("After"))
        deadline = time.monotonic() + int(self.get_argument("WaitMs")) / 1000
        cuts = store.cuts
        while True:
            if store.cuts > cuts:
                self.request.connection.stream.close()
                self._finished = True
                return
            if not store.forgotten <= after <= store.revision or store.mode != "up":
                self.set_status(410)
                self.finish({})
                return
            news = [e for e in store.events if e[0] > after and e[1].startswith(prefix)]
            if (news and not store.deaf) or time.monotonic() > deadline:
                break
            await asyncio.sleep(0.01)
        rows = [shown(key, value, revision, lease) for revision, key, value, lease in news]
        rows += store.odd if news else []
        self.finish({"events": rows, "At": news[-1][0] if news else after})


class Transaction(Call):
    """``POST /kv-txn``, without conditions."""

    async def post(self) -> None:
        """Write keys."""
        store, body = self.standin, self.body()
        if any(len(put["Key"].encode()) > MAX_KEY_BYTES for put in body["Puts"]):
            self.set_status(400)
            self.finish({})
            return
        for put in body["Puts"]:
            lease = put.get("Lease", 0)
            if lease and lease not in store.leases:
                self.set_status(404)
                self.finish({})
                return
            if lease:
                store.leases[lease].keys.add(put["Key"])
            await store.write(put["Key"], base64.b64decode(put["Value"]), lease)
        self.finish({"Revision": store.revision})


class Leases(Call):
    """``POST /kv-lease``, ``POST /kv-keep/ID`` and ``DELETE /kv-lease-end/ID``."""

    async def post(self, number: str = "") -> None:
        """Grant or renew a lease."""
        store = self.standin
        if number:
            lease = store.leases.get(int(number))
            if lease is None:
                self.set_status(404)
                self.finish({})
                return
            lease.expires = time.monotonic() + lease.ttl
            self.finish({"TtlMs": lease.ttl * 1000})
            return
        ttl = self.body()["TtlMs"] / 1000
        new = next(store.numbers)
        store.leases[new] = Lease(ttl, time.monotonic() + ttl)
        self.finish({"Lease": new, "TtlMs": ttl * 1000})

    async def delete(self, number: str) -> None:
        """End a lease."""
        if int(number) in self.standin.leases:
            await self.standin.end(int(number))
        self.finish({})


class Admin(JsonHandler):
    """``/admin``: what the operator and engines write, and the switches."""

    def get(self) -> None:
        """Return counts and keys."""
        store = self.standin
        keys = sorted(store.items)
        self.finish({"counts": store.counts, "keys": keys, "revision": store.revision})

    async def post(self) -> None:
        """Write keys (null removes) and set switches; the drill comes before, ``extra`` after."""
        body = self.body()
        if body.pop("save", False):
            self.standin.save()
        self.standin.cuts += body.pop("cut_watches", 0)
        if "come_back" in body:
            await self.standin.come_back(body.pop("come_back"))
        for key, value in body.pop("put", {}).items():
            text = value if isinstance(value, str) or value is None else json.dumps(value)
            await self.standin.write(key, None if text is None else text.encode())
        for number in range(body.pop("extra", 0)):
            await self.standin.write(f"op/extra-{number}", b"x")
        if body.pop("forget", False):
            self.standin.forgotten = self.standin.revision
            self.standin.events.clear()
        for name, value in body.items():
            setattr(self.standin, name, value)
        self.finish({})


def main() -> None:
    """Run the stand-in."""
    store = PlatformStore()
    shared = {"standin": store}
    routes = [
        (r"/kv-key", Key, shared),
        (r"/kv-range", Range, shared),
        (r"/kv-watch", Watch, shared),
        (r"/kv-txn", Transaction, shared),
        (r"/kv-lease", Leases, shared),
        (r"/kv-keep/(\d+)", Leases, shared),
        (r"/kv-lease-end/(\d+)", Leases, shared),
        (r"/admin", Admin, shared),
    ]
    serve(parser(__doc__).parse_args(), routes, store.run())


if __name__ == "__main__":
    main()
