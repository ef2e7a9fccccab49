"""The parts of one relayed answer on their way to the caller."""

import asyncio
from collections import deque

from attrs import define, field

from papayacourse.relaymessages import RelayPart


@define(eq=False)
class PartQueue:
    """Hands parts over: whoever puts one in waits until it is taken.

    Attributes
    ----------
    arrived, emptied : asyncio.Event
        Set when there is a part, and when there is none.
    is_closed : bool
        Whether nobody takes parts any more.
    """

    parts: deque[RelayPart] = field(factory=deque)
    arrived: asyncio.Event = field(factory=asyncio.Event)
    emptied: asyncio.Event = field(factory=asyncio.Event)
    is_closed: bool = False

    async def put(self, part: RelayPart) -> bool:
        """Put a part in and wait until it is taken; returns False if nobody takes it."""
        if self.is_closed:
            return False
        self.parts.append(part)
        self.emptied.clear()
        self.arrived.set()
        await self.emptied.wait()
        return not self.is_closed

    async def get(self) -> RelayPart:
        """Wait for the next part."""
        await self.arrived.wait()
        part = self.parts.popleft()
        if not self.parts:
            self.arrived.clear()
            self.emptied.set()
        return part

    def close(self) -> None:
        """Let go of those who wait to put parts in."""
        self.is_closed = True
        self.emptied.set()
