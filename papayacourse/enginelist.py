"""The engines of one cell in this failure domain, and the streams promised to each."""

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
from papayacourse.policies import ENGINE_CHOICES, POLICIES
from papayacourse.prefixes import PrefixIndex
from papayacourse.settings import DeploymentSettings
from papayacourse.types import Host, HostKind, HostState

LEARNING_TIME = 2.0  # seconds in which a new scheduler hears of the streams there are
LEARNING_SHARE = 0.5  # part of each engine that it gives out meanwhile


def permitted(host: Host, deployment: DeploymentSettings) -> bool:
    """Tell whether a deployment may use a backend server and it may get new work."""
    named = any(fnmatchcase(host.name, pattern) for pattern in deployment.backends)
    leaving = any(fnmatchcase(host.name, pattern) for pattern in deployment.leaving)
    return named and not leaving and host.state == HostState.LIVE


@define(eq=False, slots=False)
class EngineList:
    """The engines that the settings and the host list give to one cell of a service.

    Attributes
    ----------
    ledgers : dict of str to EngineLedger
        By engine name.
    reporting_daemons : set of str
        The daemons that have said which streams they relay.
    drained_until : dict of str to float
        The engines that get no new work for a time, in seconds of the clock.
    refreshed_with : tuple or None
        The settings' digest and the host list's age at the last refresh.
    cells : int
        How many cells the service had at the last refresh.
    """

    cell: Cell
    catalog: Catalog
    membership: Membership
    cell_map: CellMap
    clock: Callable[[], float] = time.monotonic
    ledgers: dict[str, EngineLedger] = field(factory=dict)
    prefixes: PrefixIndex = field(factory=PrefixIndex)
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
        """Return the engines that may get work, except those to avoid."""
        return [led for led in self.ledgers.values() if led.usable and led.name not in avoid]

    def is_behind(self) -> bool:
        """Tell whether the settings or the host list have changed since the last refresh."""
        return self.refreshed_with != self.cell_map.sources()

    def find(self, stream: str) -> EngineLedger | None:
        """Return the engine that a stream has been granted."""
        return next((led for led in self.ledgers.values() if stream in led.streams), None)

    def running(self) -> int:
        """Return how many streams the engines run."""
        return sum(len(ledger.streams) for ledger in self.ledgers.values())

    def learning(self) -> bool:
        """Tell whether streams may be running that this scheduler has not heard of yet."""
        if self.clock() - self.started >= LEARNING_TIME:
            return False
        return not self.reporting_daemons.issuperset(self.membership.live())

    def is_owner(self) -> bool:
        """Tell whether this daemon has the duty, and does not only stand in for another."""
        return self.membership.owns(self.cell.duty)

    def is_here(self, engine: str) -> bool:
        """Tell whether an engine belongs to this cell, and not to another one by now."""
        me, cell = self.membership.me, self.cell
        return self.cell_map.of_engine(me.domain, cell.team, cell.service, engine) == cell

    def part(self) -> float:
        """Return the part of each engine that this scheduler may give out."""
        if not self.is_owner():
            # It stands in for a scheduler that does not answer, and others may do so as well.
            return 1 / max(1, len(self.membership.live()))
        return LEARNING_SHARE if self.learning() else 1.0

    def share(self, account: str) -> float:
        """Return an account's weight."""
        settings = self.catalog.account(self.cell.team, account)
        return settings.share if settings else 1.0

    # Commands.

    def drain(self, engine: str, seconds: float) -> None:
        """Give an engine no new work for a time."""
        self.drained_until[engine] = self.clock() + seconds
        self.refresh()

    def refresh(self) -> None:
        """Bring the list of engines in line with the settings and the host list."""
        self.refreshed_with = self.cell_map.sources()
        self._take_layout()
        wanted = self._wanted()
        for name, ledger in self.ledgers.items():
            stays = self.clock() >= self.drained_until.get(name, 0.0)
            ledger.usable = name in wanted and stays and self.watch.answers(name)
        for name, (host, deployment) in wanted.items():
            self._take_engine(name, host, deployment)
        for name in [n for n, led in self.ledgers.items() if n not in wanted and not led.streams]:
            del self.ledgers[name]
        self.watch.keep(self.ledgers)
        self.prefixes.retain_engines(self.ledgers)

    def _take_layout(self) -> None:
        """Begin to learn anew when engines may have come from another cell with their streams."""
        me, cell = self.membership.me, self.cell
        cells = len(self.cell_map.layout(me.domain, cell.team, cell.service).memory)
        if self.cells and self.cells != cells:
            self.started = self.clock()
            self.reporting_daemons.clear()
        self.cells = cells

    def _wanted(self) -> dict[str, tuple[Host, DeploymentSettings]]:
        """Return the engines of this cell that may get work, and what deploys each."""
        wanted: dict[str, tuple[Host, DeploymentSettings]] = {}
        domain = self.membership.me.domain
        for deployment in self.catalog.deployments(self.cell.team, self.cell.service):
            for host in self.membership.backends(HostKind.ENGINE):
                here = host.domain == domain and permitted(host, deployment)
                if here and self.is_here(host.name):
                    wanted.setdefault(host.name, (host, deployment))
        return wanted

    def _take_engine(self, name: str, host: Host, deployment: DeploymentSettings) -> None:
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
        ledger.share = self.part()

    def add_stream(self, ledger: EngineLedger, stream: Stream) -> None:
        """Put a stream on an engine's ledger, and on no other."""
        name = stream.generation.stream
        found = self.find(name)
        if found is not None:
            remove_stream(found, name)
        add_stream(ledger, stream)
        held = sum(name in other.streams for other in self.ledgers.values())
        invariants.check(held == 1, "a stream is on one ledger", stream=name, ledgers=held)
        invariants.check(ledger.tokens >= 0, "promised memory is not negative", engine=ledger.name)
