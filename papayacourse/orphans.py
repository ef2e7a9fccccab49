"""Cancels generations that nobody reads any more, so that their memory comes back."""

import asyncio
import itertools
import time
from collections.abc import Iterator

from attrs import define, field

from papayacourse import engines, logs
from papayacourse.exceptions import BackendError
from papayacourse.ledger import EngineLedger, Stream, take_off
from papayacourse.retries import jittered_backoff

CANCEL_LIMIT = 30.0  # seconds in which a cancellation is tried again
CANCEL_BACKOFF = 0.5  # seconds


async def cancel_with_retries(address: str, stream: str) -> bool:
    """Cancel a generation, trying again while the engine does not answer."""
    deadline = time.monotonic() + CANCEL_LIMIT
    for number in itertools.count(1):
        if await engines.cancel(address, stream):
            return True
        if time.monotonic() > deadline:
            break
        await asyncio.sleep(jittered_backoff(number, CANCEL_BACKOFF))
    logs.warning("generation not cancelled", stream=stream, engine=address)
    return False


@define(eq=False)
class Orphans:
    """The streams of one scheduler whose entry daemon no longer reports them.

    Attributes
    ----------
    since : dict of str to float
        When each was first found without a reader, in seconds of the scheduler's clock.
    checking : dict of str to asyncio.Task
        The checks in progress, by stream.
    """

    since: dict[str, float] = field(factory=dict)
    checking: dict[str, asyncio.Task] = field(factory=dict)

    def check(
        self, ledgers: list[EngineLedger], now: float, grace: float, window: float
    ) -> Iterator[str]:
        """Look after the streams not reported for a while; yield those looked at now.

        A stream stays on its engine's ledger, since its memory is still taken, until it has
        ended, has been cancelled after the resume window, or is reported again.

        Parameters
        ----------
        ledgers : list of EngineLedger
            The engines of the service.
        now, grace, window : float
            The time, how long a stream may go unreported, and how long one without a reader is
            held, all in seconds.
        """
        unreported = {
            name: (ledger, stream)
            for ledger in ledgers
            for name, stream in ledger.streams.items()
            if now - stream.seen_at > grace
        }
        for name in set(self.since) - set(unreported):
            del self.since[name]
        for name, (ledger, stream) in unreported.items():
            if name not in self.checking:
                work = self._look_after(ledger, name, stream, now, window)
                task = asyncio.get_running_loop().create_task(work)
                self.checking[name] = task
                task.add_done_callback(lambda _, name=name: self.checking.pop(name, None))
                yield name

    async def _look_after(
        self, ledger: EngineLedger, name: str, stream: Stream, now: float, window: float
    ) -> None:
        try:
            state = await engines.state(ledger.address, name)
        except BackendError as error:
            logs.info("orphan not reached", stream=name, why=str(error))
            state = None if not ledger.usable else engines.StreamInfo(0, stream.generated, False)
        if state is None or state.ended:
            self._drop(ledger, name)
            return
        stream.generated = max(stream.generated, state.generated)
        if state.readers:
            self.since.pop(name, None)
            return
        if now - self.since.setdefault(name, now) < window:
            return
        logs.info("orphan cancelled", stream=name, engine=ledger.name)
        if await engines.cancel(ledger.address, name):
            self._drop(ledger, name)

    def _drop(self, ledger: EngineLedger, name: str) -> None:
        if name in ledger.streams:
            take_off(ledger, name)
        self.since.pop(name, None)
