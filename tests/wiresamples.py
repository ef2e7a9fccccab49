"""Builds a sample of each message between daemons, and prints their frames as JSON.

The frames of a landing are kept in ``tests/wire``, so that the next one is tested against them:
``python -m tests.wiresamples > tests/wire/NAME.json``.
"""

import enum
import json
import types
import typing

import attrs

from papayacourse.wire import CLASSES, Frame, encode

CALL = 7  # number of the call


def sample(kind: object) -> object:
    """Return a value of a type; the same each time."""
    kind = getattr(kind, "__supertype__", kind)
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (types.UnionType, typing.Union):
        return sample(next(each for each in arguments if each is not type(None)))
    if origin is tuple:
        members = arguments[:1] if arguments[-1] is Ellipsis else arguments
        return tuple(sample(each) for each in members)
    if origin is dict:
        return {sample(arguments[0]): sample(arguments[1])}
    if attrs.has(kind):
        fields = attrs.fields(attrs.resolve_types(kind))
        return kind(**{field.name: sample(field.type) for field in fields if field.init})
    if issubclass(kind, enum.Enum):
        return next(iter(kind))
    return {str: "text", int: 3, float: 1.5, bool: True, bytes: b"bytes"}[kind]


def frames() -> list[dict]:
    """Return the frame of each message's sample, and the names of its fields."""
    return [
        {
            "message": kind.__name__,
            "fields": [field.name for field in attrs.fields(kind)],
            "frame": encode(Frame(CALL, False, sample(kind), "request")).hex(),
        }
        for kind in CLASSES
    ]


if __name__ == "__main__":
    print(json.dumps(frames(), indent=1))
