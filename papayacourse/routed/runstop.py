"""Stops a run on the engine whose stream was lost, before it continues on another engine.

Closing the connection is not enough: a silent connection delivers no close, and some engines work
on after one. Two engines would then work on the same run.
"""

import asyncio
import time

from attrs import define, field, frozen

from papayacourse import logs
from papayacourse.exceptions import (
    BackendError,
    BackendLinkLost,
    BackendPaused,
    BackendProtocolError,
    BackendRefused,
    BackendUnreachable,
)
from papayacourse.httpcall import connect
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.migration.standby import Standby
from papayacourse.routed.seams import CopyResult
from papayacourse.routed.stoporders import StopOrders
from papayacourse.types import Address, Host

STOP_TIMEOUT = 2.5  # seconds
ANSWER_DELAY = 0.5  # seconds without an answer after which the engine is probed
RETRY_PAUSE = 0.1  # seconds between orders that the engine has refused
NO_SUCH_RUN = 404  # HTTP status


@frozen
class RunCopied:
    """The engine has stopped the run and copied it; it continues at the standby."""

    standby: Standby


@frozen
class RunEnded:
    """The engine does not have the run any more."""


@frozen
class EngineLost:
    """The engine could not be reached: it may have ended, or be cut off and work on."""

    why: str


@frozen
class OrderLost:
    """The engine accepted the order and did not answer it; it may work on."""

    why: str


@frozen
class RunContinues:
    """The engine can be reached, but did not stop the run."""

    why: str


StopResult = RunCopied | RunEnded | EngineLost | OrderLost | RunContinues


@define(eq=False)
class RunStop:
    """Stops one run.

    Attributes
    ----------
    engine : Host
        The engine that may still work on the run.
    target : Host
        The engine to copy to whatever the run has produced since its last copy.
    lock : asyncio.Lock
        Held while an engine copies the run, since the engine refuses a concurrent copy.
    orders : StopOrders
        All orders to stop the run.
    """

    fleet: FleetView
    engine: Host
    run_id: str
    target: Host
    lock: asyncio.Lock
    orders: StopOrders = field(factory=StopOrders)
    began: float = field(factory=time.monotonic)

    async def run(self) -> StopResult:
        """Stop the run; returns what is known of it within ``STOP_TIMEOUT``."""
        order = self.fleet.tasks.spawn(self._order())
        try:
            await asyncio.wait([order], timeout=ANSWER_DELAY)
            if not order.done():
                await self._probe(order)
        finally:
            if not order.done():
                # Left to run: an engine that was frozen carries it out when it continues.
                order.add_done_callback(self._use_late_result)
        result = order.result() if order.done() else OrderLost("no answer in time")
        self._log(result)
        return result

    async def _probe(self, order: asyncio.Task[StopResult]) -> None:
        """Wait for the order's answer for as long as the engine answers other calls."""
        try:
            await self.fleet.engine_calls.runs(self.engine)
        except BackendRefused as error:
            logs.info("report refused", engine=self.engine.name, why=str(error))
        except BackendError as error:
            logs.info("engine does not answer", engine=self.engine.name, why=str(error))
            return
        left = self.began + STOP_TIMEOUT - time.monotonic()
        await asyncio.wait([order], timeout=max(0.0, left))

    async def _order(self) -> StopResult:
        """Order the engine to stop the run, until it has answered or cannot be reached."""
        async with self.lock:
            result = await self.order_once()
            while isinstance(result, OrderLost | RunContinues) and not self._is_late():
                await asyncio.sleep(RETRY_PAUSE)
                result = await self.order_once()
        return result

    def _is_late(self) -> bool:
        return time.monotonic() - self.began > STOP_TIMEOUT - ANSWER_DELAY

    async def order_once(self) -> StopResult:
        """Order the engine to stop the run; returns what its answer shows."""
        calls = self.fleet.engine_calls
        try:
            copied = await self.orders.order(calls, self.engine, self.run_id, self.target)
        except BackendPaused as error:
            return await self._try_connecting(str(error))
        except BackendRefused as error:
            return RunEnded() if error.status == NO_SUCH_RUN else RunContinues(str(error))
        except BackendProtocolError as error:
            return RunContinues(str(error))
        except BackendUnreachable as error:
            return EngineLost(str(error))
        except BackendLinkLost as error:
            return OrderLost(str(error))
        return RunCopied(self._standby(copied))

    async def _try_connecting(self, why: str) -> StopResult:
        """Return whether an engine that may not be called now has ended."""
        try:
            stream = await connect(Address.parse(self.engine.address), ANSWER_DELAY)
        except BackendUnreachable as error:
            return EngineLost(str(error))
        stream.close()
        return RunContinues(why)

    def _standby(self, copied: CopyResult) -> Standby:
        """Return where the run continues: at the target, or where it was if nothing arrived."""
        host = self.target if copied.complete else self.engine
        return Standby(host, self.engine.address, copied.handle)

    def _use_late_result(self, order: asyncio.Task[StopResult]) -> None:
        """Record that the run has ended, and free a copy that came too late to be used."""
        if order.cancelled() or order.exception() is not None:
            return
        self._log(order.result())
        match order.result():
            case RunCopied(standby):
                self.orders.unproven.discard(self.engine.name)
                self.fleet.tasks.spawn(self.fleet.drop_copy(self.engine, standby.handle))
            case RunEnded():
                self.orders.unproven.discard(self.engine.name)
            case _:
                pass

    def _log(self, result: StopResult) -> None:
        logs.info(
            "run stop", request=self.run_id, engine=self.engine.name, target=self.target.name,
            outcome=type(result).__name__, why=getattr(result, "why", ""),
            seconds=round(time.monotonic() - self.began, 3),
        )  # fmt: skip
