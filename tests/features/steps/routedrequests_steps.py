"""Steps about requests through routed daemons: what is answered, and what engines got."""

import socket
import time

from behave import then, when
from routed_steps import SOON, fleet_of, last_run

from standins.fleet import wait_until


@then('{method} "{path}" through "{name}" is answered {status:d}')
def is_answered(context, method, path, name, status):
    answer = fleet_of(context).ask(name, method, path)
    assert answer.status == status, (answer.status, answer.body)


@then('{method} "{path}" through "{name}" is answered {status:d} by "{engine}"')
def is_answered_by(context, method, path, name, status, engine):
    answer = fleet_of(context).ask(name, method, path)
    assert answer.status == status, (answer.status, answer.body)
    assert answer.json["instance"] == engine, answer.json


@then('{method} "{path}" through "{name}" is answered {status:d} with body "{body}"')
def is_answered_with(context, method, path, name, status, body):
    answer = fleet_of(context).ask(name, method, path)
    assert (answer.status, answer.body.decode()) == (status, body), answer


@then('an unknown key gets {status:d} for "{path}" through "{name}"')
def is_answered_key(context, path, name, status):
    answer = fleet_of(context).ask(name, "GET", path, **{"Api-Key": "nobody's"})
    assert answer.status == status, answer


@then('no key gets {status:d} for "{path}" through "{name}"')
def is_answered_open(context, path, name, status):
    answer = fleet_of(context).ask(name, "GET", path, **{"Api-Key": None})
    assert answer.status == status, answer


@then('{method} "{path}" through "{name}" is soon answered {status:d}')
def is_soon_answered(context, method, path, name, status):
    routed = fleet_of(context)
    wait_until(f"answered {status}", lambda: routed.ask(name, method, path).status == status, SOON)


@then('{method} "{path}" through "{name}" is soon answered {status:d} by "{engine}"')
def is_soon_answered_by(context, method, path, name, status, engine):
    def answered():
        answer = fleet_of(context).ask(name, method, path)
        return answer.status == status and answer.json["instance"] == engine

    wait_until(f"answered by {engine}", answered, SOON)


@then('{method} "{path}" through "{name}" stays answered {status:d} for {seconds:g} s')
def stays_answered(context, method, path, name, status, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        assert fleet_of(context).ask(name, method, path).status == status
        time.sleep(0.05)


@then('{method} "{path}" through "{name}" is answered {status:d} with Retry-After under {most:g} s')
def is_answered_retry(context, method, path, name, status, most):
    answer = fleet_of(context).ask(name, method, path)
    assert answer.status == status, answer
    assert 0 < float(answer.headers["retry-after"]) < most, answer.headers


@then('{size:d} bytes of body get {status:d} through "{name}"')
def is_answered_large(context, size, name, status):
    address, headers = fleet_of(context).address(name), fleet_of(context).headers()
    head = f"POST /book/1 HTTP/1.1\r\nContent-Length: {size}\r\n"
    assert raw_status(address, head, headers) == status


@then('{size:d} bytes of headers get {status:d} through "{name}"')
def is_answered_headers(context, size, name, status):
    answer = fleet_of(context).ask(name, "GET", "/view/1", **{"X-Long": "x" * size})
    assert answer.status == status, answer


def raw_status(address: str, head: str, headers: dict) -> int:
    """Send a head as it stands and return the status of the answer."""
    host, _, port = address.rpartition(":")
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(f"{head}{lines}\r\n".encode())
        return int(connection.recv(4096).split()[1])


@when('a chunked POST "{path}" with body "{body}" goes through "{name}"')
def chunked_post(context, path, body, name):
    host, _, port = fleet_of(context).address(name).rpartition(":")
    headers = fleet_of(context).headers(**{"X-Own": "kept", "X-Hold": "h", "Kv-From": "1:2/3"})
    lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    half = len(body) // 2
    chunks = "".join(f"{len(part):x}\r\n{part}\r\n" for part in (body[:half], body[half:]))
    text = f"POST {path} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n{lines}\r\n{chunks}0\r\n\r\n"
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(text.encode())
        assert b" 200 " in connection.recv(4096).split(b"\r\n")[0]


@then('"{engine}" ran "{method}" "{path}" with body "{body}"')
def engine_ran(context, engine, method, path, body):
    (context.run,) = fleet_of(context).runs(engine)
    run = context.run
    assert (run["method"], run["target"], run["body"]) == (method, path, body), run


@then('"{engine}" ran nothing')
def engine_ran_nothing(context, engine):
    assert fleet_of(context).runs(engine) == []


@then('it had header "{name}" "{value}"')
def had_header(context, name, value):
    assert last_run(context)["headers"].get(name) == value, last_run(context)


@then('it had no header "{name}"')
def had_no_header(context, name):
    assert name not in last_run(context)["headers"], last_run(context)


@then("it had less time than {most:d} ms")
def had_less_time(context, most):
    assert 0 < int(last_run(context)["headers"]["X-Time-Remaining"]) < most


@when('a request with two different lengths is sent through "{name}"')
def smuggled(context, name):
    head = "POST /book/1 HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 30\r\n"
    address, headers = fleet_of(context).address(name), fleet_of(context).headers()
    context.status = raw_status(address, head, headers)


@then("it is answered {status:d}")
def raw_answered(context, status):
    assert context.status == status, context.status


@when('a caller of "{path}" through "{name}" leaves after {seconds:g} s')
def caller_leaves(context, path, name, seconds):
    host, _, port = fleet_of(context).address(name).rpartition(":")
    lines = "".join(f"{k}: {v}\r\n" for k, v in fleet_of(context).headers().items())
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(f"GET {path} HTTP/1.1\r\n{lines}\r\n".encode())
        time.sleep(seconds)


@then('the call at "{engine}" is cancelled within {seconds:g} s')
def call_cancelled(context, engine, seconds):
    def cancelled():
        return [run["end"] for run in fleet_of(context).runs(engine)] == ["cancelled"]

    wait_until("the call is cancelled", cancelled, seconds)


@then('a plan of a caller with {patience:d} ms through "{name}" is answered {status:d} with ran "{ran}"')  # noqa: E501  # fmt: skip
def plan_answered(context, patience, name, status, ran):
    headers = {"X_Model": "m", "X_Token_Counts": "1000,50", "X_Time_Remaining": str(patience)}
    routed = fleet_of(context)
    # The daemon may have to hear of the engine first.
    wait_until(
        "the engine is listed",
        lambda: any("plan-1" in line["server"] for line in routed.lines(name, "server listed")),
    )
    answer = routed.ask(name, "POST", "/plans/1", b"x", **headers)
    assert (answer.status, answer.json["ran"]) == (status, ran), answer.body


@then('"{engine}" has run it')
def has_run_it(context, engine):
    assert fleet_of(context).runs(engine)
