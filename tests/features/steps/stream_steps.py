"""Steps about streams: resuming, joining, going away, and what their callers must get."""

import time

from behave import then, when

from papayacourse.enginewatch import POLL_INTERVAL
from papayacourse.streams import STREAM_MEMORY_BOUND
from standins.fleet import call, wait_until
from tests.callers import bearer, caller_of, check_all_whole, check_whole, marks_of
from tests.engines import in_progress, total
from tests.rawhttp import send

RECEIVE_BUFFER = 16 * 1024  # bytes, so that what a caller does not read stays at the daemon


def is_served(context, caller) -> bool:
    """Tell whether the daemon that a caller reads from lives."""
    processes = context.fleet.processes.values()
    return any(p.popen.poll() is None and p.ready.get("http") == caller.address for p in processes)


def resume(context, daemon, method):
    before = context.caller
    if not is_served(context, before):
        # What its daemon sent before it was killed may still lie in the caller's socket.
        before.join()
    context.parts = [*getattr(context, "parts", []), before]
    options = {"last_event_id": before.cursor, "method": method}
    context.caller = caller_of(context.fleet, daemon, before.prompt, **options).start()
    context.caller.wait_tokens(5)


@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    time.sleep(seconds)


@when("{count:d} tokens have come")
def tokens_have_come(context, count):
    context.caller.wait_tokens(count)


@when('account "{account}" begins streaming "{prompt}" from "{model}" through "{daemon}"')
def begin_stream(context, account, prompt, model, daemon):
    context.caller = caller_of(context.fleet, daemon, prompt, model, account).start()
    wait_until("an engine has it", lambda: in_progress(context.fleet))


@when('key "{key}" of "{account}" begins streaming "{prompt}" from "{model}" through "{daemon}"')
def begin_stream_with_key(context, account, prompt, model, daemon, key):
    headers = {"Idempotency-Key": key}
    context.caller = caller_of(
        context.fleet, daemon, prompt, model, account, headers=headers
    ).start()
    wait_until("an engine has it", lambda: in_progress(context.fleet))


@when(
    'account "{account}" starts streaming "{prompt}" from "{model}" '
    "through the daemon that does not schedule"
)
def stream_through_other_daemon(context, account, prompt, model):
    context.caller = caller_of(context.fleet, "a", "warm [len=3]").start()
    context.caller.join()
    schedules = {d for d in ("a", "b") if context.fleet.status(d)["schedulers"]}
    context.entry = "b" if "a" in schedules else "a"
    context.caller = caller_of(context.fleet, context.entry, prompt, model, account).start()
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
    context.caller = caller_of(context.fleet, daemon, first.prompt, headers=headers).start()
    fleet = context.fleet
    wait_until("both are in progress", lambda: fleet.status(daemon)["in_progress"] == 2)
    context.killed = time.monotonic()
    first.leave()


@when('account "{account}" asks {times:d} times for "{prompt}" from "{model}" through "{daemon}"')
def ask_many(context, account, times, prompt, model, daemon):
    body = {"model": model, "prompt": prompt, "max_tokens": 50}
    address = context.fleet.processes[daemon].http
    context.answers = []
    for _ in range(times):
        context.answers.append(call(address, "POST", "/v1/completions", body, bearer(account)))
        # The scheduler's next poll finds that the engines live.
        time.sleep(POLL_INTERVAL + 0.2)


@when('a caller asks for "{prompt}" from "{model}" through "{daemon}" without streaming and goes')
def ask_and_go(context, prompt, model, daemon):
    body = {"model": model, "prompt": prompt, "max_tokens": 20000}
    address = context.fleet.processes[daemon].http
    with send(address, "/v1/completions", body, bearer("organisers")):
        wait_until("an engine has it", lambda: total(context.fleet, "generated") > 5)


@when(
    '{count:d} callers stream {length:d} tokens from "{model}" through "{daemon}" and read nothing'
)
def callers_read_nothing(context, count, length, model, daemon):
    warm = caller_of(context.fleet, daemon, "warm [len=500]", model).start()
    warm.join()
    context.rss_before = context.fleet.rss(daemon)
    context.generated = total(context.fleet, "generated") + count * length
    context.callers = []
    for _ in range(count):
        options = {"receive_buffer": RECEIVE_BUFFER, "reading": False}
        prompt = f"report [len={length}]"
        context.callers.append(caller_of(context.fleet, daemon, prompt, model, **options).start())


@when("the engines have generated everything")
def all_generated(context):
    done = lambda: total(context.fleet, "generated") >= context.generated  # noqa: E731
    wait_until("everything is generated", done, 120)


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
    again = caller_of(context.fleet, daemon, context.caller.prompt, **options).start()
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
    again = caller_of(context.fleet, daemon, "", **options).start()
    again.join()
    assert again.status == status and again.error["reason"] == reason, again.error


@then('a cursor of "{owner}" is refused to "{account}" through "{daemon}" with status {status:d}')
def refused_account(context, owner, account, daemon, status):
    options = {"last_event_id": context.caller.cursor, "method": "GET"}
    again = caller_of(context.fleet, daemon, "", account=account, **options).start()
    again.join()
    assert again.status == status and not again.texts, again.status


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


@then('"{prompt}" with key "{key}" through "{daemon}" gives the same {count:d} tokens')
def same_tokens(context, prompt, key, daemon, count):
    headers = {"Idempotency-Key": key}
    other = caller_of(context.fleet, daemon, prompt, headers=headers).start()
    other.join()
    context.caller.join()
    assert other.error is None and other.done, other.error or other.broken
    check_whole(other.texts, count)
    assert marks_of(other.texts) == marks_of(context.caller.texts), "two generations"


@then('"{prompt}" with key "{key}" through "{daemon}" is refused with status {status:d}')
def key_refused(context, prompt, key, daemon, status):
    other = caller_of(context.fleet, daemon, prompt, headers={"Idempotency-Key": key}).start()
    other.join()
    assert other.status == status, (other.status, other.error)


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
    check_all_whole(context.callers, count)
