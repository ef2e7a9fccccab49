"""Steps about what engines say of themselves in their answers."""

import time

from behave import then, when
from routed_steps import fleet_of

from standins.fleet import wait_until


def arrivals(context, engine) -> int:
    """Return how many calls have come to an engine."""
    return len(context.fleet.counts(engine)["arrivals"])


@when('"{engine}" says in its answers that it leaves')
def says_leaving(context, engine):
    context.fleet.admin(engine, {"says_leaving": "all"})


@when('"{engine}" says in its answers to requests that it leaves')
def says_leaving_to_callers(context, engine):
    context.fleet.admin(engine, {"says_leaving": "requests"})


@when('"{engine}" turns calls away for {seconds:g} s')
def turns_away(context, engine, seconds):
    context.fleet.admin(engine, {"fault": "shed", "pause": seconds})


@when('"{engine}" takes calls again')
def takes_calls(context, engine):
    context.fleet.admin(engine, {"fault": ""})


@when('"{engine}" is started again under its name')
def start_again(context, engine):
    context.fleet.admin(engine, {"says_leaving": ""})
    entry = fleet_of(context).places[engine] | {"State": "ready", "Sequence": 1, "born": 2}
    fleet_of(context).write({f"servers/{engine}": entry})


@when('routed daemon "{name}" is killed and started again')
def restart_daemon(context, name):
    context.fleet.processes[name].kill()
    fleet_of(context).start(name)
    wait_until(f"{name} is ready", lambda: fleet_of(context).readiness(name) == 200)


@then('{count:d} calls of "{path}" through "{name}" leave "{engine}" alone')
def leave_alone(context, count, path, name, engine):
    before = arrivals(context, engine)
    for _ in range(count):
        assert fleet_of(context).ask(name, "GET", path).status == 200
    assert arrivals(context, engine) == before


def check_retry_after(answer, least, most) -> None:
    """Check that an answer says that the request has not run, and when to come again."""
    assert answer.status == 503, answer
    assert least <= float(answer.headers["retry-after"]) <= most, answer.headers


@then('POST "{path}" through "{name}" is answered 503 with Retry-After from {least:g} s to {most:g} s')  # noqa: E501  # fmt: skip
def told_how_long(context, path, name, least, most):
    began = time.monotonic()
    check_retry_after(fleet_of(context).ask(name, "POST", path), least, most)
    assert time.monotonic() - began < 1


@then('a plan through "{name}" is refused with 503 and Retry-After from {least:g} s to {most:g} s')
def plan_told_how_long(context, name, least, most):
    headers = {"X_Model": "m", "X_Token_Counts": "1000,50"}
    began = time.monotonic()
    check_retry_after(fleet_of(context).ask(name, "POST", "/plans/1", **headers), least, most)
    assert time.monotonic() - began < 1


@then('"{engine}" had {count:d} call')
def had_calls(context, engine, count):
    assert arrivals(context, engine) == count


@then('"{engine}" has no more than {count:d} call in the next {seconds:g} s')
def has_few_calls(context, engine, count, seconds):
    before = arrivals(context, engine)
    time.sleep(seconds)
    assert arrivals(context, engine) - before <= count
