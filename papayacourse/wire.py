"""The wire format of messages between daemons: frames in CBOR.

A frame is an array: protocol version, message kind, call number, the message's fields in order
and, if there is one, the request's id. The kind is the index of the class in ``Message``. New
messages are therefore added at the end of that union, and new fields at the end of their class
with a default; any other change needs a new protocol version.
"""

import cbor2
from attrs import frozen
from cattrs import UnstructureStrategy
from cattrs.preconf.cbor2 import make_converter

from papayacourse.exceptions import MalformedMessage, MessageNotSendable
from papayacourse.messages import Message
from papayacourse.wirevalues import read_integer, reader

PROTOCOL_VERSION = 3
MAX_FRAME_BYTES = 2 * 1024 * 1024
MAX_REASON = 200  # characters, of why a frame is refused

CLASSES = Message.__args__
KINDS = {cls: kind for kind, cls in enumerate(CLASSES)}
READERS = [reader(cls) for cls in CLASSES]
read_text = reader(str)
converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


@frozen
class Frame:
    """One message, with the number that matches a call and its answer.

    Attributes
    ----------
    call : int
        The number of the call; zero for a message that needs no answer.
    is_answer : bool
        True if this frame answers the call of that number.
    request : str
        The id of the caller's request, for the logs; empty if there is none.
    """

    call: int
    is_answer: bool
    message: Message
    request: str = ""


def encode(frame: Frame) -> bytes:
    """Encode a frame as CBOR; an answer carries its call number negated.

    Raises
    ------
    MessageNotSendable
        If the message has a value that cannot be encoded, or is too long.
    """
    name = type(frame.message).__name__
    try:
        body = converter.unstructure(frame.message)
        call = -frame.call if frame.is_answer else frame.call
        parts = [PROTOCOL_VERSION, KINDS[type(frame.message)], call, body]
        data = cbor2.dumps([*parts, frame.request] if frame.request else parts)
    except (cbor2.CBOREncodeError, TypeError, ValueError) as error:
        raise MessageNotSendable(f"{name} cannot be encoded: {str(error)[:MAX_REASON]}") from error
    if len(data) > MAX_FRAME_BYTES:
        raise MessageNotSendable(f"{name} of {len(data)} bytes is too long")
    return data


def decode(data: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    MalformedMessage
        If the data is not a frame of this protocol version with a known message. It has the
        frame's call number, so that the call need not wait for its timeout.
    """
    call = 0
    try:
        version, kind, number, body, *rest = cbor2.loads(data)
        if type(version) is not int or version != PROTOCOL_VERSION:
            raise ValueError(f"the frame is not of protocol version {PROTOCOL_VERSION}")
        call = read_integer(number)
        request = read_text(rest[0] if rest else "")
        if type(kind) is not int or not 0 <= kind < len(CLASSES):
            raise ValueError("no message has this kind")
        message = READERS[kind](body)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MalformedMessage(f"not a message: {str(error)[:MAX_REASON]}", call) from error
    return Frame(abs(call), call < 0, message, request)
