"""Finds the route that a host and path name.

A reading is one of the ways in which servers may read a path; see the module ``spellings``.
"""

from collections.abc import Callable, Iterable
from functools import cached_property
from typing import Protocol

from attrs import frozen

from papayacourse.exceptions import RequestRefused
from papayacourse.routed.spellings import NEEDS_READINGS, READINGS, host_and_port


class MatchedRoute(Protocol):
    """What of a route is compared with a request: the host and the prefix of its path."""

    host: str
    prefix: str


@frozen
class RouteEntry:
    """A route, and its prefix in one reading of paths."""

    prefix: str
    route: MatchedRoute


@frozen
class RouteTable:
    """The routes of a settings document by host, for each reading of paths.

    Attributes
    ----------
    routes : tuple of MatchedRoute
        The routes, in the document's order.
    """

    routes: tuple[MatchedRoute, ...]

    @cached_property
    def first_entries(self) -> dict[str, list[RouteEntry]]:
        """Return the routes of each host for the first reading, which suffices for most paths."""
        return by_host(self.routes, READINGS[0])

    @cached_property
    def other_entries(self) -> tuple[dict[str, list[RouteEntry]], ...]:
        """Return the routes of each host for the other readings, computed when first needed."""
        return tuple(by_host(self.routes, reading) for reading in READINGS[1:])

    def find(self, host: str, path: str) -> MatchedRoute | None:
        """Return the route of a host with the longest prefix that begins a path, or None.

        Raises
        ------
        RequestRefused
            When the path names different routes in different readings.
        """
        tables = (self.first_entries,)
        if NEEDS_READINGS.search(path):
            tables = (*tables, *self.other_entries)
        name, port = host_and_port(host)
        # The tables are in the order of READINGS; a path with one reading needs the first alone.
        found = [
            first_match(table.get(f"{name}:{port}") or table.get(name, ()), reading(path))
            for table, reading in zip(tables, READINGS, strict=False)
        ]
        if any(route is not found[0] for route in found):
            raise RequestRefused(
                400, "ambiguous_path", "its escapes or dot segments may name another route"
            )
        return found[0]


def by_host(
    routes: Iterable[MatchedRoute], reading: Callable[[str], str]
) -> dict[str, list[RouteEntry]]:
    """Return the routes of each host, those with the longest prefixes first."""
    found: dict[str, list[RouteEntry]] = {}
    entries = [RouteEntry(reading(route.prefix), route) for route in routes]
    for entry in sorted(entries, key=lambda entry: -len(entry.prefix)):
        name, port = host_and_port(entry.route.host)
        found.setdefault(f"{name}:{port}" if port else name, []).append(entry)
    return found


def first_match(entries: Iterable[RouteEntry], path: str) -> MatchedRoute | None:
    """Return the route of the first entry whose prefix begins a path."""
    return next((entry.route for entry in entries if path.startswith(entry.prefix)), None)
