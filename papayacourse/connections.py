"""The websocket connections under links: how they are bounded, and how one is opened."""

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

# Both ends are bounded alike; links have heartbeats of their own, so websocket pings are off.
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
        Where that daemon listens for links.
    source : (str, int) or None
        The local address to dial from; None leaves it to the kernel.

    Raises
    ------
    PeerUnreachable
        When nobody answers there in time, or who answers does not speak websocket.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            return await connect(
                f"ws://{address}/", proxy=None, local_addr=source, **CONNECTION_OPTIONS
            )
    except (OSError, TimeoutError, InvalidHandshake) as error:
        raise PeerUnreachable(f"no link to {address}: {error}") from error
