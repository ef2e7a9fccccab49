"""Counts payload bytes by link class: same domain, same region, or other region."""

from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum

from attrs import define, field

from papayacourse.metrics import Metrics


class LinkClass(StrEnum):
    """The topological distance that a link spans."""

    SAME_DOMAIN = "same_domain"
    SAME_REGION = "same_region"
    OTHER_REGION = "other_region"


LINK_CLASSES_NEAREST_FIRST = (LinkClass.SAME_DOMAIN, LinkClass.SAME_REGION, LinkClass.OTHER_REGION)


class Carried(StrEnum):
    """The kind of traffic on a link: frames between daemons, or generations."""

    CONTROL = "control"
    STREAM = "stream"


@define
class Place:
    """The failure domain and region of a host."""

    domain: str
    region: str

    def link_to(self, domain: str, region: str) -> LinkClass:
        """Return the class of a link from here to the given domain and region."""
        if domain == self.domain:
            return LinkClass.SAME_DOMAIN
        return LinkClass.SAME_REGION if region == self.region else LinkClass.OTHER_REGION


@define
class StreamTraffic:
    """The traffic of generations, and the link classes of their placements.

    Attributes
    ----------
    totals : Counter of LinkClass
        Payload bytes in both directions, since the start.
    placed : Counter of LinkClass
        Generations placed, since the start.
    """

    totals: Counter[LinkClass] = field(factory=Counter)
    placed: Counter[LinkClass] = field(factory=Counter)

    def add(self, link: LinkClass, size: int) -> None:
        """Count transferred bytes."""
        self.totals[link] += size


def labelled(counts: Counter[LinkClass], **labels: str) -> Iterator[tuple[int, dict[str, str]]]:
    """Yield the count of each class, zero counts included, with its metric attributes."""
    for link in LinkClass:
        yield counts[link], {"link": link.value, **labels}


def report(
    metrics: Metrics, control: Callable[[], Counter[LinkClass]], streams: StreamTraffic
) -> None:
    """Register the metrics of link traffic and placements by link class."""

    def link_bytes() -> Iterator[tuple[int, dict[str, str]]]:
        yield from labelled(control(), carried=Carried.CONTROL)
        yield from labelled(streams.totals, carried=Carried.STREAM)

    metrics.watch_totals("papayacourse_link_bytes", "By", link_bytes)
    metrics.watch_totals("papayacourse_placements", "", lambda: labelled(streams.placed))
