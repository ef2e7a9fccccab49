"""Steps about planned stops."""

import http.client
import json
import threading
import time

from behave import given, then, when
from leaving_steps import live

from papayacourse.rendezvous import ranked, scheduling_duty
from standins.fleet import call, wait_until
from tests.balancer import Workload, is_ready
from tests.callers import bearer, caller_of, check_all_whole, start_plans
from tests.engines import total
from tests.latecallers import LateCaller, SignalMoment, wait_for
from tests.rawhttp import send
from tests.refunds import PATH, Refund, look_up, post, times_run
from tests.steptext import names_in

TEAM = "sound-trust"
STOP_LIMIT = 90.0  # seconds
LATE_STEP = 0.2  # seconds between the ends of requests
OPENED = 0.2  # seconds after the signal, within the stop's notice
NEVER = -1.0  # when the last byte is sent that is not
READ_SLACK = 0.2  # seconds; a request that crosses the end of the stop is not read
WINDOW_SERVICE = """[/teams/sound-trust/services/planner]
kind = model
max_output_tokens = 20000
wait_limit = 30
resume_window = {seconds}
"""


def owner(context, daemons):
    """Return the daemon that owns the planner's duty, once all daemons agree on who is live."""
    domain = context.fleet.hosts[daemons[0]]["domain"]

    def agree():
        return all(live(context, name, domain) == sorted(daemons) for name in daemons)

    wait_until(f"{daemons} agree on who is live", agree)
    return ranked(scheduling_duty(TEAM, "planner"), daemons)[0]


def scheduling(context, daemons):
    """Return the daemon that schedules the planner: its owner, and no other.

    Another one's scheduler may be open until it has been idle for long; it must hold nothing.
    """
    found = owner(context, daemons)
    rows = context.fleet.status(found)["schedulers"]
    assert any(row["service"] == "planner" for row in rows), f"{found} does not schedule: {rows}"
    holding = [name for name in daemons if name != found and asked(context, name)]
    assert not holding, f"{holding} schedule beside the owner {found}"
    return found


def running(context):
    """Return the daemons that run."""
    hosts = context.fleet.hosts.items()
    names = [name for name, host in hosts if host["kind"] == "entry"]
    return [name for name in names if context.fleet.processes[name].popen.poll() is None]


@given(
    'daemon "{name}" in domain "{domain}" of region "{region}" stops within '
    "{seconds:d} seconds at most"
)
def daemon_with_stop_timeout(context, name, domain, region, seconds):
    extra = f"[limits]\nstop_timeout = {seconds}\n"
    context.fleet.daemon(name, domain, region, extra=extra)
    context.fleet.wait_settled(name, paths=12)


@when('{count:d} callers work through whichever of "{names}" is ready')
def start_workload(context, count, names):
    context.workload = Workload(context.fleet, names_in(names)).start(count)
    wait_until("the callers are served", lambda: context.workload.whole >= count)


@when('daemons "{names}" are restarted in turn')
def restart_in_turn(context, names):
    context.exits = []
    for name in names_in(names):
        process = context.fleet.processes[name]
        process.terminate()
        context.exits.append(process.wait(STOP_LIMIT))
        host = context.fleet.hosts[name]
        context.fleet.daemon(name, host["domain"], host["region"])
        wait_until(f"{name} is ready", lambda n=name: is_ready(context.fleet.processes[n].http))
        context.fleet.wait_settled(*names_in(names), paths=12)


@when("the callers finish")
def callers_finish(context):
    context.workload.stop()


@then("no caller has met an error")
def no_errors(context):
    assert not context.workload.wrong, context.workload.wrong
    print(f"{context.workload.whole} plans, {len(context.workload.refunds)} refunds")


@then("each refund answered has run 1 time")
def refunds_once(context):
    ran = context.fleet.counts("ledger-lagos-1-0")["ran"]
    assert context.workload.refunds
    assert set(ran.values()) == {1}, ran
    assert set(context.workload.refunds) == set(ran)


@then("every stop ended with status 0")
def stops_ended_well(context):
    assert set(context.exits) == {0}, context.exits


@given("the planner's resume window is {seconds:d} seconds")
def short_window(context, seconds):
    file = context.fleet.path / "window.ini"
    file.write_text(WINDOW_SERVICE.format(seconds=seconds))
    context.fleet.apply(str(file))


@when(
    "{count:d} plans of {length:d} tokens wait for engines through a daemon that does not schedule"
)
def plans_wait(context, count, length):
    daemons = running(context)
    owner(context, daemons)
    first = caller_of(context.fleet, daemons[0], "plan [len=20]").start()
    first.join()
    context.scheduler = scheduling(context, daemons)
    entry = next(name for name in daemons if name != context.scheduler)
    context.plan_length = length
    context.plans = start_plans(context.fleet, [entry], count, length)
    # All must have asked, or a late one would be taken for one that moved.
    wait_until("all have asked", lambda: asked(context, context.scheduler) >= count)
    assert queued(context, context.scheduler) >= 5


def queued(context, daemon):
    """Return how many requests wait at a daemon's schedulers."""
    return sum(row["queued"] for row in context.fleet.status(daemon)["schedulers"])


def asked(context, daemon):
    """Return how many requests wait at or have been granted by a daemon's schedulers."""
    rows = context.fleet.status(daemon)["schedulers"]
    granted = sum(engine["streams"] for row in rows for engine in row["engines"])
    return granted + queued(context, daemon)


def started(context):
    """Return how many generations the engines have started."""
    return total(context.fleet, "started")


@when("the scheduling daemon is asked to stop")
def stop_scheduler(context):
    context.next_schedulers = [name for name in running(context) if name != context.scheduler]
    context.stop_asked_at = time.time()
    context.fleet.processes[context.scheduler].terminate()


def log_lines(context, daemon, event):
    """Return the lines of one kind in a daemon's log."""
    lines = (context.fleet.path / f"{daemon}.log").read_text().splitlines()
    rows = [json.loads(line) for line in lines if f'"{event}"' in line]
    return [row for row in rows if row["message_type"] == event]


def queued_times(context):
    """Return when each moved request was queued at its next scheduler, by the daemons' own clock.

    An answer to a status question says when the test was served, not when requests were queued.
    """
    before = {row["request"] for row in log_lines(context, context.scheduler, "granted")}
    times = {}
    for name in context.next_schedulers:
        for row in log_lines(context, name, "granted"):
            if row["request"] not in before:
                times.setdefault(row["request"], row["timestamp"] - row["waited"])
    return times


@then("other daemons had all requests handed over within {seconds:g} seconds")
def queued_elsewhere(context, seconds):
    handed_over = log_lines(context, context.scheduler, "duties handed over")[-1]["queued"]
    times = queued_times(context)
    assert len(times) >= handed_over, f"{len(times)} of {handed_over} were queued elsewhere"
    last = max(times.values()) - context.stop_asked_at
    print(f"other daemons had all {len(times)} requests after {last:.2f} s")
    assert last < seconds, f"after {last:.2f} s"


@when('"{daemon}" is no longer ready')
def no_longer_ready(context, daemon):
    address = context.fleet.processes[daemon].http
    wait_until(f"{daemon} is not ready", lambda: not is_ready(address))


def mark_disturbance(context):
    """Note when a scheduler was disturbed, and when the next generation started after that."""
    began, before = time.monotonic(), started(context)
    wait_until("grants flow again", lambda: started(context) > before)
    context.grant_gap = time.monotonic() - began


@then("all {count:d} plans are whole")
def all_plans_whole(context, count):
    assert len(context.plans) == count
    check_all_whole(context.plans, context.plan_length)


@then("grants flowed again within {seconds:g} seconds")
def grants_flowed(context, seconds):
    print(f"grants flowed again after {context.grant_gap:.2f} s")
    assert context.grant_gap < seconds, f"after {context.grant_gap:.2f} s"


@then("the stopped daemon exits with status 0")
def stopped_daemon_exits(context):
    assert context.fleet.processes[context.scheduler].wait(STOP_LIMIT) == 0


def connect(context, daemon):
    """Open a connection that is kept."""
    host, _, port = context.fleet.processes[daemon].http.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=30)


@when('a caller of "{daemon}" keeps its connection and another lets one idle')
def keep_connection(context, daemon):
    context.kept, context.idle = connect(context, daemon), connect(context, daemon)
    for connection in (context.kept, context.idle):
        assert ask_health(connection).getheader("Connection") != "close"


def ask_health(connection):
    """Make one short request on a kept connection."""
    connection.request("GET", "/healthz")
    answer = connection.getresponse()
    answer.read()
    return answer


@then('"{daemon}" is not ready and answers the kept connection with "Connection: close"')
def told_of_close(context, daemon):
    wait_until(f"{daemon} is not ready", lambda: not is_ready(context.fleet.processes[daemon].http))
    answer = ask_health(context.kept)
    assert answer.status == 200 and answer.getheader("Connection") == "close", answer.getheaders()


@then("the idle connection is closed while the stream goes on")
def idle_closed(context):
    context.idle.sock.settimeout(10)
    assert context.idle.sock.recv(1) == b""
    assert not context.caller.done


@then('the log of "{daemon}" says "{text}"')
def log_says(context, daemon, text):
    log = context.fleet.path / f"{daemon}.log"
    wait_until(f"{daemon} logs {text!r}", lambda: text in log.read_text(), 10)


@when('a caller of "{daemon}" starts a plan of {length:d} tokens and goes away')
def caller_goes(context, daemon, length):
    body = {
        "model": "planner",
        "messages": [{"role": "user", "content": f"plan [len={length}]"}],
        "stream": True,
        "max_tokens": 20000,
    }
    address = context.fleet.processes[daemon].http
    with send(address, "/v1/chat/completions", body, bearer("organisers")) as connection:
        assert connection.recv(100).startswith(b"HTTP/1.1 200")
    wait_until("the stream is held", lambda: context.fleet.status(daemon)["in_progress"] == 0)


@then("no engine runs anything")
def engines_idle(context):
    names = [n for n, host in context.fleet.hosts.items() if host["kind"] == "engine"]
    assert all(context.fleet.counts(name)["running"] == 0 for name in names)


@then("the stopped daemon handed queued requests over")
def handed_over(context):
    rows = log_lines(context, context.scheduler, "duties handed over")
    assert rows and rows[-1]["queued"] > 0, rows
    print(f"{rows[-1]['queued']} requests handed over in {rows[-1]['seconds']:.4f} s")


def ask_whole(context, tokens):
    """Ask daemon "a" for a plan that is not streamed."""
    body = {"model": "planner", "prompt": f"plan [len={tokens}]", "max_tokens": tokens}
    address = context.fleet.processes["a"].http
    return call(address, "POST", "/v1/completions", body, bearer("organisers"))


@when(
    "calls of each kind and plans of {tokens:d} tokens are in progress at "
    '"{daemon}", which is asked to stop'
)
def all_kinds_in_progress(context, tokens, daemon):
    context.fleet.admin("ledger-lagos-1-0", {"hold_after": True})
    process = context.fleet.processes[daemon]
    context.refund = Refund(process.http, "r-1").start()
    context.asked = []
    asks = (lambda: look_up(context.fleet, "GET"), lambda: ask_whole(context, tokens))
    context.threads = [
        threading.Thread(target=lambda a=ask: context.asked.append(a()), daemon=True)
        for ask in asks
    ]
    for thread in context.threads:
        thread.start()
    context.caller = caller_of(context.fleet, daemon, f"plan [len={tokens}]").start()
    context.caller.wait_tokens(1)
    wait_until("calls run", lambda: context.fleet.counts("ledger-lagos-1-0")["holding"] == 2)
    wait_until("plans run", lambda: started(context) == 2)
    process.terminate()


@then('each of them is answered 504 with ran "{ran}", and the stream ends with that error')
def all_kinds_answered(context, ran):
    for thread in context.threads:
        thread.join(STOP_LIMIT)
    refund = context.refund.join()
    assert refund.answer is not None, refund.broken
    answers = [refund.answer, *context.asked]
    assert len(answers) == 3, answers
    for answer in answers:
        assert answer.status == 504 and answer.json["ran"] == ran, answer
    context.caller.join()
    assert context.caller.error and context.caller.error["reason"] == "stopping", context.caller
    assert context.caller.error["ran"] == ran and not context.caller.done, context.caller.error


@then("no refund has run twice")
def refund_not_twice(context):
    assert times_run(context.fleet, "r-1") == 1


@when('callers send the last byte of a refund at any time of the stop of "{daemon}"')
def late_refunds(context, daemon):
    process = context.fleet.processes[daemon]
    assert post(process.http, "r-before").status == 200
    moments = [round(0.5 + LATE_STEP * number, 1) for number in range(25)]
    context.late = []
    for at in [*moments, NEVER]:
        headers = bearer("depots") | {"Host": "x", "Idempotency-Key": f"r-at-{at}"}
        context.late.append(LateCaller(process.http, PATH, headers, at, OPENED))
    moment = SignalMoment()
    for caller in context.late:
        caller.start(moment)
    wait_for(moment.choose(0.3))
    process.terminate()
    for caller in context.late:
        caller.thread.join(STOP_LIMIT)
        print(caller.at, caller.status, caller.failure, round(caller.ended_at, 2))


def key_runs(context, caller):
    """Return how often a late caller's refund has run."""
    return times_run(context.fleet, caller.headers["Idempotency-Key"])


@then("each refund that was sent whole has a whole answer")
def late_refunds_answered(context):
    for caller in context.late:
        was_read = caller.sent_at is None or caller.ended_at - caller.sent_at > READ_SLACK
        if was_read or key_runs(context, caller):
            assert caller.is_whole, caller


@then("no refund that was answered 503 has run, and each 503 says when to come again")
def late_refunds_not_run(context):
    for caller in context.late:
        if caller.status == 503:
            assert caller.retry_after and not key_runs(context, caller), caller


@then("each refund that was sent whole before {moment:g} s was answered 200")
def late_refunds_served(context, moment):
    for caller in context.late:
        if 0 < caller.at < moment:
            assert caller.status == 200 and key_runs(context, caller) == 1, caller


@given('plain services of "{domain}" take {seconds:g} s to answer')
def slow_plain_services(context, domain, seconds):
    context.fleet.admin(f"ledger-{domain}-0", {"delay": seconds})
