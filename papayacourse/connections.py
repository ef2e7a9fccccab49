"""Opens the websocket connections of links and sets their limits."""

import asyncio

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.exceptions import InvalidHandshake

from papayacourse.exceptions import PeerUnreachable
from papayacourse.types import Address
from papayacourse.wire import MAX_FRAME_BYTES

CONNECT_TIMEOUT = 1.0  # seconds
CLOSE_TIMEOUT = 0.5  # seconds
MAX_FRAMES_WAITING = 64  # frames read but not yet handled, per link

# Both ends use the same limits. Links have their own heartbeats, so websocket pings are off.
CONNECTION_OPTIONS = {
    "max_size": MAX_FRAME_BYTES,
    "max_queue": MAX_FRAMES_WAITING,
    "close_timeout": CLOSE_TIMEOUT,
    "compression": None,
    "ping_interval": None,
}


async def open_connection(address: Address, source: tuple[str, int] | None) -> Connection:
    """Open a connection to another daemon.

    Parameters
    ----------
    address : Address
        The address where that daemon listens for links.
    source : (str, int) or None
        The local address to connect from; None lets the kernel choose.

    Raises
    ------
    PeerUnreachable
        If there is no answer within the timeout, or the answer is not a websocket handshake.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            return await connect(
                f"ws://{address}/", proxy=None, local_addr=source, **CONNECTION_OPTIONS
            )
    except (OSError, TimeoutError, InvalidHandshake) as error:
        raise PeerUnreachable(f"no link to {address}: {error}") from error
