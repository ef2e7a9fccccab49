"""Steps about planned stops of daemons on the stand-in of the users' platform."""

import os
import signal
import time
from collections import Counter
from pathlib import Path

from behave import given, then, when
from routed_steps import fleet_of

from standins.fleet import wait_until
from tests.latecallers import KeptCaller, LateCaller, PipeliningCaller, SignalMoment, wait_for
from tests.steptext import names_in

GRACE = 8.0  # seconds, as in the daemons' configuration
KINDS = ("book", "view")
STEP = 0.1  # seconds between the ends of requests
LAST = 8.2  # seconds after the signal
LEAD = 0.5  # seconds from the choice of a signal's moment to the signal
OPENED = 0.2  # seconds after the signal, within the stop's notice
KEPT = 4  # callers that keep their connections
NOTICE = 0.5  # seconds, as in the daemons' configuration
NEWCOMERS = 120  # callers
LATECOMERS = (1.5, 1.6, 1.7)  # seconds after the signal
FIRST_RELAYED = 0.3  # seconds after the callers began, when the first request becomes whole
STOPS = (1.0, 1.5)  # seconds, of the daemon that serves for another and of the one that relays
READ_SLACK = 0.2  # seconds; a request that crosses the close of its connection is not read


@given('engines of "{service}" take {seconds:g} s for each call')
def slow_engines(context, service, seconds):
    for name, place in fleet_of(context).places.items():
        if place["Service"] == service:
            context.fleet.admin(name, {"plain_work": seconds})


@given('{count:d} calls of each kind through "{name}" have been served')
def served_before(context, count, name):
    routed = fleet_of(context)
    for _ in range(count):
        for kind in KINDS:
            assert routed.ask(name, "POST", f"/{kind}/1", b"x").status == 200


def late_caller(context, name: str, kind: str, at: float, opened_at: float) -> LateCaller:
    """Return a caller of a kind of request."""
    routed = fleet_of(context)
    more = {"X-Model": "m", "X-Token-Counts": "100,20"} if kind == "plans" else {}
    headers = routed.headers(**more)
    return LateCaller(routed.address(name), f"/{kind}/1", headers, at, opened_at)


def end_of(process, signal_at: float) -> tuple[int, float]:
    """Return a process's status and when it ended; it is killed after the grace."""
    while process.popen.poll() is None and time.monotonic() < signal_at + GRACE:
        time.sleep(0.005)
    ended_at = time.monotonic() - signal_at
    if process.popen.poll() is None:
        process.popen.kill()
    return process.popen.wait(), ended_at


@when('callers send the last byte of a request at any time of a planned stop of "{name}"')
def stop_under_callers(context, name):
    stop_with(context, name, {})


@when('callers do so during a planned stop of "{name}" in which it gets "{signals}"')
def disturbed_stop(context, name, signals):
    pairs = [text.split(" at ") for text in signals.split(", ")]
    stop_with(context, name, {float(at): getattr(signal, kind) for kind, at in pairs})


def stop_with(context, name: str, signals: dict[float, int]) -> None:
    """Stop a daemon under callers, with further signals at moments after the first."""
    kinds = (*KINDS, "plans")
    moments = [round(0.5 + STEP * number, 2) for number in range(int((LAST - 0.5) / STEP))]
    context.late = [
        late_caller(context, name, kinds[number % 3], at, OPENED)
        for number, at in enumerate(moments)
    ]
    routed = fleet_of(context)
    context.kept = [
        KeptCaller(
            routed.address(name), "/view/1", [routed.headers() for _ in range(400)], 0.1 + 0.1 * i
        )
        for i in range(KEPT)
    ]
    moment = SignalMoment()
    for caller in (*context.late, *context.kept):
        caller.start(moment)
    signal_at = moment.choose(LEAD)
    wait_for(signal_at)
    process = context.fleet.processes[name]
    process.popen.send_signal(signal.SIGTERM)
    for at, number in signals.items():
        wait_for(signal_at + at)
        process.popen.send_signal(number)
    context.ended = end_of(process, signal_at)
    for caller in (*context.late, *context.kept):
        caller.thread.join(GRACE)
    print_summary(context)


@when('callers connect to "{name}" at any time around the end of the notice of its stop')
def connect_under_stop(context, name):
    context.late = []
    moments = [NOTICE - 0.1 + number * 0.3 / NEWCOMERS for number in range(NEWCOMERS)]
    for number, opened_at in enumerate([*moments, *LATECOMERS]):
        caller = late_caller(context, name, KINDS[number % 2], 0.0, opened_at)
        caller.pause = 0.01 * (number % 3)
        context.late.append(caller)
    moment = SignalMoment()
    for caller in context.late:
        caller.start(moment)
    wait_for(moment.choose(LEAD))
    context.fleet.processes[name].popen.send_signal(signal.SIGTERM)
    for caller in context.late:
        caller.thread.join(GRACE)
    print(Counter((caller.status, caller.failure) for caller in context.late))


@then("each caller whose connection was accepted has a whole answer")
def newcomers_answered(context):
    assert any("Refused" in caller.failure for caller in context.late), "none was late"
    cut = [caller for caller in context.late if caller.is_connected and not caller.is_whole]
    assert not cut, (len(cut), cut[0])


@when('a caller sends {count:d} unsafe requests at once to "{name}", which is then asked to stop')
def pipeline_before_stop(context, count, name):
    routed = fleet_of(context)
    headers = [routed.headers() for _ in range(count)]
    context.ahead = [found["X-Attempt-Id"] for found in headers]
    context.caller = PipeliningCaller(routed.address(name), "/book/1", headers)
    context.caller.start()
    wait_until("the first runs", lambda: ran(context, context.ahead[0]), GRACE)
    context.fleet.processes[name].popen.send_signal(signal.SIGTERM)


@then("each of them is answered 200 and ran once, and only the last answer ends the connection")
def ahead_answered(context):
    context.caller.thread.join(GRACE)
    expected = [(200, False)] * (len(context.ahead) - 1) + [(200, True)]
    assert context.caller.answers == expected, context.caller.answers
    assert [ran(context, name) for name in context.ahead] == [1] * len(context.ahead)


def print_summary(context) -> None:
    """Print what the callers saw, for whoever measures."""
    for caller in context.late:
        print(
            f"{caller.path:9} sent {caller.sent_at} status {caller.status} whole {caller.is_whole} "
            f"ended {caller.ended_at:.2f} close {caller.said_close} ran {ran(context, caller.name)}"
            f" {caller.failure}"
        )
    lost = [caller for caller in context.late if was_read(caller) and not caller.is_whole]
    print(f"ended {context.ended}, lost {len(lost)}")
    print("statuses", Counter(caller.status for caller in context.late if was_read(caller)))
    print("kept", [(c.cut, c.cut_after_use, Counter(c.statuses)) for c in context.kept])


def was_read(caller: LateCaller) -> bool:
    """Return True if a request was whole before its connection ended."""
    if caller.is_whole or caller.sent_at is None:
        return caller.is_whole
    return caller.ended_at - caller.sent_at > READ_SLACK


def ran(context, name: str) -> int:
    """Return how often a request has run."""
    routed = fleet_of(context)
    return sum(run["name"] == name for engine in routed.places for run in routed.runs(engine))


@then("each request that was sent whole has a whole answer, or a stream that is seen to break off")
def all_answered_or_broken(context):
    for caller in context.late:
        if was_read(caller) or ran(context, caller.name):
            broke_off = caller.path.startswith("/plans") and "IncompleteRead" in caller.failure
            assert caller.is_whole or (caller.status == 200 and broke_off), caller


@then("each request that was sent whole has a whole answer")
def all_answered(context):
    for caller in context.late:
        if was_read(caller) or ran(context, caller.name):
            assert caller.is_whole, caller


@then("each call that was sent whole before {moment:g} s was answered 200")
def answered_well(context, moment):
    for caller in context.late:
        if not caller.path.startswith("/plans") and caller.at < moment:
            assert caller.status == 200, caller


@then("no request that was answered 503 has run, and each 503 says when to come again")
def not_run(context):
    for caller in context.late:
        if caller.status == 503:
            assert caller.retry_after and not ran(context, caller.name), caller


@then("no unsafe request has run twice")
def not_twice(context):
    for caller in context.late:
        if caller.path.startswith("/book"):
            assert ran(context, caller.name) <= 1, caller


@then("each answer after the signal says that the connection ends")
def says_close(context):
    assert all(caller.said_close for caller in context.late if caller.status)
    assert not any(caller.cut_after_use for caller in context.kept), context.kept


@then('"{name}" ended by itself within its grace, with status {status:d}')
def ended_well(context, name, status):
    found, at = context.ended
    assert at < GRACE and found == status, context.ended


def processor_time(pid: int) -> float:
    """Return the seconds of processor time of a process, which may have ended."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    user, system = fields[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


@when('"{name}" is stopped, and its processor time is read at its last log line and at its end')
def read_times_of_stop(context, name):
    process = context.fleet.processes[name]
    process.terminate()
    wait_until("its last line", lambda: '"stopped"' in process.log.read_text(), GRACE)
    context.time_at_last_line = processor_time(process.popen.pid)
    # It is not reaped yet, since its times would be gone then.
    os.waitid(os.P_PID, process.popen.pid, os.WEXITED | os.WNOWAIT)
    context.time_at_end = processor_time(process.popen.pid)
    assert process.wait() == 0


@then("the end of the process took less than {seconds:g} s of processor time")
def ended_at_once(context, seconds):
    spent = context.time_at_end - context.time_at_last_line
    assert spent < seconds, spent


@when('callers send requests through "{cut}" while first "{other}" and then "{cut_too}" itself is stopped')  # noqa: E501  # fmt: skip
def stop_relaying_daemons(context, cut, other, cut_too):
    assert cut == cut_too
    kinds = (*KINDS, "plans")
    count = int((STOPS[1] + LAST - FIRST_RELAYED) / STEP)
    moments = [round(FIRST_RELAYED + STEP * number, 2) for number in range(count)]
    context.late = [
        late_caller(context, cut, kinds[number % 3], at, OPENED)
        for number, at in enumerate(moments)
    ]
    moment = SignalMoment()
    for caller in context.late:
        caller.start(moment)
    began_at = moment.choose(LEAD)
    for name, at in zip((other, cut), STOPS, strict=True):
        wait_for(began_at + at)
        context.fleet.processes[name].popen.send_signal(signal.SIGTERM)
    context.ends = {
        name: end_of(context.fleet.processes[name], began_at + at)
        for name, at in zip((other, cut), STOPS, strict=True)
    }
    for caller in context.late:
        caller.thread.join(GRACE)
    context.ended, context.kept = context.ends[cut], []
    print_summary(context)


@then('"{names}" ended by themselves within their grace, with status {status:d}')
def all_ended_well(context, names, status):
    assert all(at < GRACE for _, at in context.ends.values()), context.ends
    assert all(context.ends[name][0] == status for name in names_in(names)), context.ends
