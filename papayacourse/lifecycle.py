"""Graceful shutdown: fail readiness, hand over duties, drain requests and write records."""

import asyncio
import signal
import time

from attrs import define, field

from papayacourse import logs
from papayacourse.listener import NEW_TIME
from papayacourse.stopdeadline import StopDeadline

DRAIN_LOG_INTERVAL = 10.0  # seconds between log lines on what a drain waits for
LAST_ANSWERS_TIME = 0.15  # seconds to write the final answers of requests that are ended
UNREAD = "unread requests"  # the kind of those whose headers have come and whose bodies have not
EXIT_STOPPED = 0
EXIT_DRAIN_TIMEOUT = 3  # stop_timeout expired with requests in progress


@define(eq=False, slots=False)
class Lifecycle:
    """Stops a daemon gracefully.

    Attributes
    ----------
    stopping : asyncio.Event
        Set once the daemon has been asked to stop.
    deadline : StopDeadline
        Bounds the time of requests once the daemon has been asked to stop.
    """

    daemon: object
    stopping: asyncio.Event = field(factory=asyncio.Event)
    deadline: StopDeadline = field(factory=StopDeadline)

    def takes_requests(self) -> bool:
        """Return True unless the notice of a stop is over."""
        if not self.stopping.is_set():
            return True
        return self.deadline.time_left() > self.daemon.config.stop_timeout

    def listen_for_signals(self) -> None:
        """Stop gracefully on SIGTERM or SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, self.stop, number)

    def stop(self, number: signal.Signals) -> None:
        """Start the shutdown; a second signal is only logged."""
        if self.stopping.is_set():
            # SIGKILL is there to abort the requests in progress.
            logs.warning(
                "already stopping",
                signal=signal.Signals(number).name,
                in_progress=self.daemon.busy.total(),
            )
            return
        config = self.daemon.config
        self.deadline.begin(config.stop_notice + config.stop_timeout)
        self.stopping.set()

    async def drain(self) -> int:
        """Drain the daemon without aborting requests; return the exit status."""
        daemon = self.daemon
        daemon.ready = False
        logs.info("stopping", in_progress=daemon.busy.total())
        began = time.monotonic()
        await daemon.membership.leave()
        moved = daemon.duties.hand_over()
        logs.info("duties handed over", queued=moved, seconds=time.monotonic() - began)
        await asyncio.sleep(daemon.config.stop_notice)
        daemon.server.drain_connections()
        if daemon.server.has_new_connections():
            await asyncio.sleep(NEW_TIME)
            daemon.server.close_idle()
        try:
            async with asyncio.timeout(self.deadline.time_left()):
                await self._finish()
        except TimeoutError:
            unread = daemon.busy[UNREAD]
            cut_off = daemon.busy.total() - unread
            unfinished = daemon.unfinished()
            logs.error(
                "stopped before every request had ended",
                cut_off=cut_off, unread=unread, **unfinished,
            )  # fmt: skip
            await self._end_requests()
            if cut_off or any(unfinished.values()):
                return EXIT_DRAIN_TIMEOUT
        logs.info("stopped", seconds=time.monotonic() - began)
        return EXIT_STOPPED

    async def _end_requests(self) -> None:
        """End the requests in progress, and let their final answers be written."""
        try:
            async with asyncio.timeout(LAST_ANSWERS_TIME):
                await self.deadline.expire()
                await self._finish()
        except TimeoutError:
            logs.error(
                "stopped before every final answer was written", cut_off=self.daemon.busy.total()
            )

    async def _finish(self) -> None:
        """Wait for requests in progress, streams held for callers and unwritten records."""
        daemon = self.daemon
        while daemon.busy.total() or daemon.pending():
            waits = [asyncio.ensure_future(daemon.idle.wait()), *daemon.pending()]
            if not daemon.busy.total():
                waits.pop(0).cancel()
            done, _ = await asyncio.wait(
                waits, timeout=DRAIN_LOG_INTERVAL, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                logs.info("still stopping", in_progress=daemon.busy.total(), **daemon.unfinished())
