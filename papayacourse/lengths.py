"""Learns the distribution of output lengths, and predicts the rest of a running output."""

from collections import OrderedDict

from attrs import define, field, frozen

from papayacourse.lazymodule import LazyModule

DECAY_PER_OUTPUT = 0.999  # factor on the weight of earlier outputs at each new one
PRIOR_WEIGHT = 8.0  # weight of the prior, in outputs
SERVICE_WEIGHT = 8.0  # weight of the service in an account's prediction, in outputs
ACCOUNT_WEIGHT = 4.0  # weight of the account in a template's prediction, in outputs
MAX_TEMPLATES = 4096  # of one service; the least recently used are evicted
RENEW_AFTER_OUTPUTS = 8  # of the service; minimum between renewals of an account's prediction
RENEW_FRACTION = 1 / 16  # of the known outputs, which must be new for a renewal

np, grid = LazyModule("numpy"), LazyModule("papayacourse.forecastgrid")


def log_uniform_prior() -> "np.ndarray":
    """Return the prior, in which every octave of lengths is equally likely."""
    return np.full(len(grid.EDGES), PRIOR_WEIGHT / len(grid.EDGES))


def tail_of(counts: "np.ndarray") -> "np.ndarray":
    """Return the probability that an output is longer than each of ``TAIL_EDGES``."""
    tail = np.zeros(len(counts) + 1)
    tail[:-1] = counts[::-1].cumsum()[::-1]
    return tail / tail[0]


@define
class LengthHistogram:
    """Counts of output lengths in geometric bins, with decaying weights.

    Attributes
    ----------
    counts : ndarray, shape (len(EDGES),)
        The total weight of the outputs in each bin, in outputs.
    cached_tail : ndarray, shape (len(TAIL_EDGES),) or None
        The tail of the prediction; None if it has to be computed.
    renewed_at : int
        The number of outputs known when an account's tail was computed.
    """

    counts: "np.ndarray" = field(factory=log_uniform_prior)
    cached_tail: "np.ndarray | None" = None
    renewed_at: int = 0

    def add(self, length: int) -> None:
        """Count a finished output, in tokens."""
        self.counts *= DECAY_PER_OUTPUT
        self.counts[np.searchsorted(grid.EDGES, max(length, 1), side="right") - 1] += 1.0
        self.cached_tail = None

    @property
    def tail(self) -> "np.ndarray":
        """Return the probability that an output is longer than each of ``TAIL_EDGES``."""
        if self.cached_tail is None:
            self.cached_tail = tail_of(self.counts)
        return self.cached_tail

    def mean(self) -> float:
        """Return the mean output length, in tokens."""
        return float(self.counts @ grid.EDGES / self.counts.sum())


def survival(tails: "np.ndarray", lengths: "np.ndarray") -> "np.ndarray":
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
    bins = np.searchsorted(grid.EDGES[1:], lengths, side="right")
    fraction = np.minimum(
        np.maximum((lengths - grid.TAIL_EDGES[bins]) / grid.WIDTHS[bins], 0.0), 1.0
    )
    # Indices into the flat array, because np.take_along_axis costs several times as much here.
    at = bins + np.arange(0, tails.size, tails.shape[1])[:, None]
    above, below = tails.take(at), tails.take(at + 1)
    return above + (below - above) * fraction


def continuation_probabilities(
    tails: "np.ndarray", generated: "np.ndarray", ahead: "np.ndarray"
) -> "np.ndarray":
    """Return the probabilities that running outputs continue for more than given numbers of tokens.

    Parameters
    ----------
    tails : ndarray, shape (n, len(TAIL_EDGES))
        The tail of the histogram that predicts each output.
    generated : ndarray, shape (n,)
        Tokens generated so far.
    ahead : ndarray, shape (m,)
        Numbers of further tokens.

    Returns
    -------
    ndarray of float, shape (n, m)
        Conditional probabilities; 0 where no known output is as long as ``generated``.
    """
    steps = np.concatenate(([0], ahead))
    alive = survival(tails, generated[:, None] + steps[None, :])
    survived = alive[:, :1]
    return np.where(survived > 0, alive[:, 1:] / np.where(survived > 0, survived, 1.0), 0.0)


@frozen(cache_hash=True)
class Template:
    """The requests of an account whose prompts share a prefix, probably for the same kind of task.

    Attributes
    ----------
    prefix : int or None
        The hash of the shortest prefix that is hashed; None for shorter prompts.
    """

    account: str
    prefix: int | None = None


@define
class LengthModel:
    """Length histograms of one service, of its accounts, and of their templates.

    Attributes
    ----------
    accounts : dict of str to LengthHistogram
        The outputs of each account; the service's histogram is the prior of its prediction.
    templates : OrderedDict of Template to LengthHistogram
        The outputs of each template, the least recently used first; the account's prediction is
        the prior of its prediction.
    outputs : int
        The number of outputs counted so far.
    stale_at : float
        Predictions made at this number of outputs or before have to be renewed.
    """

    _service: LengthHistogram | None = None
    accounts: dict[str, LengthHistogram] = field(factory=dict)
    templates: OrderedDict[Template, LengthHistogram] = field(factory=OrderedDict)
    outputs: int = 0
    stale_at: float = -RENEW_AFTER_OUTPUTS

    @property
    def service(self) -> LengthHistogram:
        """Return the service's histogram, made for the first forecast or output."""
        if self._service is None:
            self._service = LengthHistogram()
        return self._service

    def add(self, template: Template, length: int) -> None:
        """Count a finished output, in tokens."""
        self.account_histogram(template.account).add(length)
        self.service.add(length)
        if template.prefix is not None:
            self._add_to_template(template, length)
        self.outputs += 1
        known = min(self.outputs, 1 / (1 - DECAY_PER_OUTPUT))
        self.stale_at = self.outputs - max(RENEW_AFTER_OUTPUTS, RENEW_FRACTION * known)

    def _add_to_template(self, template: Template, length: int) -> None:
        if template not in self.templates:
            self.templates[template] = LengthHistogram(np.zeros(len(grid.EDGES)))
        self.templates[template].add(length)
        self.templates.move_to_end(template)
        if len(self.templates) > MAX_TEMPLATES:
            self.templates.popitem(last=False)

    def account_histogram(self, account: str) -> LengthHistogram:
        """Return the histogram that predicts an account's outputs.

        Its prior is the current histogram of the service, not that at the account's first request.
        Otherwise a new scheduler would use the uninformed prior for many outputs of each account.
        """
        if account not in self.accounts:
            self.accounts[account] = LengthHistogram(np.zeros(len(grid.EDGES)))
        own = self.accounts[account]
        if own.cached_tail is None or own.renewed_at <= self.stale_at:
            shape = self.service.counts / self.service.counts.sum()
            own.cached_tail = tail_of(own.counts + SERVICE_WEIGHT * shape)
            own.renewed_at = self.outputs
        return own

    def template_histogram(self, template: Template) -> LengthHistogram:
        """Return the histogram that predicts a template's outputs, or its account's if it is new.

        The prediction is renewed only at the template's own outputs, because there are many
        templates and later outputs of the account have little weight.
        """
        own = self.templates.get(template)
        if own is None:
            return self.account_histogram(template.account)
        if own.cached_tail is None:
            # The differences of the tail are the account's prediction, with the service's part.
            shape = -np.diff(self.account_histogram(template.account).tail)
            own.cached_tail = tail_of(own.counts + ACCOUNT_WEIGHT * shape)
        return own

    def tails(self, templates: list[Template]) -> "np.ndarray":
        """Return the tails that predict the outputs of templates, one row per template."""
        return np.array([self.template_histogram(template).cached_tail for template in templates])

    def retain_accounts(self, accounts: set[str]) -> None:
        """Forget all accounts except the given ones."""
        gone = self.accounts.keys() - accounts
        if not gone:
            return
        for name in gone:
            del self.accounts[name]
        for template in [one for one in self.templates if one.account in gone]:
            del self.templates[template]
