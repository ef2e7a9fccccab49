"""Steps of what daemons have in force, and of what the key-value service keeps."""

import asyncio
import time

from behave import then, when

from papayacourse.editor import Editor, checked_change
from papayacourse.watch import WATCH_PAUSE_SECONDS
from standins.fleet import call, wait_until
from tests.callers import bearer
from tests.operators import PLANNER, history, paths_at, service_text, store
from tests.steptext import names_in


@when("{count:d} changes are committed one after another")
def burst(context, count):
    editor = Editor(store(context.fleet), "burst")
    context.path = PLANNER
    context.burst_from = time.monotonic()
    context.watches = context.fleet.counts("kv")["counts"].get("watch", 0)

    async def write():
        for number in range(count):
            context.revision = await editor.write(
                [checked_change(PLANNER, service_text(100 + number))]
            )

    asyncio.run(write())


@then("each daemon has made at most one watch a second")
def few_watches(context):
    made = context.fleet.counts("kv")["counts"].get("watch", 0) - context.watches
    elapsed = time.monotonic() - context.burst_from
    daemons = sum("mesh" in process.ready for process in context.fleet.processes.values())
    assert made <= daemons * (elapsed / WATCH_PAUSE_SECONDS + 2), f"{made} watches in {elapsed} s"


@then('the planner\'s wait limit of 48 is in force at "{names}"')
def planner_in_force(context, names):
    for name in names_in(names):
        wait_until(
            f"{name} has the newer revision in force",
            lambda n=name: (
                paths_at(context.fleet, n).get(PLANNER, {}).get("revision")
                == context.second["revision"]
            ),
        )


@then('the key of "{path}" stands')
def key_stands(context, path):
    assert asyncio.run(store(context.fleet).get(path)).value is not None


@then('the key of "{path}" is gone')
def key_gone(context, path):
    assert asyncio.run(store(context.fleet).get(path)).value is None
    assert history(context.fleet, path) == []


@when("somebody commits {days:d} days later")
def commit_later(context, days):
    later = Editor(store(context.fleet), "later", lambda: time.time() + days * 24 * 3600)
    asyncio.run(later.write([checked_change(PLANNER, service_text(52))]))


@when('daemons "{names}" start in domain "{domain}" of region "{region}"')
def start_more(context, names, domain, region):
    for name in names_in(names):
        context.fleet.daemon(name, domain, region)


@then('daemon "{name}" has the same settings in force as daemon "{other}"')
def same_settings(context, name, other):
    def same():
        mine, theirs = (context.fleet.status(n)["settings"] for n in (name, other))
        return mine["digest"] == theirs["digest"] and mine["paths"] == 12

    wait_until(f"{name} has what {other} has", same, limit=14.0)
    assert paths_at(context.fleet, name) == paths_at(context.fleet, other)


@then('the change is in force at "{names}" within {limit:d} seconds')
@then('the deletion is in force at "{names}" within {limit:d} seconds')
def in_force(context, names, limit):
    assert "done" not in context or context.done.returncode == 0, context.done.stderr
    deleted = "done" in context and context.done.args[-4] == "delete"

    def everywhere():
        states = [paths_at(context.fleet, name)[context.path] for name in names_in(names)]
        return all(s["revision"] >= context.revision and s["deleted"] == deleted for s in states)

    wait_until(f"{context.path} is in force", everywhere, limit)


@then('no daemon of "{names}" goes back for {seconds:d} seconds')
def never_back(context, names, seconds):
    fleet, deadline = context.fleet, time.monotonic() + seconds
    before = {name: paths_at(fleet, name) for name in names_in(names)}
    while time.monotonic() < deadline:
        for name, known in before.items():
            now = paths_at(fleet, name)
            for path, state in known.items():
                assert now[path]["revision"] >= state["revision"], (name, path)
                assert now[path]["deleted"] == state["deleted"], (name, path)
        time.sleep(0.1)


@then(
    'account "{account}" is refused with status {status:d} and reason "{reason}" through "{name}"'
)
def refused(context, account, status, reason, name):
    headers = bearer(account)
    body = {"model": "planner", "prompt": "x"}
    address = context.fleet.processes[name].http
    answer = call(address, "POST", "/v1/completions", body, headers)
    assert answer.status == status, answer
    assert answer.json["reason"] == reason and answer.json["ran"] == "no", answer.json
