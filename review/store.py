"""A stand-in for the platform's store: items, ranges, watches, transactions, leases, a drill.

The path ``/admin`` is the test's: it writes as the operator and the engines do, takes a copy of
the store, and lets the store come back from that copy.
"""

import asyncio
import base64
import copy
import json
import sys
import time
from dataclasses import dataclass, field

from review.minihttp import Request, run_server

FIRST_REVISION = 1000
PAGE = 500  # items of a range
POLL = 0.01  # seconds between looks for changes, and for leases that have run out


@dataclass
class Item:
    """A value with its revisions and its lease; 0 for no lease."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class Lease:
    """A lease, and the seconds of the monotonic clock at which it ends."""

    ttl: float
    ends: float


@dataclass
class Content:
    """All that the store keeps; a copy of it is what the drill brings back."""

    revision: int = FIRST_REVISION
    items: dict[str, Item] = field(default_factory=dict)
    events: list[tuple[int, str, bytes | None, int]] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    next_lease: int = 1


class Store:
    """The store and its switches."""

    def __init__(self) -> None:
        self.content = Content()
        self.copied: Content | None = None
        self.era = 1
        self.away = False

    def put(self, key: str, value: bytes | None, lease: int = 0) -> None:
        """Write or remove a key at the current revision."""
        content = self.content
        if value is None:
            content.items.pop(key, None)
        else:
            before = content.items.get(key)
            created = before.created if before else content.revision
            content.items[key] = Item(value, content.revision, created, lease)
        content.events.append((content.revision, key, value, lease))

    def change(self, values: dict[str, bytes | None], lease: int = 0) -> int:
        """Write several keys at one new revision."""
        self.content.revision += 1
        for key, value in values.items():
            self.put(key, value, lease)
        return self.content.revision

    def end_lease(self, number: int) -> None:
        """End a lease and remove its keys."""
        self.content.leases.pop(number, None)
        keys = [key for key, item in self.content.items.items() if item.lease == number]
        if keys:
            self.change(dict.fromkeys(keys))

    async def expire_leases(self) -> None:
        """End the leases that have run out, for ever; they pause while the store is away."""
        while True:
            await asyncio.sleep(POLL)
            if self.away:
                for lease in self.content.leases.values():
                    lease.ends += POLL
                continue
            now = time.monotonic()
            leases = self.content.leases.items()
            for number in [number for number, lease in leases if lease.ends < now]:
                self.end_lease(number)

    async def drill(self, seconds: float) -> None:
        """Be away for a moment and come back from the copy."""
        self.away = True
        await asyncio.sleep(seconds)
        self.content = copy.deepcopy(self.copied)
        now = time.monotonic()
        for lease in self.content.leases.values():
            lease.ends = now + lease.ttl
        self.era += 1
        self.away = False

    # Calls.

    async def handle(self, request: Request) -> None:
        """Answer a call."""
        if request.path == "/admin":
            await request.answer(200, await self.administer(request.json()))
            return
        if self.away:
            request.writer.transport.abort()
            raise ConnectionAbortedError
        call = (request.method, request.path.split("/")[1])
        match call:
            case "GET", "kv-key":
                status, body = self.read_key(request.query["Key"])
            case "GET", "kv-range":
                status, body = self.read_range(request.query)
            case "GET", "kv-watch":
                status, body = await self.watch(request)
            case "POST", "kv-txn":
                status, body = self.transact(request.json())
            case "POST", "kv-lease":
                status, body = self.grant(request.json()["TtlMs"] / 1000)
            case "POST", "kv-keep":
                status, body = self.renew(int(request.path.split("/")[2]))
            case "DELETE", "kv-lease-end":
                self.end_lease(int(request.path.split("/")[2]))
                status, body = 200, {}
            case _:
                status, body = 400, {}
        await request.answer(status, body, {"Store-Era": str(self.era)})

    def read_key(self, key: str) -> tuple[int, dict]:
        """Return an item."""
        item = self.content.items.get(key)
        if item is None:
            return 404, {"At": self.content.revision}
        return 200, shown(key, item) | {"At": self.content.revision}

    def read_range(self, query: dict[str, str]) -> tuple[int, dict]:
        """Return a page of items."""
        prefix, after = query.get("Prefix", ""), query.get("After", "")
        keys = sorted(k for k in self.content.items if k.startswith(prefix) and k > after)
        rows = [shown(key, self.content.items[key]) for key in keys[:PAGE]]
        return 200, {"Items": rows, "HasMore": len(keys) > PAGE, "At": self.content.revision}

    async def watch(self, request: Request) -> tuple[int, dict]:
        """Wait for changes after a revision."""
        prefix, after = request.query.get("Prefix", ""), int(request.query["After"])
        deadline = time.monotonic() + int(request.query["WaitMs"]) / 1000
        if after > self.content.revision:
            return 410, {}
        while True:
            if self.away:
                request.writer.transport.abort()
                raise ConnectionAbortedError
            news = [e for e in self.content.events if e[0] > after and e[1].startswith(prefix)]
            if news or time.monotonic() > deadline:
                return 200, {"events": [shown_event(e) for e in news], "At": self.content.revision}
            await asyncio.sleep(POLL)

    def transact(self, body: dict) -> tuple[int, dict]:
        """Write and remove keys, all or none."""
        items = self.content.items
        for row in body.get("ExpectedRevision") or ():
            item = items.get(row["Key"])
            if (item.revision if item else 0) != row["Revision"]:
                return 412, {"Items": []}
        puts = body.get("Puts") or ()
        if any(put.get("Lease") and put["Lease"] not in self.content.leases for put in puts):
            return 404, {}
        self.content.revision += 1
        for put in puts:
            self.put(put["Key"], base64.b64decode(put["Value"]), put.get("Lease", 0))
        for key in body.get("Remove") or ():
            if key in items:
                self.put(key, None)
        return 200, {"Revision": self.content.revision}

    def grant(self, ttl: float) -> tuple[int, dict]:
        """Grant a lease."""
        number, self.content.next_lease = self.content.next_lease, self.content.next_lease + 1
        self.content.leases[number] = Lease(ttl, time.monotonic() + ttl)
        return 200, {"Lease": number, "TtlMs": int(ttl * 1000)}

    def renew(self, number: int) -> tuple[int, dict]:
        """Renew a lease."""
        lease = self.content.leases.get(number)
        if lease is None:
            return 404, {}
        lease.ends = time.monotonic() + lease.ttl
        return 200, {"TtlMs": int(lease.ttl * 1000)}

    async def administer(self, order: dict) -> dict:
        """Do what the test says."""
        for key, text in order.get("write", {}).items():
            self.change({key: None if text is None else text.encode()})
        if order.get("copy"):
            self.copied = copy.deepcopy(self.content)
        if "drill" in order:
            await self.drill(order["drill"])
        keys = {key: item.value.decode("latin1") for key, item in self.content.items.items()}
        return {"revision": self.content.revision, "era": self.era, "items": keys}


def shown(key: str, item: Item) -> dict:
    """Return an item as the store's answers hold it."""
    return {
        "Key": key, "Value": base64.b64encode(item.value).decode(), "Revision": item.revision,
        "Created": item.created, "Lease": item.lease,
    }  # fmt: skip


def shown_event(event: tuple[int, str, bytes | None, int]) -> dict:
    """Return a change as a watch tells it."""
    revision, key, value, lease = event
    if value is None:
        return {"Key": key, "Revision": revision, "Tombstone": True}
    return shown(key, Item(value, revision, revision, lease))


async def main() -> None:
    """Run the stand-in."""
    store = Store()
    await run_server(json.loads(sys.argv[1])["port"], store.handle, store.expire_leases())


if __name__ == "__main__":
    asyncio.run(main())
