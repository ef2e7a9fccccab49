"""Steps about streams that ended with their connections, without processes."""

import asyncio
import contextlib
import socket
import time
from types import SimpleNamespace

from attrs import define, field
from behave import given, then, when
from routedmoves_steps import Fleet, engine

from papayacourse.exceptions import (
    BackendAnswerLost,
    BackendError,
    BackendGone,
    BackendNoRoom,
    BackendRefused,
    BackendUnanswered,
)
from papayacourse.routed.closedends import ClosedEnds
from papayacourse.routed.document import EngineCapacity
from papayacourse.routed.generation import Generation
from papayacourse.routed.migration.failover import Failover
from papayacourse.routed.migration.moving import Move
from papayacourse.routed.migration.standby import Standby
from papayacourse.routed.seams import CopyResult, EngineRuns, RunState
from papayacourse.tasks import BackgroundTasks
from papayacourse.types import Host, HostKind

RUN = "run"
REPORT_TIMEOUT = 1.0  # seconds
ORDER_TIMEOUT = 2.5  # seconds
LONG_WAIT = 15.0  # seconds

has_run = EngineRuns(None, (RunState(RUN, 100),))
lacks_run = EngineRuns(None, (RunState("another", 100),))
REPORTS = {
    "does not have the run any more": [lacks_run],
    "still reports the run for a while": [has_run, has_run, lacks_run],
    "reports the run on and on": [has_run],
    "has started anew": [EngineRuns(None, (), is_same_start=False)],
    "has ended": [BackendGone("nobody listens")],
    "refuses to report, and accepts others": [BackendNoRoom(503, "/report")],
    "is frozen": [BackendUnanswered("no report")],
}  # what its reports are, the last again and again


@define(eq=False)
class Caller:
    """A request whose caller waits for some time."""

    seconds: float = LONG_WAIT
    call: object = None
    request_id: str = RUN

    def __attrs_post_init__(self) -> None:
        self.call = self

    def may_go_to(self, _host) -> bool:
        """Tell whether it may be sent to an engine."""
        return True

    def time_left(self) -> float:
        """Return how long the caller waits, in seconds."""
        return self.seconds


@define(eq=False)
class Calls:
    """The calls to the engine of the stream.

    Attributes
    ----------
    reports : list
        Its reports, the last again and again.
    order_answer : BackendError or None
        What an order to stop ends in, after `order_time` seconds; None for a copy.
    copy_time : float
        Seconds that a copy takes while the run goes on.
    """

    reports: list
    order_answer: BackendError | None = None
    order_time: float = 0.05
    copy_time: float = 0.0

    async def runs(self, _host) -> EngineRuns:
        """Report."""
        report = self.reports.pop(0) if len(self.reports) > 1 else self.reports[0]
        if isinstance(report, BackendUnanswered):
            await asyncio.sleep(REPORT_TIMEOUT)
        if isinstance(report, BackendError):
            raise report
        return report

    async def copy_run(self, _source, _run, _target, stop) -> CopyResult:
        """Copy the run, and stop it if ``stop``."""
        await asyncio.sleep(self.order_time if stop else self.copy_time)
        if stop and self.order_answer is not None:
            raise self.order_answer
        return CopyResult("h1", True)


@define(eq=False)
class Ended:
    """A stream that has ended with its connection, and what goes on beside its check.

    Attributes
    ----------
    beside : list of coroutine function
        Called with the generation as the check's time begins.
    outcome : str
        What the check found.
    seconds : float
        How long it took.
    moves_ended : int
        Number of moves that came to an end, whether the run was moved or not.
    """

    calls: Calls
    has_ended: bool = False
    caller: Caller = field(factory=Caller)
    beside: list = field(factory=list)
    outcome: str = ""
    seconds: float = 0.0
    moves_ended: int = 0

    async def check(self, delay: float) -> None:
        """Check the end of the stream after a delay."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            generation = self.generation(f"127.0.0.1:{listener.getsockname()[1]}")
            if self.has_ended:
                listener.close()
            tasks = [asyncio.create_task(work(generation)) for work in self.beside]
            await asyncio.sleep(delay)
            await self.check_now(generation)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def check_now(self, generation: Generation) -> None:
        """Check the end of the stream."""
        began = time.monotonic()
        try:
            await ClosedEnds().check(generation)
            self.outcome = "complete"
        except BackendAnswerLost:
            self.outcome = "broken"
        self.seconds = time.monotonic() - began

    async def leave(self, delay: float) -> None:
        """Check the end of the stream, and let the caller leave while that goes on."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            generation = self.generation(f"127.0.0.1:{listener.getsockname()[1]}")
            others = [asyncio.create_task(work(generation)) for work in self.beside]
            await asyncio.sleep(0)
            check = asyncio.create_task(self.check_now(generation))
            await asyncio.sleep(delay)
            check.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await check
            await asyncio.gather(*others)
            left = asyncio.all_tasks() - {asyncio.current_task()}
            self.outcome = self.outcome or ("tasks left" if left else "cancelled")

    def generation(self, address: str) -> Generation:
        """Return the stream's generation, at an engine with an address."""
        fleet, tasks = Fleet(), BackgroundTasks()
        fleet.engine_calls, fleet.tasks, fleet.is_listed = self.calls, tasks, lambda _name: True
        host = Host("leaver", HostKind.ENGINE, address, "lagos", "lagos")
        guard = SimpleNamespace(is_condemned=lambda: False)
        shape = EngineCapacity(24, 30_000, moves=True)
        call = SimpleNamespace(shorten_idle_timeout=lambda _seconds: None)
        return Generation(
            self.caller, None, fleet, None, shape, guard,
            engine=host, events=10, last_id="10", relayed=call,
        )  # fmt: skip

    async def move(self, generation: Generation) -> None:
        """Move the run to another engine, if it can be."""
        with contextlib.suppress(BackendError):
            await Move(generation.fleet, generation.engine, generation).run(
                [engine("near", "lagos")]
            )
        self.moves_ended += 1

    async def order(self, generation: Generation) -> None:
        """Order the engine to stop the run."""
        with contextlib.suppress(BackendError):
            await generation.stop_orders.order(
                self.calls, generation.engine, RUN, engine("near", "lagos")
            )


@given("the engine of a stream that has ended with its connection {does}")
def engine_of_stream(context, does):
    context.ended = Ended(Calls(list(REPORTS[does])), has_ended=does == "has ended")


@given("its caller waits for {seconds:g} s")
def caller_waits(context, seconds):
    context.ended.caller.seconds = seconds


@given("an order to stop the run is {answered}")
def order_answered(context, answered):
    ended, calls = context.ended, context.ended.calls
    how, _, later = answered.partition(" after ")
    calls.order_time = float(later.removesuffix(" s")) if later else 0.0
    calls.order_answer = {
        "not answered": BackendUnanswered("no answer"),
        "answered 404": BackendRefused(404, "/kv-move"),
        "carried out": None,
    }[how]
    ended.beside.append(ended.move if later else ended.order)
    context.delay = 0.05


@given("the run comes back to its engine, and an order from before is obeyed after {seconds:g} s")
def order_late(context, seconds):
    ended = context.ended
    ended.calls.order_time = seconds

    async def order_and_come_back(generation):
        order = asyncio.create_task(ended.order(generation))
        await asyncio.sleep(seconds / 2)
        generation.stop_orders.record_start(generation.engine.name)
        await order

    ended.beside.append(order_and_come_back)


@given("the run is moved after {begin:g} s, in {seconds:g} s")
def moved_after(context, begin, seconds):
    context.ended.calls.order_time = seconds
    begin_move(context, begin)


@given("the run is moved after {begin:g} s, and its first copy takes {seconds:g} s")
def copied_slowly(context, begin, seconds):
    context.ended.calls.copy_time = seconds
    context.ended.calls.order_answer = BackendRefused(404, "/kv-move")
    begin_move(context, begin)


def begin_move(context, begin):
    """Let the run be moved while its end is checked."""
    ended = context.ended

    async def move(generation):
        await asyncio.sleep(begin)
        await ended.move(generation)

    ended.beside.append(move)


@when("the end of the stream is checked")
def check_end(context):
    asyncio.run(context.ended.check(getattr(context, "delay", 0.0)))


@when("the end of the stream is checked after {seconds:g} s")
def check_end_later(context, seconds):
    asyncio.run(context.ended.check(seconds))


@when("the caller leaves {seconds:g} s after the check of the end began")
def leaves_in_check(context, seconds):
    asyncio.run(context.ended.leave(seconds))


@when("the run is stopped at its engine, since its stream is lost")
def stop_lost(context):
    async def work() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            generation = context.ended.generation(f"127.0.0.1:{listener.getsockname()[1]}")
            near = engine("near", "lagos")
            generation.copy = Standby(near, generation.engine.address, "h1")
            before = generation.can_move()
            lost = asyncio.create_task(Failover(generation).plan_resume("closed midway"))
            await asyncio.sleep(0.1)
            context.movable = (before, generation.can_move())
            lost.cancel()
            await asyncio.gather(lost, return_exceptions=True)

    context.ended.calls.order_time = 0.3
    asyncio.run(work())


@then("the run could be moved before, and can't be while it is stopped")
def not_movable(context):
    assert context.movable == (True, False), context.movable


@then("the stream counts as {kind} within {seconds:g} s")
def is_kind(context, kind, seconds):
    ended = context.ended
    assert ended.outcome == kind and ended.seconds < seconds, (ended.outcome, ended.seconds)


@then("the check has ended, and the move goes on to its end")
def check_cancelled(context):
    assert context.ended.outcome == "cancelled" and context.ended.moves_ended, context.ended
