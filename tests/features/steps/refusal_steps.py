"""Steps about who is let into the queue of a service."""

from collections import deque

from behave import given, then, when

from papayacourse.estimates import QueuedRequest, WaitEstimator
from papayacourse.fairshare import FairQueue
from papayacourse.reservations import Reservations
from papayacourse.schedulingmessages import GrantRequest
from papayacourse.types import GenerationRequest
from papayacourse.waits import Backlog, ReleaseRate

WAIT_LIMIT = 2.0  # seconds
PROMPT = 100  # tokens
OUTPUT = 50  # tokens
RUNNING, ENGINES, RESIDENCE = 8, 2, 2.0


def waiting(context, account, prompt=PROMPT):
    """Return a request that comes now."""
    generation = GenerationRequest("s", "t", "s", account, "", prompt, OUTPUT, 0)
    return QueuedRequest("daemon", GrantRequest(generation, WAIT_LIMIT), context.now)


def let_in(context, item, returns=False):
    """Tell whether a request is let into the queue."""
    waits = context.waits
    return not waits.exceeds_limit(item, waits.needed_places(item, returns))


@given("a service that gave at least {count:d} places back in each second of a backlog")
def service_with_backlog(context, count):
    context.now = 100.0
    places = ReleaseRate(residence=RESIDENCE, tokens=OUTPUT)
    backlog = Backlog(window=1.0, counts=deque([(context.now, count)] * 20))
    context.waits = WaitEstimator(
        FairQueue(),
        Reservations(),
        places,
        backlog,
        running=lambda: RUNNING,
        engines=lambda: ENGINES,
        clock=lambda: context.now,
    )
    for account in ("large", "small", "third", "fourth"):
        places.record_grant(account, context.now, PROMPT)
    context.waits.queue.charge(0, "large", OUTPUT, 1.0)


@when('{count:d} request of "{account}" waits')
@when('{count:d} requests of "{account}" wait')
def requests_wait(context, count, account):
    for number in range(count):
        context.waits.queue.add(f"{account}-{number}", 0, account, waiting(context, account))
    context.waits.backlog.record_sample(count, context.now)


@when('{count:d} requests of "{account}" were told to come back within a second')
def told_to_come_back(context, count, account):
    for _ in range(count):
        context.waits.reservations.reserve(account, context.now, 0.0, 1000.0)


@when("{seconds:g} seconds have passed")
@when("{seconds:g} seconds have passed without a place")
def seconds_pass(context, seconds):
    context.now += seconds


@when('{count:d} requests of "{account}" are refused')
def requests_refused(context, count, account):
    rate = context.waits.promised_rate(account, context.now)
    for _ in range(count):
        context.waits.reservations.reserve(account, context.now, 0.0, rate)
    context.account = account


@then('a new request of "{account}" is let in')
def is_let_in(context, account):
    assert let_in(context, waiting(context, account))


@then('a new request of "{account}" is refused')
def is_refused(context, account):
    assert not let_in(context, waiting(context, account))


@then('a new request of "{account}" with a prompt of {prompt:d} tokens is refused')
def large_is_refused(context, account, prompt):
    assert not let_in(context, waiting(context, account, prompt))


@then('a request of "{account}" that comes back is let in')
def return_is_let_in(context, account):
    assert let_in(context, waiting(context, account), returns=True)


@then("their promises are spread over at least {seconds:d} seconds")
def promises_spread(context, seconds):
    due = context.waits.reservations.due[context.account]
    assert due[-1] - due[0] >= seconds, list(due)
