"""Steps about what engines report and generate, of any content."""

import asyncio
import itertools
import json
import string
import sys
import unittest.mock

import attrs
from behave import then, when
from hypothesis import strategies as st
from oddtext_steps import json_texts, texts, values
from wirefuzz_steps import check_random

from papayacourse import engines
from papayacourse.exceptions import BackendError, BackendProtocolError
from papayacourse.routed.seams import EngineRuns, RunState
from papayacourse.types import Host, HostKind
from tests.routedfleet import ROOT

sys.path.append(str(ROOT / "platform"))

from userplatform.enginecalls import HttpEngineCalls

HOST = Host("engine-1", HostKind.ENGINE, "127.0.0.1:1", "lagos", "lagos")
COUNTS = ("RunningRequests", "WaitingRequests", "KvCacheUsed", "KvCacheTotal")
MAX_COUNT = 2**53
HUGE = [10**400, -(10**400), 1e308, -1e308, 2**63, -1, True, "7", "x", None, [], {}]
HALVES = (r"\ud83d", r"\ude00")  # of one character
GOOD_ROWS = [["a", 5, 1, 0], ["b", 0, 1, 0]]
ODD_ROWS = [
    {"Id": "c"}, "cc", 7, None, [], ["c"], ["c", "x"], ["c", None], ["c", -1], ["c", 10**400],
    [["c"], 5], [None, 5], [{}, 5], True, ["c", [5]],
]  # fmt: skip
ODD_TIMES = [[8000], {}, "soon", True, 10**400, 1e308]

fields = st.sampled_from(HUGE) | st.integers(0, 10**6) | values
rows = st.lists(st.sampled_from(ODD_ROWS + GOOD_ROWS) | values, max_size=5) | values
reports = st.one_of(
    st.fixed_dictionaries(
        dict.fromkeys(COUNTS, fields), optional={"leaves_ms": fields, "Runs": rows, "State": fields}
    ).map(json.dumps),
    json_texts,
)
moves = st.one_of(st.fixed_dictionaries({"Handle": fields}).map(json.dumps), json_texts)


class FixedAnswer(HttpEngineCalls):
    """Calls that all get the same answer."""

    def __init__(self, answer):
        super().__init__(lambda _host, _notice: None)
        self.answer = answer if isinstance(answer, bytes) else answer.encode(errors="surrogatepass")

    async def _call(self, *_arguments):
        return engines.read_fields(self.answer, "engine-1")


def result(call):
    """Return the result of a call to an engine; None if it fails as such calls may."""
    try:
        return asyncio.run(call)
    except BackendError:
        return None


@then("{count:d} random reports are refused or decoded into values that can be used")
def random_reports(_context, count):
    def check(answer):
        load = result(FixedAnswer(answer).load(HOST))
        if load is not None:
            numbers = (load.running, load.waiting, load.memory_used, load.memory_total)
            assert all(type(n) is int and 0 <= n <= MAX_COUNT for n in numbers), load
            assert type(load.leaving) is bool
        found = result(FixedAnswer(answer).runs(HOST))
        if found is not None:
            assert found.leaves_in is None or 0 <= found.leaves_in <= MAX_COUNT, found
            assert all(type(run.name) is str for run in found.runs), found
            assert all(0 <= run.tokens <= MAX_COUNT for run in found.runs), found

    check_random(count, reports, check)


@then("{count:d} random answers to moves are refused or name a handle that can be sent")
def random_moves(_context, count):
    printable = set(string.printable) - set(string.whitespace) | {" "}

    def check(answer):
        copied = result(FixedAnswer(answer).copy_run(HOST, "run", HOST, stop=True))
        if copied is not None:
            assert copied.handle and set(copied.handle) <= printable, copied

    check_random(count, moves, check)


@when("an engine reports odd times until it ends, and odd rows among its runs")
def odd_report(context):
    context.runs = []
    for odd, leaves in itertools.product([*ODD_ROWS, ODD_ROWS], ODD_TIMES):
        listed = [GOOD_ROWS[0], odd, GOOD_ROWS[1]]
        report = json.dumps({"Runs": listed, "leaves_ms": leaves, "State": "draining"})
        context.runs.append((odd, result(FixedAnswer(report).runs(HOST))))


@then("its runs are those of the other rows")
def other_rows(context):
    expected = (RunState("a", 5), RunState("b", 0))
    lost = [odd for odd, found in context.runs if found is None or found.runs != expected]
    assert not lost, lost


@then("the time until it ends is not known")
def time_not_known(context):
    assert all(isinstance(found, EngineRuns) for _, found in context.runs)
    assert all(found.leaves_in is None and found.leaves for _, found in context.runs)


events = st.one_of(
    st.fixed_dictionaries(
        {"stream": texts | fields, "offset": st.integers() | fields},
        optional={"text": texts | fields, "reason": texts | fields},
    ).map(json.dumps),
    json_texts,
)


def streamed(text):
    """Return the bytes of an event with JSON in it."""
    data = text if isinstance(text, bytes) else text.encode(errors="surrogatepass")
    return b"id: 1\ndata:" + data.replace(b"\n", b"\ndata:")


@then("{count:d} random events are refused or decoded exactly")
def random_events(_context, count):
    def check(text):
        try:
            (event,) = engines.parse_events([streamed(text)])
        except BackendProtocolError:
            return
        raw = json.loads(text)
        sent = raw.get("text", raw.get("reason"))
        got = event.text if isinstance(event, engines.Token) else event.reason
        assert got == sent and type(got) is str, (event, raw)
        assert (event.stream, event.offset) == (raw["stream"], raw["offset"]), (event, raw)
        got.encode()

    check_random(count, events, check)


@then("a character that is split over two events breaks the stream off")
def split_character(_context):
    halves = [
        f'{{"stream": "s", "offset": {offset}, "text": "{half}"}}'
        for offset, half in enumerate(HALVES)
    ]
    try:
        read = list(engines.parse_events(map(streamed, halves)))
    except BackendProtocolError:
        return
    raise AssertionError(read)


CONTROL_CALLS = {
    "load": (
        lambda: engines.load("127.0.0.1:1"),
        ("running", "waiting", "memory_used", "memory_total", "preemptions", "leaving"),
    ),
    "state": (
        lambda: engines.state("127.0.0.1:1", "s"), ("readers", "generated", "reason")
    ),
    "cache events": (lambda: engines.cache_events("127.0.0.1:1", 0), ("events", "last")),
    "orders": (
        lambda: engines.engine_state("127.0.0.1:1"), ("loaded", "fence", "weights", "running")
    ),
    "order": (
        lambda: engines.order("127.0.0.1:1", engines.Order(1, engines.LoadSpec("", "", "", ""))),
        ("loaded",),
    ),
}  # fmt: skip
SPECS = [{"model": "m"}, {"model": ["m"], "role": None}, {"model": "\ud800"}, [], "m", 7, None]
CACHE_EVENTS = [[], [{"prefix": 5, "kind": "stored"}], [{"prefix": [], "kind": 5}], ["x"], "xy", 5]


class FixedCall:
    """Stands in for a call to an engine: answers 200 with the same body."""

    answer = b""
    status = 200

    def __init__(self, *_arguments, **_options):
        pass

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_error):
        pass

    async def read(self, _limit=None):
        """Return the body."""
        return FixedCall.answer


@then("{count:d} random answers to each control call are refused or decoded into sound values")
def random_control_answers(_context, count):
    odd = fields | st.sampled_from(SPECS + CACHE_EVENTS)
    with unittest.mock.patch.object(engines, "HttpCall", FixedCall):
        for call, names in CONTROL_CALLS.values():
            answers = st.fixed_dictionaries({}, optional=dict.fromkeys(names, odd))
            check_random(count, answers.map(json.dumps) | json_texts, control_check(call))


def control_check(call):
    """Return the check that a control call's answer is refused or can be used."""

    def check(answer):
        FixedCall.answer = (
            answer if isinstance(answer, bytes) else answer.encode(errors="surrogatepass")
        )
        found = result(call())
        if found is not None:
            assert is_usable(attrs.astuple(found)), found

    return check


def is_usable(value) -> bool:
    """Return True if a value consists of texts that can be sent and numbers of usual size."""
    if isinstance(value, tuple | frozenset):
        return all(map(is_usable, value))
    if isinstance(value, str):
        return value.encode() is not None
    return type(value) in (int, bool) and abs(value) <= MAX_COUNT
