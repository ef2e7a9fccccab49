"""Client of the platform's lagging host list; the only module that knows its wire format."""

from functools import cached_property, lru_cache
from typing import Any

from attrs import fields, frozen
from cattrs import structure
from cattrs.errors import BaseValidationError

from papayacourse import jsontext, logs
from papayacourse.exceptions import BackendError, PlatformError, PlatformUnavailable
from papayacourse.httpcall import HttpCall
from papayacourse.types import Address, Host, HostKind

CALL_TIMEOUT = 3.0  # seconds
MAX_NUMBER = 2**53  # of a version or of slots
MAX_LOGGED = 8  # hosts
MAX_REMEMBERED = 8192  # hosts whose addresses have been checked; more than a fleet has
MAX_NAME = 200  # characters


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
    def usable(self) -> tuple[Host, ...]:
        """Return the hosts whose addresses can be connected to.

        The daemon that published the listing may be of a build that checks none.
        """
        return tuple(filter(is_usable, self.hosts))

    @cached_property
    def by_name(self) -> dict[str, Host]:
        """Return the usable hosts by name."""
        return {host.name: host for host in self.usable}

    @cached_property
    def by_kind(self) -> dict[HostKind, tuple[Host, ...]]:
        """Return the usable hosts of each kind."""
        kinds = {host.kind for host in self.usable}
        return {kind: tuple(h for h in self.usable if h.kind == kind) for kind in kinds}

    @cached_property
    def by_service(self) -> dict[str, tuple[Host, ...]]:
        """Return the usable hosts of each service."""
        services = {host.service for host in self.usable}
        return {name: tuple(h for h in self.usable if h.service == name) for name in services}


@lru_cache(MAX_REMEMBERED)
def is_usable(host: Host) -> bool:
    """Return True if a host's addresses can be connected to; log it once if they can't."""
    try:
        check_addresses(host)
    except ValueError as error:
        logs.warning("host not usable", host=host.name, why=str(error))
        return False
    return True


def check_addresses(host: Host) -> None:
    """Raise ValueError if a host has an address that cannot be connected to."""
    Address.parse(host.address)
    if host.mesh or host.kind == HostKind.ENTRY:
        Address.parse(host.mesh)


def host_from(raw: Any) -> Host:
    """Decode a host.

    Raises
    ------
    ValueError
        If a member is missing, or has a wrong type or a value that cannot be used.
    """
    known = {spec.name: raw[spec.name] for spec in fields(Host) if spec.name in raw}
    slots = known.get("slots", 0)
    if any(not isinstance(known[name], str) for name in known.keys() - {"slots"}):
        raise ValueError("a member is no text")
    if type(slots) is not int or not 0 <= slots <= MAX_NUMBER:
        raise ValueError("slots is not a number of requests")
    host = structure(known, Host)
    check_addresses(host)
    if not host.name:
        raise ValueError("a host has no name")
    return host


def listing_from(raw: Any) -> tuple[HostListing, tuple[str, ...]]:
    """Decode a listing; return it and a text for each of its hosts that cannot be read.

    Raises
    ------
    ValueError
        If it is no listing.
    """
    version, members = (raw["version"], raw["hosts"]) if isinstance(raw, dict) else (None, None)
    if type(version) is not int or not 0 <= version <= MAX_NUMBER or type(members) is not list:
        raise ValueError("no version or no hosts")
    hosts, odd = [], []
    for member in members:
        try:
            hosts.append(host_from(member))
        except (ValueError, TypeError, BaseValidationError) as error:
            name = member.get("name") if isinstance(member, dict) else None
            odd.append(f"{str(name)[:MAX_NAME]}: {str(error)[:MAX_NAME]}")
    return HostListing(version, tuple(hosts)), tuple(odd)


class HostList:
    """HTTP client of the host list.

    Attributes
    ----------
    etag : str
        Identifies the list that was read last.
    odd : tuple of str
        A text for each of its hosts that cannot be read; they count as not listed.
    """

    def __init__(self, address: Address):
        self.address = address
        self.etag = ""
        self.odd: tuple[str, ...] = ()

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
            listing, odd = listing_from(jsontext.parse(answer))
        except (ValueError, KeyError) as error:
            raise PlatformError(f"host list: not a host list: {error}") from error
        if odd and odd != self.odd:
            logs.error("hosts not readable", hosts=odd[:MAX_LOGGED], number=len(odd))
        self.odd = odd
        self.etag = call.headers.get("Etag", "")
        return listing
