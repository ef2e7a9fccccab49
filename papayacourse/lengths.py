"""Learns how long outputs are, and predicts what remains of one that is under way."""

import numpy as np
from attrs import define, field

MAX_TOKENS = 1 << 17
BINS_PER_OCTAVE = 4
FORGETTING = 0.999  # weight an earlier output keeps at each new one
PRIOR_WEIGHT = 8.0  # outputs that the prior counts for

# Edges grow geometrically: outputs span from a few tokens to tens of thousands, and a fixed
# relative error is what memory prediction needs.
EDGES = np.unique(
    np.floor(2 ** (np.arange(int(np.log2(MAX_TOKENS)) * BINS_PER_OCTAVE + 1) / BINS_PER_OCTAVE))
).astype(np.int64)


def log_uniform() -> np.ndarray:
    """Return the prior: every octave of lengths equally likely."""
    return np.full(len(EDGES), PRIOR_WEIGHT / len(EDGES))


@define
class LengthHistogram:
    """Counts of output lengths, in geometric bins; older outputs weigh less.

    Attributes
    ----------
    counts : ndarray, shape (len(EDGES),)
        The weight of the outputs whose length lies in each bin, in outputs.
    """

    counts: np.ndarray = field(factory=log_uniform)

    def add(self, length: int) -> None:
        """Count a finished output, in tokens."""
        self.counts *= FORGETTING
        self.counts[np.searchsorted(EDGES, max(length, 1), side="right") - 1] += 1.0

    def survival(self, lengths: np.ndarray) -> np.ndarray:
        """Return the probability that an output is longer than each length.

        Parameters
        ----------
        lengths : ndarray of int, any shape
            Lengths, in tokens.

        Returns
        -------
        ndarray of float, same shape
            Probabilities, interpolated within a bin.
        """
        tail = np.append(np.cumsum(self.counts[::-1])[::-1], 0.0)
        edges = np.append(EDGES, MAX_TOKENS * 2)
        return np.interp(lengths, edges, tail / tail[0])

    def remaining(self, generated: int, ahead: np.ndarray) -> np.ndarray:
        """Return the probability that an output goes on for more than so many tokens.

        Parameters
        ----------
        generated : int
            Tokens generated already.
        ahead : ndarray of int, shape (n,)
            Numbers of further tokens.
        """
        survived = self.survival(np.array([generated]))[0]
        if survived <= 0:
            return np.zeros(len(ahead))
        return np.minimum(self.survival(generated + ahead) / survived, 1.0)


@define
class LengthModel:
    """Length histograms of one service, for all accounts together and for each.

    Attributes
    ----------
    accounts : dict of str to LengthHistogram
        An account's own histogram starts from what the service has learnt.
    """

    service: LengthHistogram = field(factory=LengthHistogram)
    accounts: dict[str, LengthHistogram] = field(factory=dict)

    def add(self, account: str, length: int) -> None:
        """Count a finished output of an account, in tokens."""
        self.of(account).add(length)
        self.service.add(length)

    def of(self, account: str) -> LengthHistogram:
        """Return the histogram that predicts an account's outputs."""
        if account not in self.accounts:
            shape = self.service.counts / self.service.counts.sum() * PRIOR_WEIGHT
            self.accounts[account] = LengthHistogram(shape)
        return self.accounts[account]
