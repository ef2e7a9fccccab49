"""Maps each engine to its cell, from the settings and the host list."""

from collections.abc import Iterator
from fnmatch import fnmatchcase

from attrs import define, field

from papayacourse.catalog import Catalog
from papayacourse.cells import Cell, Layout, cell_of, divide
from papayacourse.hostsync import HostSync
from papayacourse.settings import CELL_ENGINES
from papayacourse.types import HostKind

Sources = tuple[int, tuple[int, int]]


@define(eq=False)
class CellMap:
    """The cells of every service in every failure domain.

    Daemons whose host lists or settings differ may see different cells for a moment. This is
    harmless: a scheduler learns of streams from the daemons that relay them.

    Attributes
    ----------
    built_from : tuple or None
        The settings' digest and the host list's epoch and version that the layouts were built from.
    layouts : dict of (str, str, str) to Layout
        By domain, team and service: the layouts computed so far.
    """

    catalog: Catalog
    host_sync: HostSync
    built_from: Sources | None = None
    layouts: dict[tuple[str, str, str], Layout] = field(factory=dict)

    # Queries.

    def sources(self) -> Sources:
        """Return the settings' digest and the host list's epoch and version."""
        return self.catalog.digest, self.host_sync.listing.epoch_version

    def layout(self, domain: str, team: str, service: str) -> Layout:
        """Return the current layout of a service in a domain."""
        if self.built_from != self.sources():
            self.built_from, self.layouts = self.sources(), {}
        key = (domain, team, service)
        if key not in self.layouts:
            settings = self.catalog.service(team, service)
            size = settings.cell_engines if settings else CELL_ENGINES
            self.layouts[key] = divide(self._memory(*key), size)
        return self.layouts[key]

    def of_engine(self, domain: str, team: str, service: str, engine: str) -> Cell:
        """Return the cell of an engine, even if it is no longer listed."""
        layout = self.layout(domain, team, service)
        number = layout.cells.get(engine)
        if number is None:
            number = cell_of(engine, len(layout.memory))
        return Cell(team, service, number)

    def cells(self, domain: str) -> Iterator[Cell]:
        """Yield the cells of every model service in a domain."""
        for team, service in self.catalog.model_services():
            for number in self.layout(domain, team, service).memory:
                yield Cell(team, service, number)

    def has(self, domain: str, cell: Cell) -> bool:
        """Return True if a domain has a cell; it always has cell 0 of each service."""
        return cell.number in self.layout(domain, cell.team, cell.service).memory

    def _memory(self, domain: str, team: str, service: str) -> dict[str, int]:
        """Return the memory of each engine that a deployment names, including leaving ones."""
        found: dict[str, int] = {}
        hosts = [
            host.name
            for host in self.host_sync.listing.hosts
            if host.kind == HostKind.ENGINE and host.domain == domain
        ]
        for deployment in self.catalog.deployments(team, service):
            for name in hosts:
                if any(fnmatchcase(name, pattern) for pattern in deployment.backends):
                    found.setdefault(name, deployment.memory_tokens)
        return found
