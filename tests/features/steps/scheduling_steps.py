"""Steps about the scheduler's decisions."""

import hashlib
import time

from behave import given, then, when

from standins.fleet import wait_until
from tests.callers import KEYS, StreamingCaller

DOMAIN, REGION = "lagos-ikeja", "lagos"
LONG_PROMPT = "What the hall is like, once more: " * 60
ENDED_LIMIT = 60.0  # seconds


def write_settings(context, accounts, **options):
    """Put a planner service and its accounts in force; ``name:5`` gives a priority."""
    lines = ["[/teams/sound-trust]", "state = open"]
    lines += ["[/teams/sound-trust/services/planner]", "kind = model", "max_output_tokens = 2000"]
    lines += [f"wait_limit = {options.pop('wait_limit', 50)}", "resume_window = 0.2"]
    lines += [f"spill_same_region = {options.pop('spill', 600)}"]
    lines += [f"cell_engines = {options.pop('cell_engines', 12)}"]
    lines += ["[/teams/sound-trust/deployments/planner]", "service = planner"]
    lines += ["backends = planner-*"]
    context.deployment = lines
    context.options = options
    context.accounts = []
    for account in accounts.split(","):
        name, _, priority = account.strip().partition(":")
        KEYS[name] = f"{name}-key"
        digest = hashlib.sha256(KEYS[name].encode()).hexdigest()
        context.accounts += [f"[/teams/sound-trust/accounts/{name}]", f"key_sha256 = {digest}"]
        context.accounts += [f"priority = {priority or 0}"]
    context.paths = 3 + len(accounts.split(","))
    context.sent, context.ended, context.callers = {}, [], []
    context.fleet.platform()


@given('a planner service with a batch of {batch:d} for accounts "{accounts}"')
def service_with_batch(context, batch, accounts):
    write_settings(context, accounts, max_batch=batch)


@given(
    "a planner service with a batch of {batch:d} and a wait of {wait:d} seconds "
    'for accounts "{accounts}"'
)
def service_with_wait(context, batch, wait, accounts):
    context.wait_limit = wait
    write_settings(context, accounts, max_batch=batch, wait_limit=wait)


@given(
    "a planner service with a batch of {batch:d} and a spill price of {price:g} seconds "
    'for accounts "{accounts}"'
)
def service_with_spill(context, batch, price, accounts):
    write_settings(context, accounts, max_batch=batch, spill=price)


@given('another domain "{domain}" of the region with engine "{engine}" and daemon "{daemon}"')
def another_domain(context, domain, engine, daemon):
    context.fleet.engine(engine, domain, REGION, "--step", "0.004", "--memory", "4000")
    context.fleet.daemon(daemon, domain, REGION)


@then('all are served, {some} by engine "{engine}"')
def served_elsewhere(context, some, engine):
    streams_of(context, "large")
    started = context.fleet.counts(engine)["started"]
    assert (started > 0) == (some == "some"), f"{engine} started {started}"


@given('a planner service with policy "{policy}" for accounts "{accounts}"')
def service_with_policy(context, policy, accounts):
    write_settings(context, accounts, policy=policy)


@given('a planner service with prefix affinity off for accounts "{accounts}"')
def service_without_affinity(context, accounts):
    write_settings(context, accounts, max_batch=8, affinity_bound="off")


@given("{count:d} scheduled engine with memory {memory:d}")
@given("{count:d} scheduled engines with memory {memory:d}")
def scheduled_engines(context, count, memory):
    for number in range(count):
        options = ("--step", "0.004", "--memory", str(memory), "--prefill-per-token", "0.00001")
        context.fleet.engine(f"planner-{number}", DOMAIN, REGION, *options)
    file = context.fleet.path / "planner.ini"
    options = [f"{name} = {value}" for name, value in context.options.items()]
    lines = [*context.deployment, f"memory_tokens = {memory}", *options, *context.accounts]
    file.write_text("\n".join(lines) + "\n")
    context.fleet.apply(str(file))


@given('daemons "{names}" that schedule')
def scheduling_daemons(context, names):
    context.daemons = [name.strip() for name in names.split(",")]
    for name in context.daemons:
        context.fleet.daemon(name, DOMAIN, REGION)
    context.fleet.wait_settled(*context.daemons, paths=context.paths)
    time.sleep(2.5)  # so that no scheduler is still learning


class TimedCaller(StreamingCaller):
    """A caller that notes when it began and ended."""

    def run(self):
        """Stream to the end."""
        self.began = time.monotonic()
        super().run()
        self.ended = time.monotonic()


def send(context, account, daemon, prompt):
    """Start one stream."""
    address = context.fleet.processes[daemon].http
    caller = TimedCaller(address, account, "planner", prompt).start()
    context.callers.append(caller)
    return caller


@when('account "{account}" sends {count:d} stream of {length:d} tokens through "{daemon}"')
@when('account "{account}" sends {count:d} streams of {length:d} tokens through "{daemon}"')
def send_streams(context, account, count, length, daemon):
    for number in range(count):
        send(context, account, daemon, f"plan {number} [len={length}]")
    if len(context.callers) == count:
        wait_until("the engine works", lambda: context.fleet.counts("planner-0")["running"])


@when("every stream has ended")
def every_stream_ended(context):
    for caller in context.callers:
        caller.join()


def streams_of(context, account):
    """Return an account's callers, all of them served to the end."""
    every_stream_ended(context)
    found = [caller for caller in context.callers if caller.account == account]
    assert all(caller.done for caller in found), [caller.error for caller in found]
    return found


@then('at most {count:d} streams of "{large}" end before the last of "{small}"')
def ends_before(context, count, large, small):
    last = max(caller.ended for caller in streams_of(context, small))
    before = [caller for caller in streams_of(context, large) if caller.ended < last]
    assert len(before) <= count, f"{len(before)} streams of {large} ended before"


def refused_callers(context):
    """Return the callers that were refused."""
    return [caller for caller in context.callers if caller.status == 429]


@then("some were refused, nearly all in less than half of the wait, with a Retry-After")
def refused_at_once(context):
    refused = refused_callers(context)
    assert len(refused) >= 5, f"{len(refused)} refused"
    for caller in refused:
        assert caller.error["ran"] == "no", caller.error
        assert caller.error["retry_after"] >= 1, caller.error
    late = [c for c in refused if c.ended - c.began > context.wait_limit / 2]
    assert len(late) <= len(refused) / 10, f"{len(late)} of {len(refused)} refused late"


@then("{count:d} were refused, all but one of them within {part:g} of the wait")
def refused_in_vain(context, count, part):
    refused = [caller for caller in context.callers if caller.status in (429, 503)]
    times = sorted(round(caller.ended - caller.began, 2) for caller in refused)
    assert len(refused) == count, f"{len(refused)} refused, after {times}"
    assert all(c.error["ran"] == "no" and c.error["retry_after"] >= 1 for c in refused)
    assert times[-2] <= part * context.wait_limit, times


@then("most of those refused are served when they come back as told")
def served_again(context):
    waiting = sorted((c.ended + c.error["retry_after"], c) for c in refused_callers(context))
    again = []
    for at, caller in waiting:
        time.sleep(max(0.0, at - time.monotonic()))
        again.append(send(context, caller.account, "a", caller.prompt))
    every_stream_ended(context)
    served = [caller for caller in again if caller.done]
    assert len(served) > len(again) / 2, f"{len(served)} of {len(again)} served"


@then("the engine preempted at least {times:d} times")
def preempted_at_least(context, times):
    found = context.fleet.counts("planner-0")["preemptions"]
    assert found >= times, f"{found} preemptions"


@then("the engine preempted at most {times:d} time")
def preempted_at_most(context, times):
    found = context.fleet.counts("planner-0")["preemptions"]
    assert found <= times, f"{found} preemptions"


def scheduler_and_streams(context):
    """Return the living daemon whose ledger has the most streams, and how many those are."""
    living = [n for n in context.daemons if context.fleet.processes[n].popen.poll() is None]
    found = []
    for name in living:
        schedulers = context.fleet.status(name)["schedulers"]
        found.append((sum(e["streams"] for s in schedulers for e in s["engines"]), name))
    count, name = max(found)
    return name, count


def one_that_does_not_schedule(context):
    """Return a living daemon that is not the scheduler."""
    scheduler = getattr(context, "scheduler", None)
    if scheduler is None:
        probe = send(context, "large", context.daemons[0], "probe [len=300]")
        probe.wait_tokens(5)
        scheduler = context.scheduler = scheduler_and_streams(context)[0]
        probe.join()
    others = [n for n in context.daemons if n != scheduler]
    return next(n for n in others if context.fleet.processes[n].popen.poll() is None)


@when('account "{account}" sends {count:d} streams of {length:d} tokens through one that does not schedule')  # noqa: E501  # fmt: skip
def send_past_scheduler(context, account, count, length):
    daemon = one_that_does_not_schedule(context)
    made = [send(context, account, daemon, f"p{n} [len={length}]") for n in range(count)]
    if not context.sent:
        for caller in made:
            caller.wait_tokens(3)
    context.sent.setdefault(length, made)


@when("the scheduler is killed")
def kill_scheduler(context):
    context.fleet.processes[context.scheduler].kill()


@then("another scheduler has {count:d} streams on its ledger")
def ledger_rebuilt(context, count):
    wait_until("the ledger is rebuilt", lambda: scheduler_and_streams(context)[1] == count)


@then("the engine never runs more than {count:d} at once until those {long:d} have ended")
def never_more_than(context, count, long):
    first = max(context.sent)
    while not any(caller.done for caller in context.sent[first]):
        running = context.fleet.counts("planner-0")["running"]
        assert running <= count, f"{running} run at once"
        assert not any(caller.broken or caller.error for caller in context.sent[first])
        time.sleep(0.05)
    for caller in context.callers:
        caller.join()
        assert caller.done, caller.error


@when('account "{account}" streams a long prompt through "{daemon}"')
def stream_long_prompt(context, account, daemon):
    send(context, account, daemon, LONG_PROMPT + "[len=5]").join()


@then("the first of two empty engines ran every later long prompt")
def first_engine_ran(context):
    started = [context.fleet.counts(f"planner-{n}")["started"] for n in range(2)]
    assert started == [3, 1], f"the engines started {started}"


@then("one engine ran every long prompt")
def one_engine_ran(context):
    started = [context.fleet.counts(f"planner-{n}")["started"] for n in range(2)]
    # The plan came first and kept the first engine busy, so the first long prompt went past it.
    assert started == [1, 3], f"the engines started {started}"
