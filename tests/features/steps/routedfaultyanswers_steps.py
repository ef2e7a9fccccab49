"""Steps about answers of a faulty engine."""

import asyncio
import socket
import struct

from behave import then, when
from routed_steps import fleet_of

from papayacourse.exceptions import BackendError
from papayacourse.httpcall import HttpCall
from papayacourse.types import Address
from tests.steptext import names_in

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Signature: s\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
LENGTH = HEAD + b"Content-Length: 10\r\n\r\n0123456789"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n"
ANSWERS = (LENGTH, CHUNKED, INTERIM + LENGTH, INTERIM + CHUNKED, INTERIM + INTERIM + LENGTH)
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
ANSWER_TIMEOUT = 2.0  # seconds


@when('a call is sent through "{name}"')
def send_call(context, name):
    context.status = fleet_of(context).ask(name, "POST", "/book/1", b"x").status


@when('a plan of {count:d} events is sent through "{name}"')
def send_plan(context, count, name):
    headers = {"X_Model": "m", "X_Token_Counts": f"100,{count}"}
    answer = fleet_of(context).ask(name, "POST", "/plans/1", b"a plan", **headers)
    context.status = answer.status


@then('it ran once on "{engines}"')
def ran_once(context, engines):
    runs = [run for name in names_in(engines) for run in fleet_of(context).runs(name)]
    assert len(runs) == 1, runs


@then("each answer that is cut before its end fails, and each whole one does not")
def cut_anywhere(_context):
    wrong = asyncio.run(wrongly_read())
    assert not wrong, wrong


async def wrongly_read() -> list[tuple[bytes, bool]]:
    """Return the beginnings of answers, and whether a reset ended them, that were misread."""
    found = []
    for answer in ANSWERS:
        for end in range(len(answer) + 1):
            for is_reset in (False, True):
                is_whole = await reads_as_whole(answer[:end], is_reset)
                if is_whole and end < len(answer):
                    found.append((answer[:end], is_reset))
        assert await reads_as_whole(answer, False), answer
    return found


async def reads_as_whole(sent: bytes, is_reset: bool) -> bool:
    """Return True if a server that sends these bytes and closes is taken to have answered."""

    async def answer(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await writer.drain()
        if is_reset:
            link = writer.get_extra_info("socket")
            link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    try:
        async with HttpCall(address, "GET", "/", idle_timeout=ANSWER_TIMEOUT) as call:
            await call.read()
    except BackendError:
        return False
    finally:
        server.close()
    return True
