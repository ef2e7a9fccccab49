"""Parses JSON that other programs wrote."""

import json
import math
import re
from typing import Any

# An escape of any half of a pair, which may be a whole pair's, or a half that is not escaped.
SURROGATE = re.compile(r"\\u[dD][89a-fA-F]|[\ud800-\udfff]")


def parse(text: str | bytes) -> Any:
    """Parse a JSON text into values that can be encoded again.

    Halves of surrogate pairs, and bytes that are not UTF-8, are replaced by their escapes, since
    nothing could hash, log or send them. Equal texts stay equal.

    Raises
    ------
    ValueError
        If the text is not JSON, is nested more deeply than the parser can follow, or has a number
        that is not finite.
    """
    if isinstance(text, bytes):
        text = text.decode("utf-8", "backslashreplace")
    value = load(text)
    try:
        return escape_surrogates(value) if SURROGATE.search(text) else value
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def parse_object(text: str | bytes) -> dict:
    """Parse a JSON text that must be an object.

    Raises
    ------
    ValueError
        If `parse` raises it, or if the text is something else than an object.
    """
    try:
        value = parse(text)
    except ValueError as error:
        raise ValueError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise ValueError("not an object")
    return value


def parse_exact(text: str | bytes) -> Any:
    """Parse a JSON text whose content is passed on exactly as it is.

    Raises
    ------
    ValueError
        As for `parse`, and for halves of surrogate pairs and bytes that are not UTF-8.
    """
    if isinstance(text, bytes):
        text = text.decode("utf-8")
    value = load(text)
    if SURROGATE.search(text):
        json.dumps(value, ensure_ascii=False).encode("utf-8")
    return value


def load(text: str, decoder: json.JSONDecoder | None = None) -> Any:
    """Parse a JSON text; its strings may hold halves of surrogate pairs.

    Parameters
    ----------
    decoder : JSONDecoder, optional
        `ANY_NUMBER` for a caller that checks each number that it uses; `FINITE` by default.
    """
    try:
        return (decoder or FINITE).decode(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def finite(number: str) -> float:
    """Return a float; raise ValueError if it is not finite."""
    value = float(number)
    if not math.isfinite(value):
        raise ValueError(f"{number[:20]} is not a finite number")
    return value


FINITE = json.JSONDecoder(parse_float=finite, parse_constant=finite)
ANY_NUMBER = json.JSONDecoder()


def escape_surrogates(value: Any) -> Any:
    """Return a parsed value with the halves of surrogate pairs in its texts escaped."""
    match value:
        case str():
            return value.encode("utf-8", "backslashreplace").decode()
        case list():
            return [escape_surrogates(member) for member in value]
        case dict():
            return {
                escape_surrogates(name): escape_surrogates(member) for name, member in value.items()
            }
    return value
