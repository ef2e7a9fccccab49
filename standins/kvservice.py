"""The platform's key-value service: compare-and-swap, leases, long-poll watches, outages."""

import asyncio
import itertools
import time
from collections import Counter

from attrs import define, field

from standins.common import JsonHandler, parser, serve

MAX_VALUE_BYTES = 1 << 20


@define
class Lease:
    """A lease and the keys written under it."""

    ttl: float
    expires: float
    keys: set[str] = field(factory=set)


@define(eq=False)
class KvService:
    """The keys, and the switches that make it fail."""

    entries: dict[str, dict] = field(factory=dict)
    revision: int = 0
    leases: dict[str, Lease] = field(factory=dict)
    numbers: itertools.count = field(factory=lambda: itertools.count(1))
    changed: asyncio.Condition = field(factory=asyncio.Condition)
    counts: Counter = field(factory=Counter)
    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_prefix: str = ""
    compacted: int = 0
    lose_skip: int = 0
    hold_prefix: str = "/records"
    hold_skip: int = 0
    hold_before: bool = False
    hold_after: bool = False
    holding: int = 0

    async def hold(self, key: str, switch: str) -> None:
        """Keep a swap waiting for as long as a switch is set."""
        if self.hold_skip > 0 or not key.startswith(self.hold_prefix):
            return
        self.holding += 1
        async with self.changed:
            await self.changed.wait_for(lambda: not getattr(self, switch))
        self.holding -= 1

    def current(self, key: str) -> dict:
        """Return a key's entry."""
        return self.entries.get(key, {"key": key, "value": None, "revision": 0})

    def compact(self, keys: list[str]) -> None:
        """Forget how keys were deleted, and every revision before the present one."""
        self.revision += 1
        self.compacted = self.revision
        for key in keys:
            self.entries.pop(key, None)

    def under(self, prefix: str, after: int = 0) -> list[dict]:
        """Return the entries under a prefix that changed after a revision."""
        return [
            entry
            for key, entry in self.entries.items()
            if key.startswith(prefix) and entry["revision"] > after
        ]

    async def write(self, key: str, value: str | None) -> dict:
        """Write a key and wake the watches."""
        self.revision += 1
        self.entries[key] = {"key": key, "value": value, "revision": self.revision}
        async with self.changed:
            self.changed.notify_all()
        return self.entries[key]

    async def expire(self) -> None:
        """Let leases lapse, and delete the keys written under them."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for name, lease in list(self.leases.items()):
                if lease.expires <= now:
                    await self.drop(name)

    async def drop(self, name: str) -> None:
        """End a lease."""
        lease = self.leases.pop(name, None)
        for key in lease.keys if lease else ():
            await self.write(key, None)


class KvHandler(JsonHandler):
    """Counts each call, and fails those of an outage."""

    async def prepare(self) -> None:
        """Count the call; refuse it during an outage."""
        kind = self.request.path.removeprefix("/kv/")
        self.standin.counts[kind] += 1
        if self.standin.delay:
            await asyncio.sleep(self.standin.delay)
        if self.standin.outage:
            self.set_status(503)
            self.finish({"error": "outage"})


class Get(KvHandler):
    """Reads one key."""

    def get(self) -> None:
        """Answer with the entry."""
        self.finish(self.standin.current(self.get_argument("key")))


class List(KvHandler):
    """Reads the keys under a prefix."""

    def get(self) -> None:
        """Answer with the entries and the service's revision."""
        found = self.standin.under(self.get_argument("prefix"))
        self.finish({"entries": found, "revision": self.standin.revision})


class Watch(KvHandler):
    """Waits for changes under a prefix."""

    async def get(self) -> None:
        """Answer once something changed, or when the time is up."""
        prefix = self.get_argument("prefix")
        after = int(self.get_argument("after"))
        deadline = time.monotonic() + float(self.get_argument("timeout"))
        if after < self.standin.compacted:
            self.set_status(410)
            self.finish({"error": "compacted"})
            return
        found = self.standin.under(prefix, after)
        while not found and time.monotonic() < deadline and not self.standin.outage:
            try:
                async with self.standin.changed:
                    left = max(0.01, deadline - time.monotonic())
                    await asyncio.wait_for(self.standin.changed.wait(), min(left, 1.0))
            except TimeoutError:
                pass
            found = self.standin.under(prefix, after)
        if self.standin.outage:
            self.set_status(503)
        self.finish({"entries": found, "revision": self.standin.revision})


class Swap(KvHandler):
    """Writes a key if its revision is the expected one."""

    async def post(self) -> None:
        """Swap; the answer may be lost after the write, when a test asked for that."""
        body = self.body()
        kv, key = self.standin, body["key"]
        await kv.hold(key, "hold_before")
        current = kv.current(key)
        if body["value"] is not None and len(body["value"].encode()) > MAX_VALUE_BYTES:
            self.set_status(413)
            self.finish({"error": "value too large"})
            return
        lease = kv.leases.get(body["lease"]) if body.get("lease") else None
        if body.get("lease") and lease is None:
            self.set_status(410)
            self.finish({"error": "no such lease"})
            return
        if current["revision"] != body["expected"]:
            self.finish({"swapped": False, "current": current})
            return
        written = await kv.write(key, body["value"])
        if lease is not None:
            lease.keys.add(key)
        await kv.hold(key, "hold_after")
        if key.startswith(kv.hold_prefix):
            kv.hold_skip -= 1
        if kv.lose_answers and key.startswith(kv.lose_prefix):
            if kv.lose_skip > 0:
                kv.lose_skip -= 1
                self.finish({"swapped": True, "revision": written["revision"]})
                return
            kv.lose_answers -= 1
            self.request.connection.stream.close()
            return
        self.finish({"swapped": True, "revision": written["revision"]})


class OpenLease(KvHandler):
    """Opens a lease."""

    def post(self) -> None:
        """Answer with its name."""
        ttl = float(self.body()["ttl"])
        name = f"lease-{next(self.standin.numbers)}"
        self.standin.leases[name] = Lease(ttl, time.monotonic() + ttl)
        self.finish({"lease": name, "ttl": ttl})


class RenewLease(KvHandler):
    """Renews a lease."""

    def post(self) -> None:
        """Answer whether it was still there."""
        lease = self.standin.leases.get(self.body()["lease"])
        if lease is not None:
            lease.expires = time.monotonic() + lease.ttl
        self.finish({"renewed": lease is not None})


class RevokeLease(KvHandler):
    """Ends a lease."""

    async def post(self) -> None:
        """End it at once."""
        await self.standin.drop(self.body()["lease"])
        self.finish({})


class Admin(JsonHandler):
    """The switches and the counts, for tests."""

    def get(self) -> None:
        """Answer with the number of calls of each kind."""
        kv = self.standin
        self.finish({"counts": dict(kv.counts), "revision": kv.revision, "holding": kv.holding})

    async def post(self) -> None:
        """Set switches: outage, delay, lose_answers, lose_prefix, hold_…; compact keys away."""
        switches = self.body()
        if "compact" in switches:
            self.standin.compact(switches.pop("compact"))
        for name, value in switches.items():
            setattr(self.standin, name, value)
        async with self.standin.changed:
            self.standin.changed.notify_all()
        self.finish({})


def main() -> None:
    """Run the service."""
    options = parser("key-value service").parse_args()
    kv = KvService()
    shared = {"standin": kv}
    routes = [
        ("/kv/get", Get, shared),
        ("/kv/list", List, shared),
        ("/kv/watch", Watch, shared),
        ("/kv/swap", Swap, shared),
        ("/kv/lease", OpenLease, shared),
        ("/kv/lease/renew", RenewLease, shared),
        ("/kv/lease/revoke", RevokeLease, shared),
        ("/admin", Admin, shared),
    ]
    serve(options, routes, kv.expire())


if __name__ == "__main__":
    main()
