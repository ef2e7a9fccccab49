"""Tells whether the process of a server still runs, once one of its connections has ended.

When a process is killed, its kernel closes its connections like those of one that has finished its
work. Only what the server does afterwards tells the two apart.
"""

import asyncio

from papayacourse.exceptions import BackendUnreachable
from papayacourse.httpcall import connect
from papayacourse.types import Address

CLOSING_TIME = 0.05  # seconds in which an ending process closes all its sockets, the listener too
CONNECT_TIMEOUT = 0.4  # seconds; a handshake between regions takes 30 ms


async def accepts_connections(address: Address) -> bool:
    """Return True if a server that has just closed a connection accepts another one.

    A server that cannot be reached counts as one that does not: nothing shows that it lives.
    """
    await asyncio.sleep(CLOSING_TIME)
    try:
        stream = await connect(address, CONNECT_TIMEOUT)
    except BackendUnreachable:
        return False
    stream.close()
    return True
