"""Steps about a store that comes back from an older copy."""

import time

from behave import given, then, when
from routed_steps import fleet_of

from standins.fleet import wait_until
from tests.routedfleet import document
from tests.steptext import names_in

SOON = 6.0  # seconds
CALLS = 6  # to each daemon
RANGES_AT_START = 3  # calls for the entries of servers, daemons and the operator, a page each


@given('a routed daemon "{name}" in "{domain}" behind the proxy')
def start_proxied(context, name, domain):
    fleet_of(context).daemon(name, domain, store=context.proxied[name])


@when('a routed daemon "{name}" in "{domain}" is started')
def start_later(context, name, domain):
    fleet_of(context).daemon(name, domain)


@when("the store is copied")
def copy_store(context):
    context.fleet.admin("store", {"save": True})


@when("the operator writes {count:d} documents")
def write_documents(context, count):
    for version in range(6, 6 + count):
        fleet_of(context).write({"op/config": document(version)})
    context.version = 5 + count


@when('"{engine}" starts in "{domain}"')
def start_desk(context, engine, domain):
    fleet_of(context).engine(engine, "desk", domain)
    # Listed at a revision of its own, well after it was read.
    time.sleep(0.5)


@when('"{name}" has the list with "{engine}"')
def has_engine(context, name, engine):
    def listed() -> bool:
        lines = fleet_of(context).lines(name, "host list taken")
        return any(f"desk/{engine}" in host for line in lines for host in line["changed"])

    wait_until(f"{name} knows {engine}", listed, SOON)


@when("the store is away for {seconds:g} s and comes back from the copy")
def drill(context, seconds):
    context.fleet.admin("store", {"come_back": seconds})


@when('the operator and "{engine}" write again')
def write_again(context, engine):
    fleet_of(context).write({"op/config": document(context.version)})
    fleet_of(context).list_engine(engine)


@when('the store comes back unseen, "{new}" starts and "{old}" drains, and {count:d} more revisions pass')  # noqa: E501  # fmt: skip
def drill_unseen(context, new, old, count):
    routed = fleet_of(context)
    time.sleep(0.5)
    process = context.fleet.standin("platformengine", new)
    shared = {"Service": "desk", "Zone": "lagos", "Slots": 6, "Sequence": 1, "born": 1}
    routed.places[new] = {"Service": "desk", "Address": process.http, "Zone": "lagos"}
    entries = {
        f"servers/{new}": shared | {"Address": process.http, "State": "ready"},
        f"servers/{old}": routed.places[old] | shared | {"State": "draining"},
        "op/config": document(context.version),
    }
    context.fleet.admin("store", {"come_back": 0, "put": entries, "extra": count})


@when('"{engines}" drain')
def drain(context, engines):
    for engine in names_in(engines):
        fleet_of(context).list_engine(engine, "draining")


@when("{seconds:g} s go by")
def let_pass(context, seconds):
    time.sleep(seconds)


@then('{seconds:g} s later calls through "{names}" reach "{engine}" only')
def reach_only(context, seconds, names, engine):
    time.sleep(seconds)
    for name in names_in(names):
        for _ in range(CALLS):
            answer = fleet_of(context).ask(name, "GET", "/view/1")
            assert answer.status == 200, (name, answer)
            assert answer.json["instance"] == engine, (name, answer)


@then('"{name}" is listed again within {seconds:g} s')
def listed_again(context, name, seconds):
    key = f"papayacourse/daemons/{name}"
    assert key not in context.fleet.counts("store")["keys"]
    wait_until(f"{key} is there", lambda: key in context.fleet.counts("store")["keys"], seconds)


@then("the store was read as a whole {times:d} time")
def read_whole(context, times):
    counts = context.fleet.counts("store")["counts"]
    assert counts["kv-range"] == RANGES_AT_START * times, counts
    assert "kv-key" not in counts, counts
