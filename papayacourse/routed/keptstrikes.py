"""Keeps the strikes of suspect requests in the platform's store.

There they survive restarts of daemons, and reach failure domains that only the store reaches.
"""

import asyncio
import random

from attrs import define, field

from papayacourse import logs, partblame
from papayacourse.callmessages import Strike, StrikesUpdate
from papayacourse.exceptions import PlatformError, PlatformRefused
from papayacourse.quarantine import STRIKE_LIFETIME, Quarantine
from papayacourse.routed.seams import Store

MIN_STORED_STRIKES = 2  # fewer are common, mostly of requests not at fault
RETRY_PAUSE = 0.5  # back-off in seconds, on average, after a failed write to the store
MAX_QUEUED = 200  # fingerprints queued for writing


@define(eq=False)
class StoredStrikes:
    """Writes this daemon's strikes to the store, and loads those that others wrote.

    Attributes
    ----------
    waiting : dict of str to None
        The queue of fingerprints whose strikes are to be written or removed, oldest first.
    stored : dict of (str, str) to Strike
        The strikes known to be in the store, by fingerprint and engine.
    eras : dict of (str, str) to int
        The store's era in which each of them was last known to be there.
    refused : dict of str to None
        The fingerprints whose strikes the store refused for good, oldest first.
    """

    store: Store
    quarantine: Quarantine
    waiting: dict[str, None] = field(factory=dict)
    stored: dict[tuple[str, str], Strike] = field(factory=dict)
    eras: dict[tuple[str, str], int] = field(factory=dict)
    refused: dict[str, None] = field(factory=dict)
    wake: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.quarantine.on_struck = self.struck
        self.quarantine.on_absolved = self.absolved

    # Queries.

    def strikes_stored_for(self, fingerprint: str) -> tuple[Strike, ...]:
        """Return the stored strikes of a request."""
        return tuple(s for (request, _), s in self.stored.items() if request == fingerprint)

    # Commands.

    def struck(self, fingerprint: str) -> None:
        """Queue the strikes of a request for writing, once it has enough.

        Those of a prompt's parts are written at once, since each request has its own.
        """
        enough = len(self.quarantine.strikes_of(fingerprint)) >= MIN_STORED_STRIKES
        if enough or partblame.decode(fingerprint):
            self._queue_write(fingerprint)

    def absolved(self, fingerprint: str) -> None:
        """Queue the removal of a request's strikes from the store."""
        if self.strikes_stored_for(fingerprint):
            # A store that took no more strikes may well remove those that it has.
            self.refused.pop(fingerprint, None)
            self._queue_write(fingerprint)

    def _queue_write(self, fingerprint: str) -> None:
        if fingerprint in self.refused:
            return
        self.waiting[fingerprint] = None
        if len(self.waiting) > MAX_QUEUED:
            oldest = next(iter(self.waiting))
            del self.waiting[oldest]
            logs.warning("strikes not stored", fingerprint=oldest, why="too many wait")
        self.wake.set()

    async def take(self, strikes: tuple[Strike, ...], era: int) -> None:
        """Update the quarantine to the complete set of strikes in the store.

        Strikes that are missing were removed by a daemon that absolved the request, unless the
        store has come back from an older copy: then it has lost them, and they are written again.

        Parameters
        ----------
        era : int
            The store's era in which the strikes were read.
        """
        now = {(strike.fingerprint, strike.engine): strike for strike in strikes}
        missing = self.stored.keys() - now.keys()
        lost = {request for request, engine in missing if self.eras[request, engine] != era}
        removed = {request for request, _ in missing} - {request for request, _ in now} - lost
        new = tuple(strike for key, strike in now.items() if key not in self.stored)
        self.stored, self.eras = now, dict.fromkeys(now, era)
        for fingerprint in removed:
            if partblame.decode(fingerprint):
                # They are only ever removed by expiring, which clears nobody.
                continue
            await self.quarantine.clear_suspect(fingerprint)
        if new:
            logs.info("strikes taken from the store", strikes=len(new))
            await self.quarantine.handle_strikes(None, StrikesUpdate(new))
        if lost:
            logs.warning("strikes lost by the store", fingerprints=sorted(lost), era=era)
        # An older copy also brings back strikes that an absolution had removed.
        absolved = {s.fingerprint for s in new if not self.quarantine.strikes_of(s.fingerprint)}
        for fingerprint in lost | absolved:
            self._queue_write(fingerprint)

    async def run(self) -> None:
        """Write queued changes to the store, forever."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            await self.write()

    async def write(self) -> None:
        """Write the queued changes, retrying until the store accepts or refuses them for good."""
        while self.waiting:
            fingerprint = next(iter(self.waiting))
            del self.waiting[fingerprint]
            try:
                await self._write(fingerprint)
            except PlatformRefused as error:
                logs.warning("strikes refused", fingerprint=fingerprint, why=str(error))
                self._record_refused(fingerprint)
            except PlatformError as error:
                logs.info("strikes not stored", fingerprint=fingerprint, why=str(error))
                self.waiting.setdefault(fingerprint)
                await asyncio.sleep(RETRY_PAUSE * random.uniform(0.5, 1.5))

    def _record_refused(self, fingerprint: str) -> None:
        """Write no more strikes of a request; they expire, and other daemons hear of them."""
        self.refused[fingerprint] = None
        if len(self.refused) > MAX_QUEUED:
            del self.refused[next(iter(self.refused))]

    async def _write(self, fingerprint: str) -> None:
        """Update the stored strikes of one request to those of the quarantine."""
        known, stored = (
            self.quarantine.strikes_of(fingerprint),
            self.strikes_stored_for(fingerprint),
        )
        missing = tuple(strike for strike in known if strike not in stored)
        if missing:
            era = self.store.era
            await self.store.keep_strikes(missing, STRIKE_LIFETIME)
            written = {(strike.fingerprint, strike.engine): strike for strike in missing}
            self.stored |= written
            self.eras |= dict.fromkeys(written, era)
            if not self.quarantine.strikes_of(fingerprint):
                # The request was absolved during the write.
                self._queue_write(fingerprint)
        elif stored and not known:
            await self.store.drop_strikes(stored)
            for strike in stored:
                self.stored.pop((strike.fingerprint, strike.engine), None)
                self.eras.pop((strike.fingerprint, strike.engine), None)
