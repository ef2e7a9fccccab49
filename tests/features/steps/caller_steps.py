"""Steps that callers take."""

from behave import then, when

from tests.callers import caller_of, check_whole
from tests.refunds import pay


@when('account "{account}" streams "{prompt}" from "{model}" through "{daemon}"')
def stream_to_end(context, account, prompt, model, daemon):
    context.caller = caller_of(context.fleet, daemon, prompt, model, account).start()
    context.caller.join()


@when('account "{account}" starts streaming "{prompt}" from "{model}" through "{daemon}"')
def start_stream(context, account, prompt, model, daemon):
    context.caller = caller_of(context.fleet, daemon, prompt, model, account).start()
    context.caller.wait_tokens(5)


@then("the answer has {count:d} tokens of one generation in order")
def answer_is_whole(context, count):
    context.caller.join()
    assert not context.caller.broken, context.caller.broken
    assert context.caller.error is None, context.caller.error
    assert context.caller.done, "no [DONE]"
    check_whole(context.caller.texts, count)


@when('account "{account}" posts refund "{key}" through "{daemon}"')
def post_refund(context, account, key, daemon):
    address = context.fleet.processes[daemon].http
    context.answer = pay(address, key, {"crates": 3}, account=account)
    assert context.answer.status == 200, context.answer.body
