"""Steps about timeouts of calls that expire while the event loop is busy."""

import asyncio
import time
from contextlib import closing

from behave import given, then, when

from papayacourse.httpcall import HttpCall
from papayacourse.types import Address

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
BUSY_TIME = 0.3  # seconds
IDLE_TIMEOUT = 10.0  # seconds


class BusyAtHead(HttpCall):
    """A call whose event loop is busy once the head of the answer has come."""

    def headers_received(self, start_line, headers) -> None:
        """Store the status and headers, and keep the loop busy."""
        super().headers_received(start_line, headers)
        time.sleep(BUSY_TIME)


@given("a server that answers with a head after {seconds:g} s, and then falls silent")
def silent_server(context, seconds):
    async def serve(_, writer):
        with closing(writer):
            await asyncio.sleep(seconds)
            writer.write(HEAD)
            await asyncio.sleep(IDLE_TIMEOUT)

    context.serve = serve


@when("a call with a timeout of {seconds:g} s finds its event loop busy until {event} has come")
def call_while_busy(context, seconds, event):
    context.error, context.took = asyncio.run(call(context.serve, seconds, event))


async def call(serve, seconds: float, event: str) -> tuple[Exception | None, float]:
    """Return how a call to a server ended, and after how many seconds."""
    listener = await asyncio.start_server(serve, "127.0.0.1")
    address = Address(*listener.sockets[0].getsockname())
    kind = HttpCall
    match event:
        case "the connection":
            # The kernel completes the connection meanwhile.
            asyncio.get_running_loop().call_soon(time.sleep, BUSY_TIME)
        case "the head":
            kind = BusyAtHead
    error = None
    began = time.monotonic()
    async with listener:
        try:
            async with asyncio.timeout(seconds):
                async with kind(address, "GET", "/", idle_timeout=IDLE_TIMEOUT) as answer:
                    await answer.read()
        except Exception as caught:
            error = caught
        return error, time.monotonic() - began


@then("the call ended with {kind} within {seconds:g} s")
def ended(context, kind, seconds):
    assert type(context.error).__name__ == kind, repr(context.error)
    assert context.took < seconds, context.took
