"""The output lengths and times ahead that forecasts are computed for."""

import numpy as np

MAX_TOKENS = 1 << 17
BINS_PER_OCTAVE = 4

# Bin edges grow geometrically, because outputs range from a few tokens to tens of thousands and
# memory prediction needs a fixed relative error.
EDGES = np.unique(
    np.floor(2 ** (np.arange(int(np.log2(MAX_TOKENS)) * BINS_PER_OCTAVE + 1) / BINS_PER_OCTAVE))
).astype(np.int64)

TAIL_EDGES = np.append(EDGES, MAX_TOKENS * 2)
WIDTHS = np.diff(TAIL_EDGES)

# The decode steps ahead at which memory is predicted. Beyond them, streams that end free enough
# memory for those that grow, or admission stops in time.
HORIZON_STEPS = np.array([1, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096])
