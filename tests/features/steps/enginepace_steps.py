"""Steps about the paces of engines, without processes."""

import asyncio
import time
from itertools import cycle
from types import SimpleNamespace

from attrs import evolve
from behave import given, then, when
from routedhomes_steps import member, membership
from routedplaces_steps import SERVICE, run
from tornado.httputil import HTTPHeaders

from papayacourse.admission import choose_engine
from papayacourse.cells import Cell
from papayacourse.ledger import EngineLedger, Stream, add_stream
from papayacourse.lengths import LengthModel
from papayacourse.meshmessages import ServiceLoad
from papayacourse.numbering import (
    Progress,
    ProgressRow,
    StreamNumbers,
    decode_progress,
    encode_progress,
)
from papayacourse.pace import Paces
from papayacourse.placement import Placement
from papayacourse.policies import POLICIES
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.config import parse_routed
from papayacourse.routed.derived import TEAM
from papayacourse.routed.document import Repeat, Route, Share
from papayacourse.routed.generationrequest import generation_request
from papayacourse.routed.seams import Call
from papayacourse.schedulingmessages import (
    Granted,
    GrantRefused,
    GrantRequest,
    StreamReport,
    StreamState,
)
from papayacourse.spill import Spill

MEMORY = 30_000  # tokens
SAMPLES = 6  # reports at each batch size
ODD = 8.0  # factor of an odd report
TARGET = 0.18  # seconds
CELL = Cell("team", SERVICE, 0)
DAEMON_FILE = """
[daemon]
name = a
domain = lagos
region = lagos
regions =
    lagos = lagos
[listen]
http = 127.0.0.1:1
readiness = 127.0.0.1:2
mesh = 127.0.0.1:3
metrics = 127.0.0.1:4
[platform]
store = 127.0.0.1:5
[mesh]
key = a key of the daemons' mesh
"""


def stream(name: str, gap: float, event_tokens: int = 1) -> Stream:
    """Return a stream with a target for gaps."""
    return Stream(evolve(run(name), max_gap=gap, event_tokens=event_tokens), "me")


@given("these engines")
def engines(context):
    context.paces, context.ledgers, context.rows = Paces(), {}, context.table
    for row in context.table:
        ledger = EngineLedger(row["engine"], "", MEMORY, 24, 0.0, POLICIES["predicted"])
        for number in range(int(row["streams"])):
            add_stream(ledger, stream(f"{ledger.name}-{number}", 0.0))
        context.ledgers[ledger.name] = ledger


@given('a stream on "{engine}" whose events of {tokens:d} token may be {gap:g} s apart')
def stream_on(context, engine, tokens, gap):
    add_stream(context.ledgers[engine], stream("there", gap, tokens))


@given('"{engine}" is full')
def is_full(context, engine):
    context.ledgers[engine].max_batch = len(context.ledgers[engine].streams)


@when("each has run {sizes} streams, and 1 report in 6 is odd")
def have_run(context, sizes):
    for row in context.rows:
        odd = cycle([ODD, 1, 1.05, 0.95, 1, 1])
        for batch in map(int, sizes.split(", ")):
            seconds = float(row["seconds a token"]) + batch * float(row["more with each stream"])
            for _ in range(SAMPLES):
                context.paces.record(row["engine"], batch, seconds * next(odd))
                context.paces.record_pause(row["engine"], float(row["pause while it prefills"]))


@then(
    'the pace of "{engine}" with {batch:d} streams counts as {seconds:g} s a token within 15 in 100'
)
def pace_is(context, engine, batch, seconds):
    found = context.paces.line(engine).seconds_per_token(batch)
    assert abs(found - seconds) <= 0.15 * seconds, found


@when('"{engine}" has restarted under another name')
def restarted(context, engine):
    context.paces.retain_engines([name for name in context.ledgers if name != engine])


@when("a stream comes whose events of {tokens:d} token may be {gap:g} s apart")
def stream_comes(context, tokens, gap):
    context.chosen = choose_engine(
        list(context.ledgers.values()), stream("new", gap, tokens), LengthModel(), 0,
        paces=context.paces,
    )  # fmt: skip


@then('the stream goes to "{engine}"')
def goes_to(context, engine):
    assert context.chosen.name == engine, context.chosen.name


# Through the messages.


@when("a run there reports {rate:d} tokens a second for {count:d} s, gaps of {gap:g} s for prompts")
def reports(context, rate, count, gap):
    scheduler, start = context.scheduler, time.monotonic() - count - 1
    context.engine = f"{SERVICE}/one"
    state = StreamState(stream("run", TARGET).generation, context.engine, 1, 1)
    for second in range(count + 1):
        scheduler.clock = lambda now=start + second: now
        if not second:
            scheduler.apply_report("me", StreamReport(CELL.team, SERVICE, (state,)))
        scheduler.apply_progress("me", [Progress("run", 1 + rate * second, gap)])


@then("its engine is taken for one of {seconds:g} s a token that pauses for {pause:g} s")
def engine_is(context, seconds, pause):
    paces = context.scheduler.engines.paces
    assert abs(paces.line(context.engine).seconds_per_token(1) - seconds) < 0.001, paces
    assert abs(paces.pause(context.engine) - pause) < 0.001, paces


@then("a report of gaps of 0.15, 0 and 0.02 s is read as it was sent")
def gaps_are_read(_context):
    rows = [ProgressRow(9, 400, 0.15), ProgressRow(3, 20), ProgressRow(12, 1, 0.02)]
    found = list(decode_progress(encode_progress(CELL, rows)))
    assert found == sorted(rows, key=lambda row: row.number), found


@then("a report without gaps is sent as before")
def no_gaps(_context):
    assert encode_progress(CELL, [ProgressRow(3, 20)]).gaps == ()


# In time, here or in another domain.


def asked(gap: float = TARGET, **more) -> GrantRequest:
    """Return a request for a place."""
    return GrantRequest(stream("new", gap).generation, 5.0, **more)


@then("a request for a place in time there is {answer}, and one for any place is granted")
def asked_in_time(context, answer):
    async def work():
        grant = context.scheduler.request_grant
        strict = grant("me", asked(only_in_time=True))
        assert getattr(strict, "reason", "granted") == answer, strict
        assert isinstance(grant("me", asked()), Granted)

    asyncio.run(work())


@then("the load told to other domains has {step:g} s a token")
def load_told(context, step):
    load = context.scheduler.grant_queue.load()
    assert abs(load.step - step) < 0.1 * step, load


@given("these domains")
def domains(context):
    view = membership("here", "lagos")
    view.members = {
        row["domain"]: member("d", row["domain"], row["region"]) for row in context.table
    }
    loads = {
        row["domain"]: ServiceLoad(
            TEAM, SERVICE, 0, float(row["wait"]), 9, 0, float(row["step"]), float(row["pause"])
        )
        for row in context.table
    }
    context.spill = Spill(view, view.peers, None, lambda domain, *_: [loads[domain]])


@then('a request with a gap of {gap:g} s asks for places in time in "{names}"')
def domains_asked(context, gap, names):
    found = context.spill.timely_domains(asked(gap), lambda _region: True)
    assert (", ".join(found) or "none") == names, found


@given("another domain that has a place in time {answer}")
def other_domain(context, answer):
    async def place_in(names, request):
        context.asked += [f"{name} in time" if request.only_in_time else name for name in names]
        return Granted("new", "there", "") if answer == "yes" else None

    context.released, context.asked = [], []
    context.placement = SimpleNamespace(
        spill=SimpleNamespace(timely_domains=lambda *_: ["there"], place_in=place_in),
        release_grant=lambda generation: asyncio.sleep(0, context.released.append(generation)),
        numbers=StreamNumbers(),
        _placed=lambda _request, placed: placed,
    )


@when('this domain answers "{here}" to a request for a place in time')
def answers_here(context, here):
    async def ask(request):
        assert request.only_in_time
        granted = Granted("new", "here", "")
        return granted if here == "granted" else GrantRefused("new", here, "", 0.0)

    context.placement._ask_here = ask
    context.found = asyncio.run(Placement._ask_in_time(context.placement, asked(), None))


@then("the stream is {placed}")
def is_placed(context, placed):
    expected = {"placed here": "here", "placed there": "there", "to get any place": None}[placed]
    assert getattr(context.found, "engine", None) == expected, context.found
    assert bool(context.released) == (expected == "there")


@when('a long run is placed in one of "{names}"')
def long_run_placed(context, names):
    asyncio.run(Placement.place_in(context.placement, names.split(", "), asked()))


@then('"{names}" are asked')
def are_asked(context, names):
    assert context.asked == names.split(", "), context.asked


@when("the file of a daemon {says} to place by pace")
def file_says(context, says):
    text = "[scheduling]\nplace_by_pace = yes\n" if says == "says" else ""
    context.by_pace = parse_routed("a file", DAEMON_FILE + text).unwrap().place_by_pace


@then("streams of a route with a target of {gap:g} s between events are placed by {target:g} s")
def placed_by_target(context, gap, target):
    shares = (Share(SERVICE, 1.0),)
    route = Route("r", "h", "/", Repeat.STREAM, shares, 9.0, 1.5, max_gap=gap, has_gap_target=True)
    call = Call("id", "POST", "/", "h", HTTPHeaders(), b"")
    admitted = AdmittedRequest(call, route, None, SERVICE, time.monotonic() + 9.0, 1)
    assert generation_request(admitted, 4, context.by_pace).max_gap == target
