"""Steps about what callers may send, and what an ordinary client sees."""

import json
import socket
import threading

import openai
from behave import given, then, when

from standins.fleet import Answer, call, wait_until
from tests.callers import KEYS, StreamingCaller, bearer
from tests.features.steps.fleet_steps import SETTINGS_PATHS

LIMITS = "[limits]\nmax_body_bytes = 200000\nmax_header_bytes = 16000\nbody_timeout = 1.5\n"
SOCKET_LIMIT = 20.0  # seconds


@given('daemons "{name}" in domain "{domain}" of region "{region}" with short limits')
def start_with_limits(context, name, domain, region):
    context.fleet.daemon(name, domain, region, extra=LIMITS)
    context.fleet.wait_settled(name, paths=SETTINGS_PATHS)


@given('the settings "{file}" are applied')
def apply_more(context, file):
    context.fleet.apply(str(context.root / file))
    daemons = [name for name in context.fleet.hosts if context.fleet.hosts[name]["kind"] == "entry"]
    context.fleet.wait_settled(*daemons, paths=SETTINGS_PATHS + 1)


def client_of(context, account, daemon) -> openai.OpenAI:
    """Return an ordinary client that does not ask again by itself."""
    address = context.fleet.processes[daemon].http
    return openai.OpenAI(base_url=f"http://{address}/v1", api_key=KEYS[account], max_retries=0)


def user(text: str) -> list[dict]:
    """Return the messages of one question."""
    return [{"role": "user", "content": text}]


@when('the openai client of "{account}" streams {count:d} tokens from "{model}" through "{daemon}"')
def openai_streams(context, account, count, model, daemon):
    client = client_of(context, account, daemon)
    stream = client.chat.completions.create(
        model=model,
        messages=user(f"[len={count}]"),
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(stream)
    assert chunks[-1].usage.completion_tokens == count, chunks[-1]
    assert chunks[-2].choices[0].finish_reason == "stop", chunks[-2]
    context.caller = finished([c.choices[0].delta.content for c in chunks[:-1]])


@when(
    'the openai client of "{account}" completes {count:d} tokens of plain text from "{model}"'
    ' through "{daemon}"'
)
def openai_completes(context, account, count, model, daemon):
    client = client_of(context, account, daemon)
    stream = client.completions.create(model=model, prompt=f"[len={count}]", stream=True)
    context.caller = finished([chunk.choices[0].text for chunk in stream])


def finished(texts: list) -> StreamingCaller:
    """Return a caller whose answer has come to its end."""
    caller = StreamingCaller("", "", "", "")
    caller.texts = [text for text in texts if text]
    caller.done = True
    caller.thread = threading.Thread(target=list)
    caller.thread.start()
    return caller


@when(
    'the openai client of "{account}" asks "{model}" for {count:d} tokens at once through'
    ' "{daemon}"'
)
def openai_whole(context, account, model, count, daemon):
    client = client_of(context, account, daemon)
    context.whole = client.chat.completions.create(model=model, messages=user(f"[len={count}]"))


@then("the whole answer has {count:d} tokens and its usage says {used:d}")
def whole_answer(context, count, used):
    offsets = [int(t.split(":")[1]) for t in context.whole.choices[0].message.content.split()]
    assert offsets == list(range(count)), offsets
    assert context.whole.usage.completion_tokens == used
    assert context.whole.choices[0].finish_reason == "stop"


@then('the openai client of "{account}" sees the models "{names}" through "{daemon}"')
def openai_models(context, account, names, daemon):
    found = [model.id for model in client_of(context, account, daemon).models.list()]
    assert found == names.split(", "), found


@then(
    'the openai client of "{account}" gets a NotFoundError for model "{model}" through "{daemon}"'
)
def openai_not_found(context, account, model, daemon):
    client = client_of(context, account, daemon)
    try:
        client.chat.completions.create(model=model, messages=user("x"))
    except openai.NotFoundError as error:
        assert error.body["code"] == "unknown_model", error.body
    else:
        raise AssertionError("the model was found")


@when('these requests are sent through "{daemon}"')
def send_requests(context, daemon):
    address = context.fleet.processes[daemon].http
    context.answers = [
        call(
            address,
            row["method"],
            row["path"],
            row["body"].encode() or None,
            {"Authorization": f"Bearer {row['key']}"},
        )
        for row in context.table
    ]


@then("their answers are")
def answers_are(context):
    assert len(context.answers) == len(context.table.rows)
    for row, answer in zip(context.table, context.answers, strict=True):
        problem = answer.json
        found = (answer.status, problem["reason"])
        assert found == (int(row["status"]), row["reason"]), (found, row.cells)
        assert row["detail"] in problem["detail"], (problem["detail"], row["detail"])


@then('each answer is a problem that says ran "{ran}"')
def answers_ran(context, ran):
    for answer in context.answers:
        assert answer.headers["Content-Type"] == "application/problem+json", answer.headers
        assert answer.json["ran"] == ran, answer.json


@then("no backend server was asked")
def nothing_forwarded(context):
    for name in context.fleet.processes:
        if name.startswith("planner"):
            assert context.fleet.counts(name)["started"] == 0
        if name.startswith("ledger"):
            assert context.fleet.counts(name)["calls"] == 0


def raw_exchange(context, daemon, *pieces: bytes) -> None:
    """Send bytes as they are and keep what comes back until the daemon closes."""
    host, _, port = context.fleet.processes[daemon].http.rpartition(":")
    with socket.create_connection((host, int(port)), SOCKET_LIMIT) as connection:
        try:
            for piece in pieces:
                connection.sendall(piece)
        except OSError:
            # The daemon need not read what it has refused already.
            pass
        received = b""
        while b"\r\n\r\n" not in received or not body_complete(received):
            data = connection.recv(65536)
            if not data:
                break
            received += data
    head, _, body = received.partition(b"\r\n\r\n")
    assert head, "closed without an answer"
    context.raw = Answer(int(head.split()[1]), {}, body)


def body_complete(received: bytes) -> bool:
    """Tell whether an answer's body has come to its announced length."""
    head, _, body = received.partition(b"\r\n\r\n")
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return bool(lengths) and len(body) >= int(lengths[0].split(b":")[1])


def head(*headers: str) -> bytes:
    """Return the head of a completion request."""
    lines = ["POST /v1/completions HTTP/1.1", "Host: x", "Authorization: Bearer organisers-key"]
    return "\r\n".join([*lines, *headers, "", ""]).encode()


@when('a body of {size:d} bytes is announced to "{daemon}"')
def announce_body(context, size, daemon):
    raw_exchange(context, daemon, head(f"Content-Length: {size}"))


@when('a chunked body of {size:d} bytes is sent to "{daemon}"')
def chunked_body(context, size, daemon):
    chunk = b"2710\r\n" + b"x" * 10000 + b"\r\n"
    raw_exchange(context, daemon, head("Transfer-Encoding: chunked"), chunk * (size // 10000))


@when('headers of {size:d} bytes are sent to "{daemon}"')
def large_headers(context, size, daemon):
    raw_exchange(context, daemon, head("X-Large: " + "x" * size, "Content-Length: 0"))


@when('half a body is sent to "{daemon}"')
def half_body(context, daemon):
    raw_exchange(context, daemon, head("Content-Length: 100") + b'{"model": "pl')


@then('the raw answer has status {status:d} and reason "{reason}"')
def raw_answer(context, status, reason):
    problem = json.loads(context.raw.body)
    assert (context.raw.status, problem["reason"]) == (status, reason), problem
    assert problem["ran"] == "no"


def resume(context, daemon, account, cursor):
    """Ask for the rest of a stream."""
    body = {"model": "planner", "messages": user("x"), "stream": True}
    headers = bearer(account) | {"Last-Event-ID": cursor}
    return call(context.fleet.processes[daemon].http, "POST", "/v1/chat/completions", body, headers)


@then(
    'resuming with an altered cursor through "{daemon}" gives status {status:d} and'
    ' reason "{reason}"'
)
def resume_altered(context, daemon, status, reason):
    cursor = context.caller.cursor
    middle = len(cursor) // 2
    altered = cursor[:middle] + ("A" if cursor[middle] != "A" else "B") + cursor[middle + 1 :]
    answer = resume(context, daemon, "organisers", altered)
    assert (answer.status, answer.json["reason"]) == (status, reason), answer.json


@then(
    'resuming with the cursor "{cursor}" through "{daemon}" gives status {status:d}'
    ' and reason "{reason}"'
)
def resume_invented(context, cursor, daemon, status, reason):
    answer = resume(context, daemon, "organisers", cursor)
    assert (answer.status, answer.json["reason"]) == (status, reason), answer.json


@then(
    'resuming with the cursor through "{daemon}" as "{account}" gives status {status:d}'
    ' and reason "{reason}"'
)
def resume_foreign(context, daemon, account, status, reason):
    answer = resume(context, daemon, account, context.caller.cursor)
    assert (answer.status, answer.json["reason"]) == (status, reason), answer.json


@then(
    'resuming it once more through "{daemon}" is refused with status {status:d}'
    ' that says ran "{ran}"'
)
def resume_refused(context, daemon, status, ran):
    context.caller.wait_tokens(1)
    answer = resume(context, daemon, context.caller.account, context.caller.cursor)
    assert (answer.status, answer.json["ran"]) == (status, ran), answer.json


@then(
    'another stream of "{account}" from "{model}" through "{daemon}" is refused with'
    " status {status:d}"
)
def refused_second(context, account, model, daemon, status):
    body = {"model": model, "messages": user("[len=3]")}
    headers = bearer(account)
    context.refusal = call(
        context.fleet.processes[daemon].http, "POST", "/v1/chat/completions", body, headers
    )
    assert context.refusal.status == status, context.refusal.body


@then("the refusal came with Retry-After")
def refusal_retry_after(context):
    assert int(context.refusal.headers["Retry-After"]) >= 1
    assert context.refusal.json["ran"] == "no"


def metrics_of(context, daemon, account) -> dict[str, float]:
    """Return an account's metrics, by name."""
    text = call(context.fleet.processes[daemon].http, "GET", "/metrics").body.decode()
    rows = [line for line in text.splitlines() if f'account="{account}"' in line]
    return {line.split("{")[0]: float(line.rsplit(" ", 1)[1]) for line in rows}


@then('the metrics of "{daemon}" count {outputs:d} output of {tokens:d} tokens for "{account}"')
def metrics_count(context, daemon, outputs, tokens, account):
    wait_until(
        "the output is counted",
        lambda: "papayacourse_output_length_sum" in metrics_of(context, daemon, account),
    )
    found = metrics_of(context, daemon, account)
    assert found["papayacourse_output_length_sum"] == tokens, found
    assert found["papayacourse_output_length_count"] == outputs, found
    assert found["papayacourse_time_to_first_token_seconds_count"] == outputs, found


@then('the metrics of "{daemon}" count {waits:d} wait in the queue for "{account}"')
def metrics_waits(context, daemon, waits, account):
    found = metrics_of(context, daemon, account)
    assert found["papayacourse_queue_wait_seconds_count"] == waits, found


@then('the metrics of "{daemon}" count {count:d} request answered {status:d}')
def metrics_requests(context, daemon, count, status):
    text = call(context.fleet.processes[daemon].http, "GET", "/metrics").body.decode()
    rows = [r for r in text.splitlines() if r.startswith("papayacourse_requests_total")]
    found = [float(r.rsplit(" ", 1)[1]) for r in rows if f'status="{status}"' in r]
    assert found == [count], rows


@when('an engine preempts, "{daemon}" counts it')
def metrics_preemptions(context, daemon):
    """Raise the engine's own count until a later load report has shown the difference."""
    engine = next(name for name in context.fleet.processes if name.startswith("planner"))
    # The lagging reports come from the steps of a batch, so the engine is asked to be fresh.
    context.fleet.processes[engine].kill()
    name = "planner-fresh"
    context.fleet.engine(name, "lagos-1", "lagos")

    def counted() -> bool:
        told = context.fleet.counts(name)["preemptions"]
        context.fleet.admin(name, {"preemptions": told + 1})
        text = call(context.fleet.processes[daemon].http, "GET", "/metrics").body.decode()
        rows = [r for r in text.splitlines() if r.startswith("papayacourse_preemptions_total")]
        return any(f'engine="{name}"' in r and float(r.rsplit(" ", 1)[1]) >= 1 for r in rows)

    wait_until("a preemption is counted", counted)
