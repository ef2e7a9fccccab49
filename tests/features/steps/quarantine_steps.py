"""Steps about requests that crash engines."""

import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from standins.fleet import call, wait_until
from tests.balancer import is_ready
from tests.callers import StreamingCaller, bearer, check_whole
from tests.features.steps.fleet_steps import start_daemons
from tests.refunds import pay
from tests.steptext import names_in

ASKS = 6  # times that a neighbour asks before it gives up
MEMORY_DEPLOYMENT = """[/teams/sound-trust/deployments/planner]
service = planner
backends = planner-*
memory_tokens = {memory}
max_batch = 32
memory_margin = 0.15
"""


@when('a caller sends "{prompt}" {times:d} times in turn through "{daemons}"')
def send_in_turn(context, prompt, times, daemons):
    names = daemons.split(", ")
    body = {"model": "planner", "messages": [{"role": "user", "content": prompt}]}
    headers = bearer("organisers")
    context.answers = []
    for number in range(times):
        address = context.fleet.processes[names[number % len(names)]].http
        answer = call(address, "POST", "/v1/chat/completions", body, headers, 60.0)
        assert answer.status >= 400, answer.body
        context.answers.append(answer)


@when('a caller sends "{prompt}" at once through "{daemons}"')
def send_at_once(context, prompt, daemons):
    names = daemons.split(", ")
    body = {"model": "planner", "messages": [{"role": "user", "content": prompt}]}
    headers = bearer("organisers")

    def send(name):
        address = context.fleet.processes[name].http
        return call(address, "POST", "/v1/chat/completions", body, headers, 60.0)

    with ThreadPoolExecutor(len(names)) as pool:
        context.answers = list(pool.map(send, names))


@then('all answers but one are 422 "{reason}" with ran "{ran}" and Retry-After')
def all_but_one_refused(context, reason, ran):
    refused = [answer for answer in context.answers if answer.status == 422]
    assert len(refused) == len(context.answers) - 1, [a.body for a in context.answers]
    for answer in refused:
        assert (answer.json["reason"], answer.json["ran"]) == (reason, ran), answer.json
        assert int(answer.headers["Retry-After"]) >= 1


@then('{count:d} engines "{name}" have died')
def engines_died(context, count, name):
    def dead() -> int:
        found = [key for key in context.fleet.processes if key.startswith(f"{name}-")]
        return sum(context.fleet.processes[key].popen.poll() is not None for key in found)

    wait_until(f"{count} engines have died", lambda: dead() >= count)
    assert dead() == count, f"{dead()} engines died"


@then('the last answers are 422 "{reason}" with ran "{ran}" and Retry-After')
def last_refused(context, reason, ran):
    last = context.answers[-1]
    assert (last.status, last.json["reason"], last.json["ran"]) == (422, reason, ran), last.json
    assert int(last.headers["Retry-After"]) >= 1


@when('daemons "{names}" in domain "{domain}" of region "{region}" start')
def more_daemons(context, names, domain, region):
    start_daemons(context, names, domain, region)
    for name in names.split(", "):
        wait_until(
            f"{name} is ready",
            lambda n=name: is_ready(context.fleet.processes[n].http),
        )


@when('{count:d} callers stream "{prompt}" from "{model}" through "{daemon}" until whole')
def neighbours_stream(context, count, prompt, model, daemon):
    address = context.fleet.processes[daemon].http
    context.neighbours = [
        StreamingCaller(address, "organisers", model, f"{prompt} number {number}")
        for number in range(count)
    ]
    context.neighbour_threads = [
        threading.Thread(target=ask_until_whole, args=(context.neighbours, number))
        for number in range(count)
    ]
    for thread in context.neighbour_threads:
        thread.start()
    for number in range(count):
        context.neighbours[number].wait_tokens(1)


def ask_until_whole(callers: list[StreamingCaller], number: int) -> None:
    """Ask again, as a new request, whenever the answer was cut off by a typed error."""
    for _ in range(ASKS):
        callers[number].run()
        last = callers[number]
        if last.done:
            return
        assert last.error is not None, last.broken
        callers[number] = StreamingCaller(last.address, last.account, last.model, last.prompt)


@then("every neighbour has {count:d} tokens of one generation in order in the end")
def neighbours_whole(context, count):
    for thread in context.neighbour_threads:
        thread.join()
    for neighbour in context.neighbours:
        assert neighbour.done, neighbour.error
        check_whole(neighbour.texts, count)


@given("schedulers that take the engines' memory for {memory:d} tokens")
def believed_memory(context, memory):
    file = context.fleet.path / "memory.ini"
    file.write_text(MEMORY_DEPLOYMENT.format(memory=memory))
    context.fleet.apply(str(file))


@when('{count:d} callers begin to stream "{prompt}" from "{model}" through "{daemon}"')
def neighbours_begin(context, count, prompt, model, daemon):
    address = context.fleet.processes[daemon].http
    context.neighbours = [
        StreamingCaller(address, "organisers", model, f"{prompt} number {number}").start()
        for number in range(count)
    ]
    for neighbour in context.neighbours:
        neighbour.wait_tokens(1)


@when("those that were cut off ask again")
def cut_off_ask_again(context):
    def cut_off():
        return [one for one in context.neighbours if one.error is not None]

    # Two of three engines have died, and each ran some of them.
    wait_until("two engines' neighbours are cut off", lambda: len(cut_off()) >= 4)
    context.again = [
        StreamingCaller(one.address, one.account, one.model, one.prompt).start()
        for one in cut_off()
    ]


@then("all of them stream at the same time")
def stream_together(context):
    for caller in context.again:
        caller.wait_tokens(1)
    assert not any(caller.ended_at for caller in context.again), "some had ended already"


@then("every one of them has {count:d} tokens of one generation in order")
def again_whole(context, count):
    for caller in context.again:
        caller.join()
        assert caller.done, caller.error or caller.broken
        check_whole(caller.texts, count)


def make_call(context, kind, body, number, daemon):
    """Make a call of the plain service, each with a key of its own."""
    address = context.fleet.processes[daemon].http
    if kind == "refund":
        return pay(address, f"key-{body['refund']}-{number}", body)
    path = "/services/deposit-ledger/balances/7"
    return call(address, "PUT", path, body, bearer("depots"))


@when('a {kind} whose body crashes is made {times:d} times in turn through "{daemons}"')
def make_deadly_calls(context, kind, times, daemons):
    names = names_in(daemons)
    context.answers = [
        make_call(context, kind, {"refund": "[crash]"}, number, names[number % len(names)])
        for number in range(times)
    ]


@then('a {kind} whose body is harmless is answered 200 through "{daemon}"')
def harmless_served(context, kind, daemon):
    answer = make_call(context, kind, {"refund": "harmless"}, 1, daemon)
    assert answer.status == 200, answer.body
