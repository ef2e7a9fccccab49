"""The engines of one cell in this failure domain and the streams granted to each."""

import time
from collections.abc import Callable
from fnmatch import fnmatchcase

from attrs import define, field

from papayacourse import invariants
from papayacourse.catalog import Catalog
from papayacourse.cellmap import CellMap, Sources
from papayacourse.cells import Cell
from papayacourse.enginewatch import EngineWatch
from papayacourse.ledger import EngineLedger, Stream, add_stream, remove_stream
from papayacourse.membership import Membership
from papayacourse.pace import Paces
from papayacourse.policies import ENGINE_CHOICES, POLICIES
from papayacourse.prefixes import PrefixIndex
from papayacourse.settings import DeploymentSettings
from papayacourse.types import Host, HostKind, HostState

LEARNING_PERIOD_SECONDS = 2.0  # time for daemons to report running streams to a new scheduler
LEARNING_CAPACITY_SHARE = 0.5  # share of each engine granted during the learning period


def is_eligible(host: Host, deployment: DeploymentSettings) -> bool:
    """Return True if a deployment may send new work to a backend server."""
    named = any(fnmatchcase(host.name, pattern) for pattern in deployment.backends)
    leaving = any(fnmatchcase(host.name, pattern) for pattern in deployment.leaving)
    return named and not leaving and host.state == HostState.LIVE


@define(eq=False, slots=False)
class EngineList:
    """The engines that settings and host list assign to one cell of a service.

    Attributes
    ----------
    ledgers : dict of str to EngineLedger
        Keyed by engine name.
    reporting_daemons : set of str
        Daemons that have reported the streams they relay.
    drained_until : dict of str to float
        Clock time in seconds until which each draining engine gets no new work.
    refreshed_with : tuple or None
        The settings' digest and the host list's epoch and version at the last refresh.
    cells : int
        Number of cells of the service at the last refresh.
    """

    cell: Cell
    catalog: Catalog
    membership: Membership
    cell_map: CellMap
    clock: Callable[[], float] = time.monotonic
    ledgers: dict[str, EngineLedger] = field(factory=dict)
    prefixes: PrefixIndex = field(factory=PrefixIndex)
    paces: Paces = field(factory=Paces)
    reporting_daemons: set[str] = field(factory=set)
    drained_until: dict[str, float] = field(factory=dict)
    started: float = 0.0
    refreshed_with: Sources | None = None
    cells: int = 0

    def __attrs_post_init__(self) -> None:
        self.started = self.clock()
        self.watch = EngineWatch(self.prefixes, self.clock)
        self.refresh()

    # Queries.

    def usable(self, avoid: tuple[str, ...]) -> list[EngineLedger]:
        """Return the usable engines except those to avoid."""
        return [led for led in self.ledgers.values() if led.usable and led.name not in avoid]

    def is_stale(self) -> bool:
        """Return True if settings or host list changed since the last refresh."""
        return self.refreshed_with != self.cell_map.sources()

    def find(self, stream: str) -> EngineLedger | None:
        """Return the ledger of the engine granted to a stream, or None."""
        return next((led for led in self.ledgers.values() if stream in led.streams), None)

    def running(self) -> int:
        """Return the number of streams on all engines."""
        return sum(len(ledger.streams) for ledger in self.ledgers.values())

    def is_learning(self) -> bool:
        """Return True if streams may be running that nobody has reported to this scheduler yet."""
        if self.clock() - self.started >= LEARNING_PERIOD_SECONDS:
            return False
        return not self.reporting_daemons.issuperset(self.membership.live())

    def is_owner(self) -> bool:
        """Return True if this daemon owns the duty, rather than replacing an owner."""
        return self.membership.owns(self.cell.duty)

    def owns_engine(self, engine: str) -> bool:
        """Return True if an engine is currently assigned to this cell."""
        me, cell = self.membership.me, self.cell
        return self.cell_map.of_engine(me.domain, cell.team, cell.service, engine) == cell

    def capacity_share(self) -> float:
        """Return the share of each engine that this scheduler may grant."""
        if not self.is_owner():
            # The owner does not answer; several daemons may replace it at the same time.
            return 1 / max(1, len(self.membership.live()))
        return LEARNING_CAPACITY_SHARE if self.is_learning() else 1.0

    def share(self, account: str) -> float:
        """Return the fair-share weight of an account."""
        settings = self.catalog.account(self.cell.team, account)
        return settings.share if settings else 1.0

    # Commands.

    def drain(self, engine: str, seconds: float) -> None:
        """Stop giving new work to an engine for a number of seconds."""
        self.drained_until[engine] = self.clock() + seconds
        self.refresh()

    def refresh(self) -> None:
        """Update the engines from the settings and the host list."""
        self.refreshed_with = self.cell_map.sources()
        self._update_cell_count()
        eligible = self._eligible_engines()
        for name, ledger in self.ledgers.items():
            stays = self.clock() >= self.drained_until.get(name, 0.0)
            ledger.usable = name in eligible and stays and self.watch.is_available(name)
        for name, (host, deployment) in eligible.items():
            self._update_engine(name, host, deployment)
        for name in [n for n, led in self.ledgers.items() if n not in eligible and not led.streams]:
            del self.ledgers[name]
        self.watch.retain_engines(self.ledgers)
        self.prefixes.retain_engines(self.ledgers)
        self.paces.retain_engines(self.ledgers)

    def _update_cell_count(self) -> None:
        """Restart the learning period if the number of cells has changed.

        Engines may then have moved here from another cell with their streams.
        """
        me, cell = self.membership.me, self.cell
        cells = len(self.cell_map.layout(me.domain, cell.team, cell.service).memory)
        if self.cells and self.cells != cells:
            self.started = self.clock()
            self.reporting_daemons.clear()
        self.cells = cells

    def _eligible_engines(self) -> dict[str, tuple[Host, DeploymentSettings]]:
        """Return the eligible engines of this cell with the host and deployment of each."""
        eligible: dict[str, tuple[Host, DeploymentSettings]] = {}
        domain = self.membership.me.domain
        for deployment in self.catalog.deployments(self.cell.team, self.cell.service):
            for host in self.membership.backends(HostKind.ENGINE):
                here = host.domain == domain and is_eligible(host, deployment)
                if here and self.owns_engine(host.name):
                    eligible.setdefault(host.name, (host, deployment))
        return eligible

    def _update_engine(self, name: str, host: Host, deployment: DeploymentSettings) -> None:
        ledger = self.ledgers.get(name)
        if ledger is None:
            ledger = EngineLedger(name, host.address, 0, 0, 0.0, POLICIES[deployment.policy])
            self.ledgers[name] = ledger
        ledger.address = host.address
        ledger.memory_tokens = deployment.memory_tokens
        ledger.max_batch = deployment.max_batch
        ledger.margin = deployment.memory_margin
        ledger.policy = POLICIES[deployment.policy]
        ledger.decode_batch = deployment.decode_batch
        ledger.prompt_wait = deployment.prompt_wait
        ledger.spread = deployment.memory_spread
        ledger.affinity_bound = deployment.affinity_bound
        ledger.by_template = deployment.length_templates
        ledger.choice = ENGINE_CHOICES[deployment.engine_choice]
        ledger.share = self.capacity_share()

    def add_stream(self, ledger: EngineLedger, stream: Stream) -> None:
        """Move a stream to an engine's ledger, removing it from any other."""
        name = stream.generation.stream
        found = self.find(name)
        if found is not None:
            remove_stream(found, name)
        add_stream(ledger, stream)
        held = sum(name in other.streams for other in self.ledgers.values())
        invariants.check(held == 1, "a stream is on one ledger", stream=name, ledgers=held)
        invariants.check(ledger.tokens >= 0, "promised memory is not negative", engine=ledger.name)
