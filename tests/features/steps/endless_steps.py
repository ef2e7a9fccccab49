"""Steps about servers whose bytes do not end."""

import asyncio
import contextlib
import http.client
import threading
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when
from routed_steps import fleet_of
from routedcrashes_steps import PATHS
from routedparts_steps import Clock

from papayacourse.engines import EngineStream, load
from papayacourse.eventprogress import EventProgress
from papayacourse.exceptions import (
    BackendError,
    BackendProtocolError,
    BackendRefused,
    PlatformAnswerLost,
)
from papayacourse.kvstore import KeyValueStore
from papayacourse.types import Address, GenerationRequest
from standins.fleet import call, wait_until
from tests.callers import bearer

BALANCES = "/services/deposit-ledger/balances"
MEGABYTE = 1024  # kilobytes
SOON = 5.0  # seconds
PLAN = {"X_Model": "m", "X_Token_Counts": "100,5"}
NOISE = b"n" * 65536


def peak_memory(context, name) -> float:
    """Return a process's peak resident memory, in megabytes."""
    status = Path(f"/proc/{context.fleet.processes[name].popen.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / MEGABYTE


@when('"{name}" sends a piece each {pause:g} s')
def set_pause(context, name, pause):
    context.fleet.admin(name, {"noise_pause": pause})


@when('"{name}" reports with fault "{fault}" and a piece each {pause:g} s')
def set_report_fault(context, name, fault, pause):
    context.fleet.admin(name, {"report_fault": fault, "noise_pause": pause})


@when('a {kind} of {count:d} events is asked for through "{name}" by a caller that waits {wait:g} s')  # noqa: E501  # fmt: skip
def ask_and_wait(context, kind, count, name, wait):
    routed = fleet_of(context)
    headers = routed.headers(X_Time_Remaining=str(int(wait * 1000)))
    if kind == "plan":
        headers |= {"X-Model": "m", "X-Token-Counts": f"1000,{count}"}
    context.status, context.whole = 0, False

    def ask():
        try:
            answer = call(routed.address(name), "POST", PATHS[kind], b"x", headers)
            context.status, context.whole = answer.status, True
        except (OSError, http.client.HTTPException):
            context.whole = False

    context.began = time.monotonic()
    context.asking = threading.Thread(target=ask, daemon=True)
    context.asking.start()


@then("it has ended within {limit:g} s, and not as a whole answer")
def has_ended(context, limit):
    context.asking.join(context.began + limit - time.monotonic())
    assert not context.asking.is_alive(), "it goes on"
    assert not context.whole or context.status >= 500, context.status


@then('"{name}" has no open run soon')
def no_open_run(context, name):
    wait_until(
        "its connections are closed",
        lambda: all(run["end"] for run in fleet_of(context).runs(name)),
        SOON,
    )


@then('the peak memory of "{name}" is under {limit:g} MB')
def memory_under(context, name, limit):
    peak = peak_memory(context, name)
    assert peak < limit, peak


@when('{count:d} calls of "{path}" are made at once through "{name}"')
def many_calls(context, count, path, name):
    routed = fleet_of(context)
    with ThreadPoolExecutor(count) as pool:
        asked = [pool.submit(routed.ask, name, "POST", path, b"x") for _ in range(count)]
    context.statuses = [one.result().status for one in asked]


@then("no call was answered 200")
def none_served(context):
    assert 200 not in context.statuses, context.statuses


@then('reports are still asked of "{name}" {seconds:g} s later')
def still_asked(context, name, seconds):
    time.sleep(seconds)
    before = context.fleet.counts(name)["arrivals"].count("GET /report")
    wait_until(
        "another report is asked for",
        lambda: context.fleet.counts(name)["arrivals"].count("GET /report") > before,
        SOON,
    )


# The parts, without processes.


@given("a stream whose engine may send bytes for {patience:g} s without a new event")
def make_noise(context, patience):
    context.clock = Clock()
    context.event_progress = EventProgress(patience, context.clock)


@then("it may send {size:d} bytes over {seconds:g} s before its first event")
def before_first(context, size, seconds):
    for _ in range(10):
        context.clock.now += seconds / 10
        context.event_progress.record_data(size // 10, False)


@when("an event comes")
def event_comes(context):
    context.event_progress.record_data(100, True)


@then("it may pause for {seconds:g} s, and complete the next event in three pieces")
def pause_and_go_on(context, seconds):
    context.clock.now += seconds
    for has_event in (False, False, True):
        context.event_progress.record_data(10, has_event)
        context.clock.now += 0.5


@then("bytes that bring no event for {seconds:g} s end it")
def noise_ends(context, seconds):
    context.event_progress.record_data(1, False)
    context.clock.now += seconds
    try:
        context.event_progress.record_data(1, False)
    except BackendProtocolError:
        return
    raise AssertionError("it goes on")


@given("an engine of the own protocol that sends comments without end")
def own_engine(context):
    async def serve_noise(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        with contextlib.suppress(OSError):
            while True:
                writer.write(b": noise\n\n" * 100)
                await writer.drain()

    context.serve_noise = serve_noise


@then("a stream from it is given up within {seconds:g} s")
def given_up(context, seconds):
    async def read():
        async with await asyncio.start_server(context.serve_noise, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            request = GenerationRequest("s", "t", "planner", "x", "p", 10, 10, 0)
            async with asyncio.timeout(seconds):
                async with EngineStream(f"127.0.0.1:{port}", request) as stream:
                    async for _ in stream.batches():
                        raise AssertionError("an event came")

    try:
        asyncio.run(read())
    except BackendProtocolError:
        return
    raise AssertionError("it was not given up")


@when('{count:d} repeatable calls whose answers do not end are made at once through "{name}"')
def endless_calls(context, count, name):
    address = context.fleet.processes[name].http
    with ThreadPoolExecutor(count) as pool:
        context.answers = list(
            pool.map(
                lambda number: call(
                    address, "PUT", f"{BALANCES}/{number}", b"[endless]", bearer("depots")
                ),
                range(count),
            )
        )


@then('each of them is answered {status:d} "{reason}"')
def each_answered(context, status, reason):
    found = {(answer.status, answer.json["reason"]) for answer in context.answers}
    assert found == {(status, reason)}, found


@when("the store has pages without end, and has forgotten its history")
def make_pages_endless(context):
    context.fleet.admin("store", {"has_endless_pages": True, "put": {"op/new": "x"}})
    context.fleet.admin("store", {"forget": True, "put": {"op/new": "y"}})
    context.ranges = context.fleet.counts("store")["counts"]["kv-range"]


@when("the store answers without end")
def make_answers_endless(context):
    context.fleet.admin("store", {"mode": "endless"})


@then('calls are served through "{name}" for {seconds:g} s')
def served_meanwhile(context, name, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        answer = fleet_of(context).ask(name, "POST", "/book/1", b"x")
        assert answer.status == 200, answer
        time.sleep(0.2)


@then("the store has been asked for such pages")
def pages_asked(context):
    asked = context.fleet.counts("store")["counts"]["kv-range"] - context.ranges
    assert asked > 5, asked


@when('the store is sound again, and lists an engine "{engine}" of "{service}"')
def sound_again(context, engine, service):
    context.fleet.admin("store", {"has_endless_pages": False, "mode": "up"})
    fleet_of(context).engine(engine, service, "lagos")
    context.engine = engine


@then('"{name}" learns of it soon')
def learns(context, name):
    wait_until(
        "the new engine is asked for reports",
        lambda: "GET /report" in context.fleet.counts(context.engine)["arrivals"],
        4 * SOON,
    )


@given("a server that answers with status {status:d} and a text without end")
@given("an engine of the own protocol that refuses with status {status:d} and a text without end")
def refusing_engine(context, status):
    async def refuse(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %d Odd\r\n\r\n" % status)
        with contextlib.suppress(OSError):
            while True:
                writer.write(NOISE)
                await writer.drain()

    context.refuse = refuse


@when("{count:d} streams from it are opened at once")
def open_streams(context, count):
    async def open_one(address):
        request = GenerationRequest("s", "t", "planner", "x", "p", 10, 10, 0)
        async with EngineStream(address, request):
            return

    ask_at_once(context, count, open_one)


@when("its load is asked for by {count:d} at once")
def ask_loads(context, count):
    ask_at_once(context, count, load)


@when("{count:d} writes to it as to a key-value service are made at once")
def write_keys(context, count):
    stores = []

    async def write_one(address):
        stores.append(KeyValueStore(Address.parse(address)))
        return await stores[0].swap("key", "value", 0)

    ask_at_once(context, count, write_one)


@then("the outcome of each of them is unknown")
def all_unknown(context):
    wrong = [found for found in context.results if not isinstance(found, PlatformAnswerLost)]
    assert not wrong, wrong


def ask_at_once(context, count, ask):
    """Ask the engine several times at once, and note the results and the memory they took."""

    async def ask_all():
        async with await asyncio.start_server(context.refuse, "127.0.0.1", 0) as server:
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            asked = (ask(address) for _ in range(count))
            return await asyncio.gather(*asked, return_exceptions=True)

    tracemalloc.start()
    try:
        context.results = asyncio.run(ask_all())
        context.peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@then("none of them has an answer")
def none_answered(context):
    assert all(isinstance(result, BackendError) for result in context.results), context.results


@then("each of them is refused with status {status:d}")
def each_refused(context, status):
    wrong = [
        error
        for error in context.results
        if not isinstance(error, BackendRefused) or error.status != status
    ]
    assert not wrong, wrong


@then("they took less than {limit:g} MB of memory at once")
def took_less(context, limit):
    assert context.peak < limit * MEGABYTE * 1024, context.peak


def ask_timed(context, daemon, is_plan):
    """Make a call or a plan; return its status, 0 without a whole answer, and its seconds."""
    began = time.monotonic()
    path, more = ("/plans/1", PLAN) if is_plan else ("/book/1", {})
    try:
        status = fleet_of(context).ask(daemon, "POST", path, b"x", **more).status
    except (OSError, http.client.HTTPException):
        status = 0
    return status, time.monotonic() - began


def ask_beside(context, count, daemon, is_plan):
    """Ask many times at once of one kind, and one after another of the other until they end."""
    context.faulty, context.sound = [], []
    with ThreadPoolExecutor(count) as pool:
        asked = [pool.submit(ask_timed, context, daemon, is_plan) for _ in range(count)]
        while not context.sound or not all(each.done() for each in asked):
            context.sound.append(ask_timed(context, daemon, not is_plan))
    context.faulty = [each.result() for each in asked]


@when('{count:d} calls of "/book/1" are made at once through "{name}", while plans are served')
def calls_beside_plans(context, count, name):
    ask_beside(context, count, name, False)


@when('{count:d} plans are made at once through "{name}", while calls are served')
def plans_beside_calls(context, count, name):
    ask_beside(context, count, name, True)


@then("each of these calls was answered {status:d}")
def faulty_answered(context, status):
    assert {found for found, _ in context.faulty} == {status}, context.faulty


@then("none of these plans was answered 200")
def faulty_not_served(context):
    assert 200 not in {found for found, _ in context.faulty}, context.faulty


@then("each of these {kind} was answered 200 within {limit:g} s")
def sound_answered(context, kind, limit):
    wrong = [one for one in context.sound if one[0] != 200 or one[1] > limit]
    assert not wrong, wrong


@when('"{first}" and "{second}" answer orders with fault "{fault}"')
def set_move_fault(context, first, second, fault):
    for name in (first, second):
        context.fleet.admin(name, {"move_fault": fault})


@when('{count:d} plans of {events:d} events are asked for through "{name}", and "{engine}" says that it leaves')  # noqa: E501  # fmt: skip
def plans_beside_leaving(context, count, events, name, engine):
    routed = fleet_of(context)

    def ask(_number):
        more = PLAN | {"X_Token_Counts": f"100,{events}"}
        try:
            return routed.ask(name, "POST", "/plans/1", b"x", **more).status
        except (OSError, http.client.HTTPException):
            return 0

    with ThreadPoolExecutor(count) as pool:
        asked = [pool.submit(ask, number) for number in range(count)]
        time.sleep(1.0)
        context.fleet.admin(engine, {"state": "draining"})
        context.ended = [each.result() for each in asked]


@then("each of these plans was whole")
def plans_whole(context):
    assert set(context.ended) == {200}, context.ended


@then('orders have been sent to "{name}"')
def orders_sent(context, name):
    assert "POST /kv-move" in context.fleet.counts(name)["arrivals"]
