"""Steps about which part of a prompt crashes engines, without processes or network."""

import itertools
from types import SimpleNamespace

from behave import given, then, when

from papayacourse import partblame
from papayacourse.deaths import LostRun, suspect_parts
from papayacourse.partblame import PartBlame
from tests.steptext import names_in

numbers = itertools.count(1)


def blame_of(context) -> PartBlame:
    """Return what the scenario's daemon knows."""
    if not hasattr(context, "blame"):
        context.clock = SimpleNamespace(now=0.0)
        context.blame = PartBlame(lambda: context.clock.now)
    return context.blame


def marks_of(parts: str, request: str = "") -> tuple[str, ...]:
    """Return the marks of a request with these shared parts; a new one if it has no name."""
    request = request or f"request {next(numbers)}"
    return partblame.decode(partblame.encode(request, names_in(parts)))


def record_deaths(context, request: str = "") -> None:
    """Record one engine's death for each row of the step's table."""
    blame = blame_of(context)
    for row in context.table:
        at = float(row["at"])
        context.clock.now = max(context.clock.now, at)
        blame.record_death(f"engine-{next(numbers)}", marks_of(row["parts"], request), at)


@given("engines that died under these prompts")
def engines_died(context):
    record_deaths(context)


@given("one request under which engines died")
def engines_died_under_one(context):
    record_deaths(context, "the request")


@when('a prompt with "{parts}" is being answered at {at:g} s')
def answered(context, parts, at):
    blame_of(context).record_served(marks_of(parts), at)


@when("it is {at:g} s")
def time_passes(context, at):
    context.clock.now = at


@then('a prompt with "{parts}" is {verdict}')
def judge(context, parts, verdict):
    culprits = blame_of(context).culprits(marks_of(parts))
    assert bool(culprits) == (verdict == "refused"), culprits


@given("a server on which one run is {one} and another is {other}")
def two_runs(context, one, other):
    runs = {
        "begun": lambda name: LostRun(1.0, name, was_answered=True),
        "waiting": lambda name: LostRun(1.0, name),
        "under way": lambda name: LostRun(1.0, "", was_answered=True),
    }
    context.runs = [runs[one]("one"), runs[other]("other")]


@when("the server dies")
def server_dies(context):
    context.suspects = suspect_parts(context.runs)


@then('the prompts of "{names}" are suspects')
def are_suspects(context, names):
    assert list(context.suspects) == names_in(names), context.suspects
