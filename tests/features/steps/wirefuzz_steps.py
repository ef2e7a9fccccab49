"""Steps about frames of any content."""

import datetime
import enum
import math
import random
import types
import typing

import attrs
import cbor2
from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from papayacourse.exceptions import MalformedMessage
from papayacourse.types import UnboundedSeconds
from papayacourse.wire import decode, encode
from tests.wiresamples import frames

MAX_REASON = 300  # characters
SAMPLES = [bytes.fromhex(each["frame"]) for each in frames()]
ODD_VALUES = [
    None, True, -1, 1.5, 2**63, 2**64, -(2**70), 2**4000, math.nan, math.inf, -math.inf, "", "7",
    "x\r\ny", "\0", "é", "字", b"\xff", [], [[]], ["a"], {}, {1: 2}, {"a": "b"}, cbor2.undefined,
    datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC), cbor2.CBORTag(9999, 1),
    cbor2.CBORSimpleValue(99),
]  # fmt: skip
RAW_VALUES = [
    "817f", "7f61ff", "63eda080", "d81c81d81d00", "9bffffffffffffffff", "5b7fffffffffffffff",
    "c11b7fffffffffffffff", "c482c2" + "48ffffffffffffffff" + "01", "81" * 3000 + "00",
]  # fmt: skip


def places(value, path=()):
    """Yield the path of each value in nested arrays, the outermost first."""
    yield path
    if isinstance(value, list):
        for index, member in enumerate(value):
            yield from places(member, (*path, index))


def with_value(value, path, odd):
    """Return nested arrays with another value at a path."""
    if not path:
        return odd
    index, *rest = path
    return [*value[:index], with_value(value[index], rest, odd), *value[index + 1 :]]


@st.composite
def altered_frames(draw):
    """Return the frame of a message with odd values or other bytes in it."""
    sample = draw(st.sampled_from(SAMPLES))
    if draw(st.booleans()):
        value = cbor2.loads(sample)
        for _ in range(draw(st.integers(1, 2))):
            path = draw(st.sampled_from(list(places(value))))
            value = with_value(value, path, draw(st.sampled_from(ODD_VALUES)))
        return cbor2.dumps(value)
    begin = draw(st.integers(0, len(sample)))
    end = begin + draw(st.integers(0, 8))
    raw = st.sampled_from(RAW_VALUES).map(bytes.fromhex)
    return sample[:begin] + draw(st.binary(max_size=8) | raw) + sample[end:]


def check_random(count, strategy, check):
    """Check random values, the same each time."""
    run = settings(max_examples=count, deadline=None, database=None, derandomize=True,
                   suppress_health_check=list(HealthCheck))  # fmt: skip
    run(given(strategy)(check))()


def is_sound(value, kind) -> bool:
    """Return True if a value is of a message's field's type and can be used as such."""
    if kind == tuple[tuple[str, str], ...]:
        headers = HTTPHeaders()
        for name, text in value:
            headers.add(name, text)
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (types.UnionType, typing.Union):
        return any(is_sound(value, each) for each in arguments)
    if origin is tuple:
        kinds = [arguments[0]] * len(value) if arguments[-1] is Ellipsis else arguments
        return type(value) is tuple and all(map(is_sound, value, kinds))
    if kind is UnboundedSeconds:
        return type(value) is float and value > -math.inf
    if type(value) is not kind:
        return False
    if attrs.has(kind):
        return all(is_sound(getattr(value, f.name), f.type) for f in attrs.fields(kind))
    if kind is float:
        return math.isfinite(value)
    if kind is int:
        return -(2**63) <= value < 2**64
    return issubclass(kind, enum.Enum) or kind in (str, bytes, bool, type(None))


def check_frame(data):
    """Check that a frame is refused, or is a message that can be used and sent on."""
    try:
        frame = decode(data)
    except MalformedMessage as error:
        assert len(str(error)) <= MAX_REASON, str(error)
        return
    assert is_sound(frame.message, type(frame.message)), frame
    assert decode(encode(frame)) == frame


@then("{count:d} random frames are refused or decoded into values of their fields' types")
def random_frames(_context, count):
    generated = random.Random(count)
    for _ in range(count):
        check_frame(generated.randbytes(generated.randrange(40)))
    check_random(count, st.binary(), check_frame)


@then("{count:d} altered frames are refused or decoded into values of their fields' types")
def altered(_context, count):
    check_random(count, altered_frames(), check_frame)
