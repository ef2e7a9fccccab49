"""Tells which regions could take over the runs of any one of their engines.

The pattern: engines are reclaimed one after another, with a notice too short for a copy to another
region. A long run survives that if another engine of its region has room for it. Sending all long
runs to the regions with several engines fills these, until nothing can be moved there either; so
each keeps as much room free as one engine has.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from papayacourse.meshmessages import ServiceLoad
from papayacourse.types import Host

LEAST_ENGINES = 2  # of a region whose runs can be moved within it


def free_tokens(
    engines: Iterable[Host], loads: Callable[[str], list[ServiceLoad]], memory: int
) -> Counter[str]:
    """Return the free memory of each region, in tokens.

    Parameters
    ----------
    engines : iterable of Host
        The engines of a service that stay.
    loads : callable
        Returns how the service stands in a failure domain; nothing where nobody has asked yet.
    memory : int
        The memory of one engine, in tokens.
    """
    free: Counter[str] = Counter()
    domains = Counter((host.domain, host.region) for host in engines)
    for (domain, region), count in domains.items():
        known = loads(domain)
        free[region] += sum(load.free_tokens for load in known) if known else count * memory
    return free


def spare_regions(
    engines: Iterable[Host], loads: Callable[[str], list[ServiceLoad]], memory: int
) -> set[str]:
    """Return the regions in which any one engine's runs would find room at the others."""
    listed = list(engines)
    counts = Counter(host.region for host in listed)
    free = free_tokens(listed, loads, memory)
    return {r for r, count in counts.items() if count >= LEAST_ENGINES and free[r] >= memory}
