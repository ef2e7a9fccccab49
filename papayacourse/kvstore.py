"""Client of the platform's key-value service; the only module that knows its wire format."""

import json
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import urlencode

from attrs import frozen

from papayacourse import jsontext
from papayacourse.answermemory import MAX_ANSWER_BYTES, AnswerMemory
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
MAX_NUMBER = 2**63 - 1  # of a revision
MAX_LIST_BYTES = 64 * 1024 * 1024
LIST_KINDS = frozenset({"list", "watch"})  # of which few are asked for at once

T = TypeVar("T")


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


def entry_from(raw: Any) -> Entry:
    """Decode an entry; a value that another program wrote and that is no text becomes its JSON."""
    value = raw.get("value") if isinstance(raw, dict) else None
    if value is not None and not isinstance(value, str):
        value = json.dumps(value)
    return Entry(member(raw, "key", str), value, member(raw, "revision", int))


def listing_from(raw: Any) -> Listing:
    """Decode a listing."""
    entries = tuple(map(entry_from, member(raw, "entries", list)))
    return Listing(entries, member(raw, "revision", int))


def swap_result_from(raw: Any) -> Written | SwapConflict:
    """Decode the outcome of a compare-and-swap."""
    if member(raw, "swapped", bool):
        return Written(member(raw, "revision", int))
    return SwapConflict(entry_from(member(raw, "current", dict)))


def grant_from(raw: Any) -> LeaseGrant:
    """Decode a lease."""
    return LeaseGrant(member(raw, "lease", str), float(member(raw, "ttl", int | float)))


def renewed_from(raw: Any) -> bool:
    """Decode the outcome of renewing a lease."""
    return member(raw, "renewed", bool)


def member(raw: Any, name: str, kind: type) -> Any:
    """Return a member of a JSON object; raise ValueError if there is none of this kind."""
    value = raw.get(name) if isinstance(raw, dict) else None
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ValueError(f"{name} is missing or has a wrong type")
    if isinstance(value, int) and not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{name} is out of range")
    return value


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
        self.memory = AnswerMemory()

    async def get(self, key: str) -> Entry:
        """Return a key's entry; revision 0 when it has never been written."""
        query = urlencode({"key": key})
        return await self._call(entry_from, "get", "GET", f"/kv/get?{query}")

    async def list(self, prefix: str) -> Listing:
        """Return all keys under a prefix."""
        query = urlencode({"prefix": prefix})
        return await self._call(listing_from, "list", "GET", f"/kv/list?{query}")

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
        idle = timeout + WATCH_SLACK
        return await self._call(listing_from, "watch", "GET", f"/kv/watch?{query}", idle=idle)

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
        return await self._call(swap_result_from, "swap", "POST", "/kv/swap", body)

    async def open_lease(self, ttl: float) -> LeaseGrant:
        """Open a lease of ``ttl`` seconds; keys written under it are deleted when it expires."""
        return await self._call(grant_from, "lease", "POST", "/kv/lease", {"ttl": ttl})

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""
        body = {"lease": lease}
        return await self._call(renewed_from, "lease", "POST", "/kv/lease/renew", body)

    async def revoke_lease(self, lease: str) -> None:
        """Revoke a lease."""
        body = {"lease": lease}
        await self._call(lambda _raw: None, "lease", "POST", "/kv/lease/revoke", body)

    async def _call(
        self,
        decode: Callable[[Any], T],
        kind: str,
        method: str,
        path: str,
        body: dict | None = None,
        idle: float = CALL_TIMEOUT,
    ) -> T:
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
                answer = await self._read(call, kind)
        except BackendUnreachable as error:
            self.count(kind, "unavailable")
            raise PlatformUnavailable(f"key-value service: {error}") from error
        except BackendError as error:
            self.count(kind, "lost")
            raise PlatformAnswerLost(f"key-value service: {error}") from error
        self.clock.record_date(call.headers.get("Date", ""), asked, self.clock.host())
        return self._answer(decode, kind, call.status, answer)

    async def _read(self, call: HttpCall, kind: str) -> bytes:
        """Return the body of an answer; all but lists share a limit of their memory."""
        if kind in LIST_KINDS:
            return await call.read(MAX_LIST_BYTES)
        with self.memory.reservation() as reservation:
            return await call.read(MAX_ANSWER_BYTES, reservation.reserve)

    def _answer(self, decode: Callable[[Any], T], kind: str, status: int, answer: bytes) -> T:
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
            found = decode(jsontext.parse(answer))
        except ValueError as error:
            # An unexpected answer doesn't prove that nothing was written.
            self.count(kind, "lost")
            raise PlatformAnswerLost(f"key-value service: {error}") from error
        self.count(kind, "ok")
        return found
