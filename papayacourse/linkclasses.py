"""Counts payload bytes by how far a link goes: in the domain, in the region, or beyond it."""

from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum

from attrs import define, field

from papayacourse.metrics import Metrics


class LinkClass(StrEnum):
    """How far a link goes."""

    SAME_DOMAIN = "same_domain"
    SAME_REGION = "same_region"
    OTHER_REGION = "other_region"


class Carried(StrEnum):
    """What a link carries: frames between daemons, or generations."""

    CONTROL = "control"
    STREAM = "stream"


@define
class Place:
    """Where a host stands."""

    domain: str
    region: str

    def link_to(self, domain: str, region: str) -> LinkClass:
        """Return the class of a link from here."""
        if domain == self.domain:
            return LinkClass.SAME_DOMAIN
        return LinkClass.SAME_REGION if region == self.region else LinkClass.OTHER_REGION


@define
class StreamTraffic:
    """What generations have made pass, and where they were placed.

    Attributes
    ----------
    totals : Counter of LinkClass
        Payload bytes, both ways, since the start.
    placed : Counter of LinkClass
        Generations placed, since the start.
    """

    totals: Counter[LinkClass] = field(factory=Counter)
    placed: Counter[LinkClass] = field(factory=Counter)

    def add(self, link: LinkClass, size: int) -> None:
        """Count bytes that have passed."""
        self.totals[link] += size


def labelled(counts: Counter[LinkClass], **labels: str) -> Iterator[tuple[int, dict[str, str]]]:
    """Yield each class's count with its metric attributes, those of nothing included."""
    for link in LinkClass:
        yield counts[link], {"link": link.value, **labels}


def report(
    metrics: Metrics, control: Callable[[], Counter[LinkClass]], streams: StreamTraffic
) -> None:
    """Report what passes links of each class, and where generations are placed."""

    def passed() -> Iterator[tuple[int, dict[str, str]]]:
        yield from labelled(control(), carried=Carried.CONTROL)
        yield from labelled(streams.totals, carried=Carried.STREAM)

    metrics.watch_totals("papayacourse_link_bytes", "By", passed)
    metrics.watch_totals("papayacourse_placements", "", lambda: labelled(streams.placed))
