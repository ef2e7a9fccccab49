"""The parts of a daemon that deal with other daemons: links, members, schedulers, places."""

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
from papayacourse.types import Address


@define(eq=False, slots=False)
class Mesh:
    """What one daemon shares with the others, tied together.

    Attributes
    ----------
    hello : Hello
        Who this daemon is.
    host_list : HostList
        Where a newer host list is read.
    spawn : callable
        Runs a coroutine for as long as the daemon runs.
    reports : EngineReports
        Reads what an engine says of its load and its cache.
    strikes : int
        How many different engines a request may take down.
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

    def __attrs_post_init__(self) -> None:
        self.peers = Peers(self.hello, self.key)
        self.membership = Membership(
            self.hello, self.peers, self.catalog, self.host_list, self.seeds
        )
        self.quarantine = Quarantine(
            self.peers, lambda: self.metrics.quarantines.add(1), self.metrics.strikes.add,
            self.strikes,
        )  # fmt: skip
        self.peers.on_met = self._met
        self.gateways = Gateways(self.membership, self.peers)
        self.cell_map = CellMap(self.catalog, self.membership.host_sync)
        self.duties = Duties(self.membership, self.cell_map, self._make_scheduler)
        self.scheduling = Scheduling(self.membership, self.peers, self.duties)
        self.placement = Placement(self.membership, self.peers, self.cell_map, self.scheduling)
        self.placement.spill.loads = self.gateways.cell_loads

    def advertise(self, address: str) -> None:
        """Tell peers met from now on where this daemon listens for links."""
        self.peers.hello = evolve(self.hello, mesh=address)

    def work(self) -> Iterator[Coroutine]:
        """Yield what has to run for as long as the daemon runs."""
        yield self.peers.tend()
        yield self.membership.maintain_members()
        yield self.membership.heartbeats.run()
        yield self.membership.failure_detector.run()
        yield self.membership.catch_up()
        yield self.gateways.run()
        yield self.duties.run_maintenance()
        yield self.membership.connect_to_seeds()
        yield self.placement.report()

    def waiting(self) -> list:
        """Return the tasks that the parts have begun themselves."""
        dialling = self.membership.heartbeats.dial_tasks.values()
        return [*dialling, *self.membership.failure_detector.probes]

    def _met(self, hello: Hello) -> None:
        self.membership.handle_connected(hello)
        self.spawn(self.quarantine.send_known_strikes(hello.name))

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
