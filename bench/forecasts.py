"""Compares admission on forecasts in use with admission on forecasts made anew each time.

Run ``python -m bench.forecasts``; it starts no processes.
"""

import argparse
import random
from collections import Counter

import numpy as np
from attrs import define, evolve, field

from papayacourse.admission import choose_engine, peaks
from papayacourse.ledger import (
    INITIAL_SECONDS_PER_TOKEN,
    EngineLedger,
    Stream,
    add_stream,
    remove_stream,
)
from papayacourse.lengths import LengthModel
from papayacourse.policies import POLICIES
from papayacourse.types import GenerationRequest

ENGINES = 12
ARRIVALS = 14  # requests a second, more than the engines can take
SECONDS = 60.0  # of the engines' time, for each seed
REPORT_INTERVAL = 1.0  # seconds
ACCOUNTS = 20
OUTPUTS_LEARNT = 1000
LONG_PART = 0.55  # part of the outputs that are long
LONGEST = 20_000  # tokens
MEMORIES = (4800, 60_000, 400_000)  # tokens of an engine


@define(eq=False)
class Trial:
    """Engines whose streams grow, are reported, and end, with a decision at each arrival.

    Attributes
    ----------
    outputs : dict of str to int
        The length that each stream will come to, in tokens.
    decisions : Counter
        By what the forecasts in use and those made anew say: whether the stream fits.
    excess : list of float
        By how much the peak on each engine chosen passes its budget by a forecast made anew, as a
        part of its memory.
    """

    rng: random.Random
    memory: int
    now: float = 0.0
    lengths: LengthModel = field(factory=LengthModel)
    ledgers: list[EngineLedger] = field(factory=list)
    outputs: dict[str, int] = field(factory=dict)
    decisions: Counter = field(factory=Counter)
    excess: list[float] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        policy = POLICIES["predicted"]
        for number in range(ENGINES):
            self.ledgers.append(EngineLedger(f"e{number}", "", self.memory, 256, 0.1, policy))

    def run(self) -> None:
        """Begin with full engines, then let the time pass, a request at a time."""
        for number in range(OUTPUTS_LEARNT):
            stream = self._stream(-number)
            self.lengths.add(stream.template, self.outputs[stream.generation.stream])
        number = 0
        while self._fill(self._stream(number)):
            number += 1
        while self.now < SECONDS:
            self.now += self.rng.expovariate(ARRIVALS)
            self._go_on()
            number += 1
            self._arrive(self._stream(number))

    def _fill(self, stream: Stream) -> bool:
        """Put a stream that is under way on an engine; tell whether it fitted."""
        stream.generated = int(self.rng.random() * self.outputs[stream.generation.stream])
        stream.granted_at -= stream.generated * INITIAL_SECONDS_PER_TOKEN
        ledger = choose_engine(self.ledgers, stream, self.lengths, 0, self.now)
        if ledger is not None:
            add_stream(ledger, stream)
        return ledger is not None

    def _stream(self, number: int) -> Stream:
        account, name = f"account-{self.rng.randrange(ACCOUNTS)}", f"s{number}"
        prompt = self.rng.randrange(50, 400)
        typical = self.memory / 32 if self.rng.random() < LONG_PART else 8
        self.outputs[name] = max(1, int(typical * self.rng.lognormvariate(0, 1.1)))
        request = GenerationRequest(name, "t", "s", account, "", prompt, LONGEST, 0, ())
        return Stream(request, "daemon", seen_at=self.now, granted_at=self.now)

    def _go_on(self) -> None:
        """Report each stream once a second, and take off those that have ended."""
        for ledger in self.ledgers:
            for name, stream in list(ledger.streams.items()):
                generated = int((self.now - stream.granted_at) / INITIAL_SECONDS_PER_TOKEN)
                if generated >= self.outputs[name]:
                    remove_stream(ledger, name)
                    self.lengths.add(stream.template, self.outputs[name])
                elif self.now - stream.seen_at >= REPORT_INTERVAL:
                    stream.generated, stream.seen_at = generated, self.now

    def _arrive(self, stream: Stream) -> None:
        anew = [evolve(ledger, forecast=None, forecast_at=-np.inf) for ledger in self.ledgers]
        exact = choose_engine(anew, evolve(stream), self.lengths, 0, self.now)
        ledger = choose_engine(self.ledgers, stream, self.lengths, 0, self.now)
        self.decisions[ledger is not None, exact is not None] += 1
        if ledger is not None:
            there = next(one for one in anew if one.name == ledger.name)
            peak = peaks([there], stream, self.lengths, self.now)[0]
            self.excess.append(max(0.0, peak - ledger.budget) / self.memory)
            add_stream(ledger, stream)


def compare(seed: int, memory: int) -> Trial:
    """Return a trial that has run."""
    trial = Trial(random.Random(seed), memory)
    trial.run()
    return trial


def main() -> None:
    """Print how often the decisions differ, and by how much the predictions do."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    for memory in MEMORIES:
        trials = [compare(seed, memory) for seed in range(parser.parse_args().seeds)]
        decisions = sum((trial.decisions for trial in trials), Counter())
        excess = np.concatenate([trial.excess for trial in trials])
        print(
            f"memory {memory}: {decisions.total()} decisions, both let in "
            f"{decisions[True, True]}, neither {decisions[False, False]}, only the one in use "
            f"{decisions[True, False]}, only the one made anew {decisions[False, True]}; "
            f"the peak passes the budget on {100 * np.mean(excess > 0):.2f}% of the engines "
            f"chosen, by at most {100 * excess.max():.2f}% of the memory"
        )


if __name__ == "__main__":
    main()
