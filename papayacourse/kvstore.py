"""Speaks to the platform's key-value service; the one module that knows its wire form."""

import json
from collections.abc import Callable
from urllib.parse import urlencode

from attrs import frozen

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
COMPACTED = 410
NOT_DONE = frozenset({400, 404, 405, 410, 413, 429, 503})  # statuses that say so
WATCH_SLACK = 5.0  # seconds past the watch's own time
MAX_LIST_BYTES = 64 * 1024 * 1024


@frozen
class Entry:
    """One key of the service at one revision; a deleted key has no value."""

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
    """A compare-and-swap found another value; nothing was changed."""

    current: Entry


@frozen
class LeaseGrant:
    """A lease of the service."""

    lease: str
    ttl: float


def entry_from(raw: dict) -> Entry:
    """Read an entry from its JSON form."""
    return Entry(raw["key"], raw.get("value"), raw["revision"])


class KeyValueStore:
    """A client of the key-value service.

    Parameters
    ----------
    address : Address
        Where the service listens.
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
            The keys of interest.
        after : int
            The revision already known.
        timeout : float
            The longest wait, in seconds; an empty listing then.
        """
        query = urlencode({"prefix": prefix, "after": after, "timeout": timeout})
        raw = await self._call("watch", "GET", f"/kv/watch?{query}", idle=timeout + WATCH_SLACK)
        return Listing(tuple(map(entry_from, raw["entries"])), raw["revision"])

    async def swap(
        self, key: str, value: str | None, expected: int, lease: str | None = None
    ) -> Written | SwapConflict:
        """Write a key if its revision is the expected one; None deletes it.

        Raises
        ------
        PlatformUnavailable
            When the write certainly did not take effect.
        PlatformAnswerLost
            When it may have; read the key back to know.
        """
        body = {"key": key, "value": value, "expected": expected, "lease": lease}
        raw = await self._call("swap", "POST", "/kv/swap", body)
        if raw["swapped"]:
            return Written(raw["revision"])
        return SwapConflict(entry_from(raw["current"]))

    async def open_lease(self, ttl: float) -> LeaseGrant:
        """Open a lease of some seconds; keys written under it go when it lapses."""
        raw = await self._call("lease", "POST", "/kv/lease", {"ttl": ttl})
        return LeaseGrant(raw["lease"], raw["ttl"])

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; False when it has lapsed."""
        raw = await self._call("lease", "POST", "/kv/lease/renew", {"lease": lease})
        return raw["renewed"]

    async def revoke_lease(self, lease: str) -> None:
        """End a lease at once."""
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
        self.clock.note(call.headers.get("Date", ""), asked, self.clock.host())
        return self._answer(kind, call.status, answer)

    def _answer(self, kind: str, status: int, answer: bytes) -> dict:
        if kind == "watch" and status == COMPACTED:
            self.count(kind, "compacted")
            raise PlatformCompacted("key-value service: the watched revision is forgotten")
        if status in NOT_DONE:
            self.count(kind, "unavailable")
            why = "out of service" if status == 503 else f"status {status}"
            raise PlatformUnavailable(f"key-value service: {why}")
        try:
            if status != 200:
                raise ValueError(f"status {status}")
            found = json.loads(answer)
        except ValueError as error:
            # Whatever this is, it does not say that nothing was written.
            self.count(kind, "lost")
            raise PlatformAnswerLost(f"key-value service: {error}") from error
        self.count(kind, "ok")
        return found
