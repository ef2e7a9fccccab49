"""Draws the seeded arrivals of one cell."""

import numpy as np
from attrs import evolve, frozen

from bench.shapes import Account, Shape

PREFIX_BYTES = 512  # of a prompt, shared by an account's requests
MAX_OWN_BYTES = 200  # of a prompt, the request's own
STEP = 0.025  # seconds between tokens, to tell how many streams run in the steady state
BYTES_PER_TOKEN = 4
RAMP = 1.0  # seconds in which those start that would run already


@frozen
class Arrival:
    """One request: when it comes, whose it is, and how long its output will be."""

    at: float
    account: Account
    work: str
    prompt: str
    length: int
    daemon: int

    @property
    def text(self) -> str:
        """Return the prompt with the length that the stand-in engine is to make of it."""
        return f"{self.prompt} [len={self.length}]"


def arrivals(shape: Shape, tokens_per_second: float, seconds: float, seed: int) -> list[Arrival]:
    """Return bursts at Poisson instants that together ask for so many output tokens a second.

    Parameters
    ----------
    tokens_per_second : float
        The offered load, in output tokens a second.
    seconds : float
        How long requests come.
    seed : int
        The same seed gives the same requests, at times scaled by the load.
    """
    rng = np.random.default_rng(seed)
    times, total = [], 0
    made = []
    # Accounts are picked by burst, so that each has its part of the requests.
    weights = np.array([account.part / account.burst for account in shape.accounts])
    while total < tokens_per_second * seconds:
        account = shape.accounts[rng.choice(len(weights), p=weights / weights.sum())]
        for number in range(rng.geometric(1 / account.burst)):
            made.append(draw(shape, account, rng, len(made)))
            times.append(0.0 if number else rng.exponential())
            total += made[-1].length
    scale = seconds / sum(times)
    later = [
        evolve(arrival, at=float(at) * scale)
        for arrival, at in zip(made, np.cumsum(times), strict=True)
    ]
    return in_flight(later, rng, tokens_per_second) + later


def draw(shape: Shape, account: Account, rng: np.random.Generator, number: int) -> Arrival:
    """Draw one request."""
    work = shape.classes[rng.choice(len(shape.classes), p=[c.part for c in shape.classes])]
    length = int(np.clip(work.median * rng.lognormal(0, work.sigma), 1, work.longest))
    prefix = f"{account.name} {work.name} ".ljust(PREFIX_BYTES, ".")
    own = "x" * int(rng.integers(0, MAX_OWN_BYTES))
    daemon = int(rng.integers(0, 1 << 30))
    return Arrival(0.0, account, work.name, f"{prefix}{number} {own}", length, daemon)


def in_flight(
    later: list[Arrival], rng: np.random.Generator, tokens_per_second: float
) -> list[Arrival]:
    """Return what would be running already when the cell begins, so that it begins steady.

    A stream met in progress is a long one, in proportion to its length, and any part of it may
    be left. What it has generated before goes into its prompt, so that it takes its memory.
    """
    lengths = np.array([arrival.length for arrival in later], dtype=float)
    count = int(tokens_per_second * STEP)
    picked = rng.choice(len(later), size=count, p=lengths / lengths.sum())
    at = np.sort(rng.uniform(0, RAMP, count))
    return [
        resumed(later[number], float(when), float(rng.uniform()))
        for number, when in zip(picked, at, strict=True)
    ]


def resumed(arrival: Arrival, at: float, part: float) -> Arrival:
    """Return a request of which a part has been generated already."""
    before = int(arrival.length * part)
    prompt = arrival.prompt + " " + "y" * (before * BYTES_PER_TOKEN)
    return evolve(arrival, at=at, prompt=prompt, length=max(1, arrival.length - before))
