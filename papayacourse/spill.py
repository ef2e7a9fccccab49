"""Sends requests to other failure domains if the wait here costs more than the link there."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from attrs import define, evolve, field, frozen

from papayacourse import logs
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell, alternative_cell, first_cells
from papayacourse.exceptions import PeerError
from papayacourse.loads import total_load
from papayacourse.membership import Membership
from papayacourse.meshmessages import ServiceLoad
from papayacourse.peers import Peers
from papayacourse.schedulingmessages import Granted, GrantRefused, GrantRequest, Joined, Queued
from papayacourse.settings import ServiceSettings
from papayacourse.timeliness import SAFE_LATENESS, expected_gap
from papayacourse.types import GenerationRequest

ANSWER_TIMEOUT = 0.4  # seconds until another domain's scheduler answers
DOMAINS_TRIED = 2  # other failure domains asked for one request
NO_CELL = -1  # matches no cell

Answer = Granted | Joined | Queued | GrantRefused


@frozen
class CandidateDomain:
    """Another failure domain that serves a service, and its load.

    Attributes
    ----------
    expected_wait : float
        The expected wait of a new request there, in seconds.
    """

    domain: str
    region: str
    expected_wait: float


def link_cost(service: ServiceSettings, same_region: bool) -> float:
    """Return the wait that using a link must save, in seconds."""
    return service.spill_same_region if same_region else service.spill_other_region


def domains_to_ask(
    wait: float, region: str, others: Iterable[CandidateDomain], service: ServiceSettings
) -> list[str]:
    """Return the domains to ask, those of this region first, then by their expected wait.

    Parameters
    ----------
    wait : float
        The expected wait here, in seconds; infinite if no engine here can serve.
    region : str
        The region of this daemon.
    """
    found = []
    for other in others:
        same_region = other.region == region
        if other.expected_wait + link_cost(service, same_region) < wait:
            found.append((not same_region, other.expected_wait, other.domain))
    return [domain for _, _, domain in sorted(found)]


def implied_wait(answer: Answer, wait_limit: float) -> float:
    """Return the wait that a scheduler's answer implies, in seconds."""
    match answer:
        case Queued(expected_wait=wait):
            return wait
        case GrantRefused(reason="no_engine"):
            return math.inf
        case GrantRefused(reason="overloaded"):
            return wait_limit
        case _:
            return 0.0


def has_place(load: ServiceLoad) -> bool:
    """Return True if a cell's engines have room, and their pace is known."""
    return load.step > 0 and load.expected_wait <= 0


def lacks_capacity(answer: Answer) -> bool:
    """Return True if a scheduler has engines but no free place now."""
    match answer:
        case Queued() | GrantRefused(reason="overloaded"):
            return True
        case _:
            return False


def no_loads(_domain: str, _team: str, _service: str) -> list[ServiceLoad]:
    """Return no loads: no other cell or failure domain is known."""
    return []


def outcome(answer: Answer | None) -> str:
    """Return the metric label for the answer of another domain."""
    match answer:
        case None:
            return "silent"
        case Granted():
            return "granted"
        case _:
            return "refused"


@frozen
class RemotePlacement:
    """A place in another failure domain."""

    domain: str
    cell: int
    granted: Granted


@define(eq=False)
class Spill:
    """Asks other failure domains for places, without queueing there.

    Attributes
    ----------
    loads : callable
        Returns the known loads of a service's cells, given domain, team and service.
    query_counts : Counter of str
        Requests to other domains since the start, by outcome.
    """

    membership: Membership
    peers: Peers
    cell_map: CellMap
    loads: Callable[[str, str, str], list[ServiceLoad]] = no_loads
    query_counts: Counter[str] = field(factory=Counter)

    async def place(
        self, request: GrantRequest, wait: float, may_use: Callable[[str], bool]
    ) -> RemotePlacement | None:
        """Return a free place in another failure domain that is worth the cost of its link.

        Only the domains of regions that `may_use` allows are asked.
        """
        domains = self.domains_worth_asking(request, wait, may_use)
        return await self.place_in(domains[:DOMAINS_TRIED], request)

    def timely_domains(self, request: GrantRequest, may_use: Callable[[str], bool]) -> list[str]:
        """Return the other domains with a place now whose engines keep the target for gaps.

        Those of this region come first. Empty for a request without that target.
        """
        me, generation = self.membership.me, request.generation
        if generation.max_gap <= 0:
            return []
        regions = self._other_domains(may_use)
        found = []
        for domain in regions:
            loads = self.loads(domain, generation.team, generation.service)
            gaps = [
                expected_gap(generation, load.step, load.pause) for load in loads if has_place(load)
            ]
            if gaps and min(gaps) <= SAFE_LATENESS * generation.max_gap:
                found.append((regions[domain] != me.region, min(gaps), domain))
        return [domain for _, _, domain in sorted(found)]

    async def place_in(
        self, domains: Iterable[str], request: GrantRequest
    ) -> RemotePlacement | None:
        """Return a place in the first of the given failure domains that has one free now."""
        immediate = evolve(request, wait_limit=0.0)
        for domain in domains:
            cell = self._best_cell(domain, request)
            answer = await self._ask(domain, evolve(immediate, cell=cell))
            self.query_counts[outcome(answer)] += 1
            logs.info("other domain asked", asked=domain, cell=cell, answer=outcome(answer))
            if isinstance(answer, Granted):
                return RemotePlacement(domain, cell, answer)
        return None

    def alternative_cell(self, domain: str, request: GrantRequest, asked: int) -> int | None:
        """Return a cell of a domain that may have a free place, or None."""
        generation = request.generation
        key = (domain, generation.team, generation.service)
        return alternative_cell(generation, self.cell_map.layout(*key), asked, self.loads(*key))

    def _best_cell(self, domain: str, request: GrantRequest) -> int:
        generation = request.generation
        layout = self.cell_map.layout(domain, generation.team, generation.service)
        found = self.alternative_cell(domain, request, NO_CELL)
        return first_cells(generation, layout)[0] if found is None else found

    def domains_worth_asking(
        self, request: GrantRequest, wait: float, may_use: Callable[[str], bool]
    ) -> list[str]:
        """Return the other domains whose places are worth the cost of their links, best first.

        Parameters
        ----------
        wait : float
            The expected wait in this domain, in seconds.
        may_use : callable
            Returns True for a region whose domains may be asked.
        """
        me, generation = self.membership.me, request.generation
        service = self.membership.catalog.service(generation.team, generation.service)
        if service is None or wait <= 0:
            return []
        regions = self._other_domains(may_use)
        others = []
        for domain in regions:
            load = total_load(self.loads(domain, generation.team, generation.service))
            if load is not None:
                others.append(CandidateDomain(domain, regions[domain], load.expected_wait))
            elif self._has_engines(domain, generation):
                # No load is known because nothing has requested the service there yet.
                others.append(CandidateDomain(domain, regions[domain], 0.0))
        return domains_to_ask(wait, me.region, others, service)

    def _other_domains(self, may_use: Callable[[str], bool]) -> dict[str, str]:
        """Return the region of each other domain, of those regions that may be used."""
        members = self.membership.members.values()
        regions = {m.domain: m.region for m in members if may_use(m.region)}
        regions.pop(self.membership.me.domain, None)
        return regions

    def _has_engines(self, domain: str, generation: GenerationRequest) -> bool:
        layout = self.cell_map.layout(domain, generation.team, generation.service)
        return any(layout.memory.values())

    def questions(self) -> Iterator[tuple[int, dict[str, str]]]:
        """Yield the number of requests to other domains by outcome, for the metrics."""
        for answer in ("granted", "refused", "silent"):
            yield self.query_counts[answer], {"answer": answer}

    async def _ask(self, domain: str, request: GrantRequest) -> Answer | None:
        generation = request.generation
        cell = Cell(generation.team, generation.service, request.cell)
        owners = self.membership.owners(cell.duty, domain)
        if not owners:
            return None
        try:
            return await self.peers.call(owners[0], request, ANSWER_TIMEOUT)
        except PeerError as error:
            # A place that was granted anyway expires, because no daemon reports its stream.
            logs.info("no answer from other domain", daemon=owners[0], why=str(error))
            return None
