"""Finds a generation that the same Idempotency-Key started in another failure domain."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define

from papayacourse import logs
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell, first_cells
from papayacourse.exceptions import PeerError
from papayacourse.joins import stream_key
from papayacourse.membership import Membership
from papayacourse.meshmessages import Done
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked
from papayacourse.schedulingmessages import GrantRefused, GrantRequest, Joined, JoinRequest, Queued

CROSS_DOMAIN_JOIN_TIMEOUT = 0.2  # seconds
# Seconds in which a new grant may be released in favour of another domain's.
JOIN_SETTLING_TIME = 3 * CROSS_DOMAIN_JOIN_TIMEOUT

JoinAnswer = Joined | Queued | GrantRefused | Done


def has_precedence(stream: str, one: str, other: str) -> bool:
    """Return True if domain ``one`` keeps the generation when both domains start a key at once."""
    return ranked(stream_key(stream), (one, other))[0] == one


@define(eq=False)
class CrossDomainJoins:
    """Asks the schedulers of the other failure domains for a key's generation."""

    membership: Membership
    peers: Peers
    cell_map: CellMap
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep

    async def find(self, request: GrantRequest) -> Joined | GrantRefused | None:
        """Return the answer of a domain that knows the key, or None.

        A domain that has only just granted the request, and over which this one has precedence,
        may still join here. All domains are asked once more after it has had time to do so.
        """
        answers = await self._ask_all(request)
        if any(isinstance(answer, Queued) for answer in answers):
            await self.sleep(CROSS_DOMAIN_JOIN_TIMEOUT)
            answers = await self._ask_all(request)
        found = (answer for answer in answers if isinstance(answer, Joined | GrantRefused))
        return next(found, None)

    async def _ask_all(self, request: GrantRequest) -> list[JoinAnswer]:
        others = self.membership.domains().keys() - {self.membership.me.domain}
        return await asyncio.gather(*(self._ask(domain, request) for domain in sorted(others)))

    async def _ask(self, domain: str, request: GrantRequest) -> JoinAnswer:
        generation = request.generation
        layout = self.cell_map.layout(domain, generation.team, generation.service)
        cell = Cell(generation.team, generation.service, first_cells(generation, layout)[0])
        owners = self.membership.owners(cell.duty, domain)
        if not owners:
            return Done()
        here = self.membership.me.domain
        question = JoinRequest(
            cell.team, cell.service, generation.stream, request.avoid, here, cell.number
        )
        try:
            return await self.peers.call(owners[0], question, CROSS_DOMAIN_JOIN_TIMEOUT)
        except PeerError as error:
            # Domains that cannot reach each other proceed independently.
            logs.info(
                "idempotency key lookup in another domain failed", daemon=owners[0], why=str(error)
            )
            return Done()
