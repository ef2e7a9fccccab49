"""Learns how long outputs are, and predicts what remains of one that is under way."""

from collections import OrderedDict

import numpy as np
from attrs import define, field, frozen

MAX_TOKENS = 1 << 17
BINS_PER_OCTAVE = 4
FORGETTING = 0.999  # weight an earlier output keeps at each new one
PRIOR_WEIGHT = 8.0  # outputs that the prior counts for
SERVICE_WEIGHT = 8.0  # outputs that the service counts for in an account's prediction
ACCOUNT_WEIGHT = 4.0  # outputs that the account counts for in a template's prediction
MAX_TEMPLATES = 4096  # of one service, the least recently used forgotten first
RENEW_AFTER = 8  # outputs of the service after which an account's prediction may be renewed
RENEW_PART = 1 / 16  # part of the outputs known that must be new for that

# Edges grow geometrically: outputs span from a few tokens to tens of thousands, and a fixed
# relative error is what memory prediction needs.
EDGES = np.unique(
    np.floor(2 ** (np.arange(int(np.log2(MAX_TOKENS)) * BINS_PER_OCTAVE + 1) / BINS_PER_OCTAVE))
).astype(np.int64)


TAIL_EDGES = np.append(EDGES, MAX_TOKENS * 2)
WIDTHS = np.diff(TAIL_EDGES)


def log_uniform() -> np.ndarray:
    """Return the prior: every octave of lengths equally likely."""
    return np.full(len(EDGES), PRIOR_WEIGHT / len(EDGES))


def tail_of(counts: np.ndarray) -> np.ndarray:
    """Return the probability that an output is longer than each of ``TAIL_EDGES``."""
    tail = np.zeros(len(counts) + 1)
    tail[:-1] = counts[::-1].cumsum()[::-1]
    return tail / tail[0]


@define
class LengthHistogram:
    """Counts of output lengths, in geometric bins; older outputs weigh less.

    Attributes
    ----------
    counts : ndarray, shape (len(EDGES),)
        The weight of the outputs whose length lies in each bin, in outputs.
    """

    counts: np.ndarray = field(factory=log_uniform)
    cached_tail: np.ndarray | None = None
    renewed_at: int = 0

    def add(self, length: int) -> None:
        """Count a finished output, in tokens."""
        self.counts *= FORGETTING
        self.counts[np.searchsorted(EDGES, max(length, 1), side="right") - 1] += 1.0
        self.cached_tail = None

    @property
    def tail(self) -> np.ndarray:
        """Return the probability that an output is longer than each of ``TAIL_EDGES``."""
        if self.cached_tail is None:
            self.cached_tail = tail_of(self.counts)
        return self.cached_tail

    def mean(self) -> float:
        """Return the mean output length, in tokens."""
        return float(self.counts @ EDGES / self.counts.sum())


def survival(tails: np.ndarray, lengths: np.ndarray) -> np.ndarray:
    """Return the probabilities that outputs are longer than given lengths.

    Parameters
    ----------
    tails : ndarray, shape (n, len(TAIL_EDGES))
        The tail of the histogram that predicts each output.
    lengths : ndarray of float, shape (n, m)
        Lengths, in tokens.

    Returns
    -------
    ndarray of float, shape (n, m)
        Probabilities, interpolated within a bin.
    """
    bins = np.searchsorted(EDGES[1:], lengths, side="right")
    part = np.minimum(np.maximum((lengths - TAIL_EDGES[bins]) / WIDTHS[bins], 0.0), 1.0)
    # Indices into the flat array: np.take_along_axis costs several times as much here.
    at = bins + np.arange(0, tails.size, tails.shape[1])[:, None]
    above, below = tails.take(at), tails.take(at + 1)
    return above + (below - above) * part


def remaining(tails: np.ndarray, generated: np.ndarray, ahead: np.ndarray) -> np.ndarray:
    """Return the probabilities that outputs go on for more than so many tokens.

    Parameters
    ----------
    tails : ndarray, shape (n, len(TAIL_EDGES))
        The tail of the histogram that predicts each output.
    generated : ndarray, shape (n,)
        Tokens generated already.
    ahead : ndarray, shape (m,)
        Numbers of further tokens.

    Returns
    -------
    ndarray of float, shape (n, m)
        Conditional probabilities; 0 where no output is known to be as long as that.
    """
    steps = np.concatenate(([0], ahead))
    alive = survival(tails, generated[:, None] + steps[None, :])
    survived = alive[:, :1]
    return np.where(survived > 0, alive[:, 1:] / np.where(survived > 0, survived, 1.0), 0.0)


@frozen(cache_hash=True)
class Template:
    """The requests of an account whose prompts begin alike: probably one kind of work.

    Attributes
    ----------
    prefix : int or None
        The hash of the shortest prefix of the prompt; None for prompts shorter than that.
    """

    account: str
    prefix: int | None = None


@define
class LengthModel:
    """Length histograms of one service: of all its accounts, of each, and of their templates.

    Attributes
    ----------
    accounts : dict of str to LengthHistogram
        Each account's own outputs; its prediction leans on the service's.
    templates : OrderedDict of Template to LengthHistogram
        The outputs of each template, the longest unused first; its prediction leans on its
        account's.
    outputs : int
        Outputs counted so far.
    stale_at : float
        The count at which predictions were made that have to be renewed by now.
    """

    service: LengthHistogram = field(factory=LengthHistogram)
    accounts: dict[str, LengthHistogram] = field(factory=dict)
    templates: OrderedDict[Template, LengthHistogram] = field(factory=OrderedDict)
    outputs: int = 0
    stale_at: float = -RENEW_AFTER

    def add(self, template: Template, length: int) -> None:
        """Count a finished output, in tokens."""
        self.of_account(template.account).add(length)
        self.service.add(length)
        if template.prefix is not None:
            self._add_to_template(template, length)
        self.outputs += 1
        known = min(self.outputs, 1 / (1 - FORGETTING))
        self.stale_at = self.outputs - max(RENEW_AFTER, RENEW_PART * known)

    def _add_to_template(self, template: Template, length: int) -> None:
        if template not in self.templates:
            self.templates[template] = LengthHistogram(np.zeros(len(EDGES)))
        self.templates[template].add(length)
        self.templates.move_to_end(template)
        if len(self.templates) > MAX_TEMPLATES:
            self.templates.popitem(last=False)

    def of_account(self, account: str) -> LengthHistogram:
        """Return the histogram that predicts an account's outputs.

        It leans on what the service has learnt by now, not on what it knew when the account was
        first seen: a new scheduler would else go on with the prior for as many outputs of each.
        """
        if account not in self.accounts:
            self.accounts[account] = LengthHistogram(np.zeros(len(EDGES)))
        own = self.accounts[account]
        if own.cached_tail is None or own.renewed_at <= self.stale_at:
            shape = self.service.counts / self.service.counts.sum()
            own.cached_tail = tail_of(own.counts + SERVICE_WEIGHT * shape)
            own.renewed_at = self.outputs
        return own

    def of(self, template: Template) -> LengthHistogram:
        """Return the histogram that predicts a template's outputs, its account's if it is new.

        Its prediction is made anew with each output of its own only: there are many templates,
        and what the account has learnt since weighs little.
        """
        own = self.templates.get(template)
        if own is None:
            return self.of_account(template.account)
        if own.cached_tail is None:
            # The steps of the tail are the account's prediction, the service's part included.
            shape = -np.diff(self.of_account(template.account).tail)
            own.cached_tail = tail_of(own.counts + ACCOUNT_WEIGHT * shape)
        return own

    def tails(self, templates: list[Template]) -> np.ndarray:
        """Return the tails that predict the outputs of templates, one row for each."""
        return np.array([self.of(template).cached_tail for template in templates])

    def keep(self, accounts: set[str]) -> None:
        """Forget the accounts that are no longer there."""
        gone = self.accounts.keys() - accounts
        if not gone:
            return
        for name in gone:
            del self.accounts[name]
        for template in [one for one in self.templates if one.account in gone]:
            del self.templates[template]
