"""Steps about the cells into which the engines of a service are divided."""

import collections
import time

from behave import given, then, when

from papayacourse.cells import Cell, Layout, cell_of, first_cells, weighted_order
from papayacourse.quarantine import fingerprint
from papayacourse.rendezvous import ranked
from papayacourse.types import GenerationRequest
from standins.fleet import wait_until
from tests.callers import StreamingCaller, marks_of
from tests.features.steps.reporting_steps import messages
from tests.features.steps.scheduling_steps import LONG_PROMPT, send, write_settings

SERVICE = "/teams/sound-trust/services/planner"
POLLS = 10  # of the engines
STALL = 12.0  # seconds


@given(
    "a planner service with cells of {size:d} engine and a batch of {batch:d} "
    'for accounts "{accounts}"'
)
@given(
    "a planner service with cells of {size:d} engines and a batch of {batch:d} "
    'for accounts "{accounts}"'
)
def service_with_cells(context, size, batch, accounts):
    write_settings(context, accounts, max_batch=batch, cell_engines=size)


def engines(context):
    """Return the names of the engines."""
    return [name for name, host in context.fleet.hosts.items() if host["kind"] == "engine"]


def living(context):
    """Return the daemons that have not been killed."""
    return [n for n in context.daemons if context.fleet.processes[n].popen.poll() is None]


def scheduler_of(context, cell):
    """Return the daemon that should schedule a cell."""
    return ranked(Cell("sound-trust", "planner", cell).duty, living(context))[0]


def ledgers(context):
    """Return the ledgers that have streams: engine, daemon, cell and how many."""
    return [
        (engine["name"], name, row["cell"], engine["streams"])
        for name in living(context)
        for row in context.fleet.status(name)["schedulers"]
        for engine in row["engines"]
        if engine["streams"]
    ]


def running(context):
    """Return how many streams each engine runs."""
    return {name: context.fleet.counts(name)["running"] for name in engines(context)}


@when('account "{account}" sends {count:d} streams of {length:d} tokens through each daemon in turn')  # noqa: E501  # fmt: skip
def send_in_turn(context, account, count, length):
    for number in range(count):
        daemon = context.daemons[number % len(context.daemons)]
        send(context, account, daemon, f"plan {number} [len={length}]").wait_tokens(3)


@when('account "{account}" sends {count:d} long prompts for {length:d} tokens through each daemon in turn')  # noqa: E501  # fmt: skip
def send_long_prompts(context, account, count, length):
    for number in range(count):
        daemon = context.daemons[number % len(context.daemons)]
        send(context, account, daemon, f"{LONG_PROMPT} {number} [len={length}]")


@when('account "{account}" sends {count:d} streams of {length:d} tokens past the scheduler of cell {cell:d}')  # noqa: E501  # fmt: skip
def send_past(context, account, count, length, cell):
    daemon = next(name for name in context.daemons if name != scheduler_of(context, cell))
    for number in range(count):
        send(context, account, daemon, f"plan {number} [len={length}]").wait_tokens(3)


@when('account "{account}" sends {count:d} streams of {length:d} tokens past the schedulers')
def send_past_all(context, account, count, length):
    schedulers = {scheduler_of(context, cell) for cell in range(len(engines(context)))}
    context.past = next(name for name in context.daemons if name not in schedulers)
    for name in engines(context):
        context.fleet.admin(name, {"stall": STALL})
    for number in range(count):
        send(context, account, context.past, f"plan {number} [len={length}]")


@then("the daemon past them reports to {cells:d} cells, to each at most once in {interval:g} seconds, for {seconds:d} seconds")  # noqa: E501  # fmt: skip
def reports_seldom(context, cells, interval, seconds):
    def sent():
        return messages(context, context.past, "ProgressReport")

    wait_until("it reports", sent)
    before, begun = sent(), time.monotonic()
    time.sleep(seconds)
    reports, passed = sent() - before, time.monotonic() - begun
    # One more of each cell may fall into a span of time, whenever it begins.
    assert cells <= reports <= cells * (passed / interval + 1), f"{reports} in {passed:.1f} s"
    on_one_ledger(context)


@when('account "{account}" sends {count:d} keyed streams of {length:d} tokens through "{daemon}"')
def send_keyed(context, account, count, length, daemon):
    context.keyed = [f"plan {number} [len={length}]" for number in range(count)]
    context.first = keyed(context, account, daemon)


@when('account "{account}" sends the same keyed streams through "{daemon}"')
def send_keyed_again(context, account, daemon):
    context.second = keyed(context, account, daemon)


def keyed(context, account, daemon):
    """Start a stream with a key of its own for each prompt."""
    address = context.fleet.processes[daemon].http
    made = []
    for number, prompt in enumerate(context.keyed):
        headers = {"Idempotency-Key": f"key-{number}"}
        caller = StreamingCaller(address, account, "planner", prompt, headers=headers).start()
        caller.wait_tokens(3)
        made.append(caller)
    return made


@then("the keyed streams come in pairs from {count:d} generations")
def in_pairs(context, count):
    for caller in (*context.first, *context.second):
        caller.join()
        assert caller.done, caller.error or caller.broken
    for first, second in zip(context.first, context.second, strict=True):
        assert marks_of(first.texts) == marks_of(second.texts), "two generations"
    started = sum(context.fleet.counts(name)["started"] for name in engines(context))
    assert started == count, f"{started} generations"


@when("the scheduler of cell {cell:d} is killed")
def kill_scheduler_of(context, cell):
    context.before = sum(n for _, _, number, n in ledgers(context) if number == cell)
    assert context.before, f"cell {cell} has no streams"
    context.fleet.processes[scheduler_of(context, cell)].kill()


@then("the next one schedules cell {cell:d} and has its streams on its ledger")
def next_schedules(context, cell):
    name = scheduler_of(context, cell)

    def held():
        return sum(n for _, d, number, n in ledgers(context) if (d, number) == (name, cell))

    wait_until(f"{name} has the streams", lambda: held() == context.before)


@when("the cells of the planner are set to {size:d} engine")
def set_cells(context, size):
    for name in engines(context):
        # So that no stream comes to its end before the ledgers are right.
        context.fleet.admin(name, {"stall": STALL})
    text = f"[service]\nkind = model\nmax_output_tokens = 2000\ncell_engines = {size}\n"
    done = context.fleet.settings("set", SERVICE, text=text)
    assert not done.returncode, done.stderr


@then("the streams of each engine are on the ledger of one daemon, in {cells:d} cells")
def on_ledger_of_one(context, cells):
    wanted = {name: scheduler_of(context, cell_of(name, cells)) for name in engines(context)}

    def divided():
        return sorted(row[:2] for row in ledgers(context)) == sorted(wanted.items())

    wait_until("the engines are divided", divided)
    assert len(set(wanted.values())) > 1, wanted


@then("at least {count:d} engines run streams, none more than {batch:d} and none over its memory")
def spread_over_engines(context, count, batch):
    for _ in range(POLLS):
        found = running(context)
        assert sum(n > 0 for n in found.values()) >= count, found
        assert max(found.values()) <= batch, found
        time.sleep(0.1)
    over = {name: context.fleet.counts(name)["preemptions"] for name in engines(context)}
    assert not sum(over.values()), over


@then("every stream is on one ledger, and comes to its end")
def on_one_ledger(context):
    def exact():
        rows = collections.Counter()
        for engine, _, _, streams in ledgers(context):
            rows[engine] += streams
        return rows == collections.Counter(running(context))

    wait_until("the ledgers say what the engines run", exact)
    assert any(not caller.done for caller in context.callers), "all have ended"
    for caller in context.callers:
        caller.join()
        assert caller.done, caller.error or caller.broken


@then("the engines come to run {count:d} streams at once")
def run_at_once(context, count):
    wait_until("they run", lambda: sum(running(context).values()) == count, 3)
    for caller in context.callers:
        caller.join()
        assert caller.done, caller.error or caller.broken


def short_request(number, stream):
    """Return a request whose prompt is too short for a prefix."""
    mark = fingerprint("sound-trust", "planner", f"plan {number}")
    prompt = ("", 10, 100, 0, ())
    return GenerationRequest(stream, "sound-trust", "planner", "large", *prompt, mark)


@when("{count:d} requests with short prompts come again under other ids")
def short_prompts_again(context, count):
    layout = Layout({}, dict.fromkeys(range(4), 1000))
    context.orders = [
        [first_cells(short_request(n, f"{daemon}-{n}"), layout) for n in range(count)]
        for daemon in ("a", "b")
    ]


@then("each prefers the cells in the order it did, and not all prefer the same")
def same_order(context):
    first, again = context.orders
    assert first == again
    assert len({order[0] for order in first}) == 4, collections.Counter(map(tuple, first))


@when("{count:d} requests are spread over cells of {first:d}, {second:d} and {third:d} tokens")
def spread_requests(context, count, first, second, third):
    context.parts = {0: first, 1: second, 2: third}
    context.found = collections.Counter(
        weighted_order(f"r{n}", context.parts)[0] for n in range(count)
    )


@then("each cell is first for its part of them, to within {percent:d} in 100")
def first_for_part(context, percent):
    for cell, part in context.parts.items():
        wanted = context.found.total() * part / sum(context.parts.values())
        assert abs(context.found[cell] - wanted) <= wanted * percent / 100, context.found


@then("of {count:d} engines at most 1 in {part:d} move when {before:d} cells become {after:d}")
def few_move(context, count, part, before, after):
    names = [f"engine-{number}" for number in range(count)]
    moved = sum(cell_of(name, before) != cell_of(name, after) for name in names)
    assert moved <= count / part, f"{moved} of {count} move"
