"""Finds the route that a host and path name."""

from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import field, frozen

from papayacourse.exceptions import RequestRefused
from papayacourse.routed.spellings import NEEDS_READINGS, READINGS, host_and_port


class Routed(Protocol):
    """A route, as far as it is matched."""

    host: str
    prefix: str


@frozen
class Entry:
    """A route and its prefix in one reading of paths."""

    prefix: str
    route: Routed


@frozen
class RouteTable:
    """The routes of a settings document by host, for each reading of paths.

    Attributes
    ----------
    routes : tuple of Routed
        The routes, in the document's order.
    """

    routes: tuple[Routed, ...]
    readings: tuple[dict[str, list[Entry]], ...] = field(init=False, repr=False, eq=False)

    @readings.default
    def _read_routes(self) -> tuple[dict[str, list[Entry]], ...]:
        return tuple(by_host(self.routes, reading) for reading in READINGS)

    def find(self, host: str, path: str) -> Routed | None:
        """Return the route of a host with the longest prefix that begins a path, or None.

        Raises
        ------
        RequestRefused
            When servers that read the path in other ways would take it for another route's.
        """
        used = len(READINGS) if NEEDS_READINGS.search(path) else 1
        name, port = host_and_port(host)
        found = [
            first_match(table.get(f"{name}:{port}") or table.get(name, ()), reading(path))
            for table, reading in zip(self.readings[:used], READINGS, strict=False)
        ]
        if any(route is not found[0] for route in found):
            raise RequestRefused(
                400, "ambiguous_path", "its escapes or dot segments may name another route"
            )
        return found[0]


def by_host(routes: Iterable[Routed], reading: Callable[[str], str]) -> dict[str, list[Entry]]:
    """Return the routes of each host, those with the longest prefixes first."""
    found: dict[str, list[Entry]] = {}
    entries = [Entry(reading(route.prefix), route) for route in routes]
    for entry in sorted(entries, key=lambda entry: -len(entry.prefix)):
        name, port = host_and_port(entry.route.host)
        found.setdefault(f"{name}:{port}" if port else name, []).append(entry)
    return found


def first_match(entries: Iterable[Entry], path: str) -> Routed | None:
    """Return the route of the first entry whose prefix begins a path."""
    return next((entry.route for entry in entries if path.startswith(entry.prefix)), None)
