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


@then('each frame of "{name}" is read as the message that it was')
def frames_read(_context, name):
    for kind, before in enumerate(landing(name)):
        message = decode(bytes.fromhex(before["frame"])).message
        assert type(message) is CLASSES[kind] and type(message).__name__ == before["message"]
        expected = sample(CLASSES[kind])
        for field in before["fields"]:
            assert getattr(message, field) == getattr(expected, field), (message, field)


@then('each message\'s frame still begins as in "{name}"')
def frames_begin(_context, name):
    for before in landing(name):
        old = cbor2.loads(bytes.fromhex(before["frame"]))
        new = cbor2.loads(encode(decode(bytes.fromhex(before["frame"]))))
        assert new[:FIELDS] == old[:FIELDS], before["message"]
        assert new[FIELDS][: len(old[FIELDS])] == old[FIELDS], before["message"]


@then('each field that is newer than "{name}" has a default')
def new_fields_have_defaults(_context, name):
    for kind, before in enumerate(landing(name)):
        fields = attrs.fields(CLASSES[kind])
        assert [field.name for field in fields][: len(before["fields"])] == before["fields"]
        assert all(f.default is not attrs.NOTHING for f in fields[len(before["fields"]) :])
