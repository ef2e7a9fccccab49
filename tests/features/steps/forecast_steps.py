"""Steps about the forecasts that admission rests on."""

from collections import Counter

from behave import given, then, when

from bench.forecasts import compare
from papayacourse.admission import choose_engine
from papayacourse.ledger import EngineLedger, Stream, add_stream
from papayacourse.lengths import LengthModel, Template
from papayacourse.policies import ENGINE_CHOICES, POLICIES
from papayacourse.prefixes import PrefixIndex
from papayacourse.promptrate import TIME_CONSTANT_SECONDS
from papayacourse.types import GenerationRequest

SEEDS = (0, 1)
LONGEST = 2000  # tokens
SHORT, LONG = 1, 2  # hashes of how the prompts of an account's two kinds of work begin


@when("seeded engines of {memory:d} tokens decide on requests by the forecasts in use")
def decide_by_forecasts(context, memory):
    context.trials = [compare(seed, memory) for seed in SEEDS]


@then("at most {part:d} in 100 decisions differ from those by forecasts made anew")
def decisions_agree(context, part):
    decisions = sum((trial.decisions for trial in context.trials), Counter())
    differ = decisions[True, False] + decisions[False, True]
    assert min(decisions[True, True], decisions[False, False]) > differ, dict(decisions)
    assert 100 * differ <= part * decisions.total(), dict(decisions)


@then("no engine is predicted to pass its budget by more than {part:d}% of its memory")
def budget_kept(context, part):
    excess = max(max(trial.excess) for trial in context.trials)
    assert 100 * excess <= part, f"{100 * excess:.2f}%"


def request(name, prompt, prefixes, longest=LONGEST):
    """Return a stream that asks for a place."""
    generation = GenerationRequest(
        name, "team", "service", "large", "", prompt, longest, 0, prefixes
    )
    return Stream(generation, "daemon")


@given("lengths learnt by {key} from {short:d} short and {long:d} long outputs of one account")
def learn_lengths(context, key, short, long):
    context.by_template = key == "account and prompt"
    context.lengths = LengthModel()
    for number in range(short):
        context.lengths.add(Template("large", SHORT), 5 + number % 10)
    for number in range(long):
        context.lengths.add(Template("large", LONG), 500 + number)


@when("an engine of {memory:d} tokens has room for {room:d} more")
def nearly_full(context, memory, room):
    ledger = EngineLedger("engine", "", memory, 32, 0.0, POLICIES["predicted"])
    ledger.by_template = context.by_template
    add_stream(ledger, request("ending", 0, (), longest=1))
    ledger.unattributed_tokens = memory - room
    context.ledger = ledger


@then("a request that begins like the short ones {fits} and one like the long ones does not fit")
def admitted(context, fits):
    found = {
        prefix: choose_engine([context.ledger], request("new", 100, (prefix,)), context.lengths, 0)
        for prefix in (SHORT, LONG)
    }
    assert found[LONG] is None
    assert (found[SHORT] is not None) == (fits == "fits"), found


@when("the lengths of outputs are learnt from {count:d} templates")
def learn_templates(context, count):
    context.lengths, context.count = LengthModel(), count
    for number in range(count):
        context.lengths.add(Template("large", number), 100)


@then("at most {most:d} templates are remembered, the last one among them")
def templates_bounded(context, most):
    assert len(context.lengths.templates) <= most, len(context.lengths.templates)
    assert Template("large", context.count - 1) in context.lengths.templates


@given('engines of {memory:d} tokens that run these streams of {size:d} tokens, by "{choice}"')
def engines_by_choice(context, memory, size, choice):
    context.lengths, context.prefixes, context.ledgers = LengthModel(), PrefixIndex(), []
    for row in context.table:
        ledger = EngineLedger(row["engine"], "", memory, 32, 0.0, POLICIES["predicted"])
        ledger.choice, ledger.affinity_bound = ENGINE_CHOICES[choice], 0.5
        ledger.prompt_rate.add_prompt(
            int(row["prompt tokens a second"]) * TIME_CONSTANT_SECONDS, 0.0
        )
        for number in range(int(row["streams"])):
            add_stream(ledger, request(f"{ledger.name}-{number}", size, ()))
        if row["holds the prefix"] == "yes":
            context.prefixes.record_prefixes(ledger.name, (SHORT,), 0.0)
        context.ledgers.append(ledger)


@when("a request with a prompt of {prompt:d} tokens and an output of {length:d} comes")
def request_comes(context, prompt, length):
    context.lengths.add(Template("large", None), 1000)
    for _ in range(100):
        context.lengths.add(Template("large", SHORT), length)
    candidate = request("new", prompt, (SHORT,))
    context.chosen = choose_engine(
        context.ledgers, candidate, context.lengths, 0, 0.0, context.prefixes
    )


@then('it goes to engine "{engine}"')
def goes_to(context, engine):
    assert context.chosen.name == engine, context.chosen.name
