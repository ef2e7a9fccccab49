"""Decodes the values in messages between daemons: each must have exactly its field's type."""

import enum
import functools
import math
import re
import types
import typing
from collections.abc import Callable
from typing import Any

import attrs
from tornado.httputil import HTTPHeaders, HTTPInputError

from papayacourse.relaymessages import MAX_RELAYED_BODY
from papayacourse.types import (
    HttpMethod,
    PastSeconds,
    RelayedBody,
    RequestTarget,
    UnboundedSeconds,
)

MIN_INTEGER, MAX_INTEGER = -(1 << 63), (1 << 64) - 1
HEADERS = tuple[tuple[str, str], ...]
MAX_HEAD = 256 * 1024  # characters, of a request's target or of all headers
METHOD = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,200}")
TARGET = re.compile(rf"[\x21-\x7e\x80-\xff]{{1,{MAX_HEAD}}}")

Reader = Callable[[Any], Any]


@functools.cache
def reader(kind: Any) -> Reader:
    """Return the function that decodes a value of a type, and raises ValueError for any other."""
    arguments = typing.get_args(kind)
    match typing.get_origin(kind):
        case _ if kind in READERS:
            return READERS[kind]
        case types.UnionType | typing.Union:
            return optional(reader(next(each for each in arguments if each is not type(None))))
        case origin if origin is tuple and arguments[-1] is Ellipsis:
            return sequence(reader(arguments[0]))
        case origin if origin is tuple:
            return group([reader(each) for each in arguments])
    if attrs.has(kind):
        return record(kind)
    if issubclass(kind, enum.Enum):
        return member(kind)
    raise TypeError(f"a message has a field of type {kind}, which cannot be decoded")


def refuse(value: Any, wanted: str) -> ValueError:
    """Return the error for a value of a wrong type."""
    return ValueError(f"{type(value).__name__} for {wanted}")


def exactly(kind: type) -> Reader:
    """Return the reader of values of one type, which subclasses are not."""

    def read(value: Any) -> Any:
        if type(value) is not kind:
            raise refuse(value, kind.__name__)
        return value

    return read


def read_number(value: Any) -> int | float:
    """Return a number that is not NaN and that has the size of a machine's integers."""
    if type(value) not in (int, float) or value != value:
        raise refuse(value, "a number")
    if type(value) is int and not MIN_INTEGER <= value <= MAX_INTEGER:
        raise ValueError("an integer of more than 64 bits")
    return value


def read_finite(value: Any) -> float:
    """Return a finite floating-point number."""
    number = float(read_number(value))
    if math.isinf(number):
        raise ValueError("an infinite number")
    return number


def read_unbounded(value: Any) -> float:
    """Return a floating-point number that may be positive infinity."""
    number = float(read_number(value))
    return number if number == math.inf else read_finite(number)


def read_past(value: Any) -> float:
    """Return a finite floating-point number that is not below zero."""
    number = read_finite(value)
    if number < 0:
        raise ValueError("a time that has not come yet")
    return number


def read_integer(value: Any) -> int:
    """Return an integer; the fraction of a floating-point number is dropped."""
    return read_number(int(read_finite(value)) if type(value) is float else value)


def read_headers(value: Any) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request or an answer, which can be written to a connection."""
    pairs = sequence(group([exactly(str), exactly(str)]))(value)
    if sum(len(name) + len(text) for name, text in pairs) > MAX_HEAD:
        raise ValueError(f"headers of more than {MAX_HEAD} characters")
    headers = HTTPHeaders()
    try:
        for name, text in pairs:
            headers.add(name, text)
    except HTTPInputError as error:
        raise ValueError("headers that cannot be sent") from error
    return pairs


def matching(pattern: re.Pattern[str], wanted: str) -> Reader:
    """Return the reader of texts that a pattern matches as a whole."""
    read_text = exactly(str)

    def read(value: Any) -> str:
        if not pattern.fullmatch(read_text(value)):
            raise ValueError(f"a text that is not {wanted}")
        return value

    return read


def read_body(value: Any) -> bytes:
    """Return the body of a relayed request."""
    body = exactly(bytes)(value)
    if len(body) > MAX_RELAYED_BODY:
        raise ValueError(f"a body of more than {MAX_RELAYED_BODY} bytes")
    return body


def optional(read: Reader) -> Reader:
    """Return the reader of values that may be None."""
    return lambda value: None if value is None else read(value)


def sequence(read: Reader) -> Reader:
    """Return the reader of tuples of any length."""

    def read_all(value: Any) -> tuple:
        if type(value) is not list:
            raise refuse(value, "an array")
        return tuple([read(each) for each in value])

    return read_all


def group(readers: list[Reader]) -> Reader:
    """Return the reader of tuples with one reader for each member."""

    def read_each(value: Any) -> tuple:
        if type(value) is not list or len(value) != len(readers):
            raise refuse(value, f"an array of {len(readers)}")
        return tuple([read(each) for read, each in zip(readers, value, strict=True)])

    return read_each


def record(kind: type) -> Reader:
    """Return the reader of a class; later builds may have added fields at its end."""
    fields = attrs.fields(attrs.resolve_types(kind))
    readers = [reader(field.type) for field in fields]
    required = sum(field.default is attrs.NOTHING for field in fields)

    def read_fields(value: Any) -> Any:
        if type(value) is not list or len(value) < required:
            raise refuse(value, f"the fields of {kind.__name__}")
        return kind(*[read(each) for read, each in zip(readers, value, strict=False)])

    return read_fields


def member(kind: type[enum.Enum]) -> Reader:
    """Return the reader of an enumeration."""

    def read(value: Any) -> enum.Enum:
        if type(value) is not str:
            raise refuse(value, kind.__name__)
        return kind(value)

    return read


READERS = {
    str: exactly(str), bytes: exactly(bytes), bool: exactly(bool), int: read_integer,
    float: read_finite, UnboundedSeconds: read_unbounded, PastSeconds: read_past,
    HEADERS: read_headers, HttpMethod: matching(METHOD, "a method of HTTP"),
    RequestTarget: matching(TARGET, "a request's target"), RelayedBody: read_body,
}  # fmt: skip
