"""The parts of a daemon that work with other daemons: links, members, schedulers, placement."""

from collections.abc import Callable, Coroutine, Iterator

from attrs import define, evolve, field

from papayacourse.catalog import Catalog
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell
from papayacourse.duties import Duties
from papayacourse.enginewatch import EngineReports
from papayacourse.gateways import Gateways
from papayacourse.hostlist import HostList
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.metrics import Metrics
from papayacourse.peers import Peers
from papayacourse.placement import Placement
from papayacourse.quarantine import STRIKE_LIMIT, Quarantine
from papayacourse.scheduler import Scheduler
from papayacourse.scheduling import Scheduling
from papayacourse.tasks import Loop
from papayacourse.types import Address


async def do_nothing(_daemon: str) -> None:
    """Do nothing when a link has opened; the default."""


@define(eq=False, slots=False)
class Mesh:
    """Builds and connects the parts of one daemon that work with other daemons.

    Attributes
    ----------
    hello : Hello
        The identity of this daemon.
    host_list : HostList
        Fetches newer versions of the host list.
    spawn : callable
        Runs a coroutine for as long as the daemon runs.
    reports : EngineReports
        Reads the load and cache reports of engines.
    strikes : int
        The number of different engines that a request may crash before it is quarantined.
    on_linked : callable
        Runs with a daemon's name whenever a link to it has opened.
    """

    hello: Hello
    key: str
    seeds: tuple[Address, ...]
    catalog: Catalog
    host_list: HostList
    metrics: Metrics
    spawn: Callable[[Coroutine], object]
    reports: EngineReports = field(factory=EngineReports)
    strikes: int = STRIKE_LIMIT
    on_linked: Callable[[str], Coroutine] = do_nothing

    def __attrs_post_init__(self) -> None:
        self.peers = Peers(self.hello, self.key)
        self.membership = Membership(
            self.hello, self.peers, self.catalog, self.host_list, self.seeds
        )
        self.quarantine = Quarantine(
            self.peers, lambda: self.metrics.quarantines.add(1), self.metrics.strikes.add,
            self.strikes,
        )  # fmt: skip
        self.peers.on_connected = self._on_connected
        self.gateways = Gateways(self.membership, self.peers)
        self.cell_map = CellMap(self.catalog, self.membership.host_sync)
        self.duties = Duties(self.membership, self.cell_map, self._make_scheduler)
        self.scheduling = Scheduling(self.membership, self.peers, self.duties)
        self.placement = Placement(self.membership, self.peers, self.cell_map, self.scheduling)
        self.placement.spill.loads = self.gateways.cell_loads

    def advertise(self, address: str) -> None:
        """Set the mesh address that new links announce."""
        self.peers.hello = evolve(self.hello, mesh=address)

    def loops(self) -> Iterator[Loop]:
        """Yield the loops that run for the lifetime of the daemon."""
        yield self.peers.close_silent_links
        yield self.membership.maintain_members
        yield self.membership.heartbeats.run
        yield self.membership.failure_detector.run
        yield self.membership.catch_up
        yield self.gateways.run
        yield self.duties.run_maintenance
        yield self.membership.connect_to_seeds
        yield self.placement.report

    def waiting(self) -> list:
        """Return the tasks that the parts have started themselves."""
        tasks = self.membership.heartbeats.dial_tasks.values()
        return [*tasks, *self.membership.failure_detector.probes]

    def _on_connected(self, hello: Hello) -> None:
        self.membership.handle_connected(hello)
        self.spawn(self.quarantine.send_known_strikes(hello.name))
        self.spawn(self.on_linked(hello.name))

    def _make_scheduler(self, cell: Cell) -> Scheduler:
        scheduler = Scheduler(
            cell, self.catalog, self.membership, self.cell_map, self.scheduling.send_answer
        )
        scheduler.grant_queue.copies.is_suspect = self.quarantine.is_suspect
        scheduler.grant_queue.copies.was_struck_recently = self.quarantine.was_struck_recently
        scheduler.grant_queue.check_quarantine = self.quarantine.check
        scheduler.watch.reports = self.reports
        attributes = {"team": cell.team, "service": cell.service}
        scheduler.watch.count = lambda engine, number: self.metrics.preemptions.add(
            number, attributes | {"engine": engine}
        )
        return scheduler
