"""Finds the regions with enough spare memory to take over the runs of any one of their engines.

Engines are reclaimed one after another, with a notice too short for a copy to another region. A
long run survives that only if another engine of its region has memory for it. Placing all long runs
in regions with several engines would fill these until nothing can be moved there either, so each
region keeps the memory of one engine free.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from papayacourse.meshmessages import ServiceLoad
from papayacourse.types import Host

MIN_ENGINES = 2  # in a region, so that runs can be moved within it


def free_tokens(
    engines: Iterable[Host], loads: Callable[[str], list[ServiceLoad]], memory: int
) -> Counter[str]:
    """Return the free memory of each region, in tokens.

    Parameters
    ----------
    engines : iterable of Host
        The engines of a service that are not leaving.
    loads : callable
        Returns the reported loads of the service in a failure domain; empty if none are known.
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
    """Return the regions in which the other engines have room for any one engine's runs."""
    listed = list(engines)
    counts = Counter(host.region for host in listed)
    free = free_tokens(listed, loads, memory)
    return {r for r, count in counts.items() if count >= MIN_ENGINES and free[r] >= memory}
