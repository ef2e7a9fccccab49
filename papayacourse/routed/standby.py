"""Where a run can continue when its engine goes."""

from attrs import frozen

from papayacourse.types import Host


@frozen
class Standby:
    """A copy of a run at another engine.

    Attributes
    ----------
    host : Host
        The engine that has the copy.
    holder : str
        ``host:port`` of the engine that the handle belongs to.
    handle : str
        The handle of the copy.
    """

    host: Host
    holder: str
    handle: str
