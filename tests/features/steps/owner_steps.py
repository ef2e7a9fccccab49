"""Steps about an owner of non-repeatable calls that lacks settings which the asker has."""

import json
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from standins.fleet import wait_until
from tests.features.steps.fleet_steps import SETTINGS_PATHS
from tests.operators import LEDGER, takes_duties
from tests.refunds import post

ACCOUNT = "/teams/bottle-returns/accounts/depots"
DEPLOYMENT = LEDGER.replace("services", "deployments")
PATHS = {"service": (ACCOUNT, DEPLOYMENT, LEDGER), "deployment": (DEPLOYMENT,)}
ROUNDS = 20  # of settings set anew, of which nearly every one is met by the owner too late
AT_ONCE = 16  # refunds, so that each daemon owns the bucket of some


@given('daemon "{name}" in domain "{domain}" reaches the key-value service through a proxy')
def daemon_behind_proxy(context, name, domain):
    fleet = context.fleet
    way = fleet.proxy("way-kv", fleet.processes["kv"].http)
    fleet.daemon(name, domain, "accra", kv=way.ready["address"])
    fleet.wait_settled("a", name, paths=SETTINGS_PATHS)
    wait_until(f"{name} takes duties", lambda: takes_duties(fleet, "a", name))


def set_anew(context, name, paths, fault):
    """Delete settings everywhere, and set them again while a daemon cannot read them."""
    fleet = context.fleet
    for path in paths:
        done = fleet.settings("delete", path)
        assert done.returncode == 0, done.stderr

    def knows(daemon, count):
        return fleet.status(daemon)["settings"]["paths"] == count

    left = SETTINGS_PATHS - len(paths)
    wait_until("both know", lambda: knows("a", left) and knows(name, left))
    fleet.admin("way-kv", fault)
    fleet.apply(str(context.root / "examples" / "bottle-returns.ini"))
    wait_until("the first knows", lambda: knows("a", SETTINGS_PATHS))


def post_at_once(context, count, daemon, mark):
    """Post refunds with new keys at once; returns their answers."""
    address = context.fleet.processes[daemon].http
    keys = [f"{mark}-{number}" for number in range(count)]
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(lambda key: post(address, key), keys))


def told(context, asker, owner):
    """Return the reasons for which an owner refused calls that the asker ran itself then."""
    log = (context.fleet.path / f"{asker}.log").read_text().splitlines()
    rows = [json.loads(line) for line in log if "owner cannot run the call" in line]
    return {row["reason"] for row in rows if row["owner"] == owner}


@when('the plain service is deleted, and set again while "{name}" cannot read it')
def service_anew(context, name):
    set_anew(context, name, PATHS["service"], {"mode": "cut"})


@when('{count:d} refunds are posted at once through "{daemon}"')
def refunds_at_once(context, count, daemon):
    context.at_once = post_at_once(context, count, daemon, "at-once")


@when(
    'refunds are posted through "{asker}" after the {kind} is set anew till "{owner}" says "{why}"'
)
def refunds_until_told(context, asker, kind, owner, why):
    context.at_once = []
    for number in range(ROUNDS):
        # The owner reaches the key-value service for records, but is not told of settings.
        set_anew(context, owner, PATHS[kind], {"hold_marker": "/kv/watch"})
        context.at_once += post_at_once(context, AT_ONCE, asker, f"round-{number}")
        if why in told(context, asker, owner) or any(a.status != 200 for a in context.at_once):
            break
        context.fleet.admin("way-kv", {"hold_marker": ""})
        context.fleet.wait_settled(asker, owner, paths=SETTINGS_PATHS)
    print(f"{number + 1} rounds")


@when('"{name}" is cut off from the key-value service')
def cut_off(context, name):
    context.fleet.admin("way-kv", {"mode": "cut"})


@then("every one of them succeeds")
def all_succeed(context):
    failed = [(answer.status, answer.body) for answer in context.at_once if answer.status != 200]
    assert not failed, failed


@then('some of them succeed and the others say {status:d} "{reason}" with ran "{ran}"')
def some_refused(context, status, reason, ran):
    answers = [answer for answer in context.at_once if answer.status != 200]
    assert 0 < len(answers) < len(context.at_once), [a.status for a in context.at_once]
    for answer in answers:
        found = (answer.status, answer.json["reason"], answer.json["ran"])
        assert found == (status, reason, ran), answer.body


@then("each of them ran 1 time")
def each_ran(context):
    ran = context.fleet.counts("ledger-1")["ran"]
    assert sorted(ran.values()) == [1] * len(context.at_once), ran


@then('"{asker}" was told "{reason}" by "{owner}"')
def was_told(context, asker, reason, owner):
    assert reason in told(context, asker, owner), told(context, asker, owner)
