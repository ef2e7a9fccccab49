"""Cancels generations without a reader to free their memory."""

import asyncio
import itertools
import time
from collections.abc import Iterator

from attrs import define, field

from papayacourse import engines, logs
from papayacourse.exceptions import BackendError
from papayacourse.ledger import EngineLedger, Stream, remove_stream
from papayacourse.retries import jittered_backoff

CANCEL_TIMEOUT = 30.0  # seconds during which a cancellation is retried
CANCEL_BACKOFF = 0.5  # seconds


async def cancel_with_retries(address: str, stream: str) -> bool:
    """Cancel a generation, retrying while the engine does not answer; return True on success."""
    deadline = time.monotonic() + CANCEL_TIMEOUT
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
    """Tracks the streams of one scheduler that no daemon reports any more.

    Attributes
    ----------
    unread_since : dict of str to float
        When each stream was first found without a reader, in seconds of the scheduler's clock.
    checking : dict of str to asyncio.Task
        The checks in progress, by stream.
    """

    unread_since: dict[str, float] = field(factory=dict)
    checking: dict[str, asyncio.Task] = field(factory=dict)

    def check(
        self, ledgers: list[EngineLedger], now: float, grace: float, window: float
    ) -> Iterator[str]:
        """Start checks of the unreported streams and yield the names of those streams.

        An unreported stream still takes memory, so it stays on its engine's ledger until it has
        ended, has been cancelled after the resume window, or is reported again.

        Parameters
        ----------
        ledgers : list of EngineLedger
            The engines of the service.
        now : float
            The current time, in seconds.
        grace : float
            How long a stream may go unreported, in seconds.
        window : float
            How long a stream without a reader is held, in seconds.
        """
        unreported = {
            name: (ledger, stream)
            for ledger in ledgers
            for name, stream in ledger.streams.items()
            if now - stream.seen_at > grace
        }
        for name in set(self.unread_since) - set(unreported):
            del self.unread_since[name]
        for name, (ledger, stream) in unreported.items():
            if name not in self.checking:
                work = self._check_stream(ledger, name, stream, now, window)
                task = asyncio.get_running_loop().create_task(work)
                self.checking[name] = task
                task.add_done_callback(lambda _, name=name: self.checking.pop(name, None))
                yield name

    async def _check_stream(
        self, ledger: EngineLedger, name: str, stream: Stream, now: float, window: float
    ) -> None:
        try:
            state = await engines.state(ledger.address, name)
        except BackendError as error:
            logs.info("orphaned stream check failed", stream=name, why=str(error))
            state = None if not ledger.usable else engines.StreamInfo(0, stream.generated, False)
        if state is None or state.ended:
            self._remove(ledger, name)
            return
        stream.generated = max(stream.generated, state.generated)
        if state.readers:
            self.unread_since.pop(name, None)
            return
        if now - self.unread_since.setdefault(name, now) < window:
            return
        logs.info("cancelling orphaned stream", stream=name, engine=ledger.name)
        if await engines.cancel(ledger.address, name):
            self._remove(ledger, name)

    def _remove(self, ledger: EngineLedger, name: str) -> None:
        if name in ledger.streams:
            remove_stream(ledger, name)
        self.unread_since.pop(name, None)
