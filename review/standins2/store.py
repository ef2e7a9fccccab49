"""The platform's store: items with revisions, pages, watches that may be cut, leases, outages."""

import asyncio
import base64
import itertools
import json
import time
from urllib.parse import parse_qs

from web import answer, listen

PAGE_ITEMS = 500
MIN_TTL_MS = 1000
CUT_TRIES, CUT_PAUSE = 100, 0.005  # seconds between them


class Store:
    """A sound store; what goes wrong with it is set by its attributes.

    Attributes
    ----------
    down : str
        Empty, ``silent`` (no call is answered) or ``busy`` (503).
    """

    def __init__(self):
        self.items, self.events, self.revision = {}, [], 10
        self.leases, self.numbers = {}, itertools.count(1)
        self.changed, self.watching = asyncio.Condition(), set()
        self.down, self.calls, self.cuts = "", 0, 0

    async def start(self):
        """Listen; returns the address."""
        self.server, self.address = await listen(self.handle)
        self.expiry = asyncio.ensure_future(self._expire())
        return self.address

    async def write(self, key, value, lease=0):
        """Put a key, or remove it where the value is None."""
        if value is None and key not in self.items:
            return
        self.revision += 1
        if isinstance(value, dict | list):
            value = json.dumps(value).encode()
        if value is None:
            del self.items[key]
        else:
            self.items[key] = (value, self.revision, lease)
        self.events.append((self.revision, key, value, lease))
        async with self.changed:
            self.changed.notify_all()

    async def cut_watches(self):
        """Close the connections of the watches that are waiting, or of the next one that does."""
        for _ in range(CUT_TRIES):
            if self.watching:
                break
            await asyncio.sleep(CUT_PAUSE)
        for writer in list(self.watching):
            self.cuts += 1
            writer.close()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            for number, lease in list(self.leases.items()):
                if lease["ends"] < time.monotonic():
                    await self._end(number)

    async def _end(self, number):
        for key in self.leases.pop(number)["keys"]:
            await self.write(key, None)

    async def handle(self, request, reader, writer):
        """Answer one call."""
        self.calls += 1
        if self.down == "silent":
            await asyncio.sleep(3600)
        if self.down == "busy":
            await answer(writer, 503, {})
            return True
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        body = json.loads(request.body or b"{}")
        parts = request.path.strip("/").split("/")
        status, fields = await self._call(request.method, parts, query, body, reader, writer)
        await answer(writer, status, fields)
        return True

    async def _call(self, method, parts, query, body, reader, writer):
        match (method, *parts):
            case ("GET", "kv-key"):
                if query["Key"] not in self.items:
                    return 404, {}
                return 200, self._row(query["Key"]) | {"At": self.revision}
            case ("GET", "kv-range"):
                return 200, self._range(query.get("Prefix", ""), query.get("After", ""))
            case ("GET", "kv-watch"):
                return await self._watch(query, reader, writer)
            case ("POST", "kv-txn"):
                return await self._txn(body)
            case ("POST", "kv-lease"):
                ttl = max(body["TtlMs"], MIN_TTL_MS) / 1000
                number = next(self.numbers)
                ends = time.monotonic() + ttl
                self.leases[number] = {"ttl": ttl, "ends": ends, "keys": set()}
                return 200, {"Lease": number, "TtlMs": int(ttl * 1000)}
            case ("POST", "kv-keep", number):
                lease = self.leases.get(int(number))
                if lease is None:
                    return 404, {}
                lease["ends"] = time.monotonic() + lease["ttl"]
                return 200, {"TtlMs": int(lease["ttl"] * 1000)}
            case ("DELETE", "kv-lease-end", number):
                if int(number) in self.leases:
                    await self._end(int(number))
                return 200, {}
        return 400, {}

    def _row(self, key):
        value, revision, lease = self.items[key]
        text = base64.b64encode(value).decode()
        return {
            "Key": key,
            "Value": text,
            "Revision": revision,
            "Created": revision,
            "Lease": lease,
        }

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows = [self._row(key) for key in keys[:PAGE_ITEMS]]
        return {"Items": rows, "HasMore": len(keys) > PAGE_ITEMS, "At": self.revision}

    async def _watch(self, query, reader, writer):
        prefix, after = query.get("Prefix", ""), int(query["After"])
        if after > self.revision:
            return 410, {}
        ends = time.monotonic() + min(int(query.get("WaitMs", "0")), 30000) / 1000
        try:
            while True:
                found = [e for e in self.events if e[0] > after and e[1].startswith(prefix)]
                left = ends - time.monotonic()
                if found or left <= 0:
                    break
                self.watching.add(writer)
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
                    except TimeoutError:
                        pass
                if writer.is_closing():
                    raise ConnectionError
        finally:
            self.watching.discard(writer)
        rows = [
            {"Key": key, "Revision": revision, "Tombstone": True}
            if value is None
            else {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Revision": revision,
                "Created": revision,
                "Lease": lease,
            }
            for revision, key, value, lease in found
        ]
        return 200, {"events": rows, "At": found[-1][0] if found else after}

    async def _txn(self, body):
        for row in body.get("ExpectedRevision", []):
            now = self.items.get(row["Key"], (b"", 0, 0))[1]
            if now != row["Revision"]:
                keys = [r["Key"] for r in body["ExpectedRevision"] if r["Key"] in self.items]
                return 412, {"Items": [self._row(key) for key in keys]}
        puts, removes = body.get("Puts", []), body.get("Remove", [])
        for key in [put["Key"] for put in puts] + removes:
            if key.startswith(("op/", "servers/")):
                return 403, {}
        for put in puts:
            if put.get("Lease") and put["Lease"] not in self.leases:
                return 404, {}
        for put in puts:
            lease = put.get("Lease", 0)
            if lease:
                self.leases[lease]["keys"].add(put["Key"])
            await self.write(put["Key"], base64.b64decode(put["Value"]), lease)
        for key in removes:
            await self.write(key, None)
        return 200, {"Revision": self.revision}
