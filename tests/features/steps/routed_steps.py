"""Steps about routed requests on the stand-in of the users' platform."""

import signal
import socket
import subprocess
import sys
import threading
import time

from behave import given, step, then, when

from standins.fleet import call, wait_until
from tests.routedfleet import ROOT, RoutedFleet, document, route
from tests.steptext import names_in

SOON = 6.0  # seconds


def fleet_of(context) -> RoutedFleet:
    """Return the scenario's routed fleet."""
    if not hasattr(context, "routed"):
        context.routed = RoutedFleet(context.fleet)
    return context.routed


def last_run(context):
    """Return the run that the last step looked at."""
    return context.run


# The platform.


@given("a platform store with document {version:d}")
def store_with_document(context, version):
    fleet_of(context).store(document(version))


@given("a platform store without a document")
def store_without_document(context):
    fleet_of(context).store(None)


@given('an engine "{name}" of "{service}" in "{domain}"')
def start_engine(context, name, service, domain):
    fleet_of(context).engine(name, service, domain)


@given('a routed daemon "{name}" in "{domain}"')
def start_routed(context, name, domain):
    fleet_of(context).daemon(name, domain)


@given('a routed daemon "{name}" in "{domain}" that is not waited for')
def start_routed_unready(context, name, domain):
    fleet_of(context).daemon(name, domain, wait=False)
    wait_until("it answers", lambda: fleet_of(context).readiness(name))


@given('the store is reached by "{name}" through a proxy')
def store_proxy(context, name):
    target = context.fleet.processes["store"].http
    context.proxied = {name: context.fleet.proxy("store-proxy", target).ready["address"]}


@given('routed daemons "{names}" in "{domain}"')
def start_several(context, names, domain):
    routed = fleet_of(context)
    for name in names_in(names):
        routed.daemon(name, domain, store=getattr(context, "proxied", {}).get(name, ""))


@given("entries that cannot be read")
def unreadable_entries(context):
    good = {"Service": "desk", "Address": "127.0.0.1:9", "Zone": "lagos", "State": "ready"}
    fleet_of(context).write(
        {
            "servers/x1": "no json",
            "servers/x2": good | {"State": "dancing"},
            "servers/x3": {"Service": "desk"},
            "servers/x4": good | {"Address": 7},
            "servers/x5": ["a list"],
            "servers/x6": good | {"Slots": "many"},
        }
    )


@step('"{name}" has fault "{fault}"')
def set_fault(context, name, fault):
    context.fleet.admin(name, {"fault": fault})


@when('"{name}" takes {seconds:g} s for each call')
def set_work(context, name, seconds):
    context.fleet.admin(name, {"plain_work": seconds})


@when('"{name}" is listed as "{state}"')
def list_as(context, name, state):
    fleet_of(context).list_engine(name, state)


# The settings document.


@when("document {version:d} is written")
def write_document(context, version):
    fleet_of(context).write({"op/config": document(version)})


@when('document {version:d} without route "{name}" is written')
def write_document_without(context, version, name):
    fleet_of(context).write({"op/config": document(version, without=name)})


@when('document {version:d} adds route "{prefix}" of kind "{kind}" to "{service}"')
def write_document_with(context, version, prefix, kind, service):
    doc = document(version, route("extra", prefix, kind, service))
    fleet_of(context).write({"op/config": doc})


@when('"{name}" has document {version:d}')
def has_document(context, name, version):
    def in_force():
        return any(
            line["version"] == version
            for line in fleet_of(context).lines(name, "document in force")
        )

    wait_until(f"{name} has document {version}", in_force, SOON)


@when('the proxy of "{name}" refuses everything')
def proxy_refuses(context, name):
    context.fleet.admin("store-proxy", {"mode": "cut"})


@when("the store's watches go deaf")
def deaf(context):
    context.fleet.admin("store", {"deaf": True})


@when("the store forgets its history and hears again")
def forget(context):
    context.fleet.admin("store", {"deaf": False, "forget": True})


@when("the store is down")
def store_down(context):
    context.fleet.admin("store", {"mode": "down"})


@then('the log of "{name}" says that document {version:d} came from a peer')
def document_from_peer(context, name, version):
    lines = fleet_of(context).lines(name, "document in force")
    found = [line["source"] for line in lines if line["version"] == version]
    assert found and found[0].startswith("peer"), found


# Requests.


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


# Logs, metrics, the daemon itself.


@when('GET "{path}" is sent through "{name}"')
def send_get(context, path, name):
    fleet_of(context).ask(name, "GET", path)


@then(
    'the log of "{name}" has a line "{kind}" for it with reason "{reason}" '
    "and the document's version and age"
)
def has_line_for_it(context, name, kind, reason):
    request = f"id-{fleet_of(context).number}"

    def found():
        lines = fleet_of(context).lines(name, kind)
        return [line for line in lines if line.get("request") == request]

    (line,) = wait_until("the line is there", found, SOON)
    assert line["reason"] == reason and line["document"] == 5, line
    assert line["document_age"] >= 0, line


@then('the metrics of "{name}" count requests by route, account and end')
def counts_requests(context, name):
    fleet_of(context).ask(name, "GET", "/view/1")
    text = fleet_of(context).metrics(name)
    lines = [li for li in text.splitlines() if li.startswith("papayacourse_requests_total")]
    assert any('route="view"' in li and 'account="organisers"' in li for li in lines), lines
    assert "papayacourse_request_time_seconds_bucket" in text


@when('the configuration file of "{name}" changes')
def change_file(context, name):
    file = context.fleet.path / f"{name}.ini"
    file.write_text(file.read_text() + "[retries]\nslack = 40\n")


@when('"{name}" gets SIGHUP')
def send_hup(context, name):
    context.fleet.processes[name].popen.send_signal(signal.SIGHUP)


@then('the log of "{name}" has a line "{kind}" because of "{why}"')
def has_line_because(context, name, kind, why):
    def found():
        return [line for line in fleet_of(context).lines(name, kind) if line["why"] == why]

    wait_until("the line is there", found, SOON)


@then('"{name}" is not ready, and GET "{path}" through it is answered {status:d}')
def not_ready_and(context, name, path, status):
    assert fleet_of(context).readiness(name) == 503
    assert fleet_of(context).ask(name, "GET", path).status == status


@then('"{name}" becomes ready')
def becomes_ready(context, name):
    wait_until(f"{name} is ready", lambda: fleet_of(context).readiness(name) == 200, SOON)


@then('"{name}" is not ready within {seconds:g} s')
def not_ready_within(context, name, seconds):
    wait_until("not ready", lambda: fleet_of(context).readiness(name) != 200, seconds)


@when('a caller asks for "{path}" through "{name}"')
def ask_in_background(context, path, name):
    routed, answers = fleet_of(context), []
    headers = routed.headers()
    work = lambda: answers.append(call(routed.address(name), "GET", path, None, headers))  # noqa: E731
    context.asking, context.answers = threading.Thread(target=work), answers
    context.asking.start()
    wait_until("the engine works", lambda: routed.runs("desk-1"), SOON)


@when('routed daemon "{name}" is asked to stop')
def stop_routed(context, name):
    context.fleet.processes[name].terminate()
    wait_until("it is stopping", lambda: fleet_of(context).readiness(name) != 200, SOON)


@then("the caller is answered {status:d}")
def caller_answered(context, status):
    context.asking.join(SOON)
    assert [answer.status for answer in context.answers] == [status]


@then('routed daemon "{name}" exits with status {status:d}')
def routed_exits(context, name, status):
    assert context.fleet.processes[name].wait() == status


@then("\"import platform\" in the daemon's program gives Python's own module")
def own_platform(context):
    code = (
        "import runpy, sys; sys.path[0] = sys.argv[1]; "
        "runpy.run_path(sys.argv[1] + '/run.py', run_name='not_main'); "
        "import platform; print(platform.python_version(), platform.__file__)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, str(ROOT / "platform")],
        capture_output=True, text=True, check=True, cwd="/",
    )  # fmt: skip
    version, file = done.stdout.split()
    assert version == ".".join(map(str, sys.version_info[:3])), done.stdout
    assert str(ROOT) not in file, file


@then('"papayacourse explain" tells it from the log of "{name}" with "{text}"')
def explains(context, name, text):
    routed = fleet_of(context)
    log = (context.fleet.path / f"{name}.log").read_text()
    done = context.fleet.command("explain", f"id-{routed.number - 1}", text=log)
    assert done.returncode == 0 and text in done.stdout, (done.stdout, done.stderr)
    assert context.fleet.command("explain", "nobody", text=log).returncode == 1


@given("a routed configuration file that lacks the store and has an unknown option")
def faulty_file(context):
    context.file = context.fleet.path / "faulty.ini"
    context.file.write_text("[daemon]\nname = a\ncolour = red\n")


@then('"papayacourse check --routed" names both')
def names_faults(context):
    done = context.fleet.command("check", "--config", str(context.file), "--routed")
    assert done.returncode == 2, done
    assert "[platform] store: missing" in done.stderr, done.stderr
    assert "[daemon] colour: unknown option" in done.stderr, done.stderr
