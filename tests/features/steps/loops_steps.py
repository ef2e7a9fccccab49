"""Steps about loops that fail and are started again."""

import asyncio
import contextlib
import time

from behave import given, then, when
from routed_steps import fleet_of

from papayacourse.tasks import SHORT_CANCEL_INTERVAL, BackgroundTasks, cancel_all, keep_running
from standins.fleet import wait_until
from tests.routedfleet import ROOT

SOON = 6.0  # seconds


class Failing:
    """A loop that fails so many times, and then ends or goes on."""

    def __init__(self, failures: int, ends: bool):
        self.failures = failures
        self.ends = ends
        self.starts = 0

    async def run(self) -> None:
        """Run."""
        self.starts += 1
        if self.starts <= self.failures:
            raise RuntimeError("injected")
        if not self.ends:
            await asyncio.Event().wait()


@given("a loop that fails {failures:d} times")
def failing_loop(context, failures):
    context.loop = Failing(failures, ends=True)


@given("a loop that fails {failures:d} times and never ends")
def endless_loop(context, failures):
    context.loop = Failing(failures, ends=False)


@when("it is kept running until it ends")
def run_to_end(context):
    asyncio.run(asyncio.wait_for(keep_running(context.loop.run), SOON))


@when("it is kept running for {seconds:g} s")
def run_for(context, seconds):
    async def work() -> None:
        task = BackgroundTasks().keep(context.loop.run)
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()
        await asyncio.sleep(seconds)

    asyncio.run(work())


@then("it was started {starts:d} times")
@then("it was started {starts:d} time")
def started(context, starts):
    assert context.loop.starts == starts, context.loop.starts


@given('daemons in which "{method}" fails once')
def failing_daemons(context, method):
    fleet_of(context).wrapper = [str(ROOT / "tests" / "failingparts.py"), method]


@then('the log of "{name}" names the loop that failed as "{loop}"')
def loop_named(context, name, loop):
    wait_until(
        f"the log names {loop}",
        lambda: any(line["loop"] == loop for line in fleet_of(context).lines(name, "loop failed")),
        SOON,
    )


@then('the load of "{engine}" goes on being read')
def load_read(context, engine):
    def reads() -> int:
        return context.fleet.counts(engine)["arrivals"].count("GET /report")

    before = reads()
    wait_until("its load is read twice more", lambda: reads() > before + 1, SOON)


async def lose_a_cancellation() -> None:
    """Run until the second cancellation."""
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.Event().wait()
    await asyncio.Event().wait()


@given("a loop that loses its first cancellation")
def losing_loop(context):
    context.loop = lose_a_cancellation


async def time_to_cancel(loop) -> float:
    """Return how long it takes to cancel a loop that runs, in seconds."""
    task = asyncio.create_task(loop())
    await asyncio.sleep(0)
    began = time.monotonic()
    await cancel_all([task], SHORT_CANCEL_INTERVAL)
    assert task.cancelled()
    return time.monotonic() - began


@when("it is cancelled as at the end of a routed daemon")
def cancel_loops(context):
    context.cancel_time = asyncio.run(time_to_cancel(context.loop))


@then("it has ended within {seconds:g} s")
def loops_ended(context, seconds):
    assert context.cancel_time < seconds, context.cancel_time
