"""Chooses another failure domain for a request whose wait here costs more than the link there."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from attrs import define, evolve, field, frozen

from papayacourse import logs
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell, first_cells, other_cell
from papayacourse.exceptions import PeerError
from papayacourse.loads import joined
from papayacourse.membership import Membership
from papayacourse.meshmessages import ServiceLoad
from papayacourse.peers import Peers
from papayacourse.schedulingmessages import Granted, GrantRefused, GrantRequest, Joined, Queued
from papayacourse.settings import ServiceSettings
from papayacourse.types import GenerationRequest

ANSWER_TIMEOUT = 0.4  # seconds that another domain's scheduler may take
DOMAINS_TRIED = 2  # other failure domains asked for one request
NO_CELL = -1  # no cell's number

Answer = Granted | Joined | Queued | GrantRefused


@frozen
class Elsewhere:
    """How another failure domain stands for one service.

    Attributes
    ----------
    expected_wait : float
        The wait that a new request can expect there, in seconds.
    """

    domain: str
    region: str
    expected_wait: float


def price(service: ServiceSettings, same_region: bool) -> float:
    """Return what using a link costs, in seconds of waiting that it must save."""
    return service.spill_same_region if same_region else service.spill_other_region


def worth_asking(
    wait: float, region: str, others: Iterable[Elsewhere], service: ServiceSettings
) -> list[str]:
    """Return the domains to ask, those of this region first, then by their expected wait.

    Parameters
    ----------
    wait : float
        The expected wait here, in seconds; infinite where no engine can serve.
    region : str
        The region that asks.
    """
    found = []
    for other in others:
        same_region = other.region == region
        if other.expected_wait + price(service, same_region) < wait:
            found.append((not same_region, other.expected_wait, other.domain))
    return [domain for _, _, domain in sorted(found)]


def waits(answer: Answer, wait_limit: float) -> float:
    """Return the wait that a scheduler's answer means, in seconds."""
    match answer:
        case Queued(expected_wait=wait):
            return wait
        case GrantRefused(reason="no_engine"):
            return math.inf
        case GrantRefused(reason="overloaded"):
            return wait_limit
        case _:
            return 0.0


def has_no_place(answer: Answer) -> bool:
    """Tell whether a scheduler has engines, but no place now."""
    match answer:
        case Queued() | GrantRefused(reason="overloaded"):
            return True
        case _:
            return False


def no_loads(_domain: str, _team: str, _service: str) -> list[ServiceLoad]:
    """Know of no other cell or failure domain."""
    return []


def outcome(answer: Answer | None) -> str:
    """Name what came of a question to another domain."""
    match answer:
        case None:
            return "silent"
        case Granted():
            return "granted"
        case _:
            return "refused"


@frozen
class PlacedElsewhere:
    """A place in another failure domain."""

    domain: str
    cell: int
    granted: Granted


@define(eq=False)
class Spill:
    """Asks other failure domains for a place now.

    Attributes
    ----------
    loads : callable
        Returns how the cells of a service stand, as far as known, by domain, team and service.
    asked : Counter of str
        Questions to other domains since the start, by what came of them.
    """

    membership: Membership
    peers: Peers
    cell_map: CellMap
    loads: Callable[[str, str, str], list[ServiceLoad]] = no_loads
    asked: Counter[str] = field(factory=Counter)

    async def place(self, request: GrantRequest, wait: float) -> PlacedElsewhere | None:
        """Return a place in another failure domain, if one is worth its price and free now."""
        return await self.place_in(self._worth_asking(request, wait)[:DOMAINS_TRIED], request)

    async def place_in(
        self, domains: Iterable[str], request: GrantRequest
    ) -> PlacedElsewhere | None:
        """Return a place in one of some failure domains, if one is free now; the first is best."""
        now_or_never = evolve(request, wait_limit=0.0)
        for domain in domains:
            cell = self._best_cell(domain, request)
            answer = await self._ask(domain, evolve(now_or_never, cell=cell))
            self.asked[outcome(answer)] += 1
            logs.info("other domain asked", asked=domain, cell=cell, answer=outcome(answer))
            if isinstance(answer, Granted):
                return PlacedElsewhere(domain, cell, answer)
        return None

    def other_cell(self, domain: str, request: GrantRequest, asked: int) -> int | None:
        """Return a cell of a domain that may have a place now, None when there is none."""
        generation = request.generation
        key = (domain, generation.team, generation.service)
        return other_cell(generation, self.cell_map.layout(*key), asked, self.loads(*key))

    def _best_cell(self, domain: str, request: GrantRequest) -> int:
        generation = request.generation
        layout = self.cell_map.layout(domain, generation.team, generation.service)
        found = self.other_cell(domain, request, NO_CELL)
        return first_cells(generation, layout)[0] if found is None else found

    def _worth_asking(self, request: GrantRequest, wait: float) -> list[str]:
        me, generation = self.membership.me, request.generation
        service = self.membership.catalog.service(generation.team, generation.service)
        if service is None or wait <= 0:
            return []
        regions = {m.domain: m.region for m in self.membership.members.values()}
        others = []
        for domain in regions.keys() - {me.domain}:
            load = joined(self.loads(domain, generation.team, generation.service))
            if load is not None:
                others.append(Elsewhere(domain, regions[domain], load.expected_wait))
            elif self._has_engines(domain, generation):
                # Nobody has asked for the service there yet.
                others.append(Elsewhere(domain, regions[domain], 0.0))
        return worth_asking(wait, me.region, others, service)

    def _has_engines(self, domain: str, generation: GenerationRequest) -> bool:
        layout = self.cell_map.layout(domain, generation.team, generation.service)
        return any(layout.memory.values())

    def questions(self) -> Iterator[tuple[int, dict[str, str]]]:
        """Yield the questions to other domains, for the metrics."""
        for answer in ("granted", "refused", "silent"):
            yield self.asked[answer], {"answer": answer}

    async def _ask(self, domain: str, request: GrantRequest) -> Answer | None:
        generation = request.generation
        cell = Cell(generation.team, generation.service, request.cell)
        owners = self.membership.owners(cell.duty, domain)
        if not owners:
            return None
        try:
            return await self.peers.call(owners[0], request, ANSWER_TIMEOUT)
        except PeerError as error:
            # It may have been granted all the same; nobody reports it, so it lapses there.
            logs.info("other domain silent", daemon=owners[0], why=str(error))
            return None
