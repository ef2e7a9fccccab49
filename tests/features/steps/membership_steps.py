"""Steps about who is there, and about what comes over a link."""

import time

import cbor2
from behave import given, then, when
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from papayacourse.handshake import prove
from papayacourse.meshmessages import Beat, Heartbeat, Hello, Proof
from papayacourse.wire import (
    CLASSES,
    KINDS,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Frame,
    decode,
    encode,
)
from standins.fleet import MESH_KEY, wait_until
from tests.steptext import names_in

CLOSE_LIMIT = 5.0  # seconds
FOREIGNER = Hello("foreigner", 1, "lagos-1", "lagos", "127.0.0.1:1", b"a nonce of tests")


def peer(context, daemon, name):
    """Return what a daemon thinks of another one."""
    rows = context.fleet.status(daemon)["peers"]
    return next((row for row in rows if row["name"] == name), None)


@when("the host list lags by {seconds:d} seconds")
def list_lags(context, seconds):
    context.fleet.admin("hosts", {"lag": seconds})


@when("the host list goes down")
def list_down(context):
    context.fleet.admin("hosts", {"outage": True})


@then('"{names}" take "{name}" for dead within {seconds:d} seconds')
def taken_for_dead(context, names, name, seconds):
    began = time.monotonic()
    for daemon in names_in(names):
        wait_until(
            f"{daemon} takes {name} for dead",
            lambda d=daemon: not peer(context, d, name)["alive"],
            seconds,
        )
    print(f"dead after {time.monotonic() - began:.1f} s")


@then('"{names}" see "{name}" alive')
def seen_alive(context, names, name):
    for daemon in names_in(names):
        wait_until(
            f"{daemon} sees {name}",
            lambda d=daemon: (peer(context, d, name) or {}).get("alive"),
        )


@when('daemon "{name}" is started again')
def start_again(context, name):
    host = context.fleet.hosts[name]
    context.fleet.processes[name].popen.stdout.close()
    context.fleet.daemon(name, host["domain"], host["region"])


@when('host "{name}" is taken off the list')
def take_off_list(context, name):
    context.fleet.admin("hosts", {"remove": [name]})


@then('"{daemon}" has forgotten "{name}" within {seconds:d} seconds')
def forgotten(context, daemon, name, seconds):
    wait_until(f"{daemon} forgets {name}", lambda: peer(context, daemon, name) is None, seconds)


@when('daemon "{name}" is started with "{seed}" as its seed')
def start_with_seed(context, name, seed):
    host = context.fleet.hosts[seed]
    mesh = context.fleet.processes[seed].ready["mesh"]
    context.fleet.daemon(name, host["domain"], host["region"], seeds=[mesh])
    context.fleet.wait_settled(name, paths=12)
    wait_until(f"{name} has a host list", lambda: context.fleet.status(name)["hosts"]["version"])


@given('daemons "{names}" that all dial each other in domain "{domain}" of region "{region}"')
def daemons_dial(context, names, domain, region):
    """Start daemons each of which has all earlier ones as seeds and finds them listed too."""
    seeds = [context.fleet.processes["a"].ready["mesh"]]
    for name in names_in(names):
        daemon = context.fleet.daemon(name, domain, region, seeds=list(seeds))
        seeds.append(daemon.ready["mesh"])


def links(context, daemon):
    """Return how many links a daemon has."""
    return context.fleet.status(daemon)["mesh"]["links"]


def alive(context, daemon):
    """Return the daemons that a daemon takes for alive, itself included."""
    rows = context.fleet.status(daemon)["peers"]
    return sorted([daemon, *(row["name"] for row in rows if row["alive"])])


@then('every daemon of "{names}" has one link to each other one')
def one_link_each(context, names):
    daemons = sorted(names_in(names))
    for name in daemons:
        wait_until(f"{name} sees the others", lambda n=name: alive(context, n) == daemons)
    for name in daemons:
        wait_until(
            f"{name} has {len(daemons) - 1} links",
            lambda n=name: links(context, n) == len(daemons) - 1,
        )


@then('"{daemon}" has no link to "{name}" any more')
def no_link(context, daemon, name):
    wait_until(f"{daemon} has no link", lambda: links(context, daemon) == 0)


def open_link(address, key):
    """Open a link as a daemon would."""
    connection = connect(f"ws://{address}/", compression=None, proxy=None)
    theirs = decode(connection.recv()).message
    connection.send(encode(Frame(0, False, FOREIGNER)))
    digest = prove(key, theirs.nonce, FOREIGNER.name, "dialled")
    connection.send(encode(Frame(0, False, Proof(digest))))
    return connection


def misbehave(connection, what):
    """Send what a daemon must not accept."""
    match what:
        case "a malformed frame":
            connection.send(b"\xff not CBOR")
        case "an unknown message":
            connection.send(cbor2.dumps([PROTOCOL_VERSION, len(CLASSES), 0, []]))
        case "an oversized frame":
            connection.send(b"x" * (MAX_FRAME_BYTES + 1))
        case "a text frame":
            connection.send("text")
        case "a wrong field":
            wrong = ["not", "a", "heartbeat"]
            connection.send(cbor2.dumps([PROTOCOL_VERSION, KINDS[Heartbeat], 0, wrong]))


def is_closed(connection):
    """Tell whether the other side closes a connection."""
    deadline = time.monotonic() + CLOSE_LIMIT
    try:
        while time.monotonic() < deadline:
            connection.recv(timeout=CLOSE_LIMIT)
    except ConnectionClosed:
        return True
    except TimeoutError:
        return False
    return False


@when('links are opened to "{daemon}" that send')
def misbehaving_links(context, daemon):
    address = context.fleet.processes[daemon].ready["mesh"]
    context.closed = {}
    for row in context.table:
        what = row["sends"]
        key = "not the mesh's key" if what == "a wrong proof" else MESH_KEY
        connection = open_link(address, key)
        if what != "a wrong proof":
            connection.send(encode(Frame(0, False, Beat())))
            misbehave(connection, what)
        context.closed[what] = is_closed(connection)
        connection.close()


@then('each of those links was closed and logged as an error by "{daemon}"')
def links_closed(context, daemon):
    assert all(context.closed.values()), context.closed
    log = (context.fleet.path / f"{daemon}.log").read_text().splitlines()
    errors = [line for line in log if '"level":"error"' in line and '"link ' in line]
    assert len(errors) == len(context.closed), "\n".join(errors)
