"""Steps of settings when the platform fails or holds what no command has written."""

import asyncio

from behave import given, then, when

from papayacourse.commits import Commit, CommittedChange, stored_text
from papayacourse.history import remove_history
from papayacourse.kvstore import Written
from standins.fleet import call, wait_until
from tests.balancer import is_ready
from tests.callers import bearer
from tests.operators import PLANNER, history, paths_at, store
from tests.steptext import names_in


@when("the key-value service loses the answers of the next {count:d} writes")
def lose_answers(context, count):
    context.fleet.admin("kv", {"lose_answers": count})


@when("the key-value service goes out of service")
def kv_outage(context):
    context.fleet.admin("kv", {"outage": True})


@when('somebody writes "{text}" directly to "{path}"')
def write_directly(context, text, path):
    context.good = paths_at(context.fleet, "a")[path]["revision"]
    context.bad_path = path
    kv = store(context.fleet)

    async def write():
        return await kv.swap(path, text.replace("\\n", "\n"), (await kv.get(path)).revision)

    context.bad = asyncio.run(write()).revision


@then('daemon "{name}" shows the path as rejected with the earlier revision in force')
def shows_rejected(context, name):
    def rejected():
        state = paths_at(context.fleet, name).get(context.bad_path)
        return state and state["rejected"] and state["revision"] == context.good and state

    state = wait_until("the bad value is shown", rejected)
    assert state["newest"] == context.bad and "nonsense" in state["rejected"][0], state
    assert context.bad_path in context.fleet.status(name)["settings"]["rejected"]
    others = {p: s for p, s in paths_at(context.fleet, name).items() if p != context.bad_path}
    assert not any(state["rejected"] for state in others.values())


@given("the history of the planner is gone from the platform")
def remove_planner_history(context):
    asyncio.run(remove_history(store(context.fleet), PLANNER, 1 << 60))
    assert history(context.fleet, PLANNER) == []


@when("somebody puts the planner's first value back as the key-value service held it")
def put_back(context):
    kv = store(context.fleet)
    first, context.second = history(context.fleet, PLANNER)
    change = CommittedChange(PLANNER, first["text"])
    commit = Commit(first["batch"], first["author"], first["at"], (change,))

    async def write():
        current = await kv.get(PLANNER)
        return await kv.swap(
            PLANNER, stored_text(commit, first["revision"], change), current.revision
        )

    assert isinstance(asyncio.run(write()), Written)


@when('the key-value service is out while "{path}" goes')
def compacted(context, path):
    context.fleet.admin("kv", {"outage": True})
    wait_until(
        "the watch has failed",
        lambda: "failed to watch settings" in (context.fleet.path / "a.log").read_text(),
    )
    context.fleet.admin("kv", {"compact": [path], "outage": False})


@then('daemon "{name}" has {count:d} paths, and "{path}" is deleted there')
def missing_deleted(context, name, count, path):
    wait_until(
        f"{path} is deleted",
        lambda: context.fleet.status(name)["settings"]["paths"] == count,
        limit=14.0,
    )
    assert paths_at(context.fleet, name)[path]["deleted"]


@given('daemons "{names}" in domain "{domain}" of region "{region}" behind a proxy to the platform')
def start_behind_proxy(context, names, domain, region):
    fleet = context.fleet
    addresses = {
        kind: fleet.proxy(f"{kind}-proxy", fleet.processes[kind].http).ready["address"]
        for kind in ("kv", "hosts")
    }
    for name in names_in(names):
        fleet.daemon(name, domain, region, **addresses)
    for name in names_in(names):
        wait_until(
            f"{name} sees a peer of each domain",
            lambda n=name: (
                {p["domain"] for p in fleet.status(n)["peers"] if p["alive"]}
                >= {"lagos-1", "lagos-2"}
            ),
        )


@when("the proxy to the platform is cut")
def cut(context):
    for kind in ("kv", "hosts"):
        context.fleet.admin(f"{kind}-proxy", {"mode": "cut"})


@when("the proxy to the platform is whole again")
def heal(context):
    for kind in ("kv", "hosts"):
        context.fleet.admin(f"{kind}-proxy", {"mode": "pass"})


@when('daemon "{name}" starts in domain "{domain}" with a dead platform and "{seed}" as its seed')
def start_dead(context, name, domain, seed):
    fleet = context.fleet
    dead = fleet.proxy("dead", "127.0.0.1:1")
    fleet.admin("dead", {"mode": "cut"})
    address = dead.ready["address"]
    seeds = [fleet.processes[seed].ready["mesh"]]
    fleet.daemon(name, domain, "lagos", seeds, kv=address, hosts=address)


@when('daemon "{name}" starts in domain "{domain}" with a dead platform and no seed')
def start_alone(context, name, domain):
    fleet = context.fleet
    address = fleet.proxy("dead", fleet.processes["kv"].http).ready["address"]
    fleet.admin("dead", {"mode": "cut"})
    fleet.daemon(name, domain, "lagos", kv=address)


def models(context, account, name):
    """Ask a daemon for the models of an account."""
    headers = bearer(account)
    return call(context.fleet.processes[name].http, "GET", "/v1/models", headers=headers)


@then('"{name}" is not ready, and account "{account}" is told to ask again')
def not_ready(context, name, account):
    assert call(context.fleet.processes[name].http, "GET", "/readyz").status == 503
    answer = models(context, account, name)
    assert answer.status == 503 and int(answer.headers["Retry-After"]) >= 1, answer
    assert answer.json["reason"] == "no_settings" and answer.json["ran"] == "no", answer


@when("the dead platform comes to life")
def comes_to_life(context):
    context.fleet.admin("dead", {"mode": "pass"})


@then('"{name}" is ready and knows account "{account}" within {limit:d} seconds')
def gets_ready(context, name, account, limit):
    address = context.fleet.processes[name].http
    wait_until("ready", lambda: is_ready(address), limit)
    assert models(context, account, name).status == 200
