"""Steps of calls that may not be repeated, and of what failed plain calls say."""

import json
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from standins.fleet import call, wait_until
from tests.randomfaults import RandomRun
from tests.refunds import check_answer, ledgers, look_up, post, times_run


def post_through(context, key, daemon, body=None):
    """Post a refund and keep its answer."""
    context.answer = post(context.fleet.processes[daemon].http, key, body)
    if "refund_answers" not in context:
        context.refund_answers = {}
    context.refund_answers.setdefault(key, []).append(context.answer)
    return context.answer


@when('refund "{key}" is posted through "{daemon}"')
def post_refund_through(context, key, daemon):
    post_through(context, key, daemon)


@when('refund "" is posted through "{daemon}"')
def post_without_key(context, daemon):
    post_through(context, "", daemon)


@when('refund "{key}" is posted through "{daemon}" with another body')
def post_other_body(context, key, daemon):
    post_through(context, key, daemon, {"refund": "another"})


@when('{count:d} refunds are each posted at once through "{names}"')
def post_many(context, count, names):
    daemons = names.split(", ")
    context.round = context.round + 1 if "round" in context else 1
    keys = [f"m-{context.round}-{number}" for number in range(count)]
    with ThreadPoolExecutor(24) as pool:
        tasks = {
            key: [pool.submit(post, context.fleet.processes[name].http, key) for name in daemons]
            for key in keys
        }
        context.many = {key: [task.result() for task in found] for key, found in tasks.items()}


@when('{count:d} refunds with long answers are posted through "{daemon}"')
def post_long(context, count, daemon):
    context.fleet.admin("ledger-1", {"padding": 1500})
    post_many(context, count, daemon)
    assert all(answer.status == 200 for [answer] in context.many.values()), context.many


@when(
    "{count:d} keys are posted again and again for {seconds:d} seconds "
    "under random faults with seed {seed:d}"
)
def random_run(context, count, seconds, seed):
    context.run = RandomRun(context.fleet, context.kv_link, count, seed)
    context.run.run(seconds)


def calls(context):
    """Return how many calls the plain services have run."""
    return sum(context.fleet.counts(name)["calls"] for name in ledgers(context.fleet))


@when('a balance is looked up with "{method}"')
def look_up_balance(context, method):
    context.calls_before = calls(context)
    context.answer = look_up(context.fleet, method)


@when("{count:d} balances are looked up")
def look_up_many(context, count):
    context.calls_before = calls(context)
    context.statuses = [look_up(context.fleet, "GET").status for _ in range(count)]


@then('the last answer is {status:d} "{reason}" with ran "{ran}"')
def last_answer(context, status, reason, ran):
    found = context.answer
    assert found.status == status, (found.status, found.body)
    assert (found.json["reason"], found.json["ran"]) == (reason, ran), found.body


@then("the last answer is {status:d}")
def last_status(context, status):
    assert context.answer.status == status, (context.answer.status, context.answer.body)


@then('the last answer does not say that "{key}" has not run')
def last_answer_true(context, key):
    assert times_run(context.fleet, key) == 1
    found = context.answer
    assert found.status == 200 or found.json["ran"] in ("yes", "unknown"), found.body


@then("the last answer says when to ask again")
def says_when(context):
    assert int(context.answer.headers["Retry-After"]) >= 1


@then('the posted refund says {status:d} "{reason}" and ran "{ran}"')
def posted_says(context, status, reason, ran):
    context.answer = context.refund.join().answer
    assert context.answer is not None, context.refund.broken
    last_answer(context, status, reason, ran)


@then("the repeat succeeds")
def repeat_succeeds(context):
    context.repeat.check_success()


@then("nothing ran")
def nothing_ran(context):
    assert not any(context.fleet.counts(name)["ran"] for name in ledgers(context.fleet))


@then("{count:d} calls ran")
def calls_ran(context, count):
    assert calls(context) - context.calls_before == count


@then("at most {count:d} calls ran")
def at_most_calls(context, count):
    ran = calls(context) - context.calls_before
    assert len(context.statuses) < ran <= count, f"{ran} calls ran"


@then('refund "{key}" ran at most once')
def ran_at_most_once(context, key):
    context.refund.join()
    assert times_run(context.fleet, key) <= 1, f"{key} ran {times_run(context.fleet, key)} times"


@then('refund "{key}" ran once')
def ran_once(context, key):
    context.refund.join()
    assert times_run(context.fleet, key) == 1, f"{key} ran {times_run(context.fleet, key)} times"


@then('every answer to "{key}" is true')
def answers_are_true(context, key):
    answers = context.refund_answers[key] + [a for a in [context.refund.answer] if a]
    for answer in answers:
        check_answer(key, answer)
    said = {a.json["ran"] for a in answers if a.status != 200}
    ran = times_run(context.fleet, key)
    assert ran or not any(a.status == 200 for a in answers), "a success that did not run"
    assert ran or "yes" not in said, "reported as run, but it was not"
    assert not ran or said != {"no"} or any(a.status == 200 for a in answers), "it did run"


@then('every post of "{key}" succeeded')
def posts_succeeded(context, key):
    for answer in context.refund_answers[key]:
        assert answer.status == 200, answer.body
        check_answer(key, answer)


@then('refund "{key}" succeeds through "{daemon}" in the end')
def succeeds_in_the_end(context, key, daemon):
    wait_until("it succeeds", lambda: post_through(context, key, daemon).status == 200)
    check_answer(key, context.answer)


@then("each of the {count:d} refunds ran 1 time and every post of it succeeded")
def each_ran_once(context, count):
    assert len(context.many) == count
    for key, answers in context.many.items():
        assert times_run(context.fleet, key) == 1, f"{key} ran {times_run(context.fleet, key)}"
        for answer in answers:
            assert answer.status == 200, (key, answer.body)
            check_answer(key, answer)


@when("the key-value service takes {seconds:g} seconds a call")
def slow_store(context, seconds):
    context.fleet.admin("kv", {"delay": seconds})


@then("each of the {count:d} refunds ran 1 time, and one post of it succeeded at least")
def each_ran_and_succeeded(context, count):
    none_twice(context)
    assert len(context.many) == count
    for key, answers in context.many.items():
        assert times_run(context.fleet, key) == 1, f"{key} ran {times_run(context.fleet, key)}"
        assert any(answer.status == 200 for answer in answers), [a.body for a in answers]


@then("no refund ran twice, and every answer was true")
def none_twice(context):
    for key, answers in context.many.items():
        ran = times_run(context.fleet, key)
        assert ran <= 1, f"{key} ran {ran} times"
        for answer in answers:
            check_answer(key, answer)
            said = "yes" if answer.status == 200 else answer.json["ran"]
            assert said != "yes" or ran, f"{key} did not run: {answer.body}"
        assert not ran or any(a.status == 200 or a.json["ran"] != "no" for a in answers)


@then('each of the {count:d} refunds succeeds through "{daemon}" in the end, and ran 1 time')
def each_succeeds(context, count, daemon):
    assert len(context.many) == count
    for key in context.many:
        succeeds_in_the_end(context, key, daemon)
        assert times_run(context.fleet, key) == 1, f"{key} ran {times_run(context.fleet, key)}"


@then("the records hold tombstones")
def hold_tombstones(context):
    kv = context.fleet.processes["kv"].http
    answer = call(kv, "GET", "/kv/list?prefix=/records/bottle-returns/")
    sizes = [len(entry["value"] or "") for entry in json.loads(answer.body)["entries"]]
    # A sealed segment is over 32 kB; its tombstones are a few hundred bytes.
    assert len(sizes) > 4 and min(sizes) < 1000, sizes


@then("no key ran twice and every answer was true")
def run_was_right(context):
    context.run.check()
