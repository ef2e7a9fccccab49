"""Encodes a log line as JSON, whatever its fields hold."""

import json
import math
import traceback
from typing import Any

import orjson
from attrs import define
from eliot.json import json_default

MAX_LINE_BYTES = 64 * 1024  # a longer line is cut
MAX_FIELD_CHARACTERS = 8 * 1024  # of a field of a line that is encoded again
MAX_CUT_CHARACTERS = 16 * 1024  # of a line that is too long all the same, shared by its fields
MAX_FIELDS = 100  # of a line that is encoded again
MAX_NAME_CHARACTERS = 100
MAX_DEPTH = 8
CUT = "..."
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1


def encode(message: dict[str, Any]) -> bytes:
    """Return a message as one line of JSON.

    A line that has a value that JSON cannot hold, or that is too long, is encoded again: halves
    of surrogate pairs are escaped, other values become text, and long values are cut.
    """
    try:
        line = orjson.dumps(message, default=json_default)
    except Exception:
        # The line is written in another way, so there is nothing to log.
        return encode_cut(message)
    return line + b"\n" if len(line) <= MAX_LINE_BYTES else encode_cut(message)


def encode_cut(message: dict[str, Any]) -> bytes:
    """Return a message as one line of JSON of bounded length."""
    line = encode_fields(message, MAX_FIELD_CHARACTERS)
    if len(line) <= MAX_LINE_BYTES:
        return line
    return encode_fields(message, MAX_CUT_CHARACTERS // min(len(message), MAX_FIELDS))


def encode_fields(message: dict[str, Any], room: int) -> bytes:
    """Return a message as one line of JSON, each of its fields in so many characters."""
    fields = {
        cut_text(name, MAX_NAME_CHARACTERS): FieldEncoder(room).encodable(value)
        for name, value in list(message.items())[:MAX_FIELDS]
    }
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def error_text(problem: BaseException) -> str:
    """Return an exception as text; one that fails to describe itself is named by its class."""
    try:
        return repr(problem)
    except Exception as error:
        return f"{type(problem).__name__}, whose repr raised {type(error).__name__}"


def traceback_text(problem: BaseException) -> str:
    """Return the traceback of an exception as text."""
    try:
        return "".join(traceback.format_exception(problem))
    except Exception as error:
        return f"formatting the traceback raised {type(error).__name__}"


def cut_text(text: str, room: int) -> str:
    """Return a text with halves of surrogate pairs escaped; the middle of a long one is cut."""
    if len(text) > room:
        half = max(1, room // 2)
        text = f"{text[:half]}{CUT}{len(text) - 2 * half} characters cut{CUT}{text[-half:]}"
    return text.encode("utf-8", "backslashreplace").decode()


@define
class FieldEncoder:
    """Converts one field to values that JSON can hold.

    Attributes
    ----------
    room : int
        The number of characters left for the field.
    """

    room: int

    def encodable(self, value: Any, depth: int = 0) -> Any:
        """Return a value that JSON can hold."""
        if self.room <= 0 or depth > MAX_DEPTH:
            return CUT
        try:
            return self._convert(value, depth)
        except Exception as error:
            return self._text(f"{type(value).__name__}, which raised {type(error).__name__}")

    def _convert(self, value: Any, depth: int) -> Any:
        match value:
            case None | bool():
                self.room -= 1
                return value
            case str():
                return self._text(value)
            case int():
                return self._integer(value)
            case float():
                self.room -= 1
                return float(value) if math.isfinite(value) else None
            case dict():
                return self._members(value, depth)
            case list() | tuple() | set() | frozenset():
                return self._list(value, depth)
            case bytes() | bytearray():
                return self._text(repr(bytes(value[: self.room])))
        return self._text(repr(value))

    def _text(self, text: str) -> str:
        cut = cut_text(text, self.room)
        self.room -= len(cut) + 1
        return cut

    def _integer(self, value: int) -> int | str:
        if MIN_INTEGER <= value <= MAX_INTEGER:
            self.room -= 1
            return int(value)
        # Decimal digits are limited by the interpreter, hexadecimal ones are not.
        return self._text(f"{value:#x}")

    def _members(self, value: dict, depth: int) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for name, member in value.items():
            if self.room <= 0:
                found[CUT] = f"{len(value)} members"
                break
            shown = self._text(name if isinstance(name, str) else repr(name))
            found[shown] = self.encodable(member, depth + 1)
        return found

    def _list(self, value: list | tuple | set | frozenset, depth: int) -> list[Any]:
        found: list[Any] = []
        for member in value:
            if self.room <= 0:
                found.append(f"{CUT}{len(value)} members")
                break
            found.append(self.encodable(member, depth + 1))
        return found
