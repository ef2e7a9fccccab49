"""Steps about ordering an engine to stop a run, without processes."""

import asyncio
import socket
import time

from behave import given, then, when

from papayacourse.exceptions import (
    BackendGone,
    BackendPaused,
    BackendRefused,
    BackendUnanswered,
)
from papayacourse.routed.runstop import RunStop
from papayacourse.routed.seams import CopyResult, EngineRuns
from papayacourse.tasks import BackgroundTasks
from papayacourse.types import Host, HostKind

FROZEN = 60.0  # seconds
REPORT_TIMEOUT = 0.5  # seconds
SOON = 3.0  # seconds


class OddEngine:
    """The calls to one engine.

    Attributes
    ----------
    orders : list
        What each order ends in, the last again and again: an error, or None for a copy.
    delay : float
        Seconds until an order is answered.
    reports : bool
        Whether it answers other calls.
    ordered : int
        How often it has been ordered to stop a run.
    is_sent_again : bool
        Whether the run is sent to it once more.
    """

    def __init__(self, *orders: Exception | None, delay: float = 0.0, reports: bool = True):
        self.orders = list(orders)
        self.delay = delay
        self.reports = reports
        self.dropped = []
        self.ordered = 0
        self.is_sent_again = False

    async def copy_run(self, _source, _run, _target, stop) -> CopyResult:
        """Stop the run."""
        assert stop
        self.ordered += 1
        await asyncio.sleep(self.delay)
        error = self.orders.pop(0) if len(self.orders) > 1 else self.orders[0]
        if error is not None:
            raise error
        return CopyResult("h1", True)

    async def runs(self, _host) -> EngineRuns:
        """Report."""
        if not self.reports:
            await asyncio.sleep(REPORT_TIMEOUT)
            raise BackendUnanswered("no report")
        return EngineRuns(None, ())


class Fleet:
    """A daemon's view of the fleet."""

    def __init__(self, engine: OddEngine):
        self.engine_calls = engine
        self.tasks = BackgroundTasks()

    async def drop_copy(self, _source, handle) -> None:
        """Note that a copy is dropped."""
        self.engine_calls.dropped.append(handle)


refused = BackendRefused(500, "no")
paused = BackendPaused(503, "left alone")
ENGINES = {
    "stops it": lambda: OddEngine(None),
    "stops it after 1.5 s, and reports": lambda: OddEngine(None, delay=1.5),
    "stops it at the third order": lambda: OddEngine(refused, refused, None),
    "has no such run": lambda: OddEngine(BackendRefused(404, "no such run")),
    "refuses every order": lambda: OddEngine(refused),
    "has ended": lambda: OddEngine(BackendGone("nobody listens")),
    "is frozen": lambda: OddEngine(None, delay=FROZEN, reports=False),
    "is frozen for 1.6 s": lambda: OddEngine(None, delay=1.6, reports=False),
    "wants to be left alone": lambda: OddEngine(paused),
    "wanted to be left alone and has ended": lambda: OddEngine(paused),
    "is sent the run again": lambda: OddEngine(None),
}


@given("an engine that {does}")
def odd_engine(context, does):
    context.engine = ENGINES[does]()
    context.has_ended = does.endswith("has ended")
    context.engine.is_sent_again = does == "is sent the run again"


@when("it is ordered to stop a run")
def order_stop(context):
    async def work() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            if context.has_ended:
                listener.close()
            hosts = [Host(n, HostKind.ENGINE, address, "lagos", "lagos") for n in ("e1", "e2")]
            stop = RunStop(Fleet(context.engine), hosts[0], "run", hosts[1], asyncio.Lock())
            began = time.monotonic()
            context.outcome = await stop.run()
            context.took = time.monotonic() - began
            if context.engine.delay < FROZEN:
                await asyncio.sleep(max(0.0, context.engine.delay - context.took) + 0.1)

    asyncio.run(work())


@then('the outcome is "{outcome}" within {seconds:g} s')
def has_outcome(context, outcome, seconds):
    assert type(context.outcome).__name__ == outcome, context.outcome
    assert context.took < seconds, context.took


@then("its copy is dropped once it continues")
def copy_dropped(context):
    assert context.engine.dropped == ["h1"]
