"""Steps about copies of one request that are sent at once."""

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from standins.fleet import call, wait_until
from tests.callers import bearer, caller_of, check_all_whole, start_plans
from tests.engines import at_work, engines, total
from tests.steptext import names_in

PLAN_LENGTH = 600  # tokens


def ask_for(context, prompt, daemon):
    """Ask for one answer that is not streamed."""
    body = {"model": "planner", "messages": [{"role": "user", "content": prompt}]}
    address = context.fleet.processes[daemon].http
    return call(address, "POST", "/v1/chat/completions", body, bearer("organisers"), 60.0)


@given("the planner's engines take {count:d} streams each")
def small_batch(context, count):
    file = context.fleet.path / "deployment.ini"
    file.write_text(
        "[/teams/sound-trust/deployments/planner]\nservice = planner\nbackends = planner-*\n"
        f"memory_tokens = 16384\nmax_batch = {count}\n"
    )
    context.fleet.apply(str(file))


@given("the daemons agree on who schedules")
def agree_on_scheduler(context):
    names = [name for name, host in context.fleet.hosts.items() if host["kind"] == "entry"]

    def takes_all_in(name):
        peers = {peer["name"]: peer for peer in context.fleet.status(name)["peers"]}
        return all(peers[n]["alive"] and not peers[n]["leaving"] for n in names if n != name)

    for name in names:
        wait_until(f"{name} counts all for duties", lambda n=name: takes_all_in(n))


@when('{count:d} copies of "{prompt}" are sent at once through "{daemons}"')
def send_copies(context, count, prompt, daemons):
    names = names_in(daemons)
    context.prompt = prompt
    turns = [names[number % len(names)] for number in range(count)]
    with ThreadPoolExecutor(count) as pool:
        answers = list(pool.map(lambda name: ask_for(context, prompt, name), turns))
    assert all(answer.status >= 400 for answer in answers), [a.status for a in answers]


@then('soon a copy sent through each of "{daemons}" is 422 "{reason}"')
def soon_refused(context, daemons, reason):
    for name in names_in(daemons):
        wait_until(
            f"{name} has two strikes",
            lambda n=name: context.fleet.status(n)["quarantine"]["condemned"] >= 1,
        )
        answer = ask_for(context, context.prompt, name)
        assert (answer.status, answer.json["reason"]) == (422, reason), answer.json


@when('{count:d} copies of "{prompt}" stream through "{daemons}"')
def stream_copies(context, count, prompt, daemons):
    context.copies = start_plans(context.fleet, names_in(daemons), count, PLAN_LENGTH)
    assert {caller.prompt for caller in context.copies} == {prompt}


@then("copies run on {count:d} engines and the others wait")
def copies_run_on(context, count):
    wait_until("engines are full", lambda: total(context.fleet, "running") == 2 * count)
    assert len(at_work(context.fleet)) == count, at_work(context.fleet)


@then("another plan of the same account is whole before any copy")
def other_plan_first(context):
    other = caller_of(context.fleet, "a", "another plan [len=5]").start()
    check_all_whole([other], 5)
    assert not any(caller.done for caller in context.copies), "a copy had come to its end"


@then("every copy is whole, and {count:d} engines have run some")
def copies_whole(context, count):
    check_all_whole(context.copies, PLAN_LENGTH)
    begun = {name: context.fleet.counts(name)["begun"] for name in engines(context.fleet)}
    ran = [name for name, prompts in begun.items() if any("another" not in p for p in prompts)]
    assert len(ran) == count, begun
