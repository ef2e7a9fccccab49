"""Steps about numbers and texts of callers and engines that cannot be used."""

import asyncio
import sys

import cbor2
from attrs import asdict
from behave import given, then, when
from hypothesis import strategies as st
from routed_steps import fleet_of
from tornado.httputil import HTTPHeaders

from papayacourse.exceptions import BackendProtocolError, RequestRefused
from papayacourse.routed.admitted import AdmittedRequest, admit
from papayacourse.routed.generationrequest import generation_request
from papayacourse.types import Host, HostKind
from tests.oddvalues import ODD_NUMBERS, check_loggable, check_random, encoded
from tests.routedfleet import HOST, KEY, ROOT, document
from tests.steptext import names_in

sys.path.append(str(ROOT / "platform"))

from userplatform.codec import HeaderCodec
from userplatform.documents import read_document
from userplatform.enginecalls import HttpEngineCalls
from userplatform.fields import MAX_WHOLE

STAND_INS = {"HUGE": str(10**400), "DEEP": "[" * 5000, "LONG": "9" * 5000}
PLAN = {"X-Model": "m", "X-Token-Counts": "100,5"}


def filled_in(text: str) -> str:
    """Return a text with the values that are too long for a table."""
    for name, value in STAND_INS.items():
        text = text.replace(name, value)
    return text


@when('POST "{path}" is sent through "{name}" with "{header}" as "{value}"')
def send_with(context, path, name, header, value):
    more = PLAN if path.startswith("/plans") else {}
    headers = more | {header: filled_in(value)}
    context.answer = fleet_of(context).ask(name, "POST", path, b"x", **headers)


@then("it has been answered")
def has_answered(context):
    assert context.answer.status, context.answer


@then("it has been answered {status:d}")
def has_answered_with(context, status):
    assert context.answer.status == status, context.answer


@then('the log of "{name}" has no line "{kinds}"')
def has_no_lines(context, name, kinds):
    for kind in names_in(kinds):
        assert fleet_of(context).lines(name, kind) == []


@then("{count:d} random heads are refused, or their requests can be scheduled and logged")
def random_heads(context, count):
    found = read_document(encoded(document(7)))
    texts = st.text(st.characters(max_codepoint=255), max_size=10)
    odd_numbers = st.sampled_from(ODD_NUMBERS).map(str) | st.floats().map(str) | texts
    pairs = st.tuples(odd_numbers, odd_numbers).map(",".join)
    parts = st.lists(st.tuples(texts, odd_numbers).map(":".join), max_size=3).map(",".join)
    heads = st.fixed_dictionaries(
        {"X-Attempt-Id": texts, "Host": st.just(HOST) | texts},
        optional={
            "X-Time-Remaining": odd_numbers, "X-Token-Counts": pairs | odd_numbers,
            "X-Prompt-Prefix": parts, "X-Length-Hint": odd_numbers, "X-Model": texts,
            "Api-Key": st.just(KEY) | texts,
        },
    )  # fmt: skip

    def check(head) -> None:
        headers = HTTPHeaders()
        for name, value in head.items():
            headers[name] = value
        try:
            call = HeaderCodec().read("POST", "/plans/1", headers, b"")
            check_request(admit(found, call, 0.0))
        except RequestRefused as refused:
            check_loggable(why=str(refused))

    check_random(count, heads, check)


def check_request(admitted: AdmittedRequest) -> None:
    """Fail if a request cannot be scheduled, sent to a peer and logged."""
    request = generation_request(admitted)
    assert 0 <= request.prompt_tokens < MAX_WHOLE and 0 < request.max_tokens < MAX_WHOLE
    prompt = admitted.call.prompt
    assert prompt is None or prompt.hint is None or 0 <= prompt.hint < MAX_WHOLE
    assert cbor2.loads(cbor2.dumps(asdict(request))) == asdict(request) | {
        "prefixes": list(request.prefixes)
    }
    check_loggable(parts=admitted.part_names, tokens=request.prompt_tokens, id=request.stream)


@given("an engine that answers every call with {body}")
def odd_engine(context, body):
    text = filled_in(body).encode()
    context.odd_answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)


@then("its {call} is a protocol error")
def is_protocol_error(context, call):
    assert isinstance(asyncio.run(outcome(context, call)), BackendProtocolError)


async def outcome(context, call: str) -> Exception | None:
    """Return what a call to the engine raises."""

    async def answer(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(context.odd_answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    host = Host("e", HostKind.ENGINE, f"127.0.0.1:{port}", "lagos", "lagos")
    calls = HttpEngineCalls(lambda _host, _notice: None)
    try:
        match call:
            case "load":
                await calls.load(host)
            case "runs":
                await calls.runs(host)
            case "copy":
                await calls.copy_run(host, "run", host, stop=False)
    except Exception as error:
        return error
    finally:
        server.close()
    return None
