"""Steps about frames between daemons of different builds."""

import json

import attrs
import cbor2
from behave import then

from papayacourse.wire import CLASSES, decode, encode
from tests.routedfleet import ROOT
from tests.wiresamples import sample

FIELDS = 3  # index of a message's fields in its frame


def landing(name: str) -> list[dict]:
    """Return the frames of a landing, by kind."""
    return json.loads((ROOT / "tests" / "wire" / f"{name}.json").read_text(encoding="utf-8"))


def as_sent(value, raw):
    """Return a value with the fields that its frame lacks, at any depth, at their defaults."""
    if attrs.has(type(value)):
        fields = zip(attrs.fields(type(value)), raw, strict=False)
        known = {field.name: as_sent(getattr(value, field.name), each) for field, each in fields}
        return type(value)(**known)
    if isinstance(value, tuple):
        return tuple(as_sent(*pair) for pair in zip(value, raw, strict=True))
    return value


def begins_as(value, new, old) -> bool:
    """Return True if a value's encoding differs from an older one by fields at the end only."""
    if attrs.has(type(value)):
        members = attrs.astuple(value, recurse=False)[: len(old)]
        return len(new) >= len(old) and all(map(begins_as, members, new, old))
    if isinstance(value, tuple):
        return len(new) == len(old) and all(map(begins_as, value, new, old))
    return new == old


@then('each frame of "{name}" is read as the message that it was')
def frames_read(_context, name):
    for kind, before in enumerate(landing(name)):
        data = bytes.fromhex(before["frame"])
        message = decode(data).message
        assert type(message) is CLASSES[kind] and type(message).__name__ == before["message"]
        expected = as_sent(sample(CLASSES[kind]), cbor2.loads(data)[FIELDS])
        assert message == expected, (message, expected)


@then('each message\'s frame still begins as in "{name}"')
def frames_begin(_context, name):
    for before in landing(name):
        data = bytes.fromhex(before["frame"])
        old, frame = cbor2.loads(data), decode(data)
        new = cbor2.loads(encode(frame))
        assert new[:FIELDS] == old[:FIELDS], before["message"]
        assert begins_as(frame.message, new[FIELDS], old[FIELDS]), before["message"]


@then('each field that is newer than "{name}" has a default')
def new_fields_have_defaults(_context, name):
    for kind, before in enumerate(landing(name)):
        fields = attrs.fields(CLASSES[kind])
        assert [field.name for field in fields][: len(before["fields"])] == before["fields"]
        assert all(f.default is not attrs.NOTHING for f in fields[len(before["fields"]) :])
