"""Works out the load at which the engines of a shape are full."""

import numpy as np

from bench.shapes import Shape
from bench.trace import BYTES_PER_TOKEN, draw

DRAWS = 20_000  # requests
SEED = 0


def capacity(shape: Shape) -> float:
    """Return the output tokens a second whose streams fill the engines' memory on average.

    A stream of a prompt and an output takes the prompt and half of the output for as long as it
    runs, by Little's law; every prompt is computed anew. Nothing is measured, so that every run
    of the bench has the same loads.
    """
    rng = np.random.default_rng(SEED)
    made = [draw(shape, shape.accounts[0], rng, number) for number in range(DRAWS)]
    outputs = np.array([arrival.length for arrival in made], dtype=float)
    prompts = np.array([len(arrival.text) / BYTES_PER_TOKEN for arrival in made])
    # The mean memory of a stream while it runs, a long one counting for its whole time.
    memory = (outputs * (prompts + outputs / 2)).sum() / outputs.sum()
    streams = min(shape.memory / memory, shape.max_batch)
    prefill = streams / outputs.mean() * prompts.mean()
    return shape.engines * streams / shape.step_time(streams, prefill)
