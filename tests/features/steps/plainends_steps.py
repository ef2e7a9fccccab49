"""Steps about plain services whose answers have neither a length nor chunks."""

import json

from behave import given, then, when
from records_steps import post_through

from standins.fleet import wait_until
from tests.refunds import ledgers, look_up

MOST_CALLS = 60  # until the server that is to be killed has been chosen
WHOLE = {"ending": "whole"}


def has_ended(context, name):
    """Return True if a service has ended."""
    return context.fleet.processes[name].popen.poll() is not None


@given("plain services' answers have no length or chunks and are whole")
def answers_whole(context):
    for name in ledgers(context.fleet):
        context.fleet.admin(name, WHOLE)


@given("plain services' answers have no length or chunks and are {end} after {part:g} of the body")
def answers_cut(context, end, part):
    for name in ledgers(context.fleet):
        context.fleet.admin(name, {"ending": end, "sent": part})


@given('"{name}" alone is killed after {part:g} of the body of an answer')
def one_is_killed(context, name, part):
    answers_whole(context)
    log = context.fleet.processes["a"].log
    for each in ledgers(context.fleet):
        wait_until("it is known", lambda n=each: f'"{n}":"live"' in log.read_text())
    context.fleet.admin(name, {"ending": "killed", "sent": part})
    context.deadly = name


@when("balances are looked up until that service has ended")
def look_up_until_killed(context):
    context.found = []
    while not has_ended(context, context.deadly):
        assert len(context.found) < MOST_CALLS, "it was never chosen"
        context.found.append(look_up(context.fleet, "GET"))


@when('refund "{key}" is posted through "{daemon}" again, to a service that answers whole')
def post_again(context, key, daemon):
    context.fleet.plain("ledger-again", "accra-1", "accra")
    context.fleet.admin("ledger-again", WHOLE)
    wait_until("it is known", lambda: look_up(context.fleet, "GET").status == 200)
    post_through(context, key, daemon)


@then("the answer is whole")
def answer_is_whole(context):
    assert json.loads(context.answer.body)["uri"] == "/balances/7", context.answer.body


@then("each of these answers is whole")
def answers_are_whole(context):
    for answer in context.found:
        assert answer.status == 200, (answer.status, answer.body)
        assert json.loads(answer.body)["uri"] == "/balances/7", answer.body


@then('no post of "{key}" was answered with a success')
def no_success(context, key):
    for answer in context.refund_answers[key]:
        assert answer.status != 200 and answer.json["ran"] == "unknown", answer.body
