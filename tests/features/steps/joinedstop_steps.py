"""Steps about callers that join a generation which a planned stop ends."""

import asyncio
import contextlib
from types import SimpleNamespace

from behave import given, then, when

from papayacourse.completions import GenerationHandler
from papayacourse.exceptions import BackendRefused, StopExpired
from papayacourse.ordering import EngineLost
from papayacourse.plaincalls import Plain
from papayacourse.streams import Relay

GENERATION = SimpleNamespace(stream="stream-1")
TIME_TO_JOIN = 0.05  # seconds


def relay() -> Relay:
    """Return a relay that has not been placed."""
    return Relay(GENERATION, None, 1.0, None, None, None)


@given("a relay of a generation whose start request has been sent")
def sent_relay(context):
    context.first = relay()
    context.first.maybe_sent = context.first.maybe_ran = True


async def read_joined(joined: Relay, first: Relay) -> None:
    """Read what a caller gets that joins another one."""
    async for _ in joined.join_relay(first):
        pass


async def join_until_stopped(joined: Relay, first: Relay) -> None:
    """Join a relay, and be cancelled before a token has come."""
    task = asyncio.create_task(read_joined(joined, first))
    await asyncio.sleep(TIME_TO_JOIN)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@when("a second caller joins it, and a planned stop ends both before its first token")
def join_and_stop(context):
    joined = relay()
    asyncio.run(join_until_stopped(joined, context.first))
    context.refusals = [final_answer(one) for one in (context.first, joined)]


def final_answer(of: Relay):
    """Return the answer at the end of a stop to the caller of a relay."""
    # The handler is not built as by tornado, which would need a connection.
    handler = object.__new__(GenerationHandler)
    handler.relay = of
    handler.request = SimpleNamespace(headers={})
    return handler.stop_refusal(StopExpired("the daemon stops", has_begun=True))


@when("an engine answers the start of a generation with {status:d}")
def start_refused(context, status):
    context.first = relay()
    with contextlib.suppress(EngineLost):
        context.first._handle_engine_refusal(BackendRefused(status, "refused"))


@then('the generation has run "{ran}"')
def has_run(context, ran):
    assert str(context.first._ran_status()) == ran, ran


@when("a call with an Idempotency-Key meets the end of a planned stop")
def keyed_call_stopped(context):
    handler = object.__new__(Plain)
    handler.request = SimpleNamespace(headers={"Idempotency-Key": "r-1"})
    context.refused = handler.stop_refusal(StopExpired("too little time is left"))


@then('it is refused with {status:d} and ran "{ran}"')
def refused_with(context, status, ran):
    assert (context.refused.status, str(context.refused.ran)) == (status, ran), context.refused


@then('both are answered 504 with ran "{ran}"')
def both_answered(context, ran):
    answers = [(refused.status, str(refused.ran)) for refused in context.refusals]
    assert answers == [(504, ran)] * 2, answers
