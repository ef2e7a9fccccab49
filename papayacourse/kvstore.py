"""Client of the platform's key-value service; the only module that knows its wire format."""

import json
from collections.abc import Callable
from urllib.parse import urlencode

from attrs import frozen

from papayacourse import jsontext
from papayacourse.exceptions import (
    BackendError,
    BackendUnreachable,
    PlatformAnswerLost,
    PlatformCompacted,
    PlatformUnavailable,
)
from papayacourse.httpcall import HttpCall
from papayacourse.platformclock import PlatformClock
from papayacourse.types import Address

CALL_TIMEOUT = 3.0  # seconds
CONNECT_TIMEOUT = 1.0  # seconds
HTTP_GONE = 410
NO_EFFECT_STATUSES = frozenset({400, 404, 405, 410, 413, 429, 503})  # the request had no effect
WATCH_SLACK = 5.0  # seconds added to the watch's own timeout
MAX_LIST_BYTES = 64 * 1024 * 1024


@frozen
class Entry:
    """A key at one revision; the value of a deleted key is None."""

    key: str
    value: str | None
    revision: int


@frozen
class Listing:
    """The keys under a prefix, and the service's revision when they were read."""

    entries: tuple[Entry, ...]
    revision: int


@frozen
class Written:
    """A compare-and-swap took effect."""

    revision: int


@frozen
class SwapConflict:
    """A compare-and-swap found another revision; nothing was changed."""

    current: Entry


@frozen
class LeaseGrant:
    """A lease of the service."""

    lease: str
    ttl: float


def entry_from(raw: dict) -> Entry:
    """Decode an entry from JSON."""
    return Entry(raw["key"], raw.get("value"), raw["revision"])


class KeyValueStore:
    """A client of the key-value service.

    Parameters
    ----------
    address : Address
        Address of the service.
    count : callable, optional
        Called with each call's kind (``get``, ``list``, ``swap``, ``watch``, ``lease``) and
        result (``ok``, ``lost``, ``unavailable``), for metrics.
    """

    def __init__(self, address: Address, count: Callable[[str, str], None] = lambda *_: None):
        self.address = address
        self.count = count
        self.clock = PlatformClock()

    async def get(self, key: str) -> Entry:
        """Return a key's entry; revision 0 when it has never been written."""
        return entry_from(await self._call("get", "GET", f"/kv/get?{urlencode({'key': key})}"))

    async def list(self, prefix: str) -> Listing:
        """Return all keys under a prefix."""
        raw = await self._call("list", "GET", f"/kv/list?{urlencode({'prefix': prefix})}")
        return Listing(tuple(map(entry_from, raw["entries"])), raw["revision"])

    async def watch(self, prefix: str, after: int, timeout: float) -> Listing:
        """Wait for changes under a prefix.

        Parameters
        ----------
        prefix : str
            Key prefix to watch.
        after : int
            The last revision already seen.
        timeout : float
            Maximum wait, in seconds; returns an empty listing after it.
        """
        query = urlencode({"prefix": prefix, "after": after, "timeout": timeout})
        raw = await self._call("watch", "GET", f"/kv/watch?{query}", idle=timeout + WATCH_SLACK)
        return Listing(tuple(map(entry_from, raw["entries"])), raw["revision"])

    async def swap(
        self, key: str, value: str | None, expected: int, lease: str | None = None
    ) -> Written | SwapConflict:
        """Write a key if it is at the expected revision; a value of None deletes it.

        Raises
        ------
        PlatformUnavailable
            If the write certainly did not take effect.
        PlatformAnswerLost
            If the write may have taken effect; read the key back to find out.
        """
        body = {"key": key, "value": value, "expected": expected, "lease": lease}
        raw = await self._call("swap", "POST", "/kv/swap", body)
        if raw["swapped"]:
            return Written(raw["revision"])
        return SwapConflict(entry_from(raw["current"]))

    async def open_lease(self, ttl: float) -> LeaseGrant:
        """Open a lease of ``ttl`` seconds; keys written under it are deleted when it expires."""
        raw = await self._call("lease", "POST", "/kv/lease", {"ttl": ttl})
        return LeaseGrant(raw["lease"], raw["ttl"])

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""
        raw = await self._call("lease", "POST", "/kv/lease/renew", {"lease": lease})
        return raw["renewed"]

    async def revoke_lease(self, lease: str) -> None:
        """Revoke a lease."""
        await self._call("lease", "POST", "/kv/lease/revoke", {"lease": lease})

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: dict | None = None,
        idle: float = CALL_TIMEOUT,
    ) -> dict:
        data = json.dumps(body).encode() if body is not None else b""
        call = HttpCall(
            self.address,
            method,
            path,
            body=data,
            connect_timeout=CONNECT_TIMEOUT,
            idle_timeout=idle,
        )
        asked = self.clock.host()
        try:
            async with call:
                answer = await call.read(MAX_LIST_BYTES)
        except BackendUnreachable as error:
            self.count(kind, "unavailable")
            raise PlatformUnavailable(f"key-value service: {error}") from error
        except BackendError as error:
            self.count(kind, "lost")
            raise PlatformAnswerLost(f"key-value service: {error}") from error
        self.clock.record_date(call.headers.get("Date", ""), asked, self.clock.host())
        return self._answer(kind, call.status, answer)

    def _answer(self, kind: str, status: int, answer: bytes) -> dict:
        if kind == "watch" and status == HTTP_GONE:
            self.count(kind, "compacted")
            raise PlatformCompacted("key-value service: the watched revision is forgotten")
        if status in NO_EFFECT_STATUSES:
            self.count(kind, "unavailable")
            why = "out of service" if status == 503 else f"status {status}"
            raise PlatformUnavailable(f"key-value service: {why}")
        try:
            if status != 200:
                raise ValueError(f"status {status}")
            found = jsontext.parse(answer)
        except ValueError as error:
            # An unexpected answer doesn't prove that nothing was written.
            self.count(kind, "lost")
            raise PlatformAnswerLost(f"key-value service: {error}") from error
        self.count(kind, "ok")
        return found
