"""Steps about several engines that die at once."""

import asyncio
import socket
import time
from types import SimpleNamespace
from unittest.mock import AsyncMock

from behave import given, then, when

from papayacourse.ordering import EngineLost
from papayacourse.streams import Relay
from papayacourse.types import GenerationRequest
from standins.fleet import wait_until
from tests.callers import StreamingCaller, check_whole

CANCEL_LIMIT = 4.0  # seconds


def ask(context, number, length):
    """Start streaming one plan; prompts differ, so that none shares another's strikes."""
    address = context.fleet.processes["a"].http
    prompt = f"plan {number} [len={length}]"
    return StreamingCaller(address, "organisers", "planner", prompt).start()


@given("a plan of {length:d} tokens is whole")
def first_plan(context, length):
    def served() -> bool:
        caller = ask(context, "first", length)
        caller.join()
        return caller.error is None and not caller.broken and caller.done

    wait_until("a plan is served", served)


@when(
    "{engines:d} of the engines are killed and {count:d} plans of {length:d} tokens are sent "
    "in the {span:g} s after"
)
def kill_and_send(context, engines, count, length, span):
    names = sorted(name for name in context.fleet.processes if name.startswith("planner"))
    for name in names[:engines]:
        context.fleet.processes[name].kill()
    context.plan_length, context.plans = length, []
    for number in range(count):
        context.plans.append(ask(context, number, length))
        time.sleep(span / count)


@then("every plan sent is whole")
def every_plan_whole(context):
    for plan in context.plans:
        plan.join()
    errors = [p.error or p.broken for p in context.plans if p.error or p.broken or not p.done]
    assert not errors, f"{len(errors)} of {len(context.plans)} failed, first {errors[0]}"
    for plan in context.plans:
        check_whole(plan.texts, context.plan_length)


# Without processes.


@given("a generation that was {sent} an engine which refuses connections")
def generation_at(context, sent):
    context.was_sent = sent == "sent to"


@when("it is given up, and the engine takes connections again {seconds:g} s later")
def given_up(context, seconds):
    context.requests = []

    async def answer(reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        context.requests.append(head.partition(b"\r\n")[0].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        await writer.drain()
        writer.close()

    async def work() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        generation = GenerationRequest("s-1", "t", "planner", "a", "p", 1, 10, 1)
        view = SimpleNamespace(is_leaving=lambda _name: True, link_to=lambda _name: None)
        placement = SimpleNamespace(membership=view, end=AsyncMock())
        relay = Relay(generation, placement, 1.0, None, None, None)
        relay.engine, relay.address = "planner-1", f"127.0.0.1:{port}"
        relay.maybe_sent = relay.maybe_ran = context.was_sent
        try:
            async for _ in relay._read_stream():
                pass
        except EngineLost as error:
            await relay._handle_engine_loss(error)
        await asyncio.sleep(seconds)
        async with await asyncio.start_server(answer, "127.0.0.1", port):
            await asyncio.sleep(CANCEL_LIMIT)

    asyncio.run(work())


@then("within {_:g} s the engine is told {times} to cancel the generation")
def told_to_cancel(context, _, times):
    expected = ["DELETE /streams/s-1 HTTP/1.1"] if times == "once" else []
    assert context.requests == expected, context.requests
