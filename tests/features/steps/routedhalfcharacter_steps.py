"""Steps about drains and documents beside an entry whose service is half a character."""

import time
from collections import Counter

from behave import step, then, when
from routed_steps import fleet_of

from standins.fleet import wait_until
from tests.routedfleet import document, route
from tests.steptext import names_in

HALF_CHARACTER = "\ud800"
KEYS = {"beside": "servers/stranger", "in place of": "servers/{engine}"}
CALLS = 8  # of each kind through each daemon
PLAN = {"X_Model": "m", "X_Token_Counts": "100,5"}
LOST_LINES = ("eliot:serialization_failure", "eliot:destination_failure")


def requests(context, engine) -> int:
    """Return how many callers' requests an engine has got."""
    return len(fleet_of(context).runs(engine))


@then('requests through each of "{names}" reach "{engine}"')
def reach(context, names, engine):
    for name in names_in(names):
        before = requests(context, engine)

        def reached(name=name, before=before):
            fleet_of(context).ask(name, "GET", "/open/1")
            return requests(context, engine) > before

        wait_until(f"{name} sends to {engine}", reached)


@when('another writer\'s entry of half a character as service stands {where} that of "{engine}"')
def write_entry(context, where, engine):
    routed = fleet_of(context)
    entry = routed.places[engine] | {
        "Service": HALF_CHARACTER, "State": "ready", "Slots": 6, "Sequence": 1, "born": 1,
    }  # fmt: skip
    routed.write({KEYS[where].format(engine=engine): entry})


@step("every daemon has had {seconds:g} s to follow the store in place of others")
def take_over(_context, seconds):
    time.sleep(seconds)


@when('the engines "{engines}" drain by the store, and document {version:d} has other routes')
def drain_and_change(context, engines, version):
    routed = fleet_of(context)
    context.draining = names_in(engines)
    for engine in context.draining:
        routed.list_engine(engine, "draining")
    added = route("new", "/new/", "safe", "desk")
    routed.write({"op/config": document(version, added, without="view")})
    context.changed_at = time.monotonic()


@step('from {seconds:g} s on "{names}" send to no engine that drains, and serve document 9')
def keep_to_both(context, seconds, names):
    time.sleep(max(0.0, context.changed_at + seconds - time.monotonic()))
    before = {engine: requests(context, engine) for engine in context.draining}
    wrong = Counter(why for name in names_in(names) for why in old_answers(context, name))
    after = {engine: requests(context, engine) for engine in context.draining}
    print(f"answers: {dict(wrong)}; requests that draining engines got: {before}, then {after}")
    assert not wrong and before == after, (wrong, before, after)


def old_answers(context, name) -> list[str]:
    """Send requests through a daemon; return what isn't answered as document 9 wants it."""
    routed = fleet_of(context)
    wrong = []
    for number in range(CALLS):
        answers = {
            "/open/": (routed.ask(name, "GET", f"/open/{number}").status, 200),
            "/new/": (routed.ask(name, "GET", f"/new/{number}").status, 200),
            "/view/": (routed.ask(name, "GET", f"/view/{number}").status, 404),
            "/plans/": (routed.ask(name, "POST", f"/plans/{number}", **PLAN).status, 200),
        }
        wrong += [f"{name} {path} {got}" for path, (got, right) in answers.items() if got != right]
    return wrong


@then('no log line of "{names}" is lost')
def no_line_lost(context, names):
    for name in names_in(names):
        for kind in LOST_LINES:
            assert fleet_of(context).lines(name, kind) == [], (name, kind)
