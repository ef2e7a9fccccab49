"""Steps about the division of a server's limit among simulated daemons."""

import asyncio

from behave import given, then, when

from papayacourse.rendezvous import ranked
from papayacourse.routed.seams import Unlimited
from papayacourse.routed.sendlimiter import DUTY
from papayacourse.routed.serverlimits import KnownLimit, ServerLimits
from papayacourse.routed.sharepool import SharePool
from tests.limitfleet import LEARN_TIME, SERVER, STEP, WINDOW, LimitFleet

QUIET_TIME = 3.0  # seconds before the first limit
HIGH_TIME = 0.9  # seconds of a window before the limit falls
OLD_RATE = 3.0  # requests per second


@given("{domains:d} simulated domains of {daemons:d} daemons with {demand:g} callers a second each")
def simulated(context, domains, daemons, demand):
    simulated_with_seed(context, domains, daemons, demand, 1)


@given("{domains:d} simulated domains of {daemons:d} daemons with {demand:g} callers a second each, seed {seed:d}")  # noqa: E501  # fmt: skip
def simulated_with_seed(context, domains, daemons, demand, seed):
    context.simulated = LimitFleet(domains, daemons, demand, seed)


@given("a third of the requests save runs")
def third_saves(context):
    context.simulated.saving = 1 / 3


@given("no daemon counts the others")
def nobody_counts(context):
    context.simulated.ignores_others = True


@when("the server limits them to {limit:g} requests a second for {seconds:g} s")
def limited(context, limit, seconds):
    simulated = context.simulated
    asyncio.run(simulated.run(QUIET_TIME))
    simulated.set_limit(limit)
    asyncio.run(simulated.run(seconds))


@when("the server names no limit for {seconds:g} s")
def unlimited(context, seconds):
    context.simulated.set_limit(None)
    asyncio.run(context.simulated.run(seconds))


@when('domain "{domain}" hears no other')
def cut_domain(context, domain):
    context.simulated.cut(context.simulated.by_domain[domain])


@when("{seconds:g} s pass for the simulated daemons")
def pass_time(context, seconds):
    asyncio.run(context.simulated.run(seconds))


@when("daemons are restarted, cut off and heard again {rounds:d} times at random")
def trouble(context, rounds):
    asyncio.run(context.simulated.trouble(rounds))


@when("the holder of the shares starts again and does not list the server")
def holder_without_list(context):
    simulated = context.simulated
    context.holder = ranked(DUTY, simulated.by_domain["d0"])[0]
    asyncio.run(simulated.restart(context.holder))
    limiter = simulated.nodes[context.holder].limiter
    limiter.host = lambda _server: None
    limiter.limits.known.clear()


@when("the others tell it what they know")
def tell_holder(context):
    for name, node in context.simulated.nodes.items():
        if name != context.holder:
            asyncio.run(node.limiter.send_known(context.holder))


@when("it looks at its list of servers, which is empty")
def look_at_list(context):
    context.simulated.nodes[context.holder].limiter.limits.forget_unlisted({})


@then("it knows the limit")
def holder_knows(context):
    holder = context.simulated.nodes[context.holder]
    assert holder.limiter.limits.rate(SERVER.name) is not None


@then("a daemon that asks it is not permitted to send")
def holder_permits_nothing(context):
    simulated = context.simulated
    other = next(name for name in simulated.nodes if name != context.holder)
    for _ in range(3):
        permit = asyncio.run(simulated.nodes[other].limiter._ask(SERVER, saves_run=True))
        assert not permit.granted and permit.wait > 0, permit


@then("it never got more than its limit allows")
def limit_kept(context):
    found = list(context.simulated.excesses())
    assert not found, found[:3]


@then("it got more than its limit allows")
def limit_broken(context):
    assert list(context.simulated.excesses())


@then("it got at least {part:g} of its limit")
def limit_used(context, part):
    simulated = context.simulated
    used = simulated.used(simulated.limits[0][0] + LEARN_TIME)
    assert used >= part, used


@then("no daemon knows of a limit")
def none_known(context):
    for name, node in context.simulated.nodes.items():
        assert not node.limiter.limits.limited(), name


@given("a pool that holds all shares of a limit of {rate:g} a second and has none left")
def empty_pool(context, rate):
    context.pool = SharePool(lambda: 1, rate, usable_from=0.0, updated_at=100.0)


@given("a pool that holds all shares of a limit of {rate:g} a second and has saved up what it may")
def full_pool(context, rate):
    context.pool = SharePool(lambda: 1, rate, usable_from=0.0, updated_at=0.0)


@then("after the limit falls to {rate:g} its requests stay within what both limits allow in 4 s")
def within_both_limits(context, rate):
    pool, began, high = context.pool, 100.0, context.pool.rate
    got = 0
    for step in range(int(WINDOW / STEP)):
        now = began + step * STEP
        if now >= began + HIGH_TIME and pool.rate != rate:
            pool.set_rate(rate, now)
        while pool.take(now).granted:
            got += 1
    allowed = 1.5 * (high * HIGH_TIME + rate * (WINDOW - HIGH_TIME)) + 5
    assert got <= allowed, f"{got} requests; allowed {allowed:.1f}"


@then("{count:d} callers are told to return after {first:g}, {second:g} and {third:g} s")
def turns_told(context, count, first, second, third):
    told = [context.pool.take(100.0) for _ in range(count)]
    assert not any(turn.granted for turn in told)
    assert [round(turn.wait, 3) for turn in told] == [first, second, third]


@then("after {seconds:g} s one more caller is told to return after less than {most:g} s")
def next_turn(context, seconds, most):
    now = 100.0 + seconds
    while (turn := context.pool.take(now)).granted:
        continue
    assert 0 < turn.wait < most, turn


@then("{count:d} requests that save runs are granted, and the next is told to return after {wait:g} s")  # noqa: E501  # fmt: skip
def sent_in_advance(context, count, wait):
    turns = [context.pool.take(100.0, saves_run=True) for _ in range(count + 1)]
    assert [turn.granted for turn in turns] == [True] * count + [False], turns
    assert round(turns[-1].wait, 3) == wait, turns


@given("a server that named a limit {age:g} s ago")
def known_limit(context, age):
    context.limits = ServerLimits(clock=lambda: 100.0)
    context.limits.known[SERVER.name] = KnownLimit(OLD_RATE, 100.0 - age, 100.0 - age)


@when("an answer without a limit comes, to a request sent {age:g} s ago")
def answer_without_limit(context, age):
    context.limits.record_answer(SERVER.name, 100.0 - age, Unlimited())


@when("an answer without a limit comes that may belong to another request")
def uncertain_answer(context):
    context.limits.record_answer(SERVER.name, None, Unlimited())


@when("a peer reports a lifted limit that is {age:g} s old")
def peer_lifts(context, age):
    context.limits.adopt(SERVER.name, None, age, "peer")


@when("a peer reports the old limit, {age:g} s old")
def peer_limits(context, age):
    context.limits.adopt(SERVER.name, OLD_RATE, age, "peer")


@then("its limit is known")
def is_known(context):
    assert context.limits.rate(SERVER.name) == OLD_RATE


@then("no limit is known")
def is_unknown(context):
    assert context.limits.rate(SERVER.name) is None
