"""Steps about planned stops with calls that may not be repeated in progress."""

import http.client
import json
import time

from behave import given, then, when

from standins.fleet import wait_until
from tests.callers import bearer
from tests.operators import takes_duties
from tests.rawhttp import send
from tests.refunds import PATH, Refund, times_run

NOTICE = 3.0  # seconds, longer than a stop goes on taking connections
RECEIVE_BUFFER = 4096  # bytes


@given('daemons "{one}" and "{other}" both take duties')
def both_take_duties(context, one, other):
    for asked, name in ((one, other), (other, one)):
        wait_until("it does", lambda a=asked, n=name: takes_duties(context.fleet, a, n))


@when('{count:d} slow refunds are being posted through "{daemon}"')
def post_slow(context, count, daemon):
    address = context.fleet.processes[daemon].http
    context.slow = [Refund(address, f"slow-{number}").start() for number in range(count)]
    wait_until("all run", lambda: context.fleet.counts("ledger-1")["holding"] == count)


@when("longer than the notice of a stop has passed")
def notice_passed(context):
    # Time itself is what is tested: only then does a stop wait for requests alone.
    time.sleep(NOTICE)


@then("each slow refund is answered whole and ran 1 time")
def slow_answered(context):
    for refund in context.slow:
        refund.check_success()
        assert times_run(context.fleet, refund.key) == 1, refund.key


@then("the posted refund succeeds")
def posted_succeeds(context):
    context.refund.check_success()


@when('a refund is posted through "{daemon}" by a caller that does not read yet')
def post_unread(context, daemon):
    address = context.fleet.processes[daemon].http
    headers = bearer("depots") | {"Idempotency-Key": "unread"}
    context.unread = send(address, PATH, {"refund": "unread"}, headers, RECEIVE_BUFFER)
    wait_until("it ran", lambda: times_run(context.fleet, "unread") == 1)


@then("the caller reads its whole answer")
def read_whole(context):
    with context.unread, http.client.HTTPResponse(context.unread) as answer:
        answer.begin()
        found = json.loads(answer.read())
        assert answer.status == 200 and found["times"] == 1, answer.status
