"""Finds the route that a host and path name."""

from collections.abc import Callable, Iterable
from functools import cached_property
from typing import Protocol

from attrs import frozen

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

    @cached_property
    def plain_entries(self) -> dict[str, list[Entry]]:
        """Return the routes of each host for paths with one reading, which nearly all have."""
        return by_host(self.routes, READINGS[0])

    @cached_property
    def other_entries(self) -> tuple[dict[str, list[Entry]], ...]:
        """Return the routes of each host for the other readings, made for the first such path."""
        return tuple(by_host(self.routes, reading) for reading in READINGS[1:])

    def find(self, host: str, path: str) -> Routed | None:
        """Return the route of a host with the longest prefix that begins a path, or None.

        Raises
        ------
        RequestRefused
            When servers that read the path in other ways would take it for another route's.
        """
        tables = (self.plain_entries,)
        if NEEDS_READINGS.search(path):
            tables = (*tables, *self.other_entries)
        name, port = host_and_port(host)
        found = [
            first_match(table.get(f"{name}:{port}") or table.get(name, ()), reading(path))
            for table, reading in zip(tables, READINGS, strict=False)
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
