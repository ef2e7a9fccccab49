"""Computes and applies differences between versions of the host list."""

from collections import deque
from functools import lru_cache

import xxhash
from attrs import astuple, define, field, frozen

from papayacourse.hostlist import HostListing
from papayacourse.meshmessages import HostsChanges
from papayacourse.types import Host

MAX_STEPS = 64  # versions back
DIGEST_CACHE_SIZE = 4096  # hosts; more than a fleet has
MAX_CHANGED_HOSTS = 1024  # in all steps; with more, the full list is as good
LATER_FIELDS = 2  # at the end of Host, which daemons of protocol version 3 may not know


@lru_cache(DIGEST_CACHE_SIZE)
def host_digest(host: Host) -> int:
    """Return a hash of one host; fields that earlier builds do not know are left out if unset."""
    values = astuple(host)
    if not any(values[-LATER_FIELDS:]):
        values = values[:-LATER_FIELDS]
    return xxhash.xxh3_64_intdigest("\0".join(map(str, values)).encode())


def digest(hosts: tuple[Host, ...]) -> int:
    """Return a hash of a set of hosts, independent of their order."""
    total = 0
    for host in hosts:
        total ^= host_digest(host)
    return total


@frozen
class Step:
    """The changes from one listing to the next: new state of each host, or None if removed."""

    since: int
    changed: dict[str, Host | None]


def difference(old: HostListing, new: HostListing) -> Step:
    """Return the changes between two listings."""
    before = {host.name: host for host in old.hosts}
    after = {host.name: host for host in new.hosts}
    changed: dict[str, Host | None] = dict.fromkeys(before.keys() - after.keys())
    changed |= {name: host for name, host in after.items() if before.get(name) != host}
    return Step(old.version, changed)


def apply_changes(listing: HostListing, news: HostsChanges) -> HostListing | None:
    """Return a listing with changes applied, or None if the result has another digest."""
    hosts = {host.name: host for host in listing.hosts}
    hosts |= {host.name: host for host in news.changed}
    for name in news.removed:
        hosts.pop(name, None)
    result = tuple(hosts.values())
    if digest(result) != news.digest:
        return None
    return HostListing(news.version, result, news.epoch)


@define(eq=False)
class ChangeLog:
    """A bounded log of the last changes of the host list within one epoch.

    Attributes
    ----------
    listing_digest : int
        The digest of the newest listing.
    """

    steps: deque[Step] = field(factory=deque)
    listing_digest: int = 0

    def since(self, listing: HostListing, version: int) -> HostsChanges | None:
        """Return the changes of a listing since a version, or None if the log does not reach back.

        A peer may have a version between two that were read here. It gets all changes since the
        older of the two; if a host changed and changed back in between, which is rare, the
        digest does not match.
        """
        older = [number for number, step in enumerate(self.steps) if step.since <= version]
        if not older:
            return None
        changed: dict[str, Host | None] = {}
        for step in list(self.steps)[older[-1] :]:
            changed |= step.changed
        present = tuple(host for host in changed.values() if host is not None)
        removed = tuple(name for name, host in changed.items() if host is None)
        return HostsChanges(listing.epoch, listing.version, present, removed, self.listing_digest)

    def add(self, old: HostListing, new: HostListing) -> None:
        """Append the changes from the last listing to a new one."""
        self.listing_digest = digest(new.hosts)
        if old.epoch != new.epoch or not old.version:
            self.steps.clear()
            return
        self.steps.append(difference(old, new))
        while self._is_too_long():
            self.steps.popleft()

    def _is_too_long(self) -> bool:
        hosts = sum(len(step.changed) for step in self.steps)
        return len(self.steps) > MAX_STEPS or hosts > MAX_CHANGED_HOSTS
