"""Steps about answers that say that a request has not run."""

import itertools
import re
from collections import Counter
from http.client import HTTPException

from behave import given, then, when
from routed_steps import SOON, fleet_of
from wirefuzz_steps import check_random

from standins.fleet import wait_until
from tests.scriptedserver import PROMISES, ScriptedAnswer, ScriptedServer, odd_answers
from tests.steptext import names_in

ANSWERS_DRAWN = 150  # in each row of the table
REQUESTS = {
    "call": ("POST", "/book/1", {}),
    "repeatable call": ("GET", "/view/1", {}),
    "plan of 3 events": ("POST", "/plans/1", {"X_Model": "m", "X_Token_Counts": "100,3"}),
}
GOOD = ScriptedAnswer(200, ("ID",), (), True, False, "whole")

ID, SIGNATURE, NOT_EXECUTED = (
    ("X-Attempt-Id", "ID"),
    ("X-Server-Signature", "signed"),
    ("X-Not-Executed", "1"),
)
ANSWERS = {
    "a 503 that says not run and names no call": (503, NOT_EXECUTED),
    'a 503 whose "not run" is 0': (503, ID, ("X-Not-Executed", "0")),
    "a 421 that is signed": (421, ID, SIGNATURE),
    "a 503 that says not run and is signed": (503, ID, NOT_EXECUTED, SIGNATURE),
    "a 500 that says not run": (500, ID, NOT_EXECUTED),
    "a 200 that says not run": (200, ID, NOT_EXECUTED),
}


def status_and_headers(answer: str) -> list:
    """Return what an engine's `after_run` takes for an answer."""
    signed = re.fullmatch(r"a signed (\d+)", answer)
    status, *headers = (int(signed[1]), ID, SIGNATURE) if signed else ANSWERS[answer]
    return [status, headers]


@when('"{names}" run what they get, and then answer with {answer}')
def answer_oddly(context, names, answer):
    for name in names_in(names):
        fleet_of(context).fleet.admin(name, {"after_run": status_and_headers(answer)})


@given('{count:d} servers of "{service}" in "{domain}" that run all and then answer as scripted')
def scripted_servers(context, count, service, domain):
    routed, context.run_counts = fleet_of(context), Counter()
    context.scripted = [ScriptedServer(context.run_counts, GOOD) for _ in range(count)]
    for number, server in enumerate(context.scripted):
        context.add_cleanup(server.close)
        name = f"scripted-{number}"
        routed.places[name] = {"Service": service, "Address": server.address, "Zone": domain}
        routed.list_engine(name)


def ask(context, kind: str, daemon: str, number: int) -> int:
    """Send a request through a daemon; return the status, 0 where the answer broke off."""
    method, path, more = REQUESTS[kind]
    body = f"request {number}".encode() if method == "POST" else b""
    try:
        return fleet_of(context).ask(daemon, method, path, body, **more).status
    except (OSError, HTTPException):
        return 0


@then('no odd answer to a {kind} through "{name}" is told as "not run", or lets it run more than {most:d} times')  # noqa: E501  # fmt: skip
def none_told_not_run(context, kind, name, most):
    numbers, routed = itertools.count(), fleet_of(context)
    wait_until("it is served", lambda: ask(context, kind, name, next(numbers)) == 200, SOON)

    def check(answer: ScriptedAnswer) -> None:
        for server in context.scripted:
            server.answer = answer
        status = ask(context, kind, name, next(numbers))
        runs = context.run_counts[f"id-{routed.number}"]
        assert 1 <= runs <= most, (runs, status, answer)
        assert status not in PROMISES, (runs, status, answer)

    check_random(ANSWERS_DRAWN, odd_answers, check)
