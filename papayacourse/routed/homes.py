"""Home regions: the regions in which a request may be served, kept and copied.

A route and an account may each name home regions; where both do, both bind. Everything that sends
a request, relays its body or copies its run asks the homes that are in force at that moment, so a
change of the settings also holds for requests that wait.
"""

from attrs import frozen


@frozen
class Homes:
    """The regions in which a request may be served.

    Attributes
    ----------
    regions : frozenset of str or None
        The regions; None for any. An empty set allows none, for a list that could not be read.
    """

    regions: frozenset[str] | None = None

    def allow(self, region: str) -> bool:
        """Return True if a request may be served in a region."""
        return self.regions is None or region in self.regions

    def within(self, other: "Homes") -> "Homes":
        """Return the regions that both allow."""
        if self.regions is None:
            return other
        if other.regions is None:
            return self
        return Homes(self.regions & other.regions)

    def names(self) -> list[str] | None:
        """Return the names of the regions, for log lines; None for any."""
        return None if self.regions is None else sorted(self.regions)


ANYWHERE = Homes()
NOWHERE = Homes(frozenset())
