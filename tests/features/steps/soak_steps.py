"""Steps of the randomised runs."""

from behave import then, when

from tests import routedsoak, soak


@when("callers, faults and operators run at random for {seconds:d} seconds with seed {seed:d}")
def run_soak(context, seconds, seed):
    context.summary = soak.run(seed, seconds)


@when(
    "callers and faults of the routed front are random for {seconds:d} seconds with seed {seed:d}"
)
def run_routed_soak(context, seconds, seed):
    context.summary = routedsoak.run(seed, seconds)


@then("no promise was broken")
def no_promise_broken(context):
    assert not context.summary["problems"], context.summary


@then("streams and refunds were served")
def things_served(context):
    assert context.summary["streams"].get("whole", 0) > 0, context.summary
    assert context.summary["refund answers"].get("200 ran yes", 0) > 0, context.summary
