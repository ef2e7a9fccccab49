"""Client of the platform's lagging host list; the only module that knows its wire format."""

from functools import cached_property

from attrs import frozen
from cattrs import structure
from cattrs.errors import BaseValidationError

from papayacourse import jsontext
from papayacourse.exceptions import BackendError, PlatformError, PlatformUnavailable
from papayacourse.httpcall import HttpCall
from papayacourse.types import Address, Host, HostKind

CALL_TIMEOUT = 3.0  # seconds


@frozen
class HostListing:
    """The platform's list of hosts at one version.

    Attributes
    ----------
    version : int
        The platform's version number, which rises with each change.
    epoch : int
        How often daemons have seen the list restart from a lower version.
    """

    version: int
    hosts: tuple[Host, ...]
    epoch: int = 0

    @property
    def epoch_version(self) -> tuple[int, int]:
        """Return the sort key of listings: epoch, then version."""
        return self.epoch, self.version

    @cached_property
    def by_name(self) -> dict[str, Host]:
        """Return the hosts by name."""
        return {host.name: host for host in self.hosts}

    @cached_property
    def by_kind(self) -> dict[HostKind, tuple[Host, ...]]:
        """Return the hosts of each kind."""
        kinds = {host.kind for host in self.hosts}
        return {kind: tuple(h for h in self.hosts if h.kind == kind) for kind in kinds}

    @cached_property
    def by_service(self) -> dict[str, tuple[Host, ...]]:
        """Return the hosts of each service."""
        services = {host.service for host in self.hosts}
        return {name: tuple(h for h in self.hosts if h.service == name) for name in services}


class HostList:
    """HTTP client of the host list."""

    def __init__(self, address: Address):
        self.address = address
        self.etag = ""

    async def get(self) -> HostListing | None:
        """Return the list, or None if it has not changed since the last call.

        Raises
        ------
        PlatformUnavailable
            If it cannot be read.
        """
        headers = {"If-None-Match": self.etag} if self.etag else {}
        call = HttpCall(self.address, "GET", "/hosts", headers, idle_timeout=CALL_TIMEOUT)
        try:
            async with call:
                answer = await call.read()
        except BackendError as error:
            raise PlatformUnavailable(f"host list: {error}") from error
        if call.status == 304:
            return None
        if call.status != 200:
            raise PlatformUnavailable(f"host list: status {call.status}")
        try:
            listing = structure(jsontext.parse(answer), HostListing)
        except (ValueError, BaseValidationError) as error:
            raise PlatformError(f"host list: not a host list: {error}") from error
        self.etag = call.headers.get("Etag", "")
        return listing
