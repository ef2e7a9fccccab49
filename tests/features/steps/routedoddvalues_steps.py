"""Steps about numbers and texts of callers and engines that cannot be used."""

import asyncio
import sys

from behave import given, then, when
from routed_steps import fleet_of

from papayacourse.exceptions import BackendProtocolError
from papayacourse.types import Host, HostKind
from tests.routedfleet import ROOT

sys.path.append(str(ROOT / "platform"))

from userplatform.enginecalls import HttpEngineCalls

STAND_INS = {"HUGE": str(10**400), "DEEP": "[" * 5000, "LONG": "9" * 5000}
PLAN = {"X-Model": "m", "X-Token-Counts": "100,5"}


def filled_in(text: str) -> str:
    """Return a text with the values that are too long for a table."""
    for name, value in STAND_INS.items():
        text = text.replace(name, value)
    return text


@when('POST "{path}" is sent through "{name}" with "{header}" as "{value}"')
def send_with(context, path, name, header, value):
    more = PLAN if path.startswith("/plans") else {}
    headers = more | {header: filled_in(value)}
    context.answer = fleet_of(context).ask(name, "POST", path, b"x", **headers)


@then("it has been answered")
def has_answered(context):
    assert context.answer.status, context.answer


@given("an engine that answers every call with {body}")
def odd_engine(context, body):
    text = filled_in(body).encode()
    context.odd_answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)


@then("its {call} is a protocol error")
def is_protocol_error(context, call):
    assert isinstance(asyncio.run(outcome(context, call)), BackendProtocolError)


async def outcome(context, call: str) -> Exception | None:
    """Return what a call to the engine raises."""

    async def answer(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(context.odd_answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    host = Host("e", HostKind.ENGINE, f"127.0.0.1:{port}", "lagos", "lagos")
    calls = HttpEngineCalls(lambda _host, _notice: None)
    try:
        match call:
            case "load":
                await calls.load(host)
            case "runs":
                await calls.runs(host)
            case "copy":
                await calls.copy_run(host, "run", host, stop=False)
    except Exception as error:
        return error
    finally:
        server.close()
    return None
