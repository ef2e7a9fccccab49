"""Steps about answers that are crossed between daemons."""

import asyncio

from behave import given, then, when

from papayacourse.exceptions import PeerTimeout
from papayacourse.meshmessages import Hello
from papayacourse.peers import Link, Peers
from papayacourse.schedulingmessages import Granted, GrantRefused
from papayacourse.wire import Frame, encode

ME = Hello("me", 1, "d", "r", "", b"")
PATIENCE = 5.0  # seconds


class WrittenConnection:
    """A connection whose incoming frames the test writes."""

    def __init__(self):
        self.frames: asyncio.Queue = asyncio.Queue()

    async def recv(self) -> bytes:
        """Return the next frame."""
        return await self.frames.get()

    def answer(self, number: int, stream: str) -> None:
        """Write an answer to a call."""
        self.frames.put_nowait(encode(Frame(number, True, Granted(stream, "e", "a"))))


async def with_link(work):
    """Run some work on a link that is being read."""
    connection = WrittenConnection()
    link = Link(ME, connection, ME.name)
    reader = asyncio.create_task(Peers(ME, "key")._read(link))
    try:
        return await work(link, connection)
    finally:
        reader.cancel()
        await asyncio.gather(reader, return_exceptions=True)


def question(stream):
    return GrantRefused(stream, "", "", 0.0)


@given("a link to a peer whose answers the test writes")
def written_link(context):
    context.work = with_link


@when("two calls are made and answered in the other order")
def crossed(context):
    async def work(link, connection):
        calls = [
            asyncio.create_task(link.call(question(name), PATIENCE)) for name in ("one", "two")
        ]
        await asyncio.sleep(0)
        connection.answer(2, "two")
        connection.answer(1, "one")
        return await asyncio.gather(*calls)

    context.got = asyncio.run(context.work(work))


@then("each call has its own answer")
def own_answers(context):
    assert [answer.stream for answer in context.got] == ["one", "two"], context.got


@when("a call is given up and its answer comes late, twice, before the next call's")
def late(context):
    async def work(link, connection):
        try:
            await link.call(question("late"), 0.01)
        except PeerTimeout:
            pass
        following = asyncio.create_task(link.call(question("next"), PATIENCE))
        await asyncio.sleep(0)
        for number, stream in ((1, "late"), (1, "late"), (2, "next"), (2, "again")):
            connection.answer(number, stream)
        return await following

    context.got = asyncio.run(context.work(work))


@then("the next call has its own answer")
def own_answer(context):
    assert context.got.stream == "next", context.got
