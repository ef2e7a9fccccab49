"""Where a run can continue after its engine is lost."""

from attrs import frozen

from papayacourse.types import Host


@frozen
class Standby:
    """A copy of a run on another engine.

    Attributes
    ----------
    host : Host
        The engine that has the copy.
    holder : str
        ``host:port`` of the engine that issued the handle.
    handle : str
        The handle of the copy.
    is_permitted : bool
        Whether the limit of the engine permits to resume the run there.
    """

    host: Host
    holder: str
    handle: str
    is_permitted: bool = False
