"""Steps about a key that is used in several failure domains."""

from behave import then

from tests.callers import caller_of, check_all_whole, marks_of
from tests.engines import total
from tests.steptext import names_in

PLAN_LENGTH = 200  # tokens


@then('{count:d} keys that begin through each of "{daemons}" at once have one generation each')
def keys_at_once(context, count, daemons):
    for number in range(count):
        headers = {"Idempotency-Key": f"key-{number}"}
        prompt = f"plan {number} [len={PLAN_LENGTH}]"
        callers = [
            caller_of(context.fleet, name, prompt, headers=headers).start()
            for name in names_in(daemons)
        ]
        check_all_whole(callers, PLAN_LENGTH)
        marks = set().union(*(marks_of(caller.texts) for caller in callers))
        assert len(marks) == 1, f"key {number} has {len(marks)} generations"
    assert total(context.fleet, "started") == count


@then('a key used through each of "{daemons}" at once gives each a whole answer')
def whole_in_each(context, daemons):
    headers = {"Idempotency-Key": "key-cut-off"}
    callers = [
        caller_of(context.fleet, name, f"plan [len={PLAN_LENGTH}]", headers=headers).start()
        for name in names_in(daemons)
    ]
    check_all_whole(callers, PLAN_LENGTH)
