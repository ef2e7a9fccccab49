"""Steps about the room that records take in the key-value service."""

import json
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from itertools import count

from behave import given, then, when

from papayacourse.buckets import BUCKETS_PER_TEAM, unpack
from papayacourse.kvstore import Entry
from standins.fleet import call, wait_until
from tests.features.steps.record_faults_steps import change
from tests.refunds import check_answer, post, times_run

TEAM = "/teams/bottle-returns"
PADDING = 1500  # bytes, so that an answer is kept and some ten of them seal a segment
WAVE = 24  # refunds at once
MAX_WAVES = 40
ROOM_LIMIT = 90.0  # seconds
MARGIN = 1.0  # seconds


@given('the team\'s option "{option}" is {value}')
def team_option(context, option, value):
    change(context, TEAM, f"[team]\nstate = open\n{option} = {value}\n")


def post_all(context, keys, daemon):
    """Post refunds with long answers, some at once; returns their answers by key."""
    context.fleet.admin("ledger-1", {"padding": PADDING})
    address = context.fleet.processes[daemon].http
    with ThreadPoolExecutor(WAVE) as pool:
        return dict(zip(keys, pool.map(lambda key: post(address, key), keys), strict=True))


@when('refunds with long answers are posted through "{daemon}" until one is refused')
def post_until_refused(context, daemon):
    context.taken = {}
    for wave in range(MAX_WAVES):
        answers = post_all(context, [f"w-{wave}-{n}" for n in range(WAVE)], daemon)
        context.taken |= {key: a for key, a in answers.items() if a.status == 200}
        refused = [key for key, a in answers.items() if a.status != 200]
        if refused:
            break
    assert refused, "none was refused"
    context.refused, context.answer = refused[0], answers[refused[0]]


@then("the refused refund ran 0 times")
def refused_not_run(context):
    assert times_run(context.fleet, context.refused) == 0


@then('every other one ran 1 time, and its repeat through "{daemon}" gets the same answer')
def others_ran(context, daemon):
    again = post_all(context, list(context.taken), daemon)
    for key, answer in context.taken.items():
        assert times_run(context.fleet, key) == 1, key
        assert (again[key].status, again[key].body) == (200, answer.body), again[key].body


@then('the refused refund succeeds through "{daemon}" in the end and ran 1 time')
def refused_succeeds(context, daemon):
    address = context.fleet.processes[daemon].http
    found = []

    def succeeds():
        found.append(post(address, context.refused))
        return found[-1].status == 200

    wait_until("it succeeds", succeeds, ROOM_LIMIT)
    check_answer(context.refused, found[-1])
    assert times_run(context.fleet, context.refused) == 1


@then('every other one is refused by "{one}" and "{other}" with "{reason}" and ran "{ran}"')
def others_refused(context, one, other, reason, ran):
    check_refused(context, list(context.taken), (one, other), reason, ran)


def check_refused(context, keys, daemons, reason, ran):
    """Check that each key is refused by each daemon, and ran once in all."""
    for daemon in daemons:
        answers = post_all(context, keys, daemon)
        found = Counter((a.json.get("reason"), a.json.get("ran")) for a in answers.values())
        assert found == {(reason, ran): len(keys)}, (daemon, found)
    for key in keys:
        assert times_run(context.fleet, key) == 1, (key, times_run(context.fleet, key))


@when('{number:d} long refunds are each posted at once through "{one}, {other}"')
def post_through_both(context, number, one, other):
    context.waves = context.waves if "waves" in context else count(1)
    wave = next(context.waves)
    keys = [f"long-{wave}-{n}" for n in range(number)]
    with ThreadPoolExecutor(2) as pool:
        both = pool.map(lambda name: post_all(context, keys, name), (one, other))
        for name, answers in zip((one, other), both, strict=True):
            for key, answer in answers.items():
                if answer.status != 200:
                    ask_again(context, name, key, answer)
    context.long = [*(context.long if "long" in context else []), *keys]


def ask_again(context, daemon, key, answer):
    """Post a refund again, as its caller may, when the first answer was still to come."""
    assert (answer.status, answer.json.get("reason")) == (409, "in_progress"), answer.body
    address = context.fleet.processes[daemon].http
    wait_until("its outcome is there", lambda: post(address, key).status == 200)


@when("the {seconds:d} seconds of the outcomes have passed")
def retention_passed(context, seconds):
    # Time itself is what is tested.
    time.sleep(seconds + MARGIN)


@then("each of the {number:d} long refunds ran 1 time")
def long_ran(context, number):
    assert len(context.long) == number
    for key in context.long:
        assert times_run(context.fleet, key) == 1, (key, times_run(context.fleet, key))


@then(
    'the first {number:d} are refused by "{one}", "{two}" and "{three}" '
    'with "{why}" and ran "{ran}"'
)
def first_refused(context, number, one, two, three, why, ran):
    check_refused(context, context.long[:number], (one, two, three), why, ran)


def segments(context):
    """Return the segments of the team's records as the key-value service has them."""
    kv = context.fleet.processes["kv"].http
    answer = call(kv, "GET", "/kv/list?prefix=/records/bottle-returns/")
    return json.loads(answer.body)["entries"]


@then("each bucket has more than {number:d} segments of tombstones")
def many_tombstones(context, number):
    found = Counter()
    for entry in segments(context):
        segment = unpack(Entry(entry["key"], entry["value"], 0))
        found[entry["key"].split("/")[3]] += segment.is_compacted
    assert len(found) == BUCKETS_PER_TEAM and min(found.values()) > number, found


@then("the oldest segments are deleted")
def oldest_deleted(context):
    gone = [entry["key"] for entry in segments(context) if entry["value"] is None]
    assert any(key.endswith("/00000000") for key in gone), gone
