"""Steps about heads whose status HTTP does not have."""

import asyncio
import contextlib
import time

from behave import then, when
from endless_steps import BALANCES
from routed_steps import fleet_of

from papayacourse.exceptions import BackendLinkLost, BackendUnanswered
from papayacourse.httpcall import HttpCall
from papayacourse.types import Address
from standins.fleet import call
from tests.callers import bearer

PLAN = {"X_Model": "m", "X_Token_Counts": "100,5"}
ODD = (0, 1, 99, 101, 600, 601, 700, 999)
FINAL = (200, 201, 204, 299, 304, 404, 418, 499, 500, 503, 599)
BODIES = (
    b"\r\n",
    b"Content-Length: 2\r\n\r\nok",
    b"Content-Length: 9999999\r\n\r\nok",
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
)
CALL_TIME = 5.0  # seconds
AT_ONCE = 2.0  # seconds
LENGTHLESS = (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", b"HTTP/1.1 199 Odd\r\n\r\n")


@when('"{name}" has fault "{fault}" and status "{status}"')
def set_status(context, name, fault, status):
    context.fleet.admin(name, {"fault": fault, "status": status})


@when('a {kind} is sent through "{name}", and timed')
def send_timed(context, kind, name):
    path, more = ("/book/1", {}) if kind == "call" else ("/plans/1", PLAN)
    began = time.monotonic()
    context.status = fleet_of(context).ask(name, "POST", path, b"x", **more).status
    context.seconds = time.monotonic() - began


@when('{count:d} repeatable calls are sent through "{name}", and timed')
def send_repeatable(context, count, name):
    context.answers = []
    for number in range(count):
        began = time.monotonic()
        answer = fleet_of(context).ask(name, "GET", f"/view/{number}")
        context.answers.append((answer, time.monotonic() - began))


@then('each of them is answered 200 by "{name}", within {limit:g} s')
def each_answered_by(context, name, limit):
    for answer, seconds in context.answers:
        assert answer.status == 200 and answer.json["instance"] == name, answer
        assert seconds < limit, seconds


@then('"{name}" has run at least one of them')
def has_run_one(context, name):
    assert fleet_of(context).runs(name), "the fault was not met"


@then("it is answered {status:d} within {limit:g} s")
def answered_within(context, status, limit):
    assert context.status == status, context.status
    assert context.seconds < limit, context.seconds


@when('a {method} whose service answers with status "{status}" is made through "{name}"')
def call_own(context, method, status, name):
    address, path = context.fleet.processes[name].http, f"{BALANCES}/7"
    began = time.monotonic()
    body = f"[status={status}]".encode()
    context.status = call(address, method, path, body, bearer("depots")).status
    context.seconds = time.monotonic() - began


@then("each head of an odd status, with a body or without an end, is refused at once")
def odd_refused(_context):
    wrong = asyncio.run(wrongly_taken())
    assert not wrong, wrong


@then("each final status of HTTP is read as it is, also after interim answers")
def final_read(_context):
    async def read_each():
        return [
            (status, found)
            for status in FINAL
            for interim in LENGTHLESS
            if (found := await read_status(interim + head(status, b"Content-Length: 0\r\n\r\n")))
            != status
        ]

    wrong = asyncio.run(read_each())
    assert not wrong, wrong


def head(status: int, rest: bytes) -> bytes:
    """Return an answer with a status."""
    return b"HTTP/1.1 %03d Odd\r\n" % status + rest


async def wrongly_taken() -> list:
    """Return the odd statuses and bodies that were not refused at once, and what came of them."""
    found = []
    for status in ODD:
        for rest in BODIES:
            began = time.monotonic()
            result = await read_status(head(status, rest))
            seconds = time.monotonic() - began
            is_lost = isinstance(result, BackendLinkLost)
            if not is_lost or isinstance(result, BackendUnanswered) or seconds > AT_ONCE:
                found.append((status, rest, result, seconds))
    return found


async def read_status(sent: bytes) -> int | Exception:
    """Return the status that is read of a server that sends these bytes and stays connected."""
    has_closed = asyncio.Event()

    async def answer(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()
        has_closed.set()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    try:
        async with HttpCall(address, "GET", "/", idle_timeout=CALL_TIME) as exchange:
            return exchange.status
    except BackendLinkLost as error:
        return error
    finally:
        await has_closed.wait()
        server.close()
