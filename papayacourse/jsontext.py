"""Parses JSON that other programs wrote."""

import json
from typing import Any


def parse(text: str | bytes) -> Any:
    """Parse a JSON text.

    Raises
    ------
    ValueError
        If the text is not JSON, or is nested more deeply than the parser can follow.
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
