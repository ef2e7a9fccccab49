"""Steps about streams: faults on the way, resuming, joining, going away."""

import http.client
import json
import socket
import time

from behave import given, then, when

from papayacourse.enginewatch import POLL_INTERVAL
from papayacourse.streams import STREAM_MEMORY_BOUND
from standins.fleet import call, wait_until
from tests.callers import KEYS, StreamingCaller, check_whole, marks_of

FAST = ("--step", "0.0005", "--step-per-stream", "0", "--memory", "1000000")
NARROW_PACE = 100  # tokens a second
NARROW = ("--max-batch", "1", "--step", str(1 / NARROW_PACE), "--step-per-stream", "0")
RECEIVE_BUFFER = 16 * 1024  # bytes, so that what a caller does not read stays at the daemon


def engines(context):
    """Return the names of the engines that run."""
    return [
        name
        for name, host in context.fleet.hosts.items()
        if host["kind"] == "engine" and context.fleet.processes[name].popen.poll() is None
    ]


def total(context, what):
    """Return the sum of one of the engines' own counts."""
    return sum(context.fleet.counts(name)[what] for name in engines(context))


def in_progress(context):
    """Return how many generations the engines have, running or waiting."""
    return total(context, "running") + total(context, "waiting")


def address_of(context, daemon):
    return context.fleet.processes[daemon].http


def new_caller(context, daemon, prompt, model="planner", account="organisers", **options):
    return StreamingCaller(address_of(context, daemon), account, model, prompt, **options)


def resume(context, daemon, method):
    before = context.caller
    context.parts = [*getattr(context, "parts", []), before]
    options = {"last_event_id": before.cursor, "method": method}
    context.caller = new_caller(context, daemon, before.prompt, **options).start()
    context.caller.wait_tokens(5)


# Setting up.


@given('service "{name}" of team "{team}" has "{options}"')
def set_service(context, name, team, options):
    text = "[service]\n" + options.replace(", ", "\n") + "\n"
    done = context.fleet.settings("set", f"/teams/{team}/services/{name}", text=text)
    assert done.returncode == 0, done.stderr


@given('deployment "{name}" of team "{team}" has "{options}"')
def set_deployment(context, name, team, options):
    text = "[deployment]\n" + options.replace(", ", "\n") + "\n"
    done = context.fleet.settings("set", f"/teams/{team}/deployments/{name}", text=text)
    assert done.returncode == 0, done.stderr


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
    for name in engines(context):
        context.fleet.admin(name, json.loads(switches))


@given("every engine holds its first token back for {seconds:d} seconds")
def hold_first_token(context, seconds):
    for name in engines(context):
        context.fleet.admin(name, {"stall": seconds})


# What happens.


@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    time.sleep(seconds)


@when("{count:d} tokens have come")
def tokens_have_come(context, count):
    context.caller.wait_tokens(count)


@when('account "{account}" begins streaming "{prompt}" from "{model}" through "{daemon}"')
def begin_stream(context, account, prompt, model, daemon):
    context.caller = new_caller(context, daemon, prompt, model, account).start()
    wait_until("an engine has it", lambda: in_progress(context))


@when('key "{key}" of "{account}" begins streaming "{prompt}" from "{model}" through "{daemon}"')
def begin_stream_with_key(context, account, prompt, model, daemon, key):
    headers = {"Idempotency-Key": key}
    context.caller = new_caller(context, daemon, prompt, model, account, headers=headers).start()
    wait_until("an engine has it", lambda: in_progress(context))


@when(
    'account "{account}" starts streaming "{prompt}" from "{model}" '
    "through the daemon that does not schedule"
)
def stream_through_other_daemon(context, account, prompt, model):
    context.caller = new_caller(context, "a", "warm [len=3]").start()
    context.caller.join()
    schedules = {d for d in ("a", "b") if context.fleet.status(d)["schedulers"]}
    context.entry = "b" if "a" in schedules else "a"
    context.caller = new_caller(context, context.entry, prompt, model, account).start()
    context.caller.wait_tokens(5)
    # The scheduler hears of the streams of a daemon every second.
    time.sleep(1.5)


@when("that daemon is killed")
def kill_entry(context):
    context.fleet.processes[context.entry].kill()


@when('the caller resumes through "{daemon}"')
def resume_post(context, daemon):
    resume(context, daemon, "POST")


@when('the caller resumes with a plain GET through "{daemon}"')
def resume_get(context, daemon):
    resume(context, daemon, "GET")


@when("the caller goes away")
def go_away(context):
    context.caller.leave()


@when('the key "{key}" asks again through "{daemon}", and the first caller goes away')
def ask_again_and_go(context, key, daemon):
    first = context.caller
    headers = {"Idempotency-Key": key}
    context.caller = new_caller(context, daemon, first.prompt, headers=headers).start()
    fleet = context.fleet
    wait_until("both are in progress", lambda: fleet.status(daemon)["in_progress"] == 2)
    context.killed = time.monotonic()
    first.leave()


@when("the engine at work is killed")
def kill_engine_at_work(context):
    at_work = [name for name in engines(context) if context.fleet.counts(name)["started"]]
    assert len(at_work) == 1, at_work
    context.fleet.processes[at_work[0]].kill()
    context.killed = time.monotonic()


@when("the link of the engine at work is cut")
def cut_engine_at_work(context):
    context.cut_off = next(n for n in engines(context) if context.fleet.counts(n)["started"])
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
    fleet.processes[engine].popen.stdout.close()
    fleet.standin("engine", engine, "--port", port, "--step", "0.004")
    body = {
        "stream": stream, "prompt": "plan [len=2000]", "prompt_tokens": 4, "max_tokens": 20000,
        "priority": 0, "seed": None,
    }  # fmt: skip
    again = socket.create_connection(("127.0.0.1", int(port)))
    data = json.dumps(body).encode()
    head = f"POST /generate HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
    again.sendall(head.encode() + data)
    wait_until("it generates", lambda: fleet.counts(engine)["generated"] > 1000)
    again.close()
    fleet.processes[daemon].thaw()


@when('account "{account}" asks {times:d} times for "{prompt}" from "{model}" through "{daemon}"')
def ask_many(context, account, times, prompt, model, daemon):
    body = {"model": model, "prompt": prompt, "max_tokens": 50}
    headers = {"Authorization": f"Bearer {KEYS[account]}"}
    address = address_of(context, daemon)
    context.answers = []
    for _ in range(times):
        context.answers.append(call(address, "POST", "/v1/completions", body, headers))
        # The scheduler's next poll finds that the engines live.
        time.sleep(POLL_INTERVAL + 0.2)


@when('a caller asks for "{prompt}" from "{model}" through "{daemon}" without streaming and goes')
def ask_and_go(context, prompt, model, daemon):
    host, _, port = address_of(context, daemon).rpartition(":")
    data = json.dumps({"model": model, "prompt": prompt, "max_tokens": 20000}).encode()
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n"
        f"Authorization: Bearer {KEYS['organisers']}\r\n\r\n"
    )
    with socket.create_connection((host, int(port))) as link:
        link.sendall(head.encode() + data)
        wait_until("an engine has it", lambda: total(context, "generated") > 5)


@when(
    '{count:d} callers stream {length:d} tokens from "{model}" through "{daemon}" and read nothing'
)
def callers_read_nothing(context, count, length, model, daemon):
    warm = new_caller(context, daemon, "warm [len=500]", model).start()
    warm.join()
    context.rss_before = context.fleet.rss(daemon)
    context.generated = total(context, "generated") + count * length
    context.callers = []
    for _ in range(count):
        options = {"receive_buffer": RECEIVE_BUFFER, "reading": False}
        prompt = f"report [len={length}]"
        context.callers.append(new_caller(context, daemon, prompt, model, **options).start())


@when("the engines have generated everything")
def all_generated(context):
    done = lambda: total(context, "generated") >= context.generated  # noqa: E731
    wait_until("everything is generated", done, 120)


# What must have come of it.


@then("the parts make {count:d} tokens of one generation in order")
def parts_are_whole(context, count):
    context.caller.join()
    assert context.caller.error is None, context.caller.error
    assert context.caller.done, "no [DONE]"
    texts = [text for part in [*context.parts, context.caller] for text in part.texts]
    check_whole(texts, count)


@then('the caller reads {start:d} to {end:d} again through "{daemon}"')
def reads_again(context, start, end, daemon):
    signed = context.caller.cursor.rpartition("~")[0]
    options = {"last_event_id": f"{signed}~{start}", "method": "GET"}
    again = new_caller(context, daemon, context.caller.prompt, **options).start()
    again.join()
    assert again.error is None and again.done, again.error or again.broken
    assert again.texts == context.caller.texts[start:end], f"{len(again.texts)} tokens came"


@then(
    'the caller is refused offset {offset:d} through "{daemon}" with status {status:d} '
    'and reason "{reason}"'
)
def refused_offset(context, offset, daemon, status, reason):
    signed = context.caller.cursor.rpartition("~")[0]
    options = {"last_event_id": f"{signed}~{offset}", "method": "GET"}
    again = new_caller(context, daemon, "", **options).start()
    again.join()
    assert again.status == status and again.error["reason"] == reason, again.error


@then('a cursor of "{owner}" is refused to "{account}" through "{daemon}" with status {status:d}')
def refused_account(context, owner, account, daemon, status):
    options = {"last_event_id": context.caller.cursor, "method": "GET"}
    again = new_caller(context, daemon, "", account=account, **options).start()
    again.join()
    assert again.status == status and not again.texts, again.status


@then("the engines started {count:d} generation")
@then("the engines started {count:d} generations")
def engines_started(context, count):
    started = total(context, "started")
    assert started == count, f"{started} generations were started"


@then('the answer ends in an error "{reason}" that says ran "{ran}"')
def ends_in_error(context, reason, ran):
    context.caller.join()
    error = context.caller.error
    assert error and (error["reason"], error["ran"]) == (reason, ran), error
    assert not context.caller.done


@then("no token has come yet")
def no_token_yet(context):
    assert not context.caller.texts and not context.caller.error, context.caller.error


@then('within {seconds:d} seconds the answer ends in an error "{reason}" that says ran "{ran}"')
def ends_in_error_soon(context, seconds, reason, ran):
    ends_in_error(context, reason, ran)
    took = context.caller.ended_at - context.killed
    assert took < seconds, f"it took {took:.2f} s"


@then("what came is the beginning of one generation")
def beginning_of_one(context):
    check_whole(context.caller.texts, len(context.caller.texts))


@then('every answer has status {status:d}, a Retry-After and ran "{ran}"')
def every_answer(context, status, ran):
    for answer in context.answers:
        assert answer.status == status, answer.body
        assert int(answer.headers["Retry-After"]) >= 1
        assert answer.json["ran"] == ran, answer.json


@then('the last answer\'s reason is "{reason}"')
def last_reason(context, reason):
    assert context.answers[-1].json["reason"] == reason, context.answers[-1].json


@then("{count:d} engines run a generation")
def engines_run(context, count):
    assert total(context, "running") == count


@then("that engine comes to run {count:d} generations")
def engine_runs(context, count):
    name = context.cut_off
    wait_until(f"{name} runs {count}", lambda: context.fleet.counts(name)["running"] == count)


@then('"{prompt}" with key "{key}" through "{daemon}" gives the same {count:d} tokens')
def same_tokens(context, prompt, key, daemon, count):
    headers = {"Idempotency-Key": key}
    other = new_caller(context, daemon, prompt, headers=headers).start()
    other.join()
    context.caller.join()
    assert other.error is None and other.done, other.error or other.broken
    check_whole(other.texts, count)
    assert marks_of(other.texts) == marks_of(context.caller.texts), "two generations"


@then('"{prompt}" with key "{key}" through "{daemon}" is refused with status {status:d}')
def key_refused(context, prompt, key, daemon, status):
    other = new_caller(context, daemon, prompt, headers={"Idempotency-Key": key}).start()
    other.join()
    assert other.status == status, (other.status, other.error)


@then("the engines run {count:d} generation for {seconds:d} second")
def run_for(context, count, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert in_progress(context) == count
        time.sleep(0.1)


@then("within {seconds:d} seconds the engines run {count:d} generations")
def run_within(context, seconds, count):
    wait_until(f"{count} run", lambda: in_progress(context) == count, seconds)


@then('the daemon "{daemon}" has grown by less than the bound for each of the callers')
def grown_within_bound(context, daemon):
    grown = context.fleet.rss(daemon) - context.rss_before
    bound = STREAM_MEMORY_BOUND * len(context.callers)
    print(f"grown by {grown} bytes; the bound is {bound}")
    assert grown < bound, f"grown by {grown} bytes; the bound is {bound}"


@then("every caller then reads its {count:d} tokens of one generation in order")
def callers_read_all(context, count):
    for caller in context.callers:
        caller.read_on()
    for caller in context.callers:
        caller.join()
        assert caller.done, caller.error or caller.broken
        check_whole(caller.texts, count)
