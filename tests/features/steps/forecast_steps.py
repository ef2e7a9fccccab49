"""Steps about the forecasts that admission rests on."""

from collections import Counter

from behave import then, when

from bench.forecasts import compare

SEEDS = (0, 1)


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
