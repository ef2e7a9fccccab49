"""The form of messages between daemons on the wire: frames in CBOR.

A frame is an array: protocol version, kind of message, call number, the message's fields in their
order and, where there is one, the request's id. A kind is a place in ``Message``. So a message is
added at the end of that union, and a field at the end of its class and with a default; any other
change needs a new protocol version.
"""

import cbor2
from attrs import frozen
from cattrs import UnstructureStrategy
from cattrs.errors import BaseValidationError
from cattrs.preconf.cbor2 import make_converter

from papayacourse.exceptions import MalformedMessage
from papayacourse.messages import Message

PROTOCOL_VERSION = 3
MAX_FRAME_BYTES = 2 * 1024 * 1024

CLASSES = Message.__args__
KINDS = {cls: kind for kind, cls in enumerate(CLASSES)}
converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


@frozen
class Frame:
    """One message with what ties a call to its answer.

    Attributes
    ----------
    call : int
        Zero for a message that wants no answer.
    is_answer : bool
        Whether this frame answers the call of that number.
    request : str
        The id of the caller's request that it belongs to, for the logs; empty for none.
    """

    call: int
    is_answer: bool
    message: Message
    request: str = ""


def encode(frame: Frame) -> bytes:
    """Write a frame as CBOR; an answer has its call's number below zero."""
    body = converter.unstructure(frame.message)
    call = -frame.call if frame.is_answer else frame.call
    parts = [PROTOCOL_VERSION, KINDS[type(frame.message)], call, body]
    return cbor2.dumps([*parts, frame.request] if frame.request else parts)


def decode(data: bytes) -> Frame:
    """Read a frame.

    Raises
    ------
    MalformedMessage
        When it is not a frame of this version with a message known here.
    """
    try:
        version, kind, call, body, *rest = cbor2.loads(data)
        if version != PROTOCOL_VERSION:
            raise MalformedMessage(f"protocol version {version!r} is not {PROTOCOL_VERSION}")
        request = rest[0] if rest else ""
        if (type(kind), type(call), type(request)) != (int, int, str) or len(rest) > 1:
            raise MalformedMessage("the frame's kind, call number or request has a wrong type")
        if not 0 <= kind < len(CLASSES):
            raise MalformedMessage(f"no message has kind {kind}")
        if type(body) is not list:
            raise MalformedMessage("the message's fields are not an array")
        message = converter.structure(body, CLASSES[kind])
    except MalformedMessage:
        raise
    except (cbor2.CBORDecodeError, BaseValidationError, TypeError, ValueError) as error:
        raise MalformedMessage(f"not a message: {type(error).__name__}") from error
    return Frame(abs(call), call < 0, message, request)
