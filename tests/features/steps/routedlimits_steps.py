"""Steps about the limits that servers name for all daemons together."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

from attrs import frozen
from behave import given, then, when
from routed_steps import fleet_of

from standins.fleet import call

WINDOW = 4.0  # seconds
LEARN_TIME = 4.0  # seconds from the first answer that names a limit until it binds all daemons
OVERSHOOT = 1.5  # of what the limit allows in a window, in addition to SLACK
SLACK = 5  # requests
CALLERS = 4  # concurrent callers of each daemon
ids = itertools.count(1)


@frozen
class Named:
    """A limit, and when the server began to name it."""

    rate: float
    since: float


@frozen
class Outcome:
    """What a caller got, and how long it waited, in seconds."""

    status: int
    seconds: float
    retry_after: float | None


def names(text: str) -> list[str]:
    """Return the names of a list."""
    return [name.strip() for name in text.split(",")]


def ask(context, daemon: str, method: str, path: str, **more) -> Outcome:
    """Send one call, and return what came of it."""
    fleet = fleet_of(context)
    headers = fleet.headers(X_Attempt_Id=f"limits-{next(ids)}", **more)
    began = time.monotonic()
    answer = call(fleet.address(daemon), method, path, None, headers)
    found = {name.lower(): value for name, value in answer.headers.items()}.get("retry-after")
    return Outcome(answer.status, time.monotonic() - began, float(found) if found else None)


def press(context, daemons: str, rate: float, seconds: float, method: str, path: str, **more):
    """Send calls through daemons at a rate each; return the outcomes."""
    ends = time.monotonic() + seconds

    def caller(daemon: str) -> list[Outcome]:
        found = []
        while time.monotonic() < ends:
            began = time.monotonic()
            found.append(ask(context, daemon, method, path, **more))
            time.sleep(max(0.0, began + CALLERS / rate - time.monotonic()))
        return found

    callers = [name for name in names(daemons) for _ in range(CALLERS)]
    with ThreadPoolExecutor(len(callers)) as pool:
        return [outcome for found in pool.map(caller, callers) for outcome in found]


def allowance(context, begin: float, end: float) -> float:
    """Return how many requests the named limits allow in a window."""
    allowed = 0.0
    spans = [*context.named, Named(0.0, float("inf"))]
    for span, following in itertools.pairwise(spans):
        allowed += span.rate * max(0.0, min(end, following.since) - max(begin, span.since))
    return allowed


@given('routed daemons "{daemons}" in "{domain}" that hear no peer')
def daemons_apart(context, daemons, domain):
    for number, name in enumerate(names(daemons)):
        key = f"{number}" * 20
        fleet_of(context).daemon(name, domain, most_seeds=0, mesh_key=key)


@when('"{engine}" limits all daemons together to {rate:g} requests a second')
def limit_server(context, engine, rate):
    context.fleet.admin(engine, {"limit": rate})
    context.named = [*getattr(context, "named", []), Named(rate, time.monotonic())]


@when('"{engine}" names no limit any more')
def lift_limit(context, engine):
    context.fleet.admin(engine, {"limit": ""})


@when('"{engine}" names the limit "{text}"')
def garbled_limit(context, engine, text):
    context.fleet.admin(engine, {"limit": text})


@when('each of "{daemons}" gets {rate:g} calls of "{path}" a second for {seconds:g} s')
def press_calls(context, daemons, rate, path, seconds):
    method = "POST" if path.startswith("/book/") else "GET"
    context.outcomes = press(context, daemons, rate, seconds, method, path)
    context.pressed_until = time.monotonic()


@when('each of "{daemons}" gets {rate:g} plans a second for {seconds:g} s')
def press_plans(context, daemons, rate, seconds):
    more = {"X_Model": "m", "X_Token_Counts": "100,5"}
    context.outcomes = press(context, daemons, rate, seconds, "POST", "/plans/1", **more)
    context.pressed_until = time.monotonic()


@then('each of "{daemons}" gets {rate:g} calls of "{path}" a second for {seconds:g} s, all answered 200')  # noqa: E501  # fmt: skip
def press_served(context, daemons, rate, path, seconds):
    found = press(context, daemons, rate, seconds, "POST", path)
    assert {outcome.status for outcome in found} == {200}, found


@then('"{engine}" got no more than its limit allows, in any 4 s')
def limit_kept(context, engine):
    bound_from = context.named[0].since + LEARN_TIME
    times = sorted(context.fleet.counts(engine)["request_times"])
    for begin in (t for t in times if t >= bound_from):
        got = sum(begin <= t < begin + WINDOW for t in times)
        allowed = OVERSHOOT * allowance(context, begin, begin + WINDOW) + SLACK
        after = round(begin - context.named[0].since, 2)
        assert got <= allowed, f"{got} requests in 4 s from {after} s on; allowed {allowed:.1f}"


@then('"{daemon}" has sent no request since its start without knowing the limit')
def knew_limit(context, daemon):
    fleet = fleet_of(context)
    started_at = fleet.lines(daemon, "started")[-1]["timestamp"]
    sent = [line for line in fleet.lines(daemon, "sent") if line["timestamp"] > started_at]
    assert all(line["limit"] is not None for line in sent), sent


@then('"{engine}" got at least {part:g} of its limit')
def limit_used(context, engine, part):
    begin = context.named[0].since + LEARN_TIME
    times = context.fleet.counts(engine)["request_times"]
    got = sum(begin <= t < context.pressed_until for t in times)
    wanted = part * allowance(context, begin, context.pressed_until)
    assert got >= wanted, f"{got} requests came, {wanted:.1f} wanted"


@then("every call was answered 200")
def all_served(context):
    statuses = {outcome.status for outcome in context.outcomes}
    assert statuses == {200}, statuses


@then("every call that was not answered 200 was refused within {seconds:g} s and told when to come again")  # noqa: E501  # fmt: skip
def refused_at_once(context, seconds):
    refused = [outcome for outcome in context.outcomes if outcome.status != 200]
    assert refused, "no call was refused"
    for outcome in refused:
        assert outcome.status == 503, outcome
        assert outcome.seconds < seconds, outcome
        assert outcome.retry_after is not None and outcome.retry_after > 0, outcome
