"""Orders engines to load what their deployments say, from the holder of one lease."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field, frozen

from papayacourse import engines, invariants, logs
from papayacourse.catalog import Catalog
from papayacourse.enginelist import permitted
from papayacourse.engines import EngineState, Order, Wanted
from papayacourse.exceptions import BackendError, BackendRefused, PeerError, PlatformError
from papayacourse.leases import Lease
from papayacourse.membership import Membership
from papayacourse.settings import DeploymentSettings
from papayacourse.types import Host, HostKind

DUTY = "orders"
LEASE_KEY = "/duties/orders"
ROUND_INTERVAL = 1.0  # seconds between looks at what engines have loaded
CANDIDATE_INTERVAL = 2.0  # seconds between tries to take the duty
MAX_PAUSE = 4.0  # seconds; the longest a holder may be paused and still send its order
ORDER_MARGIN = 1.0  # seconds of the lease left once an order has timed out
CHANGED_AT_ONCE = 5  # one in so many engines of a deployment may be changing
DRAIN_TIME = 5.0  # seconds that an engine gets no new work after each drain note
SETTLE_TIME = 2.0  # seconds in which a stream granted before the drain note reaches its engine

Drain = Callable[[str, str, str, str, float], Awaitable[None]]


@frozen
class Target:
    """An engine and what its deployment wants on it."""

    team: str
    name: str
    host: Host
    deployment: DeploymentSettings

    @property
    def wanted(self) -> Wanted:
        """Return what the engine must have loaded."""
        deployment = self.deployment
        return Wanted(deployment.model, deployment.adapter, deployment.version, deployment.role)


@define
class WeightBudget:
    """Spaces fetches from the weight store so that its rate is never exceeded.

    Attributes
    ----------
    rate : float
        Fetches per second.
    next_at : float
        When the next one may start, in seconds of the clock.
    """

    rate: float
    clock: Callable[[], float] = time.monotonic
    next_at: float = float("-inf")

    def start_anew(self) -> None:
        """Assume that another holder has fetched just now."""
        self.next_at = self.clock() + 1.0 / self.rate

    def take(self) -> bool:
        """Take the right to one fetch, if there is one now."""
        now = self.clock()
        if now < self.next_at:
            return False
        self.next_at = now + 1.0 / self.rate
        return True


@define(eq=False)
class Orders:
    """Brings engines in line with their deployments, while this daemon holds the lease.

    Attributes
    ----------
    drain : callable
        Asks the scheduler of (domain, team, service) to give an engine no new work for a time.
    taken_at : float
        When this daemon took the duty, in seconds of the clock.
    changing : dict of str to float
        The engines being emptied or loaded, and since when.
    """

    lease: Lease
    catalog: Catalog
    membership: Membership
    budget: WeightBudget
    drain: Drain
    clock: Callable[[], float] = time.monotonic
    taken_at: float = 0.0
    changing: dict[str, float] = field(factory=dict)

    # Queries.

    def targets(self) -> Iterator[Target]:
        """Yield every engine whose deployment says what it must have loaded."""
        hosts = list(self.membership.backends(HostKind.ENGINE))
        seen: set[str] = set()
        for team, name, deployment in self.catalog.all_deployments():
            if not deployment.model:
                continue
            for host in hosts:
                if host.name not in seen and permitted(host, deployment):
                    seen.add(host.name)
                    yield Target(team, name, host, deployment)

    def may_change(self, target: Target, targets: list[Target]) -> bool:
        """Tell whether one more engine of a deployment may be taken out of service."""
        if target.host.name in self.changing:
            return True
        mates = [t for t in targets if (t.team, t.name) == (target.team, target.name)]
        busy = sum(1 for mate in mates if mate.host.name in self.changing)
        return busy < max(1, len(mates) // CHANGED_AT_ONCE)

    def may_order(self, target: Target) -> bool:
        """Tell whether this daemon's lease lasts long enough for an order.

        An engine that ignores fencing numbers would obey a previous holder that wakes late, so
        it gets no order until that holder has had its longest pause.
        """
        if not self.lease.holds(engines.ORDER_TIMEOUT + ORDER_MARGIN):
            return False
        waited = self.clock() - self.taken_at
        return target.deployment.checks_fencing or waited >= MAX_PAUSE + engines.ORDER_TIMEOUT

    # Commands.

    async def run(self) -> None:
        """Take the duty whenever it is free and this daemon should have it; for ever."""
        while True:
            try:
                if self.membership.owns(DUTY) and await self.lease.acquire():
                    await self._hold()
            except PlatformError as error:
                logs.debug("orders duty not taken", why=str(error))
            await asyncio.sleep(CANDIDATE_INTERVAL)

    async def _hold(self) -> None:
        self.taken_at = self.clock()
        self.budget.start_anew()
        self.changing.clear()
        keeper = asyncio.create_task(self.lease.keep())
        try:
            while self.lease.holds() and self.membership.takes_duties():
                await self.look()
                await asyncio.sleep(ROUND_INTERVAL)
        finally:
            keeper.cancel()
            await asyncio.gather(keeper, return_exceptions=True)
            await self.lease.release()

    async def look(self) -> None:
        """Look at every engine once, and order what is missing."""
        targets = list(self.targets())
        states = await asyncio.gather(*(self._state(target) for target in targets))
        for target, state in zip(targets, states, strict=True):
            if state is None:
                self.changing.pop(target.host.name, None)
            elif state.loaded == target.wanted:
                await self._back_in_service(target)
            elif self.may_change(target, targets):
                await self._bring_in_line(target, state)

    async def _state(self, target: Target) -> EngineState | None:
        try:
            return await engines.engine_state(target.host.address)
        except BackendError as error:
            logs.debug("engine state not read", engine=target.host.name, why=str(error))
            return None

    async def _back_in_service(self, target: Target) -> None:
        """Let an engine that has been changed get work again, before the next one is emptied."""
        if self.changing.pop(target.host.name, None) is not None:
            await self._drain(target, 0.0)

    async def _drain(self, target: Target, seconds: float) -> bool:
        domain, service = target.host.domain, target.deployment.service
        try:
            await self.drain(domain, target.team, service, target.host.name, seconds)
        except PeerError as error:
            logs.warning("engine not drained", engine=target.host.name, why=str(error))
            return False
        return True

    async def _bring_in_line(self, target: Target, state: EngineState) -> None:
        """Empty an engine of streams, then order it to load what is wanted."""
        since = self.changing.setdefault(target.host.name, self.clock())
        if not await self._drain(target, DRAIN_TIME):
            return
        settled = self.clock() - since >= SETTLE_TIME
        if state.running or not settled or not self.may_order(target):
            return
        if target.wanted.weights not in state.weights and not self.budget.take():
            return
        if await self._is_still_mine():
            await self._order(target)

    async def _is_still_mine(self) -> bool:
        try:
            return await self.lease.is_mine()
        except PlatformError as error:
            logs.warning("lease not confirmed", why=str(error))
            return False

    async def _order(self, target: Target) -> None:
        if not self.may_order(target):
            return
        invariants.check(self.lease.holds(), "order_under_lease", engine=target.host.name)
        order = Order(self.lease.fence, target.wanted)
        try:
            loaded = await engines.order(target.host.address, order)
            logs.info("engine ordered", engine=target.host.name, fence=order.fence)
        except BackendRefused as error:
            logs.warning("order refused", engine=target.host.name, why=str(error))
            return
        except BackendError as error:
            # It may have been obeyed; the next round reads the engine's state back.
            logs.warning("order not answered", engine=target.host.name, why=str(error))
            return
        if loaded != target.wanted:
            logs.warning("engine holds something else", engine=target.host.name)
