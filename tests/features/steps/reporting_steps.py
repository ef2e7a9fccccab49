"""Steps about the reports by which schedulers know how far streams are."""

import json

from behave import given, then, when

from papayacourse.rendezvous import ranked, scheduling_duty
from standins.fleet import wait_until
from tests.callers import StreamingCaller, check_whole
from tests.steptext import names_in

ORDINALS = {"first": 0, "second": 1}
SCHEDULERS = {"numbering": 0, "next": 1}  # places in the order
OFTEN = 3  # reports
STALL = 4.0  # seconds
LONG_STALL = 12.0  # seconds
MISSED = "stream not reported"
PLANNER_PATH = "/teams/sound-trust/services/planner"


def order(context):
    """Return the daemons: the planner's scheduler, then the others."""
    daemons = [name for name, host in context.fleet.hosts.items() if host["kind"] == "entry"]
    return ranked(scheduling_duty("sound-trust", "planner"), daemons)


def entry(context, ordinal):
    """Return a daemon that does not schedule the planner."""
    return order(context)[1 + ORDINALS[ordinal]]


def messages(context, name, kind):
    """Return how many messages of a kind a daemon has sent."""
    return context.fleet.status(name)["mesh"]["messages"].get(kind, {}).get("sent", 0)


def heartbeats(context, name):
    """Return how many heartbeats a daemon has sent, in full or not."""
    return messages(context, name, "Heartbeat") + messages(context, name, "Beat")


def start(context, daemon, **options):
    """Start a caller of the planner."""
    address = context.fleet.processes[daemon].http
    account = "large" if hasattr(context, "accounts") else "organisers"
    prompt = f"plan [len={context.length}]"
    return StreamingCaller(address, account, "planner", prompt, **options).start()


@given("daemons that log everything")
def log_everything(context):
    context.fleet.log_level = "debug"


def has_second_settings(context, daemon):
    """Return True if a daemon's log says that it has the planner's second settings in force."""
    lines = (context.fleet.path / f"{daemon}.log").read_text().splitlines()
    rows = [json.loads(line) for line in lines if '"settings in force"' in line]
    return len({row["revision"] for row in rows if row["path"] == PLANNER_PATH}) == 2


@given("all daemons have the planner's second settings in force")
def second_settings(context):
    for name in order(context):
        wait_until(f"{name} has them", lambda n=name: has_second_settings(context, n))


@when("{count:d} numbered stream of {length:d} tokens runs through the {ordinal} entry daemon")
@when("{count:d} numbered streams of {length:d} tokens run through the {ordinal} entry daemon")
def run_streams(context, count, length, ordinal):
    """Start streams one after another, so that their daemon numbers them in this order."""
    daemons = order(context)
    context.in_full = {name: messages(context, name, "StreamReport") for name in daemons}
    context.length, context.numbered, context.parts = length, [], []
    for _ in range(count):
        caller = start(context, entry(context, ordinal))
        caller.wait_tokens(20)
        context.numbered.append(caller)


@when("the {ordinal} entry daemon is killed")
def kill_entry(context, ordinal):
    context.fleet.processes[entry(context, ordinal)].kill()


@when("the {ordinal} entry daemon is killed and started again")
def restart_entry(context, ordinal):
    name = entry(context, ordinal)
    restart(context, name)
    # So that what it relays from now on is reported by number alone.
    wait_until("it has reported once", lambda: messages(context, name, "StreamReport"))


@when("the engine holds its streams still for {seconds:d} seconds")
def hold_still(context, seconds):
    context.fleet.admin("planner-0", {"stall": float(seconds)})


@when("the numbering scheduler is killed")
def kill_scheduler(context):
    context.fleet.processes[order(context)[0]].kill()


@when("the numbering scheduler is started again")
def start_scheduler(context):
    start_again(context, order(context)[0])


@when("the numbering scheduler is killed and started again")
def restart_scheduler(context):
    restart(context, order(context)[0])


def restart(context, name):
    """Kill a daemon and start it again under its name."""
    context.fleet.processes[name].kill()
    start_again(context, name)


def start_again(context, name):
    """Start a daemon that was killed under its name."""
    host = context.fleet.hosts[name]
    context.fleet.daemon(name, host["domain"], host["region"])
    context.fleet.wait_settled(*order(context), paths=context.paths)


@when("numbered stream {number:d} is resumed through the {ordinal} entry daemon")
def resume(context, number, ordinal):
    before = context.numbered[number - 1]
    before.join()
    context.numbered = [start(context, entry(context, ordinal), last_event_id=before.cursor)]
    context.parts = [before]
    context.numbered[0].wait_tokens(5)


@when('the links of daemons "{names}" are cut until {count:d} more tokens are read')
def cut_links(context, names, count):
    for name in names_in(names):
        context.fleet.admin(f"{name}-mesh", {"mode": "cut"})
    caller = context.numbered[-1]
    caller.wait_tokens(len(caller.texts) + count)
    for name in names_in(names):
        context.fleet.admin(f"{name}-mesh", {"mode": "pass"})


@then("the numbered streams are whole")
def streams_whole(context):
    for caller in context.numbered:
        caller.join()
        assert caller.done and caller.error is None, caller.error or caller.broken
        before = [text for part in context.parts for text in part.texts]
        check_whole([*before, *caller.texts], context.length)


@then("the {ordinal} entry daemon reported progress often, and {count:d} stream in full")
@then("the {ordinal} entry daemon reported progress often, and {count:d} streams in full")
def reported(context, ordinal, count):
    name = entry(context, ordinal)
    progress = messages(context, name, "ProgressReport")
    in_full = messages(context, name, "StreamReport") - context.in_full[name]
    assert progress >= OFTEN and in_full == count, f"{progress} progress, {in_full} in full"


@then("no scheduler missed a report")
def none_missed(context):
    for name in order(context):
        log = (context.fleet.path / f"{name}.log").read_text()
        missed = [line for line in log.splitlines() if MISSED in line]
        assert not missed, f"{name}: {missed[:2]}"


def ledger(context, name, what):
    """Return a sum over the engines on a scheduler's ledger of the planner."""
    rows = context.fleet.status(name)["schedulers"]
    return sum(e[what] for row in rows if row["service"] == "planner" for e in row["engines"])


@then("the {which} scheduler has {count:d} streams on its ledger while they run")
def ledger_has(context, which, count):
    name = order(context)[SCHEDULERS[which]]
    wait_until("the ledger is rebuilt", lambda: ledger(context, name, "streams") == count)
    assert not any(caller.done for caller in context.numbered), "the streams have ended"


@then("the numbering scheduler comes to know all that the callers have read")
def ledger_knows(context):
    """Hold the engine still, so that the scheduler can come to know exactly what has been read."""
    name = order(context)[0]
    engine = next(n for n, host in context.fleet.hosts.items() if host["kind"] == "engine")
    context.fleet.admin(engine, {"stall": STALL})

    def knows():
        read = sum(len(caller.texts) for caller in context.numbered)
        return ledger(context, name, "generated") == read

    wait_until("it knows of every token", knows)
    assert not any(caller.done for caller in context.numbered), "the streams have ended"


@then("the scheduler sees the {ordinal} entry daemon alive while it sends {reports:d} reports and at most {beats:d} heartbeats")  # noqa: E501  # fmt: skip
def alive_by_reports(context, ordinal, reports, beats):
    scheduler, name = order(context)[0], entry(context, ordinal)
    wait_until("it reports", lambda: messages(context, name, "ProgressReport"))
    reported, beaten = messages(context, name, "ProgressReport"), heartbeats(context, name)

    def enough():
        rows = context.fleet.status(scheduler)["peers"]
        assert all(row["alive"] for row in rows), f"{scheduler} takes {name} for dead"
        return messages(context, name, "ProgressReport") >= reported + reports

    wait_until("it has sent the reports", enough)
    sent = heartbeats(context, name) - beaten
    assert sent <= beats, f"{sent} heartbeats beside {reports} reports"


@then("the engine comes to run {count:d} stream, while numbered stream {number:d} is read")
def engine_runs(context, count, number):
    # Held still, no stream can come to its own end meanwhile.
    context.fleet.admin("planner-0", {"stall": LONG_STALL})
    wait_until(
        "it runs so many",
        lambda: context.fleet.counts("planner-0")["running"] == count,
        LONG_STALL - 1,
    )
    caller = context.numbered[0]
    assert not caller.done and caller.error is None, f"stream {number} ended: {caller.error}"
