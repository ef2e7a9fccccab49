"""Steps about odd answers of the platform's store."""

import asyncio
import contextlib
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

from behave import given, then, when
from hypothesis import strategies as st
from routed_steps import fleet_of

from papayacourse import logs
from papayacourse.exceptions import PlatformError
from papayacourse.types import Address
from standins.fleet import wait_until
from tests.oddvalues import check_loggable, check_random, encoded, mutated, values
from tests.routedfleet import ROOT

sys.path.append(str(ROOT / "platform"))

from userplatform.fields import Table
from userplatform.storeclient import Item, Items, StoreClient
from userplatform.storeview import StoreContent

ADDRESS = Address("127.0.0.1", 9)
SOUND = {"Key": "servers/a", "Value": "e30=", "Revision": 5, "Created": 4, "Lease": 0}
REMOVED = {"Key": "servers/b", "Revision": 6, "Tombstone": True}
PAGE = {"Items": [SOUND, REMOVED], "HasMore": False, "At": 6}
WATCHED = {"events": [SOUND, REMOVED], "At": 6}
MOST_CALLS = 50


class CannedStore(StoreClient):
    """A client that is given the same answer to each call."""

    def __init__(self, answer: bytes):
        super().__init__(ADDRESS)
        self.answer = answer
        self.calls = 0

    async def _call(self, _method, _path, _body=None, limit=1.0):
        self.calls += 1
        assert self.calls < MOST_CALLS, "it calls without an end"
        return 200, Table.parse(self.answer)


class PagedStore(StoreClient):
    """A client that is given the page that begins after a key."""

    def __init__(self, pages: dict[str, dict]):
        super().__init__(ADDRESS)
        self.pages = pages

    async def _call(self, _method, path, _body=None, limit=1.0):
        query = parse_qs(urlsplit(path).query, errors="surrogatepass")
        return 200, Table(self.pages[query.get("After", [""])[0]])


async def first_watched(client: StoreClient) -> Items:
    """Return what the first answer of a watch holds."""
    async for found in client.watch("", 1, 1.0):
        return found
    raise AssertionError("it ends")


@when("each answer of the store holds {items} besides")
def answers_hold(context, items):
    context.fleet.admin("store", {"odd": json.loads(items)})


@then('the log of "{name}" says of an item that "{field}" is to blame')
def item_is_explained(context, name, field):
    def reasons():
        lines = fleet_of(context).lines(name, "store item not readable")
        return [line["why"] for line in lines]

    found = wait_until("the item is logged", reasons)
    assert all(field in why for why in found), found


@given("a store whose pages are {page}")
@given("a store whose watches answer {page}")
def canned_store(context, page):
    context.client = CannedStore(page.encode())


@then("a range ends with an error after at most {count:d} calls")
def range_ends(context, count):
    try:
        found = asyncio.run(context.client.range("x"))
    except PlatformError:
        found = None
    assert found is None and context.client.calls <= count, (found, context.client.calls)


@given("a store whose first page has only keys of half a character")
def odd_first_page(context):
    odd = {"Items": [SOUND | {"Key": "servers/\ud800"}], "HasMore": True, "At": 6}
    context.client = PagedStore({"": odd, "servers/\ud800": PAGE})


@then("a range has the items of the second page")
def has_second_page(context):
    found = asyncio.run(context.client.range("servers/"))
    assert [item.key for item in found.items] == ["servers/a", "servers/b"], found


@then("watching it for {seconds:g} s takes at most {count:d} calls")
def watch_pauses(context, seconds, count):
    async def watch() -> None:
        async for _ in context.client.watch("", 5, 1.0):
            await asyncio.sleep(0)

    async def watch_for_a_while() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await watch()

    asyncio.run(watch_for_a_while())
    assert 1 < context.client.calls <= count, context.client.calls


@then(
    "{count:d} random answers of the store give items that can be logged, or an error of the store"
)
def random_answers(context, count):
    def check(answer) -> None:
        client = CannedStore(encoded(answer))
        for call in (client.range("s"), first_watched(client)):
            try:
                found = asyncio.run(call)
            except PlatformError as error:
                check_loggable(why=str(error))
                continue
            assert all(isinstance(item, Item) for item in found.items)
            check_loggable(revision=found.revision)
            update = StoreContent({}, 1).apply(found)
            check_loggable(keys=[item.key for item in found.items], era=update.position.era)

    check_random(count, mutated(PAGE) | mutated(WATCHED) | mutated(SOUND) | values, check)


@then("of {count:d} random answers each sound item is read")
def sound_items_hold(context, count):
    def check(rows) -> None:
        answer = {"Items": [*rows, SOUND, *rows, REMOVED, *rows], "HasMore": False, "At": 6}
        found = asyncio.run(CannedStore(encoded(answer)).range("servers/"))
        assert Item("servers/a", b"{}", 5) in found.items, found
        assert Item("servers/b", None, 6) in found.items, found

    rows = (mutated(SOUND) | values).filter(is_json)
    check_random(count, st.lists(rows, max_size=3), check)


def is_json(value: object) -> bool:
    """Return True if a value has no number that JSON does not know."""
    try:
        json.dumps(value, allow_nan=False)
    except ValueError:
        return False
    return True


@then(
    "{count:d} odd entries are read within {seconds:g} s of processor time and logged "
    "in at most {lines:d} lines"
)
def flood(context, count, seconds, lines):
    odd = [b"[" * 5000, b'{"Service": 7}', b"\xff", b""]
    items = [Item(f"servers/odd-{n}", odd[n % len(odd)], n) for n in range(count)]
    written, write = [], logs.write
    logs.write = lambda *_, **fields: written.append(fields)
    began = time.process_time()
    try:
        StoreContent({}, 1).apply(Items(tuple(items), count))
    finally:
        logs.write = write
    took = time.process_time() - began
    assert took < seconds and len(written) <= lines, (took, len(written))
