"""Measures the bytes of a change of the host list between two daemons, whole and as a change.

Run ``python -m bench.hosts``; it encodes real messages and starts no processes.
"""

import json

from attrs import evolve

from papayacourse.hostchanges import ChangeLog, apply_changes
from papayacourse.hostlist import HostListing
from papayacourse.meshmessages import HostsAsk, HostsUpdate
from papayacourse.messages import Message
from papayacourse.types import Host, HostKind, HostState
from papayacourse.wire import Frame, decode, encode

DOMAINS, REGIONS = 8, 4
ENGINES, DAEMONS = 3200, 380
CHANGES_A_DAY = 2 * (24 + 210)  # hosts that fail or restart, each gone once and back once
DAY = 24 * 3600  # seconds
BATCHES = (1, 2, 16, 64)  # hosts that change between two versions


def host(number: int) -> Host:
    """Return one host of a fleet of the size to come."""
    domain = number % DOMAINS
    address = f"10.{domain}.{number // 250}.{number % 250 + 1}"
    place = (f"region-{domain % REGIONS}-{domain}", f"region-{domain % REGIONS}")
    if number < ENGINES:
        return Host(f"engine-{number:04d}", HostKind.ENGINE, f"{address}:8000", *place)
    mesh = f"{address}:7000"
    return Host(f"entry-{number:04d}", HostKind.ENTRY, f"{address}:8080", *place, mesh=mesh)


def size(message: Message) -> int:
    """Return the bytes of a message on the wire."""
    return len(encode(Frame(1, False, message)))


def main() -> None:
    """Print the bytes of the whole list, and of a change of several sizes."""
    old = HostListing(1, tuple(map(host, range(ENGINES + DAEMONS))))
    whole = size(HostsUpdate(old.version, old.hosts))
    rows = {"hosts": len(old.hosts), "ask": size(HostsAsk(1)), "whole": whole}
    for batch in BATCHES:
        leaving = [evolve(one, state=HostState.LEAVING) for one in old.hosts[:batch]]
        new = HostListing(2, (*leaving, *old.hosts[batch:]))
        log = ChangeLog()
        log.add(old, new)
        changes = log.since(new, old.version)
        taken = apply_changes(old, decode(encode(Frame(1, False, changes))).message)
        assert taken == new, "the changes do not give the new list"
        rows[f"changes_{batch}"] = size(changes)
    rows["whole_bytes_per_s"] = round(whole * CHANGES_A_DAY / DAY, 1)
    rows["changes_bytes_per_s"] = round(rows["changes_1"] * CHANGES_A_DAY / DAY, 3)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
