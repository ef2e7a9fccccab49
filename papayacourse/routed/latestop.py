"""Stops a run that has gone on elsewhere, once its engine before can be reached again.

An engine that does not answer may be cut off from this daemon alone, and work on. It must be
stopped as soon as it can be reached: two engines would work on the same run, and the older run
holds a slot and memory for a caller who is served elsewhere.
"""

import asyncio
import time

from attrs import define, field

from papayacourse import logs
from papayacourse.routed.runstop import RunCopied, RunEnded, RunStop

FIRST_PAUSE = 0.1  # seconds until an order that stopped nothing is repeated
MAX_PAUSE = 2.0  # seconds


@define(eq=False)
class LateStop:
    """Orders one engine to stop a run, until an answer proves that it has ended.

    Attributes
    ----------
    stop : RunStop
        The orders of which none was answered in time.
    deadline : float
        When the engine ends the run by itself, at the caller's time limit, in seconds of the
        monotonic clock.
    may_begin : asyncio.Event
        Set once no order can take away the copy that the run goes on from: the next engine has
        it, or the run goes on nowhere.
    outcome : str
        What ended it; empty before.
    """

    stop: RunStop
    deadline: float
    may_begin: asyncio.Event = field(factory=asyncio.Event)
    outcome: str = ""

    def __attrs_post_init__(self) -> None:
        self.stop.orders.unproven.add(self.stop.engine.name)

    async def run(self) -> None:
        """Order the engine until the run has ended there."""
        engine, orders, began = self.stop.engine, self.stop.orders, time.monotonic()
        try:
            async with asyncio.timeout(max(0.0, self.deadline - began)):
                self.outcome = await self._stop()
        except TimeoutError:
            self.outcome = "caller's time over"
        finally:
            orders.unproven.discard(engine.name)
            logs.info(
                "late run stop", request=self.stop.run_id, engine=engine.name, outcome=self.outcome,
                seconds=round(time.monotonic() - began, 3),
            )  # fmt: skip

    async def _stop(self) -> str:
        """Return what proved that the run has ended on the engine."""
        engine, fleet, pause = self.stop.engine, self.stop.fleet, FIRST_PAUSE
        await self.may_begin.wait()
        while engine.name in self.stop.orders.unproven:
            await fleet.returns.wait_for(engine)
            result = await self.stop.order_once()
            match result:
                case RunCopied(standby):
                    fleet.tasks.spawn(fleet.drop_copy(engine, standby.handle))
                    return type(result).__name__
                case RunEnded():
                    return type(result).__name__
            await asyncio.sleep(pause)
            pause = min(MAX_PAUSE, 2 * pause)
        return "an earlier order, or a new run there"
