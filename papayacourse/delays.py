"""Estimates by how much one more stream on an engine delays the tokens of its streams.

A step in which an engine prefills a prompt takes longer for every stream there. Delays are measured
in prefilled prompt tokens, summed over the streams that wait for them.
"""

from papayacourse.chat import BYTES_PER_TOKEN, PREFIX_BYTES
from papayacourse.lazymodule import LazyModule
from papayacourse.ledger import EngineLedger, Stream
from papayacourse.lengths import LengthModel
from papayacourse.prefixes import PrefixIndex
from papayacourse.types import GenerationRequest

PREFIX_TOKENS = PREFIX_BYTES // BYTES_PER_TOKEN
MAX_OUTPUT_HORIZON = 256  # output tokens; later prompts are unpredictable

np, grid = LazyModule("numpy"), LazyModule("papayacourse.forecastgrid")


def uncached_tokens(
    engine: str, generation: GenerationRequest, prefixes: PrefixIndex, now: float
) -> int:
    """Return the number of prompt tokens that an engine probably has to prefill, at least 1."""
    held = prefixes.count_cached(engine, generation.prefixes, now) * PREFIX_TOKENS
    return max(1, generation.prompt_tokens - held)


def expected_output(stream: Stream, lengths: LengthModel, by_template: bool) -> float:
    """Return the expected length of an output that has not started, in tokens."""
    tail = lengths.template_histogram(stream.prediction_template(by_template)).cached_tail
    longest = min(stream.generation.max_tokens, MAX_OUTPUT_HORIZON)
    return float(-np.diff(tail) @ np.minimum(grid.EDGES, longest))


def expected_delay(
    ledger: EngineLedger, candidate: Stream, output: float, prefixes: PrefixIndex, now: float
) -> float:
    """Return the delay that a stream adds to an engine's streams plus the delay it incurs there.

    Its prompt delays the streams that run there and its own first token; while it runs, the
    prompts of later streams delay its tokens.

    Parameters
    ----------
    output : float
        The expected length of its output, in tokens.
    """
    added = uncached_tokens(ledger.name, candidate.generation, prefixes, now)
    incurred = output * ledger.token_interval * ledger.prompt_rate.per_second(now)
    return (len(ledger.streams) + 1) * added + incurred


def accepts_prompt(
    ledger: EngineLedger, generation: GenerationRequest, prefixes: PrefixIndex, now: float
) -> bool:
    """Return True if an engine would prefill a prompt within its limit on prompt wait."""
    uncached = uncached_tokens(ledger.name, generation, prefixes, now)
    return ledger.prompt_queue.accepts_prompt(uncached, ledger.prompt_wait, now)


def record_prompt(ledger: EngineLedger, stream: Stream, prefixes: PrefixIndex, now: float) -> None:
    """Record that an engine prefills a stream's prompt and caches its prefixes."""
    generation = stream.generation
    uncached = uncached_tokens(ledger.name, generation, prefixes, now)
    ledger.prompt_rate.add_prompt(uncached, now)
    stream.prompt_tokens_ahead = ledger.prompt_queue.add_prompt(uncached, now)
    prefixes.record_prefixes(ledger.name, generation.prefixes, now)
