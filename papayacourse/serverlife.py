"""Tells whether the process of a server still runs, once one of its connections has ended.

When a process is killed, its kernel closes its connections like those of one that has finished its
work. Only what the server does afterwards tells the two apart.
"""

import asyncio

from tornado.iostream import IOStream

from papayacourse import logs
from papayacourse.exceptions import BackendLinkLost, BackendUnreachable
from papayacourse.framing import Framing
from papayacourse.httpcall import HttpCall, connect
from papayacourse.tasks import is_done_within
from papayacourse.types import Address

# Seconds before each try. An ending process closes all its sockets, the listener too, within the
# first; a server at its limit of connections may have one free by the last.
PAUSES = (0.05, 0.1, 0.2)
OPEN_TIME = 0.05  # seconds; whatever forwards connections to a dead server closes them sooner
CONNECT_TIMEOUT = 0.4  # seconds; a handshake between regions takes 30 ms


async def accepts_connections(address: Address) -> bool:
    """Return True if a server that has just closed a connection accepts another one, and keeps it.

    A server that cannot be reached counts as one that does not: nothing shows that it lives.
    """
    for pause in PAUSES:
        await asyncio.sleep(pause)
        try:
            stream = await connect(address, CONNECT_TIMEOUT)
        except BackendUnreachable:
            return False
        try:
            if await _stays_open(stream):
                return True
        finally:
            stream.close()
    return False


async def _stays_open(stream: IOStream) -> bool:
    """Return True if the other side does not close a new connection at once."""
    first = stream.read_bytes(1)
    return not await is_done_within(first, OPEN_TIME) or first.exception() is None


async def check_end(call: HttpCall) -> None:
    """Raise BackendLinkLost if an answer that was read to its end may have been cut off.

    One with neither a length nor chunks ends with its connection, and is complete only if its
    server lives on.
    """
    if call.framing is not Framing.CLOSE:
        return
    lives = await accepts_connections(call.address)
    logs.info("answer closed", server=str(call.address), status=call.status, is_complete=lives)
    if not lives:
        raise BackendLinkLost(f"{call.address} ended with the connection of its answer")
