"""Estimates the delay between tokens that one more stream on an engine brings about.

A step in which an engine computes a prompt takes longer for every stream there. Delays are counted
in prompt tokens computed, summed over the streams that wait for them.
"""

import numpy as np

from papayacourse.chat import BYTES_PER_TOKEN, PREFIX_BYTES
from papayacourse.ledger import EngineLedger, Stream
from papayacourse.lengths import EDGES, LengthModel
from papayacourse.prefixes import PrefixIndex
from papayacourse.types import GenerationRequest

PREFIX_TOKENS = PREFIX_BYTES // BYTES_PER_TOKEN
OUTPUT_AHEAD = 256  # output tokens; nobody knows which prompts come after that


def uncached_tokens(
    engine: str, generation: GenerationRequest, prefixes: PrefixIndex, now: float
) -> int:
    """Return how many tokens of a prompt an engine probably has to compute."""
    held = prefixes.held(engine, generation.prefixes, now) * PREFIX_TOKENS
    return max(1, generation.prompt_tokens - held)


def expected_output(stream: Stream, lengths: LengthModel, by_template: bool) -> float:
    """Return the expected length of an output that has not begun, in tokens."""
    tail = lengths.template_histogram(stream.prediction_template(by_template)).cached_tail
    longest = min(stream.generation.max_tokens, OUTPUT_AHEAD)
    return float(-np.diff(tail) @ np.minimum(EDGES, longest))


def expected_delay(
    ledger: EngineLedger, candidate: Stream, output: float, prefixes: PrefixIndex, now: float
) -> float:
    """Return the delay that a stream brings to an engine's streams, and meets there itself.

    Its prompt delays the streams that run there and its own first token; while it runs, the
    prompts of later streams delay its tokens.

    Parameters
    ----------
    output : float
        The expected length of its output, in tokens.
    """
    caused = uncached_tokens(ledger.name, candidate.generation, prefixes, now)
    met = output * ledger.token_interval * ledger.prompt_rate.per_second(now)
    return (len(ledger.streams) + 1) * caused + met


def takes_prompt(
    ledger: EngineLedger, generation: GenerationRequest, prefixes: PrefixIndex, now: float
) -> bool:
    """Tell whether an engine would compute a prompt soon enough."""
    uncached = uncached_tokens(ledger.name, generation, prefixes, now)
    return ledger.prompt_queue.accepts_prompt(uncached, ledger.prompt_wait, now)


def note_prompt(ledger: EngineLedger, stream: Stream, prefixes: PrefixIndex, now: float) -> None:
    """Note that an engine works on a stream's prompt, and holds it from now on."""
    generation = stream.generation
    uncached = uncached_tokens(ledger.name, generation, prefixes, now)
    ledger.prompt_rate.add_prompt(uncached, now)
    stream.prompt_tokens_ahead = ledger.prompt_queue.add_prompt(uncached, now)
    prefixes.note(ledger.name, generation.prefixes, now)
