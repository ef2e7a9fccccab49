"""Orders queued requests by priority, then by the tokens served to each account."""

import itertools
import math
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

from attrs import define, field

PROMPT_WEIGHT = 0.25  # cost of a prompt token, in output tokens


@define
class AccountQueue:
    """The queued requests of one account at one priority, and the tokens it was served.

    Attributes
    ----------
    served : float
        Virtual tokens: tokens served, divided by the account's share.
    share : float
        The account's weight.
    first : set of str
        The streams of the requests that go before the rest of the account's queue.
    """

    served: float = 0.0
    share: float = 1.0
    waiting: dict[str, object] = field(factory=dict)
    first: set[str] = field(factory=set)


@define
class FairQueue:
    """The queued requests of one service.

    Attributes
    ----------
    accounts : dict of (int, str) to AccountQueue
        By priority and account.
    floors : dict of int to float
        By priority: the minimum that accounts with queued requests were served, in virtual
        tokens.
    keys : dict of str to (int, str)
        By stream: the queue of each request.
    """

    accounts: dict[tuple[int, str], AccountQueue] = field(factory=dict)
    floors: dict[int, float] = field(factory=dict)
    keys: dict[str, tuple[int, str]] = field(factory=dict)

    def __len__(self) -> int:
        return len(self.keys)

    def __contains__(self, stream: str) -> bool:
        return stream in self.keys

    # Queries.

    def ahead(
        self,
        priority: int,
        account: str,
        cost: float,
        first: bool = False,
        promised: Mapping[str, int] = MappingProxyType({}),
    ) -> int:
        """Return the number of requests that go before a new one of an account, as known now.

        Parameters
        ----------
        cost : float
            The cost of serving one request, in tokens.
        first : bool
            Whether it goes before the rest of its account's queue.
        promised : mapping of str to int
            By account: the requests that are expected in addition to the queued ones.
        """
        own = self.accounts.get((priority, account), AccountQueue(self.floors.get(priority, 0.0)))
        served = max(own.served, self.floors.get(priority, 0.0))
        count = len(own.first) if first else len(own.waiting) + promised.get(account, 0)
        turn = served + count * cost / own.share
        for (level, name), queue in self.accounts.items():
            if level > priority:
                count += len(queue.waiting) + promised.get(name, 0)
            elif level == priority and name != account:
                sooner = math.ceil((turn - queue.served) * queue.share / max(cost, 1.0))
                count += min(len(queue.waiting) + promised.get(name, 0), max(0, sooner))
        return count

    def items(self) -> Iterator[tuple[str, object]]:
        """Yield each queued request with its stream."""
        for queue in self.accounts.values():
            yield from queue.waiting.items()

    def queue_heads(
        self, held_back: Callable[[object], bool] = lambda _item: False
    ) -> Iterator[tuple[str, object]]:
        """Yield the head of each account's queue, in the order of service.

        Parameters
        ----------
        held_back : callable
            Returns True for a request that is passed over in favour of the next one.
        """
        busy = [(key, queue) for key, queue in self.accounts.items() if queue.waiting]
        busy.sort(key=lambda pair: (-pair[0][0], pair[1].served))
        for _, queue in busy:
            heads = (pair for pair in queue.waiting.items() if not held_back(pair[1]))
            yield from itertools.islice(heads, 1)

    def ranked(self, cost: float) -> list[tuple[str, object]]:
        """Return the queued requests with their streams, in the order of service.

        Parameters
        ----------
        cost : float
            The cost of serving one request, in tokens.
        """
        turns = []
        for (priority, _), queue in self.accounts.items():
            for number, (stream, item) in enumerate(queue.waiting.items()):
                turns.append((-priority, queue.served + number * cost / queue.share, stream, item))
        turns.sort(key=lambda turn: turn[:2])
        return [(stream, item) for _, _, stream, item in turns]

    # Commands.

    def add(
        self, stream: str, priority: int, account: str, item: object, first: bool = False
    ) -> None:
        """Append a request to its account's queue, or to those that go first in it."""
        queue = self.accounts.setdefault((priority, account), AccountQueue())
        if not queue.waiting:
            # An account must not accumulate credit while idle, or it would starve the others.
            queue.served = max(queue.served, self.floors.get(priority, 0.0))
        self.keys[stream] = (priority, account)
        if first:
            before = {name: queue.waiting[name] for name in queue.waiting if name in queue.first}
            queue.waiting = {**before, stream: item, **queue.waiting}
            queue.first.add(stream)
        else:
            queue.waiting[stream] = item

    def discard(self, stream: str) -> None:
        """Remove a request from its queue."""
        key = self.keys.pop(stream, None)
        if key is not None:
            self._raise_floor(key[0])
            self.accounts[key].waiting.pop(stream, None)
            self.accounts[key].first.discard(stream)

    def _raise_floor(self, priority: int) -> None:
        served = [q.served for (p, _), q in self.accounts.items() if p == priority and q.waiting]
        if served:
            self.floors[priority] = max(self.floors.get(priority, 0.0), min(served))

    def charge(self, priority: int, account: str, tokens: float, share: float) -> None:
        """Charge an account for served tokens; a negative number refunds unused ones."""
        floor = self.floors.get(priority, 0.0)
        queue = self.accounts.setdefault((priority, account), AccountQueue(floor))
        queue.share = share
        queue.served += tokens / share

    def drop_idle_accounts(self) -> None:
        """Drop idle accounts at or below the floor, which removes deleted accounts too."""
        for (priority, account), queue in list(self.accounts.items()):
            if not queue.waiting and queue.served <= self.floors.get(priority, 0.0):
                del self.accounts[priority, account]

    def retain_accounts(self, accounts: set[str]) -> None:
        """Drop the accounts not listed, except those with queued requests."""
        for (priority, account), queue in list(self.accounts.items()):
            if account not in accounts and not queue.waiting:
                del self.accounts[priority, account]
