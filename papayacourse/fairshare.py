"""Orders waiting requests by priority, then by the tokens each account has been served."""

import itertools
from collections.abc import Iterator

from attrs import define, field

PROMPT_WEIGHT = 0.25  # cost of a prompt token, in output tokens


@define
class AccountQueue:
    """One account's waiting requests at one priority, and what it has been served.

    Attributes
    ----------
    served : float
        Virtual tokens: tokens served, divided by the account's share.
    """

    served: float = 0.0
    waiting: dict[str, object] = field(factory=dict)


@define
class FairQueue:
    """Waiting requests of one service.

    Attributes
    ----------
    accounts : dict of (int, str) to AccountQueue
        By priority and account.
    """

    accounts: dict[tuple[int, str], AccountQueue] = field(factory=dict)
    floor: float = 0.0
    numbers: itertools.count = field(factory=itertools.count)

    def __len__(self) -> int:
        return sum(len(account.waiting) for account in self.accounts.values())

    def add(self, stream: str, priority: int, account: str, item: object) -> None:
        """Put a request at the end of its account's queue."""
        queue = self.accounts.setdefault((priority, account), AccountQueue())
        if not queue.waiting:
            # An account that was idle must not come back with a credit that starves the rest.
            queue.served = max(queue.served, self.floor)
        queue.waiting[stream] = item

    def discard(self, stream: str) -> None:
        """Take a request out, wherever it waits."""
        for queue in self.accounts.values():
            queue.waiting.pop(stream, None)

    def charge(self, priority: int, account: str, tokens: float, share: float) -> None:
        """Count tokens served to an account."""
        queue = self.accounts.setdefault((priority, account), AccountQueue(self.floor))
        queue.served += tokens / share

    def in_order(self) -> Iterator[tuple[str, object]]:
        """Yield the head of each account's queue, the one to be served next first."""
        busy = [(key, queue) for key, queue in self.accounts.items() if queue.waiting]
        busy.sort(key=lambda pair: (-pair[0][0], pair[1].served))
        if busy:
            self.floor = max(self.floor, min(queue.served for _, queue in busy))
        for _, queue in busy:
            yield next(iter(queue.waiting.items()))
