"""Finds the generation that a repeated key started in another failure domain."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define

from papayacourse import logs
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell, first_cells
from papayacourse.exceptions import PeerError
from papayacourse.joins import key_part
from papayacourse.membership import Membership
from papayacourse.meshmessages import Done
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked
from papayacourse.schedulingmessages import GrantRefused, GrantRequest, Joined, JoinRequest, Queued

JOIN_TIMEOUT = 0.2  # seconds that other domains may take to answer
SETTLING_TIME = 3 * JOIN_TIMEOUT  # seconds in which a place may be given back for another domain's

JoinAnswer = Joined | Queued | GrantRefused | Done


def goes_first(stream: str, one: str, other: str) -> bool:
    """Tell whether one domain goes before another where both begin with a key at once."""
    return ranked(key_part(stream), (one, other))[0] == one


@define(eq=False)
class FarJoins:
    """Asks the schedulers of the other failure domains for the generation of a key."""

    membership: Membership
    peers: Peers
    cell_map: CellMap
    pause: Callable[[float], Awaitable[None]] = asyncio.sleep

    async def find(self, request: GrantRequest) -> Joined | GrantRefused | None:
        """Return what another domain says of a key that it knows; None where none does.

        A domain that has only just granted a place, and goes after this one, may still join
        here. It is asked once more, after it has had the time for that.
        """
        answers = await self._ask_all(request)
        if any(isinstance(answer, Queued) for answer in answers):
            await self.pause(JOIN_TIMEOUT)
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
            return await self.peers.call(owners[0], question, JOIN_TIMEOUT)
        except PeerError as error:
            # Whoever cannot be reached goes on by itself, and so does this domain.
            logs.info("other domain not asked for a key", daemon=owners[0], why=str(error))
            return Done()
