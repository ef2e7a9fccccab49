"""Steps about who is there, and about what comes over a link."""

import time

import cbor2
from behave import given, then, when
from cattrs import structure
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from papayacourse.handshake import sign_challenge
from papayacourse.hostchanges import digest
from papayacourse.hostlist import HostListing
from papayacourse.meshmessages import Beat, Done, Heartbeat, Hello, Proof
from papayacourse.wire import (
    CLASSES,
    KINDS,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Frame,
    decode,
    encode,
)
from standins.fleet import MESH_KEY, call, wait_until
from tests.balancer import is_ready
from tests.callers import caller_of, check_whole
from tests.steptext import names_in

CLOSE_LIMIT = 5.0  # seconds
PROBE_CALL = 7  # number of the call
LIST_LIMIT = 60.0  # seconds
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
    context.fleet.daemon(name, host["domain"], host["region"])


@when('host "{name}" is taken off the list')
def take_off_list(context, name):
    context.earlier_lists = getattr(context, "lists_before", [])
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
    digest = sign_challenge(key, theirs.nonce, FOREIGNER.name, "dialled")
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


def answers_probe(connection):
    """Return True if the other side answers a probe on a connection."""
    deadline = time.monotonic() + CLOSE_LIMIT
    try:
        connection.send(encode(Frame(PROBE_CALL, False, Beat())))
        while time.monotonic() < deadline:
            frame = decode(connection.recv(timeout=CLOSE_LIMIT))
            if frame.is_answer and frame.call == PROBE_CALL:
                return isinstance(frame.message, Done)
    except (ConnectionClosed, TimeoutError):
        return False
    return False


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
    context.closed, context.answers = {}, {}
    for row in context.table:
        what = row["sends"]
        key = "not the mesh's key" if what == "a wrong proof" else MESH_KEY
        connection = open_link(address, key)
        if what != "a wrong proof":
            connection.send(encode(Frame(0, False, Beat())))
            misbehave(connection, what)
            context.answers[what] = answers_probe(connection)
        # A link that answers is soon closed all the same, since its daemon is silent.
        context.closed[what] = not context.answers.get(what) and is_closed(connection)
        connection.close()


@then('each of those links was closed and logged as an error by "{daemon}"')
def links_closed(context, daemon):
    assert all(context.closed.values()), context.closed
    log = context.fleet.path / f"{daemon}.log"

    def errors():
        lines = log.read_text().splitlines()
        return [line for line in lines if '"level":"error"' in line and '"link ' in line]

    # The other side sees a link close before the daemon has logged it.
    wait_until("a line for each link", lambda: len(errors()) >= len(context.closed))
    assert len(errors()) == len(context.closed), "\n".join(errors())


@then('each of those links still answers, and "{daemon}" has logged each refusal as an error')
def links_answer(context, daemon):
    assert all(context.answers.values()), context.answers
    log = (context.fleet.path / f"{daemon}.log").read_text().splitlines()
    errors = [line for line in log if '"level":"error"' in line and "message refused" in line]
    assert len(errors) == len(context.answers), "\n".join(errors)


def host_lists(context, names):
    """Return what each daemon says of its host list."""
    return [context.fleet.status(name)["hosts"] for name in names_in(names)]


def raw_list(context):
    """Return the platform's list as it is shown."""
    return call(context.fleet.processes["hosts"].http, "GET", "/hosts").json


def shown_list(context):
    """Return the version and the digest of the platform's list."""
    listing = structure(raw_list(context), HostListing)
    return listing.version, f"{digest(listing.hosts):016x}"


@given('all of "{names}" have the newest host list')
@then('all of "{names}" have the newest host list')
def newest_list(context, names):
    def same():
        wanted = shown_list(context)
        return all((row["version"], row["digest"]) == wanted for row in host_lists(context, names))

    wait_until("every daemon has the newest host list", same, LIST_LIMIT)
    context.lists_before = host_lists(context, names)


@then('"{names}" handed on {kind} since')
def handed_on(context, names, kind):
    before, now = context.earlier_lists, context.lists_before
    changes = sum(row["changes_sent"] for row in now) - sum(row["changes_sent"] for row in before)
    wholes = sum(row["wholes_sent"] for row in now) - sum(row["wholes_sent"] for row in before)
    print(f"{changes} answers with changes, {wholes} whole lists")
    if kind == "whole lists":
        assert wholes, "no whole list was handed on"
    else:
        assert changes and not wholes, (changes, wholes)


@when("{count:d} hosts are put on the list at once")
def put_many(context, count):
    context.earlier_lists = context.lists_before
    context.list_of_before = raw_list(context)
    place = {"domain": "lagos-1", "region": "lagos", "state": "live", "mesh": "", "service": ""}
    rows = [
        {"name": f"plain-{n}", "kind": "plain", "address": f"127.0.0.1:{n + 1}"} | place
        for n in range(count)
    ]
    context.fleet.admin("hosts", {"put": rows})


@when('the host list starts again with a lower version and without "{name}"')
def start_lower(context, name):
    context.fleet.admin("hosts", {"version": 0, "remove": [name]})


@when('the host list starts again with the same version and without "{name}"')
def start_same(context, name):
    version = context.fleet.admin("hosts", {})["version"]
    context.fleet.admin("hosts", {"version": version - 1, "remove": [name]})


@when('"{names}" read the list of before {times:d} times')
def read_old(context, names, times):
    newest = raw_list(context)
    before = [row["reads"] for row in host_lists(context, names)]
    context.fleet.admin("hosts", {"shown": context.list_of_before})

    def read_enough():
        now = [row["reads"] for row in host_lists(context, names)]
        return all(n >= b + times for n, b in zip(now, before, strict=True))

    wait_until("the old list is read", read_enough)
    context.fleet.admin("hosts", {"shown": newest})


@then('"{names}" never began a new epoch of the host list')
def no_new_epoch(context, names):
    assert not any(row["epoch"] for row in host_lists(context, names))


@given(
    'daemon "{name}" in domain "{domain}" of region "{region}" has the settings, but no host list'
)
def no_host_list_yet(context, name, domain, region):
    fleet = context.fleet
    way = fleet.proxy("way-hosts", fleet.processes["hosts"].http).ready["address"]
    fleet.admin("way-hosts", {"mode": "cut"})
    fleet.daemon(name, domain, region, hosts=way)
    # It schedules for itself as long as it knows nobody else.
    wait_until("it schedules", lambda: fleet.status(name)["schedulers"])


@when('the host list comes within reach of "{name}"')
def host_list_in_reach(context, name):
    context.fleet.admin("way-hosts", {"mode": "pass"})


@then('a plan sent through "{name}" as soon as it is ready is whole')
def plan_when_ready(context, name):
    wait_until(f"{name} is ready", lambda: is_ready(context.fleet.processes[name].http))
    plan = caller_of(context.fleet, name, "plan [len=20]").start()
    plan.join()
    assert plan.done, plan.error
    check_whole(plan.texts, 20)
