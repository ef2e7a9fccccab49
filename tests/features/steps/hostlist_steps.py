"""Steps about odd hosts in the platform's list."""

import asyncio
import json

from behave import given, then
from hypothesis import strategies as st
from settingsinputs_steps import check_random, escaped, scalars, values

from papayacourse import wire
from papayacourse.exceptions import PlatformError
from papayacourse.hostchanges import digest
from papayacourse.hostlist import HostList, HostListing
from papayacourse.meshmessages import HostsUpdate
from papayacourse.types import Address, Host, HostKind

SOUND = {
    "name": "a", "kind": "engine", "address": "127.0.0.1:80", "domain": "d", "region": "r",
    "state": "live", "mesh": "", "service": "s",
}  # fmt: skip
ENTRY = SOUND | {"name": "b", "kind": "entry", "mesh": "127.0.0.1:81"}
ODD_HOSTS = [
    None, 5, "x", [], {}, SOUND | {"kind": "odd"}, SOUND | {"kind": None}, SOUND | {"state": "odd"},
    SOUND | {"name": 5}, SOUND | {"name": ""}, SOUND | {"domain": None}, SOUND | {"region": []},
    SOUND | {"address": ""}, SOUND | {"address": "x"}, SOUND | {"address": "127.0.0.1:99999"},
    SOUND | {"address": "127.0.0.1:" + "9" * 5000}, SOUND | {"address": "\0:80"},
    SOUND | {"address": "a b:80"}, SOUND | {"address": "\ud800:80"}, SOUND | {"address": "é:80"},
    SOUND | {"address": "x" * 300 + ":80"}, SOUND | {"mesh": "x"}, SOUND | {"service": {}},
    SOUND | {"slots": "1"}, SOUND | {"slots": -1}, SOUND | {"slots": 10**400},
    SOUND | {"slots": True}, ENTRY | {"mesh": ""}, ENTRY | {"mesh": None}, ENTRY | {"mesh": "x:y"},
]  # fmt: skip
ODD_LISTS = ["", "[", "[]", "null", "5", "{}", '{"version": 1}', '{"version": "x", "hosts": []}',
             '{"version": 1e400, "hosts": []}', '{"version": 1, "hosts": {}}', "[" * 100_000,
             '{"version": -1, "hosts": []}', '{"version": true, "hosts": null}']  # fmt: skip

members = st.sampled_from([*SOUND, "slots"])
odd_members = st.dictionaries(members, scalars | st.sampled_from(["entry", "1:1"]), max_size=3)
hosts = odd_members.map(SOUND.__or__) | odd_members.map(ENTRY.__or__) | values
lists = st.fixed_dictionaries(
    {"version": st.integers(0, 9) | scalars, "hosts": st.lists(hosts, max_size=4) | values}
)


async def read(*bodies: str) -> list[HostListing | None]:
    """Return what the client reads of each body; None for an error of the platform."""
    remaining = list(bodies)

    async def answer(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        body = remaining.pop(0).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()

    found = []
    async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
        client = HostList(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        for _ in bodies:
            try:
                found.append(await client.get())
            except PlatformError:
                found.append(None)
    return found


def listing(*hosts) -> str:
    """Return a list of hosts as the platform writes it."""
    return json.dumps({"version": 1, "hosts": hosts})


@given("a listing of another daemon with a sound host and hosts at addresses that are none")
def listing_of_other(context):
    odd = [("nonsense", ""), ("127.0.0.1:99999", ""), ("", ""), ("127.0.0.1:80", "nonsense")]
    hosts = [
        Host(f"odd-{number}", HostKind.ENTRY, address, "d", "r", mesh=mesh)
        for number, (address, mesh) in enumerate(odd)
    ]
    sound = Host("sound", HostKind.ENTRY, "127.0.0.1:80", "d", "r", mesh="127.0.0.1:81")
    data = wire.encode(wire.Frame(0, False, HostsUpdate(2, (*hosts, sound))))
    update = wire.decode(data).message
    context.sent_digest = digest((*hosts, sound))
    context.listing = HostListing(update.version, update.hosts)


@then("only the sound host is used, and the listing still has its digest")
def only_sound_used(context):
    listing = context.listing
    assert list(listing.by_name) == ["sound"]
    assert [host.name for host in listing.by_kind[HostKind.ENTRY]] == ["sound"]
    assert [host.name for host in listing.by_service[""]] == ["sound"]
    assert digest(listing.hosts) == context.sent_digest


@then("each odd host beside a sound one is left out of the list")
def odd_hosts_are_left_out(context):
    bodies = [listing(odd, SOUND | {"name": "c"}, ENTRY) for odd in ODD_HOSTS]
    for odd, found in zip(ODD_HOSTS, asyncio.run(read(*bodies)), strict=True):
        assert found is not None, odd
        assert [host.name for host in found.hosts] == ["c", "b"], (odd, found)


def check_usable(found: HostListing) -> None:
    """Check that hosts can be sent to peers and connected to."""
    digest(found.hosts)
    frame = wire.Frame(1, False, HostsUpdate(found.version, found.hosts, 1))
    assert wire.decode(wire.encode(frame)) == frame
    for host in found.hosts:
        str(Address.parse(host.address)).encode("ascii")
        assert host.kind != HostKind.ENTRY or Address.parse(host.mesh)


@then("{count:d} random lists are refused, or leave hosts that can be used and sent")
def lists_are_usable(context, count):
    bodies = []
    check_random(lists, count, lambda raw: bodies.append(json.dumps(escaped(raw))))
    found = asyncio.run(read(*bodies))
    for raw in found:
        if raw is not None:
            check_usable(raw)
    assert sum(raw is not None and len(raw.hosts) > 0 for raw in found) > count / 20


@then("a list of an odd form is an error of the platform")
def odd_lists_are_refused(context):
    assert asyncio.run(read(*ODD_LISTS)) == [None] * len(ODD_LISTS)
