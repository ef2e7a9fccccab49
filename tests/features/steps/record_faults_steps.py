"""Steps that set plain services up, and that befall them, their daemons and their records."""

import time

from behave import given, when

from standins.fleet import call, wait_until
from tests.operators import LEDGER, set_text
from tests.refunds import Refund, ledgers, look_up

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


def change(context, path, text):
    """Change a setting and wait until it is in force."""
    revision = set_text(context.fleet, path, text)
    for name in ("a", "b"):
        if name in context.fleet.processes:
            wait_until(
                "the settings are in force",
                lambda n=name: context.fleet.status(n)["settings"]["revision"] >= revision,
            )


def change_service(context, option):
    """Set an option of the plain service."""
    change(context, LEDGER, f"{SERVICE_TEXT}{option}\n")


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
    return look_up(context.fleet, "GET").headers.get("X-Backend")


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
    context.refund = Refund(context.fleet.processes[daemon].http, key).start()
    name = HOLDS[step][0]
    wait_until("it is held", lambda: context.fleet.counts(name)["holding"])


@when('refund "{key}" is posted through "{daemon}" until it waits for the first')
def post_repeat(context, key, daemon):
    def reads():
        return context.fleet.counts("kv")["counts"].get("get", 0)

    before = reads()
    context.repeat = Refund(context.fleet.processes[daemon].http, key).start()
    wait_until("it reads the record again", lambda: reads() > before)


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
    for name in ledgers(context.fleet):
        context.fleet.admin(name, NO_HOLD)


@when("the refund link to the {link} is cut")
def cut(context, link):
    context.fleet.admin(LINKS[link], {"mode": "cut"})


@when("the links are mended")
def mend(context):
    for name in LINKS.values():
        context.fleet.admin(name, {"mode": "pass"})


@when("the outcomes expire")
def outcomes_expire(context):
    # Time itself is what is tested here: more than the second for which outcomes are kept.
    time.sleep(1.5)


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
    for name in ledgers(context.fleet):
        context.fleet.admin(name, {"close_before": count})


@given("plain services close {count:d} calls after they ran")
def close_after(context, count):
    for name in ledgers(context.fleet):
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
    wait_until(
        "it is known", lambda: (look_up(context.fleet, "GET").status, backend(context)) == wanted
    )


@when("the plain service is listed again")
def listed_again(context):
    host = context.listed
    context.fleet.list_host("ledger-1", "plain", host["address"], "accra-1", "accra")
    version = call(context.fleet.processes["hosts"].http, "GET", "/hosts").json["version"]
    daemons = [name for name, host in context.fleet.hosts.items() if host["kind"] == "entry"]
    wait_until(
        "every daemon has read it",
        lambda: all(context.fleet.status(n)["hosts"]["version"] >= version for n in daemons),
    )
