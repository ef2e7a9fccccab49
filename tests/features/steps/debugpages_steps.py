"""Steps about odd pages in place of a daemon's."""

import asyncio
import json

from behave import then

from papayacourse.exceptions import BackendError
from papayacourse.hostlist import HostListing
from papayacourse.rollout import RolloutWatch, ask_daemon
from papayacourse.types import Address, Host, HostKind

PATH = "/teams/odd"
NO_OBJECTS = ["", "[", "[]", "null", "5", '"x"', "[" * 100_000, '{"a": 1e400}', "<html>"]
NO_REVISIONS = [
    "{}", '{"paths": []}', '{"paths": null}', '{"paths": {}}', json.dumps({"paths": {PATH: 5}}),
    json.dumps({"paths": {PATH: {"revision": "x"}}}), json.dumps({"paths": {PATH: {}}}),
    json.dumps({"paths": {PATH: {"revision": None}}}),
]  # fmt: skip


async def with_page(page: str, work):
    """Return what some work returns that gets a page for each of its calls."""

    async def answer(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(page)}\r\nConnection: close\r\n\r\n"
        writer.write((head + page).encode())
        await writer.drain()
        writer.close()

    async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
        return await work(Address("127.0.0.1", server.sockets[0].getsockname()[1]))


@then('each odd page is refused by "status" in a line')
def odd_pages_are_refused(context):
    for page in NO_OBJECTS:
        try:
            found = asyncio.run(with_page(page, lambda at: ask_daemon(at, "k", "/debug/status")))
        except BackendError as error:
            assert len(str(error).splitlines()) == 1, error
        else:
            raise AssertionError((page[:20], found))


class Hosts:
    """A host list of one daemon."""

    def __init__(self, address: Address):
        self.address = address

    async def get(self) -> HostListing:
        """Return the list."""
        return HostListing(1, (Host("a", HostKind.ENTRY, str(self.address), "d", "r"),))


@then("a daemon with an odd page counts as lagging")
def odd_page_lags(context):
    for page in [*NO_OBJECTS, *NO_REVISIONS]:

        async def wait(address):
            return await RolloutWatch(Hosts(address), "k").wait({PATH: 3}, 0.01)

        found = asyncio.run(with_page(page, wait))
        assert (found.in_force, found.lagging) == ((), ("a",)), (page[:60], found)
