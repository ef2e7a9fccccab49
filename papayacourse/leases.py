"""Holds a lease of the key-value service and tracks its expiry."""

import asyncio
import secrets
import time
from collections.abc import Callable

from attrs import define

from papayacourse import logs
from papayacourse.exceptions import PlatformAnswerLost, PlatformError
from papayacourse.kvstore import Entry, KeyValueStore, Written

TTL = 8.0  # seconds
RENEW_INTERVAL = 2.0  # seconds


@define(eq=False)
class Lease:
    """A duty held by one daemon at a time, through a key written under a lease.

    Attributes
    ----------
    key : str
        Key of the duty.
    holder : str
        This daemon's name.
    fence : int
        The revision at which this daemon wrote the key: the fencing token of its orders.
    until : float
        When the lease expires, in seconds of the monotonic clock. It counts from before the
        call that opened or renewed the lease, so it is never later than the service's expiry.
    """

    store: KeyValueStore
    key: str
    holder: str
    clock: Callable[[], float] = time.monotonic
    lease: str = ""
    value: str = ""
    fence: int = 0
    until: float = float("-inf")

    def holds(self, margin: float = 0.0) -> bool:
        """Return True if the lease lasts for more than ``margin`` seconds from now."""
        return self.clock() + margin < self.until

    async def is_mine(self) -> bool:
        """Read the key; return True if it is still as this daemon wrote it."""
        entry = await self.store.get(self.key)
        return entry.value == self.value and entry.revision == self.fence

    async def acquire(self) -> bool:
        """Acquire the duty if no daemon holds it; raise PlatformError if that is unknown."""
        entry = await self.store.get(self.key)
        if entry.value is not None:
            return False
        asked = self.clock()
        granted = await self.store.open_lease(TTL)
        self.lease = granted.lease
        self.value = f"{self.holder} {secrets.token_hex(8)}"
        fence = await self._write(entry)
        if fence is None:
            return False
        self.fence = fence
        self.until = asked + granted.ttl
        logs.info("lease taken", key=self.key, fence=fence)
        return True

    async def _write(self, seen: Entry) -> int | None:
        try:
            result = await self.store.swap(self.key, self.value, seen.revision, self.lease)
        except PlatformAnswerLost:
            # The write may have taken effect; the nonce in the value shows whether it did.
            entry = await self.store.get(self.key)
            return entry.revision if entry.value == self.value else None
        return result.revision if isinstance(result, Written) else None

    async def renew(self) -> None:
        """Renew the lease; if the platform fails, the lease keeps its old expiry."""
        asked = self.clock()
        try:
            renewed = await self.store.renew_lease(self.lease)
        except PlatformError as error:
            logs.warning("lease not renewed", key=self.key, why=str(error))
            return
        if renewed:
            self.until = asked + TTL
        else:
            self.until = float("-inf")

    async def renew_until_lost(self) -> None:
        """Renew until the lease is lost."""
        while self.holds():
            await asyncio.sleep(RENEW_INTERVAL)
            await self.renew()
        logs.info("lease lost", key=self.key, fence=self.fence)

    async def release(self) -> None:
        """Release the duty and revoke its lease."""
        if not self.holds():
            return
        self.until = float("-inf")
        try:
            await self.store.revoke_lease(self.lease)
        except PlatformError as error:
            logs.warning("lease not released", key=self.key, why=str(error))
