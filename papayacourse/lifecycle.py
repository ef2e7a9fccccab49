"""The planned stop: not ready first, duties to others, requests and records finished."""

import asyncio
import signal
import time

from attrs import define, field

from papayacourse import logs

DRAIN_LOG_INTERVAL = 10.0  # seconds between log lines about what a stop still waits for
EXIT_STOPPED = 0
EXIT_CUT_OFF = 3  # the stop's time ran out with requests in progress


@define(eq=False, slots=False)
class Lifecycle:
    """When a daemon stops, and in what order.

    Attributes
    ----------
    stopping : asyncio.Event
        Set once the daemon has been told to stop.
    """

    daemon: object
    stopping: asyncio.Event = field(factory=asyncio.Event)

    def listen_for_signals(self) -> None:
        """Stop gracefully on SIGTERM or SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, self.stop, number)

    def stop(self, number: signal.Signals) -> None:
        """Begin to stop; a second signal changes nothing and says so."""
        if self.stopping.is_set():
            # Whoever wants to cut requests off has SIGKILL for that.
            logs.warning(
                "already stopping",
                signal=signal.Signals(number).name,
                in_progress=self.daemon.busy.total(),
            )
            return
        self.stopping.set()

    async def drain(self) -> int:
        """Leave without cutting anyone off; returns the exit status."""
        daemon = self.daemon
        daemon.ready = False
        logs.info("stopping", in_progress=daemon.busy.total())
        began = time.monotonic()
        await daemon.membership.leave()
        moved = daemon.duties.hand_over()
        logs.info("duties handed over", queued=moved, seconds=time.monotonic() - began)
        await asyncio.sleep(daemon.config.stop_notice)
        daemon.server.drain_connections()
        try:
            async with asyncio.timeout(daemon.config.stop_timeout):
                await self._finish()
        except TimeoutError:
            logs.error(
                "stopped before every request had ended",
                cut_off=daemon.busy.total(),
                **daemon.unfinished(),
            )
            return EXIT_CUT_OFF
        logs.info("stopped", seconds=time.monotonic() - began)
        return EXIT_STOPPED

    async def _finish(self) -> None:
        """Wait for the requests in progress, streams held for callers, and unwritten records."""
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
