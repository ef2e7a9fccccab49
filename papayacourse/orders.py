"""Orders engines to load the models of their deployments; one lease holder does this."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

from papayacourse import engines, invariants, logs
from papayacourse.enginereader import EngineReader
from papayacourse.engines import EngineState, Order
from papayacourse.exceptions import BackendError, BackendRefused, PeerError, PlatformError
from papayacourse.leases import Lease
from papayacourse.membership import Membership
from papayacourse.targets import Target, Targets
from papayacourse.tasks import cancel_all

DUTY = "orders"
LEASE_KEY = "/duties/orders"
ROUND_INTERVAL = 1.0  # seconds between checks of what engines have loaded
CANDIDATE_INTERVAL = 2.0  # seconds between attempts to acquire the duty
MAX_PAUSE = 4.0  # seconds; a holder paused up to this long may still send its order
ORDER_MARGIN = 1.0  # seconds of the lease that remain after an order times out
ENGINES_PER_CHANGE = 5  # one in this many engines of a deployment may change at once
MAX_CHANGING_PER_DOMAIN = 8  # engines of a failure domain that may change at once
DRAIN_TIME = 5.0  # seconds without new work for an engine after each drain request
SETTLE_TIME = 2.0  # seconds for a stream granted before the drain to reach its engine

Drain = Callable[[str, str, str, str, float], Awaitable[None]]


def log_failure(task: asyncio.Task) -> None:
    """Log the exception that ended the check of a domain; the next round starts a new one."""
    if not task.cancelled() and task.exception() is not None:
        logs.failure("engine check failed", task.exception())


@define
class WeightBudget:
    """Limits the rate of fetches from the weight store.

    Attributes
    ----------
    rate : float
        Fetches per second.
    next_at : float
        Clock time in seconds at which the next fetch may start.
    """

    rate: float
    clock: Callable[[], float] = time.monotonic
    next_at: float = float("-inf")

    def reset(self) -> None:
        """Wait a full interval, since a previous holder may have fetched just now."""
        self.next_at = self.clock() + 1.0 / self.rate

    def take(self) -> bool:
        """Reserve one fetch; return False if the rate does not allow it yet."""
        now = self.clock()
        if now < self.next_at:
            return False
        self.next_at = now + 1.0 / self.rate
        return True


@define(eq=False)
class Orders:
    """Reconciles engines with their deployments while this daemon holds the lease.

    Attributes
    ----------
    reader : EngineReader
        Asks each domain's reader for mismatched engines.
    drain : callable
        Asks the scheduler of (domain, team, service) to drain an engine for some seconds.
    acquired_at : float
        Clock time in seconds at which this daemon acquired the lease.
    changing : dict of str to float
        The engines being drained or loaded, with the start time of each.
    drained_at : dict of str to float
        The time of the last accepted drain request for each of these engines.
    """

    lease: Lease
    targets: Targets
    membership: Membership
    reader: EngineReader
    budget: WeightBudget
    drain: Drain
    clock: Callable[[], float] = time.monotonic
    acquired_at: float = 0.0
    changing: dict[str, float] = field(factory=dict)
    drained_at: dict[str, float] = field(factory=dict)

    # Queries.

    def may_change(self, target: Target) -> bool:
        """Return True if an engine is changing or may be taken out of service now."""
        if target.host.name in self.changing:
            return True
        found = self.targets.by_name()
        changing = [found[name] for name in self.changing if name in found]
        deployment = (target.team, target.name)
        same_deployment = sum(1 for other in changing if (other.team, other.name) == deployment)
        same_domain = sum(1 for other in changing if other.host.domain == target.host.domain)
        allowed = max(1, self.targets.sizes[deployment] // ENGINES_PER_CHANGE)
        return same_deployment < allowed and same_domain < MAX_CHANGING_PER_DOMAIN

    def may_order(self, target: Target) -> bool:
        """Return True if the lease lasts long enough for an order.

        An engine that does not check fencing tokens would obey a previous holder that resumes
        late, so it gets no order until the longest pause of that holder has passed.
        """
        if not self.lease.holds(engines.ORDER_TIMEOUT + ORDER_MARGIN):
            return False
        waited = self.clock() - self.acquired_at
        return target.deployment.checks_fencing or waited >= MAX_PAUSE + engines.ORDER_TIMEOUT

    # Commands.

    async def run(self) -> None:
        """Acquire the lease whenever it is free and this daemon owns the duty; never returns."""
        while True:
            try:
                if self.membership.owns(DUTY) and await self.lease.acquire():
                    await self._run_as_holder()
            except PlatformError as error:
                logs.debug("orders duty not taken", why=str(error))
            await asyncio.sleep(CANDIDATE_INTERVAL)

    async def _run_as_holder(self) -> None:
        self.acquired_at = self.clock()
        self.budget.reset()
        self.changing.clear()
        self.drained_at.clear()
        keeper = asyncio.create_task(self.lease.renew_until_lost())
        checks: dict[str, asyncio.Task] = {}
        try:
            while self.lease.holds() and self.membership.takes_duties():
                self._check_domains(checks)
                await asyncio.sleep(ROUND_INTERVAL)
            # Orders already sent complete while the lease is still valid.
            await asyncio.gather(*checks.values(), return_exceptions=True)
        finally:
            await cancel_all([keeper, *checks.values()])
            await self.lease.release()

    def _check_domains(self, checks: dict[str, asyncio.Task]) -> None:
        """Check each domain whose last check has ended, so that a silent one delays no other."""
        found = self.targets.by_name()
        for name in self.changing.keys() - found.keys():
            self._forget_change(name)
        for domain in self.targets.by_domain():
            if domain not in checks or checks[domain].done():
                checks[domain] = asyncio.create_task(self._check_domain(domain))
                checks[domain].add_done_callback(log_failure)

    async def _check_domain(self, domain: str) -> None:
        """Ask a domain's reader for mismatched engines and reconcile them."""
        reported = await self.reader.ask(domain)
        targets = self.targets.in_domain(domain)
        if reported is None:
            # The domain is unreachable. Its drains expire, so its engines continue unchanged, and
            # they must not use up the limit on changing engines of other domains.
            for name in targets:
                self._forget_change(name)
            return
        changing = [targets[name] for name in self.changing if name in targets]
        new_targets = [targets[n] for n in reported if n in targets and n not in self.changing]
        candidates = [target for target in new_targets if self.may_change(target)]
        await asyncio.gather(
            *map(self._check_engine, changing + candidates[:MAX_CHANGING_PER_DOMAIN])
        )

    async def _check_engine(self, target: Target) -> None:
        """Read the engine's state, since the reader's report may be stale, and act on it."""
        state = await self._state(target)
        if state is None:
            self._forget_change(target.host.name)
        elif state.loaded == target.load_spec:
            await self._return_to_service(target)
        elif self.may_change(target):
            await self._reconcile(target, state)

    def _forget_change(self, name: str) -> None:
        self.changing.pop(name, None)
        self.drained_at.pop(name, None)

    async def _state(self, target: Target) -> EngineState | None:
        try:
            return await engines.engine_state(target.host.address)
        except BackendError as error:
            logs.debug("engine state not read", engine=target.host.name, why=str(error))
            return None

    async def _return_to_service(self, target: Target) -> None:
        """End the drain of a changed engine before the next one is drained."""
        if target.host.name in self.changing:
            self._forget_change(target.host.name)
            await self._drain(target, 0.0)

    async def _drain(self, target: Target, seconds: float) -> bool:
        domain, service = target.host.domain, target.deployment.service
        try:
            await self.drain(domain, target.team, service, target.host.name, seconds)
        except PeerError as error:
            logs.warning("engine not drained", engine=target.host.name, why=str(error))
            return False
        return True

    async def _keep_drained(self, target: Target) -> bool:
        """Renew the drain of an engine after half its duration."""
        name, now = target.host.name, self.clock()
        if now - self.drained_at.get(name, float("-inf")) < DRAIN_TIME / 2:
            return True
        drained = await self._drain(target, DRAIN_TIME)
        if drained:
            self.drained_at[name] = now
        return drained

    async def _reconcile(self, target: Target, state: EngineState) -> None:
        """Drain an engine, then order it to load its target."""
        since = self.changing.setdefault(target.host.name, self.clock())
        if not await self._keep_drained(target):
            return
        settled = self.clock() - since >= SETTLE_TIME
        if state.running or not settled or not self.may_order(target):
            return
        if target.load_spec.weights not in state.weights and not self.budget.take():
            return
        if await self._confirm_lease():
            await self._order(target)

    async def _confirm_lease(self) -> bool:
        try:
            return await self.lease.is_mine()
        except PlatformError as error:
            logs.warning("lease not confirmed", why=str(error))
            return False

    async def _order(self, target: Target) -> None:
        if not self.may_order(target):
            return
        invariants.check(self.lease.holds(), "order_under_lease", engine=target.host.name)
        order = Order(self.lease.fence, target.load_spec)
        try:
            loaded = await engines.order(target.host.address, order)
            logs.info("engine ordered", engine=target.host.name, fence=order.fence)
        except BackendRefused as error:
            logs.warning("order refused", engine=target.host.name, why=str(error))
            return
        except BackendError as error:
            # The engine may have executed it; the next round reads its state.
            logs.warning("order not answered", engine=target.host.name, why=str(error))
            return
        if loaded != target.load_spec:
            logs.warning("engine loaded another model than ordered", engine=target.host.name)
