"""Orders engines to load what their deployments say, from the holder of one lease."""

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
ROUND_INTERVAL = 1.0  # seconds between looks at what engines have loaded
CANDIDATE_INTERVAL = 2.0  # seconds between tries to take the duty
MAX_PAUSE = 4.0  # seconds; the longest a holder may be paused and still send its order
ORDER_MARGIN = 1.0  # seconds of the lease left once an order has timed out
CHANGED_AT_ONCE = 5  # one in so many engines of a deployment may be changing
CHANGED_IN_DOMAIN = 8  # engines of one failure domain that may be changing
DRAIN_TIME = 5.0  # seconds that an engine gets no new work after each drain note
SETTLE_TIME = 2.0  # seconds in which a stream granted before the drain note reaches its engine

Drain = Callable[[str, str, str, str, float], Awaitable[None]]


def log_failure(task: asyncio.Task) -> None:
    """Log what ended a look at a domain; the next one begins anew."""
    if not task.cancelled() and task.exception() is not None:
        logs.failure("look at engines failed", task.exception())


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
    reader : EngineReader
        Asks each domain's reader which engines are out of line.
    drain : callable
        Asks the scheduler of (domain, team, service) to give an engine no new work for a time.
    taken_at : float
        When this daemon took the duty, in seconds of the clock.
    changing : dict of str to float
        The engines being emptied or loaded, and since when.
    drained_at : dict of str to float
        When the last drain note for each of them was taken.
    """

    lease: Lease
    targets: Targets
    membership: Membership
    reader: EngineReader
    budget: WeightBudget
    drain: Drain
    clock: Callable[[], float] = time.monotonic
    taken_at: float = 0.0
    changing: dict[str, float] = field(factory=dict)
    drained_at: dict[str, float] = field(factory=dict)

    # Queries.

    def may_change(self, target: Target) -> bool:
        """Tell whether one more engine of a deployment may be taken out of service."""
        if target.host.name in self.changing:
            return True
        found = self.targets.by_name()
        changing = [found[name] for name in self.changing if name in found]
        deployment = (target.team, target.name)
        mates = sum(1 for other in changing if (other.team, other.name) == deployment)
        neighbours = sum(1 for other in changing if other.host.domain == target.host.domain)
        allowed = max(1, self.targets.sizes[deployment] // CHANGED_AT_ONCE)
        return mates < allowed and neighbours < CHANGED_IN_DOMAIN

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
        self.drained_at.clear()
        keeper = asyncio.create_task(self.lease.renew_until_lost())
        looking: dict[str, asyncio.Task] = {}
        try:
            while self.lease.holds() and self.membership.takes_duties():
                self._look_everywhere(looking)
                await asyncio.sleep(ROUND_INTERVAL)
            # What has been sent is waited for while the lease still lasts.
            await asyncio.gather(*looking.values(), return_exceptions=True)
        finally:
            await cancel_all([keeper, *looking.values()])
            await self.lease.release()

    def _look_everywhere(self, looking: dict[str, asyncio.Task]) -> None:
        """Look at each domain whose last look has ended, so that a silent one delays no other."""
        found = self.targets.by_name()
        for name in self.changing.keys() - found.keys():
            self._leave_alone(name)
        for domain in self.targets.by_domain():
            if domain not in looking or looking[domain].done():
                looking[domain] = asyncio.create_task(self._look(domain))
                looking[domain].add_done_callback(log_failure)

    async def _look(self, domain: str) -> None:
        """Ask a domain's reader what is out of line, and order what is missing."""
        news = await self.reader.ask(domain)
        targets = self.targets.in_domain(domain)
        if news is None:
            # The domain is cut off. Its drain notes lapse, so its engines go on as they are, and
            # they must not keep those of other domains waiting for their turn.
            for name in targets:
                self._leave_alone(name)
            return
        changing = [targets[name] for name in self.changing if name in targets]
        fresh = [targets[n] for n in news if n in targets and n not in self.changing]
        candidates = [target for target in fresh if self.may_change(target)]
        await asyncio.gather(*map(self._look_at, changing + candidates[:CHANGED_IN_DOMAIN]))

    async def _look_at(self, target: Target) -> None:
        """Ask the engine itself, since news of it may be old, and go on from its answer."""
        state = await self._state(target)
        if state is None:
            self._leave_alone(target.host.name)
        elif state.loaded == target.wanted:
            await self._back_in_service(target)
        elif self.may_change(target):
            await self._bring_in_line(target, state)

    def _leave_alone(self, name: str) -> None:
        self.changing.pop(name, None)
        self.drained_at.pop(name, None)

    async def _state(self, target: Target) -> EngineState | None:
        try:
            return await engines.engine_state(target.host.address)
        except BackendError as error:
            logs.debug("engine state not read", engine=target.host.name, why=str(error))
            return None

    async def _back_in_service(self, target: Target) -> None:
        """Let an engine that has been changed get work again, before the next one is emptied."""
        if target.host.name in self.changing:
            self._leave_alone(target.host.name)
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
        """Renew an engine's drain note once half its time is over."""
        name, now = target.host.name, self.clock()
        if now - self.drained_at.get(name, float("-inf")) < DRAIN_TIME / 2:
            return True
        drained = await self._drain(target, DRAIN_TIME)
        if drained:
            self.drained_at[name] = now
        return drained

    async def _bring_in_line(self, target: Target, state: EngineState) -> None:
        """Empty an engine of streams, then order it to load what is wanted."""
        since = self.changing.setdefault(target.host.name, self.clock())
        if not await self._keep_drained(target):
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
