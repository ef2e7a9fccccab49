"""Steps about routed requests on the stand-in of the users' platform."""

import os
import runpy
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from unittest.mock import patch

from behave import given, step, then, when

from papayacourse.routed.config import ConfigFile, parse_routed
from standins.fleet import call, wait_until
from tests.routedfleet import ROOT, RoutedFleet, document, route
from tests.steptext import names_in

SOON = 6.0  # seconds
HUP_INTERVAL = 0.02  # seconds


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


@when('the configuration file of "{name}" becomes invalid')
def break_file(context, name):
    file = context.fleet.path / f"{name}.ini"
    context.valid_text = file.read_text()
    file.write_text(context.valid_text + "[retries]\nslack = many\n")


@when('the configuration file of "{name}" is valid again, with a change')
def mend_file(context, name):
    file = context.fleet.path / f"{name}.ini"
    file.write_text(context.valid_text + "[retries]\nslack = 40\n")


@then(
    'the configuration file of "{name}", changed while it is parsed, counts as changed afterwards'
)
def counts_as_changed(context, name):
    path = context.fleet.path / f"{name}.ini"

    def change_and_parse(where, text):
        path.write_text(f"{text}[retries]\nslack = 40\n")
        return parse_routed(where, text)

    file = ConfigFile(str(path))
    with patch("papayacourse.routed.config.parse_routed", change_and_parse):
        assert file.read() is not None
    assert file.changed()


@when('"{name}" gets SIGHUP')
def send_hup(context, name):
    context.fleet.processes[name].popen.send_signal(signal.SIGHUP)


@when('routed daemon "{name}" in "{domain}" gets SIGHUP again and again while it starts')
def start_with_hups(context, name, domain):
    fleet_of(context).daemon(name, domain, wait=False)
    popen = context.fleet.processes[name].popen
    # The interpreter itself is up once the program's imports have loaded a library.
    maps = Path(f"/proc/{popen.pid}/maps")
    wait_until("the program imports its modules", lambda: "_asyncio" in maps.read_text())
    while popen.poll() is None and fleet_of(context).readiness(name) != 200:
        popen.send_signal(signal.SIGHUP)
        time.sleep(HUP_INTERVAL)


@then('the process of "{name}" has not ended')
def has_not_ended(context, name):
    assert context.fleet.processes[name].popen.poll() is None


@then('the log of "{name}" has {count:d} line "{kind}"')
def has_lines(context, name, count, kind):
    assert len(fleet_of(context).lines(name, kind)) == count, fleet_of(context).lines(name, kind)


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


@given("a folder of installed packages with another papayacourse")
def installed_package(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.installed = Path(folder.name)
    (context.installed / "papayacourse").mkdir()
    (context.installed / "papayacourse" / "__init__.py").touch()


@then("the daemon's program loads the papayacourse beside it")
def own_package(context):
    code = (
        "import runpy, sys; sys.path[0] = sys.argv[1]; "
        "runpy.run_path(sys.argv[1] + '/run.py', run_name='not_main'); "
        "import papayacourse; print(papayacourse.__file__)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, str(ROOT / "platform")], cwd="/",
        env=os.environ | {"PYTHONPATH": str(context.installed)},
        capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert done.stdout.strip() == str(ROOT / "papayacourse" / "__init__.py"), done


@given("libraries that the build has installed for {what}")
def installed_libraries(context, what):
    context.build = runpy.run_path(str(ROOT / "deploy" / "build.py"), run_name="not_main")
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.libraries = Path(folder.name)
    machine, python, requirements = context.build["stamp"](ROOT / "requirements.txt").split()
    changed = {
        "another kind of machine": ("other-machine", python, requirements),
        "another Python": (machine, "cpython-27", requirements),
        "other requirements": (machine, python, "0" * 64),
    }
    found = changed.get(what, (machine, python, requirements))
    if what != "nobody knows what":
        (context.libraries / context.build["STAMP"]).write_text(" ".join(found) + "\n")


@then("the build installs them {again}")
def builds_again(context, again):
    is_current = context.build["is_current"](context.libraries, ROOT / "requirements.txt")
    assert is_current == (again == "not anew")


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
