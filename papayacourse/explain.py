"""Reconstructs the history of one request from the logs of several daemons."""

import json
import math
from collections.abc import Iterable, Iterator

from papayacourse import jsontext
from papayacourse.printable import printable

FIRST = ("timestamp", "daemon", "level", "message_type")
OMITTED_FIELDS = frozenset({*FIRST, "request", "task_uuid", "task_level"})


def matching_records(request: str, lines: Iterable[str]) -> Iterator[dict]:
    """Yield the log records of a request; lines that are not records are skipped."""
    forms = [json.dumps(request, ensure_ascii=ascii)[1:-1] for ascii in (False, True)]
    for line in lines:
        begin = line.find("{")
        if begin < 0 or not any(form in line for form in forms):
            continue
        try:
            record = jsontext.parse(line[begin:])
        except ValueError:
            continue
        if isinstance(record, dict) and record.get("request") == request:
            yield record


def time_of(record: dict) -> float | None:
    """Return the time of a record in seconds of the epoch, or None if it has none."""
    try:
        at = float(record["timestamp"])
    except (KeyError, TypeError, ValueError, OverflowError):
        return None
    return at if math.isfinite(at) else None


def sort_key(record: dict) -> tuple[bool, float]:
    """Return the place of a record; those without a time come last."""
    at = time_of(record)
    return at is None, at or 0.0


def format_record(record: dict, started_at: float) -> str:
    """Return one record as a line: seconds since the first record, daemon, event, and fields."""
    at = time_of(record)
    seconds = f"{at - started_at:9.3f} s" if at is not None else " no time   "
    fields = (f"{name}={value}" for name, value in record.items() if name not in OMITTED_FIELDS)
    event = record.get("message_type", "")
    text = f"{seconds}  {record.get('daemon', '')}: {event}  {' '.join(fields)}"
    return printable(text.rstrip())


def explain_request(request: str, lines: Iterable[str]) -> list[str]:
    """Return the log records of a request as lines, in time order, those without a time last."""
    found = list(matching_records(request, lines))
    known = [at for at in map(time_of, found) if at is not None]
    started_at = min(known, default=0.0)
    found.sort(key=sort_key)
    return [format_record(record, started_at) for record in found]
