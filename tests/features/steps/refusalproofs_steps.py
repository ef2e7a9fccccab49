"""Steps about answers that say that a request has not run."""

import re

from behave import when
from routed_steps import fleet_of

from tests.steptext import names_in

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
