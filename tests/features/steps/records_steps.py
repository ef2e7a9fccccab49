"""Steps of calls that may not be repeated, and of what failed plain calls say."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from standins.fleet import call, wait_until
from tests.callers import KEYS
from tests.randomfaults import RandomRun
from tests.refunds import Refund, check_answer, post, times_run

SETTINGS_PATHS = 12
SERVICE = "/teams/bottle-returns/services/deposit-ledger"
SERVICE_TEXT = "[service]\nkind = plain\nnon_repeatable = POST /refunds*\n"
FREEZE_TIME = 11.0  # seconds, longer than every time-out on the way
HOLDS = {
    "the intent is written": ("kv", {"hold_before": True, "hold_skip": 0}),
    "the intent is confirmed": ("kv", {"hold_after": True, "hold_skip": 0}),
    "the call is on its way": ("ledger-1", {"hold_before": True}),
    "the answer is awaited": ("ledger-1", {"hold_after": True}),
    "the outcome is written": ("kv", {"hold_before": True, "hold_skip": 1}),
    "the outcome is confirmed": ("kv", {"hold_after": True, "hold_skip": 1}),
}
NO_HOLD = {"hold_before": False, "hold_after": False}
LINKS = {"platform": "link-kv", "service": "link-ledger-1"}


def ledgers(context):
    """Return the names of the plain services."""
    return [name for name in context.fleet.processes if name.startswith("ledger")]


def address(context, daemon):
    """Return where a daemon serves callers."""
    return context.fleet.processes[daemon].http


def post_through(context, key, daemon, body=None):
    """Post a refund and keep its answer."""
    context.answer = post(address(context, daemon), key, body)
    if "refund_answers" not in context:
        context.refund_answers = {}
    context.refund_answers.setdefault(key, []).append(context.answer)
    return context.answer


def change_service(context, option):
    """Set an option of the plain service and wait until it is in force."""
    done = context.fleet.settings("set", SERVICE, text=f"{SERVICE_TEXT}{option}\n")
    assert done.returncode == 0, done.stderr
    revision = int(done.stdout.rsplit(" ", 1)[1])
    for name in ("a", "b"):
        if name in context.fleet.processes:
            wait_until(
                "the settings are in force",
                lambda n=name: context.fleet.status(n)["settings"]["revision"] >= revision,
            )


@given('a plain service "{name}" behind a proxy in domain "{domain}"')
def plain_behind_proxy(context, name, domain):
    process = context.fleet.standin("plainservice", name)
    link = context.fleet.proxy(f"link-{name}", process.http)
    context.fleet.list_host(name, "plain", link.ready["address"], domain, "accra")


@given('a second plain service "{name}"')
def second_plain(context, name):
    plain_behind_proxy(context, name, "accra-1")
    refuse_connections(context, 200)
    listed_again(context)
    wait_until("the first is known", lambda: backend(context) == "ledger-1")


def backend(context):
    """Return who answers a repeatable call."""
    return look_up(context, "GET").headers.get("X-Backend")


@given('a daemon "{name}" with the platform behind a proxy in domain "{domain}"')
def daemon_behind_proxy(context, name, domain):
    link = context.fleet.proxy("link-kv", context.fleet.processes["kv"].http)
    context.kv_link = link.ready["address"]
    context.fleet.daemon(name, domain, "accra", kv=context.kv_link)
    context.fleet.wait_settled(name, paths=12)


@given("calls are held while {step}")
def hold(context, step):
    name, switches = HOLDS[step]
    context.fleet.admin(name, switches)


@when('refund "{key}" is being posted through "{daemon}" and is held while {step}')
def post_held(context, key, daemon, step):
    context.refund = Refund(address(context, daemon), key).start()
    name = HOLDS[step][0]
    wait_until("it is held", lambda: context.fleet.counts(name)["holding"])


@when('the fault befalls daemon "{name}": {fault}')
def befall(context, name, fault):
    process = context.fleet.processes[name]
    context.fault, context.fault_time = fault, time.monotonic()
    if fault == "killed":
        process.kill()
    else:
        process.freeze()


@when('daemon "{name}" is brought back')
def bring_back(context, name):
    if context.fault == "killed":
        context.fleet.daemon(name, "accra-1", "accra", kv=context.kv_link)
        context.fleet.wait_settled(name, paths=12)
        return
    # The time itself is what is tested: the sleep must outlast every time-out.
    time.sleep(max(0.0, context.fault_time + FREEZE_TIME - time.monotonic()))
    context.fleet.processes[name].thaw()
    wait_until("it is awake", lambda: context.fleet.status(name)["ready"])


@when("nothing is held any more")
def unhold(context):
    context.fleet.admin("kv", NO_HOLD)
    for name in ledgers(context):
        context.fleet.admin(name, NO_HOLD)


@when("the refund link to the {link} is cut")
def cut(context, link):
    context.fleet.admin(LINKS[link], {"mode": "cut"})


@when("the links are mended")
def mend(context):
    for name in LINKS.values():
        context.fleet.admin(name, {"mode": "pass"})


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
            key: [pool.submit(post, address(context, name), key) for name in daemons]
            for key in keys
        }
        context.many = {key: [task.result() for task in found] for key, found in tasks.items()}


@when('{count:d} refunds with long answers are posted through "{daemon}"')
def post_long(context, count, daemon):
    context.fleet.admin("ledger-1", {"padding": 1500})
    post_many(context, count, daemon)
    assert all(answer.status == 200 for [answer] in context.many.values()), context.many


@when("the outcomes expire")
def outcomes_expire(context):
    # Time itself is what is tested here: more than the second for which outcomes are kept.
    time.sleep(1.5)


@when(
    "{count:d} keys are posted again and again for {seconds:d} seconds "
    "under random faults with seed {seed:d}"
)
def random_run(context, count, seconds, seed):
    context.run = RandomRun(context.fleet, context.kv_link, count, seed)
    context.run.run(seconds)


@given("the key-value service loses {count:d} answers after {skipped:d} writes of records")
def lose_answers(context, count, skipped):
    switches = {"lose_answers": count, "lose_prefix": "/records", "lose_skip": skipped}
    context.fleet.admin("kv", switches)


@given("the key-value service is down")
def kv_down(context):
    context.fleet.admin("kv", {"outage": True})


@given("outcomes are kept for {seconds:d} seconds")
def short_retention(context, seconds):
    change_service(context, f"record_retention = {seconds}")


@given("plain calls may take {seconds:d} seconds")
def short_calls(context, seconds):
    change_service(context, f"call_timeout = {seconds}")


@given("plain services take {seconds:d} seconds to answer")
def slow_plain(context, seconds):
    context.fleet.admin("ledger-1", {"delay": seconds})


@given("plain services close {count:d} calls before they run")
def close_before(context, count):
    for name in ledgers(context):
        context.fleet.admin(name, {"close_before": count})


@given("plain services close {count:d} calls after they ran")
def close_after(context, count):
    for name in ledgers(context):
        context.fleet.admin(name, {"close_after": count})


@given('plain service "{name}" alone closes {count:d} calls after they ran')
def close_calls_of_one(context, name, count):
    context.fleet.admin(name, {"close_after": count})


@given('plain services answer with the id "{name}"')
def wrong_answer(context, name):
    context.fleet.admin("ledger-1", {"answer_id": name})


@given("plain services answer with {count:d} bytes more")
def long_answer(context, count):
    context.fleet.admin("ledger-1", {"padding": count})


@given("the plain service is listed at an address that refuses connections")
def refuse_connections(context, status=503):
    context.listed = dict(context.fleet.hosts["ledger-1"])
    # Port 1 of loopback is bound by nobody.
    context.fleet.list_host("ledger-1", "plain", "127.0.0.1:1", "accra-1", "accra")
    wanted = (status, None if status == 503 else "ledger-2")
    wait_until("it is known", lambda: (look_up(context, "GET").status, backend(context)) == wanted)


@when("the plain service is listed again")
def listed_again(context):
    host = context.listed
    context.fleet.list_host("ledger-1", "plain", host["address"], "accra-1", "accra")


def calls(context):
    """Return how many calls the plain services have run."""
    return sum(context.fleet.counts(name)["calls"] for name in ledgers(context))


def look_up(context, method):
    """Make a repeatable call through daemon a."""
    headers = {"Authorization": f"Bearer {KEYS['depots']}"}
    path = "/services/deposit-ledger/balances/7"
    return call(address(context, "a"), method, path, b"", headers)


@when('a balance is looked up with "{method}"')
def look_up_balance(context, method):
    context.calls_before = calls(context)
    context.answer = look_up(context, method)


@when("{count:d} balances are looked up")
def look_up_many(context, count):
    context.calls_before = calls(context)
    context.statuses = [look_up(context, "GET").status for _ in range(count)]


@then('the last answer is {status:d} "{reason}" with ran "{ran}"')
def last_answer(context, status, reason, ran):
    found = context.answer
    assert found.status == status, (found.status, found.body)
    assert (found.json["reason"], found.json["ran"]) == (reason, ran), found.body


@then("the last answer is {status:d}")
def last_status(context, status):
    assert context.answer.status == status, (context.answer.status, context.answer.body)


@then("the last answer says when to ask again")
def says_when(context):
    assert int(context.answer.headers["Retry-After"]) >= 1


@then('the posted refund says {status:d} "{reason}" and ran "{ran}"')
def posted_says(context, status, reason, ran):
    context.answer = context.refund.join().answer
    assert context.answer is not None, context.refund.broken
    last_answer(context, status, reason, ran)


@then("nothing ran")
def nothing_ran(context):
    assert not any(context.fleet.counts(name)["ran"] for name in ledgers(context))


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


@given('daemon "{name}" in domain "{domain}" reaches the key-value service through a proxy')
def daemon_behind_proxy(context, name, domain):
    fleet = context.fleet
    way = fleet.proxy("way-kv", fleet.processes["kv"].http)
    fleet.daemon(name, domain, "accra", kv=way.ready["address"])
    fleet.wait_settled("a", name, paths=SETTINGS_PATHS)


@when('the plain service is deleted, and set again while "{name}" cannot read it')
def service_anew(context, name):
    fleet = context.fleet
    account = "/teams/bottle-returns/accounts/depots"
    paths = (account, SERVICE.replace("services", "deployments"), SERVICE)
    for path in paths:
        done = fleet.settings("delete", path)
        assert done.returncode == 0, done.stderr

    def knows(daemon, count):
        return fleet.status(daemon)["settings"]["paths"] == count

    left = SETTINGS_PATHS - len(paths)
    wait_until("both know", lambda: knows("a", left) and knows(name, left))
    fleet.admin("way-kv", {"mode": "cut"})
    fleet.apply("examples/bottle-returns.ini")
    wait_until("the first knows", lambda: knows("a", SETTINGS_PATHS))


@when('{count:d} refunds are posted at once through "{daemon}"')
def refunds_at_once(context, count, daemon):
    keys = [f"at-once-{number}" for number in range(count)]
    with ThreadPoolExecutor(count) as pool:
        context.at_once = list(pool.map(lambda key: post(address(context, daemon), key), keys))


@then("every one of them succeeds")
def all_succeed(context):
    answers = [(answer.status, answer.body) for answer in context.at_once]
    assert all(status == 200 for status, _ in answers), answers
