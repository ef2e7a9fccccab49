"""Steps about accounts whose names or keys headers may not be able to carry."""

import json

from behave import then, when
from routed_steps import fleet_of

from standins.fleet import wait_until
from tests.routedfleet import document


def key_of(name: str) -> str:
    """Return the key of the account of a name, which is written as JSON."""
    return f"key-{name.encode().hex()}"


@when("the operator adds accounts of these names")
def add_accounts(context):
    changed = document(9)
    for row in context.table:
        account = {"Name": json.loads(row["name"]), "ApiKeys": [key_of(row["name"])]}
        changed["Tenants"].append(account)
    fleet_of(context).write({"op/config": changed})
    wait_until("it is in force", lambda: in_force(context, 9))


def in_force(context, version: int) -> bool:
    """Return True if daemon "a" has a version of the settings document."""
    lines = fleet_of(context).lines("a", "document in force")
    return any(line["version"] == version for line in lines)


@then('requests of the accounts through "{name}" are answered so')
def answered_so(context, name):
    routed = fleet_of(context)
    context.asked, context.refused, found = {}, [], []
    for row in context.table:
        answer = routed.ask(name, "GET", "/view/1", Api_Key=key_of(row["name"]))
        request = f"id-{routed.number}"
        found.append((row["name"], str(answer.status)))
        if answer.status == 200:
            context.asked[request] = json.loads(row["name"])
        else:
            context.refused.append(request)
    assert found == [(row["name"], row["answer"]) for row in context.table], found


@then('each run on "{engine}" names the account that asked')
def runs_name_accounts(context, engine):
    runs = {run["name"]: run["headers"]["X-Tenant"] for run in fleet_of(context).runs(engine)}
    seen = {request: name.encode("latin-1").decode() for request, name in runs.items()}
    assert seen == context.asked, seen


@then('the log of "{name}" has a line "{kind}" for each refused request, with reason "{reason}"')
def refused_are_logged(context, name, kind, reason):
    def reasons():
        lines = fleet_of(context).lines(name, kind)
        return {line["request"]: line["reason"] for line in lines if "request" in line}

    wanted = dict.fromkeys(context.refused, reason)
    wait_until("each refusal is logged", lambda: wanted.items() <= reasons().items())


@then('the log of "{name}" names the accounts that are refused')
def accounts_are_named(context, name):
    (line,) = fleet_of(context).lines(name, "accounts refused")
    assert line["version"] == 9 and line["count"] == len(context.refused), line
    assert "\\ud800" in line["names"], line


@when('the operator adds an account "{name}" with the keys')
def add_keys(context, name):
    changed = document(9)
    keys = [json.loads(row["key"]) for row in context.table]
    changed["Tenants"].append({"Name": name, "ApiKeys": keys})
    fleet_of(context).write({"op/config": changed})
    wait_until("it is in force", lambda: in_force(context, 9))


@then("requests with these bytes as their key are answered so")
def keys_answered_so(context):
    routed, found = fleet_of(context), []
    for row in context.table:
        # The client writes text in Latin-1.
        key = row["bytes"].encode().decode("latin-1")
        answer = routed.ask("a", "GET", "/view/1", Api_Key=key)
        found.append((row["bytes"], str(answer.status)))
    assert found == [(row["bytes"], row["answer"]) for row in context.table], found


@then('the log of "{name}" counts {count:d} keys of "{account}" that no header can carry')
def keys_are_counted(context, name, count, account):
    lines = fleet_of(context).lines(name, "account keys not usable")
    assert [(line["account"], line["count"]) for line in lines] == [(account, count)], lines
