"""The link handshake: both sides identify themselves and prove that they know the mesh key."""

import hmac
import secrets

from attrs import evolve
from websockets.asyncio.connection import Connection

from papayacourse.exceptions import MalformedMessage
from papayacourse.meshmessages import Hello, Proof
from papayacourse.types import Address
from papayacourse.wire import Frame, decode, encode

NONCE_BYTES = 16
MAX_SHOWN = 60  # characters of an address that is none


def sign_challenge(key: str, challenge: bytes, name: str, side: str) -> bytes:
    """Return the HMAC of a challenge under the mesh key.

    The side (``dialled`` or ``listened``) is signed too, so that an answer cannot be reflected to
    the daemon that sent the challenge.
    """
    return hmac.digest(key.encode(), challenge + f"|{name}|{side}".encode(), "sha256")


def mesh_address(hello: Hello) -> Address:
    """Return where a daemon listens for links; raises MalformedMessage if it names no address."""
    try:
        return Address.parse(hello.mesh)
    except ValueError as error:
        raise MalformedMessage(f"{hello.mesh[:MAX_SHOWN]!r} is not a mesh address") from error


async def read_binary(connection: Connection) -> bytes:
    """Return the next frame; raise MalformedMessage if it is text."""
    data = await connection.recv()
    if not isinstance(data, bytes):
        raise MalformedMessage("received a text frame; expected a binary one")
    return data


async def perform_handshake(connection: Connection, hello: Hello, key: str, side: str) -> Hello:
    """Perform the handshake and return the Hello of the peer.

    Parameters
    ----------
    connection : Connection
        A connection on which nothing has been sent.
    hello : Hello
        The identity of this daemon; a new challenge is added.
    key : str
        The mesh key.
    side : str
        ``dialled`` or ``listened``, from this daemon's point of view.

    Raises
    ------
    MalformedMessage
        If the peer does not follow the protocol, does not know the key or names no address.
    """
    other_side = "listened" if side == "dialled" else "dialled"
    nonce = secrets.token_bytes(NONCE_BYTES)
    mine = evolve(hello, nonce=nonce)
    await connection.send(encode(Frame(0, False, mine)))
    peer = decode(await read_binary(connection)).message
    if not isinstance(peer, Hello):
        raise MalformedMessage("a link must open with Hello")
    answer = sign_challenge(key, peer.nonce, mine.name, side)
    await connection.send(encode(Frame(0, False, Proof(answer))))
    proof = decode(await read_binary(connection)).message
    wanted = sign_challenge(key, nonce, peer.name, other_side)
    if not isinstance(proof, Proof) or not hmac.compare_digest(proof.digest, wanted):
        raise MalformedMessage(f"{peer.name} does not know the mesh key")
    mesh_address(peer)
    return peer
