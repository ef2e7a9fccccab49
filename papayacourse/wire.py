"""The form of messages between daemons on the wire: frames in CBOR."""

import cbor2
from attrs import frozen
from cattrs.errors import BaseValidationError
from cattrs.preconf.cbor2 import make_converter

from papayacourse.exceptions import MalformedMessage
from papayacourse.messages import Message

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 2 * 1024 * 1024

CLASSES = {cls.__name__: cls for cls in Message.__args__}
converter = make_converter()


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
    """Write a frame as CBOR."""
    body = converter.unstructure(frame.message)
    name = type(frame.message).__name__
    return cbor2.dumps([PROTOCOL_VERSION, frame.call, frame.is_answer, name, body, frame.request])


def decode(data: bytes) -> Frame:
    """Read a frame.

    Raises
    ------
    MalformedMessage
        When it is not a frame of this version with a message known here.
    """
    try:
        version, call, is_answer, name, body, request = cbor2.loads(data)
        if version != PROTOCOL_VERSION:
            raise MalformedMessage(f"protocol version {version!r} is not {PROTOCOL_VERSION}")
        if (type(call), type(is_answer), type(request)) != (int, bool, str):
            raise MalformedMessage(
                "the frame's call number, answer mark or request has a wrong type"
            )
        message = converter.structure(body, CLASSES[name])
    except MalformedMessage:
        raise
    except (cbor2.CBORDecodeError, BaseValidationError, KeyError, TypeError, ValueError) as error:
        raise MalformedMessage(f"not a message: {type(error).__name__}") from error
    return Frame(call, is_answer, message, request)
