"""Steps about odd requests on the own interface."""

import json
import sys
from collections import Counter

from attrs import evolve
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders, HTTPServerRequest

from papayacourse import chat, joins, logline, wire
from papayacourse.cursor import Cursor, CursorSigner
from papayacourse.exceptions import RequestRefused
from papayacourse.quarantine import fingerprint
from papayacourse.records import key_time
from papayacourse.schedulingmessages import GrantRequest
from papayacourse.types import GenerationRequest
from papayacourse.web import announced_length
from standins.fleet import wait_until
from tests.oddcallers import exchange, odd_requests
from tests.oddtexts import odd_texts

SEED = 7
MAX_SEED = 2**64
NOT_EXACT = [
    b'{"model":"m","prompt":"\\ud800"}',
    b'{"model":"m","prompt":"\xff"}',
    b'{"model":"m","prompt":"\xed\xa0\x80"}',
    b'{"model":"\\udfff","prompt":"x"}',
    b'{"model":"m","prompt":"x","seed":' + b"9" * 30 + b"}",
    b'{"model":"m","prompt":"x","max_tokens":NaN}',
    b'{"model":"m","prompt":"x","other":1e999}',
    b'{"model":"m","prompt":"x","other":' + b"[" * 100_000 + b"}",
    b'{"model":"m","prompt":"x","other":"\\ud800","deep":' + b"[" * 980 + b"]" * 980 + b"}",
]

LENGTHS = {
    "0": 0, "7": 7, "7,7": 7, "7, 7": 7, "7,8": 400, "": 400, ",": 400, "-1": 400, "+1": 400,
    "x": 400, "1_0": 400, "\xb2": 400, "\u0663": 400, "1e3": 400, "9" * 5000: sys.maxsize,
}  # fmt: skip

texts = odd_texts(max_size=30)
scalars = st.none() | st.booleans() | st.integers() | st.floats() | texts
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
    max_leaves=6,
)


def bodies_of(words, others, numbers):
    """Return a strategy of bodies of some words, other values and numbers."""
    parts = st.fixed_dictionaries({"text": words}) | others
    contents = words | st.lists(parts, max_size=2)
    messages = st.fixed_dictionaries({"role": words, "content": contents})
    return st.fixed_dictionaries(
        {"model": words, "prompt": words, "messages": st.lists(messages, min_size=1, max_size=3)},
        optional={
            "max_tokens": numbers, "max_completion_tokens": numbers, "seed": numbers,
            "stream": st.booleans() | others, "n": st.just(1) | others, "other": others,
            "stream_options": st.fixed_dictionaries({"include_usage": st.booleans()}) | others,
        },
    )  # fmt: skip


bodies = st.one_of(
    bodies_of(st.text(max_size=30), st.none(), st.integers(1, 2**62)),
    bodies_of(texts, st.none(), st.integers(1, 2**62)),
    bodies_of(st.text(max_size=30) | values, values, st.integers() | values),
)
raw_bodies = st.one_of(
    bodies.map(json.dumps).map(str.encode),
    bodies.map(lambda body: json.dumps(body, ensure_ascii=False).encode(errors="surrogatepass")),
    values.map(json.dumps).map(str.encode),
    st.binary(),
)
header_texts = st.text(st.characters(max_codepoint=255), max_size=300)


def status_of(work):
    """Return what some work returns, or the status with which it refuses the request."""
    try:
        return work()
    except RequestRefused as refused:
        return refused.status


def check_random(strategy, count, check):
    """Check random inputs, the same each time."""
    run = settings(max_examples=count, deadline=None, database=None, derandomize=True,
                   suppress_health_check=list(HealthCheck))  # fmt: skip
    run(given(strategy)(check))()


def check_can_be_passed_on(raw: bytes, parsed: chat.CompletionRequest) -> None:
    """Check that a request reaches engine, scheduler and log as it came."""
    sent = json.loads(raw)
    assert parsed.model == sent["model"]
    assert parsed.chat or parsed.prompt == sent["prompt"]
    assert parsed.seed is None or abs(parsed.seed) < MAX_SEED
    stream = joins.keyed_stream_id("t", parsed.model, "a", "k", json.dumps([parsed.prompt]))
    generation = GenerationRequest(
        stream, "t", parsed.model, "a", "", chat.prompt_tokens(parsed.prompt),
        min(parsed.max_tokens or 1, 4096), 1, chat.prefix_hashes(parsed.prompt),
        fingerprint("t", parsed.model, parsed.prompt), parsed.seed,
    )  # fmt: skip
    frame = wire.Frame(1, False, GrantRequest(generation, 1.0))
    assert wire.decode(wire.encode(frame)) == frame
    line = logline.encode({"model": parsed.model, "prompt": parsed.prompt[:100]})
    assert json.loads(line)["model"] == parsed.model


def parse(raw: bytes, is_chat: bool) -> chat.CompletionRequest | None:
    """Parse a body; return None if it is refused."""
    try:
        return chat.parse_completion_request(raw, is_chat)
    except RequestRefused as refused:
        assert refused.status == 400, refused
        json.dumps(refused.detail, ensure_ascii=False).encode()
        return None


@then("{count:d} random bodies are refused with 400 or accepted as requests that can be passed on")
def bodies_are_checked(context, count):
    accepted = Counter()

    def check(raw):
        for is_chat in (False, True):
            parsed = parse(raw, is_chat)
            accepted[parsed is not None] += 1
            if parsed is not None:
                check_can_be_passed_on(raw, parsed)

    check_random(raw_bodies, count, check)
    assert min(accepted[True], accepted[False]) > count / 20, accepted


@then("bodies that cannot be passed on exactly are refused with 400")
def not_exact_are_refused(context):
    for raw in NOT_EXACT:
        assert parse(raw, False) is None, raw[:80]


@then("{count:d} random cursors are refused with 400")
def cursors_are_refused(context, count):
    signer = CursorSigner("key")

    def check(text):
        for cursor in (text, f"{text}~1", f"{text}.{text}~{'9' * 5000}"):
            try:
                signer.read(cursor, "t/a")
            except RequestRefused as refused:
                assert refused.status == 400, refused
            else:
                raise AssertionError(f"accepted: {cursor!r}")

    check_random(header_texts, count, check)


@then("{count:d} random keys are refused with 400 or usable")
def keys_are_usable(context, count):
    def check(key):
        assert key_time(key) is None or key_time(key) >= 0
        try:
            joins.keyed_stream_id("t", "s", "a", key, "")
        except RequestRefused as refused:
            assert refused.status == 400, refused

    check_random(header_texts | st.uuids().map(str), count, check)


@then("a true cursor with an offset beyond numbers is refused with 400")
def huge_offset_is_refused(context):
    signer = CursorSigner("key")
    cursor = Cursor("t/a", "s", "x", "e", "127.0.0.1:1", 1, 1, 1, "r", False, False, "")
    signed = signer.prefix(cursor)
    assert signer.read(f"{signed}~12", "t/a") == evolve(cursor, offset=12)
    for digits in (19, 4000, 5000):
        assert status_of(lambda n=digits: signer.read(f"{signed}~{'9' * n}", "t/a")) == 400, digits


@then("an announced length is a number of bytes or refused with 400")
def lengths_are_checked(context):
    for text, expected in LENGTHS.items():
        request = HTTPServerRequest("POST", "/", headers=HTTPHeaders({"Content-Length": text}))
        assert status_of(lambda r=request: announced_length(r)) == expected, text


@when('{count:d} odd requests are sent through "{daemon}"')
def send_odd(context, count, daemon):
    address = context.fleet.processes[daemon].http
    context.odd = [(raw, exchange(address, raw)) for raw in odd_requests(count, SEED)]


@then("no odd request was answered by an error of ours")
def no_error_of_ours(context):
    found = Counter(status for _, status in context.odd)
    wrong = [(status, raw[:600]) for raw, status in context.odd if status in (0, 500)]
    assert not wrong, (found, wrong[:5])
    assert found[400] > 50, found


@then('each line of the log of "{daemon}" is whole, and each refusal has one')
def log_is_whole(context, daemon):
    refused = sum(status in (400, 401, 404, 413) for _, status in context.odd)

    def lines():
        text = context.fleet.processes[daemon].log.read_text()
        return [line for line in text.splitlines() if '"refused"' in line]

    text = context.fleet.processes[daemon].log.read_text()
    for line in text.splitlines():
        raw = json.loads(line)
        assert raw.get("message_type") not in ("handler failed", "loop failed", "task failed"), raw
        assert not str(raw.get("message_type")).startswith("eliot:"), raw
    wait_until("each refusal is logged", lambda: len(lines()) >= refused)
