"""Keeps the strikes of likely culprits in the platform's store.

There they outlive the daemons, and reach failure domains that hear only the store.
"""

import asyncio
import random

from attrs import define, field

from papayacourse import logs
from papayacourse.callmessages import Strike, StrikesUpdate
from papayacourse.exceptions import PlatformError
from papayacourse.quarantine import STRIKE_LIFETIME, Quarantine
from papayacourse.routed.seams import Store

KEPT_FROM = 2  # strikes; fewer are common, and mostly those of bystanders
RETRY_PAUSE = 0.5  # seconds on average after the store could not be asked
MAX_WAITING = 200  # fingerprints to be written


@define(eq=False)
class KeptStrikes:
    """Writes this daemon's strikes into the store, and takes those that others have written.

    Attributes
    ----------
    waiting : dict of str to None
        The fingerprints whose strikes are to be written or removed, the oldest first.
    stored : dict of (str, str) to Strike
        What the store holds, as far as is known here, by fingerprint and engine.
    """

    store: Store
    quarantine: Quarantine
    waiting: dict[str, None] = field(factory=dict)
    stored: dict[tuple[str, str], Strike] = field(factory=dict)
    wake: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.quarantine.on_struck = self.struck
        self.quarantine.on_absolved = self.absolved

    # Queries.

    def stored_of(self, fingerprint: str) -> tuple[Strike, ...]:
        """Return the strikes of a request that the store holds."""
        return tuple(s for (request, _), s in self.stored.items() if request == fingerprint)

    # Commands.

    def struck(self, fingerprint: str) -> None:
        """Have the strikes of a request stored, once it has several."""
        if len(self.quarantine.strikes_of(fingerprint)) >= KEPT_FROM:
            self._write_soon(fingerprint)

    def absolved(self, fingerprint: str) -> None:
        """Have the strikes of a request removed from the store."""
        if self.stored_of(fingerprint):
            self._write_soon(fingerprint)

    def _write_soon(self, fingerprint: str) -> None:
        self.waiting[fingerprint] = None
        if len(self.waiting) > MAX_WAITING:
            oldest = next(iter(self.waiting))
            del self.waiting[oldest]
            logs.warning("strikes not stored", fingerprint=oldest, why="too many wait")
        self.wake.set()

    async def take(self, strikes: tuple[Strike, ...]) -> None:
        """Take all strikes that the store holds now."""
        now = {(strike.fingerprint, strike.engine): strike for strike in strikes}
        removed = {request for request, _ in self.stored.keys() - now.keys()}
        new = tuple(strike for key, strike in now.items() if key not in self.stored)
        self.stored = now
        for fingerprint in removed - {request for request, _ in now}:
            await self.quarantine.clear_suspect(fingerprint)
        if new:
            logs.info("strikes taken from the store", strikes=len(new))
            await self.quarantine.handle_strikes(None, StrikesUpdate(new))

    async def run(self) -> None:
        """Write what is to be written, for ever."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            await self.write()

    async def write(self) -> None:
        """Write what waits, trying again until the store has taken it."""
        while self.waiting:
            fingerprint = next(iter(self.waiting))
            del self.waiting[fingerprint]
            try:
                await self._write(fingerprint)
            except PlatformError as error:
                logs.info("strikes not stored", fingerprint=fingerprint, why=str(error))
                self.waiting.setdefault(fingerprint)
                await asyncio.sleep(RETRY_PAUSE * random.uniform(0.5, 1.5))

    async def _write(self, fingerprint: str) -> None:
        """Bring the store in line with what is known of one request."""
        known, stored = self.quarantine.strikes_of(fingerprint), self.stored_of(fingerprint)
        missing = tuple(strike for strike in known if strike not in stored)
        if missing:
            await self.store.keep_strikes(missing, STRIKE_LIFETIME)
            self.stored |= {(strike.fingerprint, strike.engine): strike for strike in missing}
            if not self.quarantine.strikes_of(fingerprint):
                # Absolved while they were on their way.
                self._write_soon(fingerprint)
        elif stored and not known:
            await self.store.drop_strikes(stored)
            for strike in stored:
                self.stored.pop((strike.fingerprint, strike.engine), None)
