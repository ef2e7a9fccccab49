"""Chooses another failure domain for a request whose wait here costs more than the link there."""

from collections.abc import Iterable

from attrs import frozen

from papayacourse.settings import ServiceSettings


@frozen
class Elsewhere:
    """How another failure domain stands for one service.

    Attributes
    ----------
    expected_wait : float
        The wait that a new request can expect there, in seconds.
    """

    domain: str
    region: str
    expected_wait: float


def price(service: ServiceSettings, same_region: bool) -> float:
    """Return what using a link costs, in seconds of waiting that it must save."""
    return service.spill_same_region if same_region else service.spill_other_region


def worth_asking(
    wait: float, region: str, others: Iterable[Elsewhere], service: ServiceSettings
) -> list[str]:
    """Return the domains to ask, those of this region first, then by their expected wait.

    Parameters
    ----------
    wait : float
        The expected wait here, in seconds; infinite where no engine can serve.
    region : str
        The region that asks.
    """
    found = []
    for other in others:
        same_region = other.region == region
        if other.expected_wait + price(service, same_region) < wait:
            found.append((not same_region, other.expected_wait, other.domain))
    return [domain for _, _, domain in sorted(found)]
