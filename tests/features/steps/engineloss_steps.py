"""Steps about several engines that die at once."""

import time

from behave import given, then, when

from standins.fleet import wait_until
from tests.callers import StreamingCaller, check_whole


def ask(context, number, length):
    """Start streaming one plan; prompts differ, so that none shares another's strikes."""
    address = context.fleet.processes["a"].http
    prompt = f"plan {number} [len={length}]"
    return StreamingCaller(address, "organisers", "planner", prompt).start()


@given("a plan of {length:d} tokens is whole")
def first_plan(context, length):
    def served() -> bool:
        caller = ask(context, "first", length)
        caller.join()
        return caller.error is None and not caller.broken and caller.done

    wait_until("a plan is served", served)


@when(
    "{engines:d} of the engines are killed and {count:d} plans of {length:d} tokens are sent "
    "in the {span:g} s after"
)
def kill_and_send(context, engines, count, length, span):
    names = sorted(name for name in context.fleet.processes if name.startswith("planner"))
    for name in names[:engines]:
        context.fleet.processes[name].kill()
    context.plan_length, context.plans = length, []
    for number in range(count):
        context.plans.append(ask(context, number, length))
        time.sleep(span / count)


@then("every plan sent is whole")
def every_plan_whole(context):
    for plan in context.plans:
        plan.join()
    errors = [p.error or p.broken for p in context.plans if p.error or p.broken or not p.done]
    assert not errors, f"{len(errors)} of {len(context.plans)} failed, first {errors[0]}"
    for plan in context.plans:
        check_whole(plan.texts, context.plan_length)
