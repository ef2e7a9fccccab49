"""Steps about the longest gap between a stream's events."""

from behave import given, then, when
from routed_steps import fleet_of

from papayacourse.explain import explain_request
from papayacourse.routed.eventgaps import EventGaps, GapCause
from standins.fleet import wait_until

SOON = 8.0  # seconds
METRIC = "papayacourse_longest_gap_seconds_count"


def log(context, name: str) -> list[str]:
    """Return the lines of a daemon's log."""
    return (context.fleet.path / f"{name}.log").read_text().splitlines()


@given("a stream of which {count:d} events came {pause:g} s after each other")
def events_came(context, count, pause):
    context.gaps, context.now = EventGaps(), 0.0
    for _ in range(count):
        context.now += pause
        context.gaps.record_event(context.now, context.now, is_copying=False)


@when("the run leaves its engine: {cause}")
def leaves_engine(context, cause):
    context.gaps.interruption = GapCause(cause)


@when("the next event comes {pause:g} s later")
def next_event(context, pause):
    context.now += pause
    context.gaps.record_event(context.now, context.now, is_copying=False)


@when("the next event comes {pause:g} s later, while the run is copied")
def event_while_copied(context, pause):
    context.now += pause
    context.gaps.record_event(context.now, context.now, is_copying=True)


@when("its caller takes {time:g} s to read an event, and the next one comes at once")
def slow_caller(context, time):
    context.gaps.record_event(context.now, context.now + time, is_copying=False)
    context.now += time
    context.gaps.record_event(context.now, context.now, is_copying=False)


@then("the longest gap was {seconds:g} s after {count:d} events, by {cause}")
def longest_gap(context, seconds, count, cause):
    expected = {"longest_gap": seconds, "gap_cause": cause, "gap_after": count}
    assert context.gaps.log_fields() == expected, context.gaps


@then("no gap is logged")
def no_gap(context):
    assert context.gaps.log_fields() == {}, context.gaps


@then('the log of "{name}" tells the longest gap of the plan, by {cause}, and so does a metric')
def gap_is_told(context, name, cause):
    fleet = fleet_of(context)

    def told():
        lines = fleet.lines(name, "request ended")
        return [line for line in lines if line.get("events") == context.count]

    wait_until("the plan's end is logged", told, SOON)
    line = told()[0]
    assert line["gap_cause"] == cause and 0 < line["longest_gap"] < SOON, line
    counted = [row for row in fleet.metrics(name).splitlines() if METRIC in row]
    assert any(f'cause="{cause}"' in row for row in counted), counted
    assert any(cause in told for told in explain_request(line["request"], log(context, name)))
