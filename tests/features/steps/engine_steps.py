"""Steps that set engines and services up, break engines, and count what engines did."""

import http.client
import json
import time

from behave import given, then, when

from standins.fleet import wait_until
from tests.engines import at_work, engines, in_progress, total
from tests.operators import set_text
from tests.rawhttp import send

FAST = ("--step", "0.0005", "--step-per-stream", "0", "--memory", "1000000")
NARROW_PACE = 100  # tokens a second
NARROW = ("--max-batch", "1", "--step", str(1 / NARROW_PACE), "--step-per-stream", "0")


@given('service "{name}" of team "{team}" has "{options}"')
def set_service(context, name, team, options):
    text = "[service]\n" + options.replace(", ", "\n") + "\n"
    set_text(context.fleet, f"/teams/{team}/services/{name}", text)


@given('deployment "{name}" of team "{team}" has "{options}"')
def set_deployment(context, name, team, options):
    text = "[deployment]\n" + options.replace(", ", "\n") + "\n"
    set_text(context.fleet, f"/teams/{team}/deployments/{name}", text)


@given('an engine "{name}" behind proxy "{proxy}" in domain "{domain}" of region "{region}"')
def engine_behind_proxy(context, name, proxy, domain, region):
    process = context.fleet.standin("engine", name, "--step", "0.004")
    link = context.fleet.proxy(proxy, process.http)
    context.links = getattr(context, "links", {}) | {name: proxy}
    context.fleet.list_host(name, "engine", link.ready["address"], domain, region)


@given('a fast engine "{name}" in domain "{domain}" of region "{region}"')
def fast_engine(context, name, domain, region):
    context.fleet.engine(name, domain, region, *FAST)


@given(
    'an engine "{name}" that runs one stream at a time in domain "{domain}" of region "{region}"'
)
def narrow_engine(context, name, domain, region):
    context.fleet.engine(name, domain, region, *NARROW)


@given('a stream from elsewhere keeps engine "{name}" for {seconds:d} seconds')
def keep_busy(context, name, seconds):
    """Start a stream that no daemon knows of, and leave it unread."""
    prompt = f"[len={seconds * NARROW_PACE}]"
    body = {"stream": "from-elsewhere", "prompt": prompt, "prompt_tokens": 1, "priority": 0}
    host, _, port = context.fleet.processes[name].http.rpartition(":")
    context.elsewhere = http.client.HTTPConnection(host, int(port))
    context.elsewhere.request("POST", "/generate", json.dumps(body | {"max_tokens": 10**6}))
    wait_until("it runs", lambda: context.fleet.counts(name)["running"] == 1)


@given('stand-in "{name}" is set to {switches}')
@when('stand-in "{name}" is set to {switches}')
def set_standin(context, name, switches):
    context.fleet.admin(name, json.loads(switches))


@given("every engine is set to {switches}")
def set_every_engine(context, switches):
    for name in engines(context.fleet):
        context.fleet.admin(name, json.loads(switches))


@given("every engine holds its first token back for {seconds:d} seconds")
def hold_first_token(context, seconds):
    for name in engines(context.fleet):
        context.fleet.admin(name, {"stall": seconds})


@when("the engine at work is killed")
def kill_engine_at_work(context):
    busy = at_work(context.fleet)
    assert len(busy) == 1, busy
    context.fleet.processes[busy[0]].kill()
    context.killed = time.monotonic()


@when("the link of the engine at work is cut")
def cut_engine_at_work(context):
    context.cut_off = at_work(context.fleet)[0]
    context.fleet.admin(context.links[context.cut_off], {"mode": "cut"})


@when("that link is whole again")
def heal_link(context):
    context.fleet.admin(context.links[context.cut_off], {"mode": "pass"})


@when('daemon "{daemon}" is frozen while engine "{engine}" restarts with the same stream')
def restart_engine(context, daemon, engine):
    fleet = context.fleet
    stream = context.caller.answer_id.removeprefix("chatcmpl-")
    fleet.processes[daemon].freeze()
    port = fleet.processes[engine].http.rpartition(":")[2]
    fleet.processes[engine].kill()
    fleet.standin("engine", engine, "--port", port, "--step", "0.004")
    body = {
        "stream": stream, "prompt": "plan [len=2000]", "prompt_tokens": 4, "max_tokens": 20000,
        "priority": 0, "seed": None,
    }  # fmt: skip
    with send(f"127.0.0.1:{port}", "/generate", body):
        wait_until("it generates", lambda: fleet.counts(engine)["generated"] > 1000)
    fleet.processes[daemon].thaw()


@then("the engines started {count:d} generation")
@then("the engines started {count:d} generations")
def engines_started(context, count):
    started = total(context.fleet, "started")
    assert started == count, f"{started} generations were started"


@then("{count:d} engines run a generation")
def engines_run(context, count):
    assert total(context.fleet, "running") == count


@then("that engine comes to run {count:d} generations")
def engine_runs(context, count):
    name = context.cut_off
    wait_until(f"{name} runs {count}", lambda: context.fleet.counts(name)["running"] == count)


@then("the engines run {count:d} generation for {seconds:d} second")
def run_for(context, count, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert in_progress(context.fleet) == count
        time.sleep(0.1)


@then("within {seconds:d} seconds the engines run {count:d} generations")
def run_within(context, seconds, count):
    wait_until(f"{count} run", lambda: in_progress(context.fleet) == count, seconds)
