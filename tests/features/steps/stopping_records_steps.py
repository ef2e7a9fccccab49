"""Steps about planned stops with calls that may not be repeated in progress."""

import http.client
import json
import socket
import time

from behave import given, then, when

from standins.fleet import wait_until
from tests.callers import KEYS
from tests.refunds import LIMIT, PATH, Refund, check_answer, times_run

NOTICE = 3.0  # seconds, longer than a stop goes on taking connections
RECEIVE_BUFFER = 4096  # bytes


@given('daemons "{one}" and "{other}" both take duties')
def both_take_duties(context, one, other):
    def takes_duties(asked, name):
        rows = context.fleet.status(asked)["peers"]
        return any(row["name"] == name and row["alive"] and not row["leaving"] for row in rows)

    wait_until("they do", lambda: takes_duties(one, other) and takes_duties(other, one))


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
        answer = refund.join().answer
        assert answer is not None, (refund.key, refund.broken)
        assert answer.status == 200, (refund.key, answer.status, answer.body[:500])
        check_answer(refund.key, answer)
        assert times_run(context.fleet, refund.key) == 1, refund.key


@then("the posted refund succeeds")
def posted_succeeds(context):
    answer = context.refund.join().answer
    assert answer is not None and answer.status == 200, answer or context.refund.broken
    check_answer(context.refund.key, answer)


@when('a refund is posted through "{daemon}" by a caller that does not read yet')
def post_unread(context, daemon):
    host, _, port = context.fleet.processes[daemon].http.rpartition(":")
    context.unread = http.client.HTTPConnection(host, int(port), timeout=LIMIT)
    link = socket.socket()
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    link.settimeout(LIMIT)
    link.connect((host, int(port)))
    context.unread.sock = link
    headers = {"Authorization": f"Bearer {KEYS['depots']}", "Idempotency-Key": "unread"}
    context.unread.request("POST", PATH, json.dumps({"refund": "unread"}), headers)
    wait_until("it ran", lambda: times_run(context.fleet, "unread") == 1)


@then("the caller reads its whole answer")
def read_whole(context):
    answer = context.unread.getresponse()
    found = json.loads(answer.read())
    assert answer.status == 200 and found["times"] == 1, answer.status
    context.unread.close()
