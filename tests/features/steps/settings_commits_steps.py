"""Steps of commits of several paths, raced, stopped midway and read back."""

import asyncio
import time

import numpy as np
from behave import given, then, when

from papayacourse.commits import COMMIT_KEY, Commit, CommittedChange, commit_text, read_stored
from papayacourse.editor import Editor, checked_change
from papayacourse.exceptions import SettingsConflict, SettingsOutcomeUnknown
from papayacourse.history import MAX_REVISIONS
from standins.fleet import wait_until
from tests.operators import (
    HIREDESK,
    LEDGER,
    PLANNER,
    entries,
    history,
    paths_at,
    service_text,
    store,
)

LIMIT = 30.0  # seconds
MAX_TURNS = 10  # changes that each operator tries


@given("the key-value service loses {count:d} answer of every {writes:d} writes")
def lose_some(context, count, writes):
    context.loses = writes


@when(
    "{count:d} operators commit {changes:d} changes of random paths each, "
    "some of them stopped midway, seed {seed:d}"
)
def random_commits(context, count, changes, seed):
    kv = store(context.fleet)
    context.reported, context.stopped, context.refused = {}, {}, 0
    texts = {PLANNER: "model", HIREDESK: "plain", LEDGER: "plain"}

    operators = [
        (Editor(kv, f"operator-{number}"), np.random.default_rng([seed, number]))
        for number in range(count)
    ]

    async def change(number, turn):
        editor, random = operators[number]
        if random.integers(context.loses) == 0:
            context.fleet.admin("kv", {"lose_answers": 1})
        paths = list(random.choice(list(texts), random.integers(1, 4), replace=False))
        mark = 1000 + number * 100 + turn
        batch = {str(path): service_text(mark, texts[path]) for path in paths}
        work = editor.write([checked_change(path, text) for path, text in batch.items()])
        limit = random.uniform(0.0, 0.03) if random.integers(2) == 0 else LIMIT
        try:
            revision = await asyncio.wait_for(work, limit)
            context.reported[mark] = (revision, batch)
        except (TimeoutError, SettingsOutcomeUnknown):
            context.stopped[mark] = batch
        except SettingsConflict:
            context.refused += 1

    async def all_operators():
        # How the operators meet depends on the machine: they go on until all that can happen to
        # a commit has happened.
        for turn in range(MAX_TURNS):
            await asyncio.gather(*(change(number, turn) for number in range(count)))
            had_all = context.reported and context.stopped and context.refused
            if had_all and turn + 1 >= changes:
                return

    asyncio.run(all_operators())
    context.fleet.admin("kv", {"lose_answers": 0})
    counts = len(context.reported), len(context.stopped), context.refused
    assert all(counts), f"the race was none: {counts} written, unknown and refused"


@then("each commit that was reported written stands once in the history of each of its paths")
def reported_once(context):
    context.histories = {path: history(context.fleet, path) for path in (PLANNER, HIREDESK, LEDGER)}
    for revision, batch in context.reported.values():
        for path, text in batch.items():
            found = [one["revision"] for one in context.histories[path] if one["text"] == text]
            assert found == [revision], (path, text, revision, found)


@then("each commit that was stopped stands in all of its paths' histories or in none")
def stopped_whole(context):
    for batch in context.stopped.values():
        found = [
            {one["revision"] for one in context.histories[path] if one["text"] == text}
            for path, text in batch.items()
        ]
        assert all(one == found[0] and len(one) <= 1 for one in found), (batch, found)


@then("each path holds the text of the last commit in its history")
def holds_last(context):
    now = entries(context.fleet)
    known = {text for _, batch in context.reported.values() for text in batch.values()}
    known |= {text for batch in context.stopped.values() for text in batch.values()}
    for path, revisions in context.histories.items():
        numbers = [one["revision"] for one in revisions]
        assert len(set(numbers)) == len(numbers) < MAX_REVISIONS, f"numbers {numbers}"
        strangers = {one["text"] for one in revisions[1:]} - known - {service_text(49)}
        assert not strangers, f"reported as not written, but written: {strangers}"
        stored = read_stored(asyncio.run(store(context.fleet).get(path))).value
        assert (stored.revision, stored.text) == (numbers[-1], revisions[-1]["text"]), path
        assert now[path]["text"] == stored.text, path


@when("an operator commits new wait limits of planner and hiredesk and stops there")
def commit_and_stop(context):
    kv = store(context.fleet)
    changes = (
        CommittedChange(PLANNER, service_text(70)),
        CommittedChange(HIREDESK, service_text(70, "plain")),
    )
    commit = Commit("stopped", "obi", time.time(), changes)

    async def write():
        current = await kv.get(COMMIT_KEY)
        return await kv.swap(COMMIT_KEY, commit_text(commit), current.revision)

    context.committed = asyncio.run(write()).revision


@then('daemon "{name}" has both of them in force at that revision')
def has_both(context, name):
    def both():
        paths = paths_at(context.fleet, name)
        return {paths[PLANNER]["revision"], paths[HIREDESK]["revision"]} == {context.committed}

    wait_until("both paths are in force", both)


@then("the paths' own keys hold both changes in turn")
def own_keys(context):
    hiredesk = read_stored(asyncio.run(store(context.fleet).get(HIREDESK))).value
    assert (hiredesk.revision, hiredesk.author) == (context.committed, "obi"), hiredesk
    assert hiredesk.text == service_text(70, "plain")
    assert [one["text"] for one in history(context.fleet, PLANNER)][-2:] == [
        service_text(70),
        service_text(44),
    ]
