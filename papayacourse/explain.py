"""Puts the story of one request together from the logs of several daemons."""

import json
from collections.abc import Iterable, Iterator

FIRST = ("timestamp", "daemon", "level", "message_type")
OMITTED_FIELDS = frozenset({*FIRST, "request", "task_uuid", "task_level"})


def records_of(request: str, lines: Iterable[str]) -> Iterator[dict]:
    """Yield the log records that name a request; what is no record is passed over."""
    for line in lines:
        begin = line.find("{")
        if begin < 0 or request not in line:
            continue
        try:
            record = json.loads(line[begin:])
        except ValueError:
            continue
        if isinstance(record, dict) and record.get("request") == request:
            yield record


def format_record(record: dict, began: float) -> str:
    """Return one record as a line: seconds from the first one, daemon, event, and its inputs."""
    seconds = float(record.get("timestamp", began)) - began
    fields = (f"{name}={value}" for name, value in record.items() if name not in OMITTED_FIELDS)
    event = record.get("message_type", "")
    return f"{seconds:9.3f} s  {record.get('daemon', '')}: {event}  {' '.join(fields)}".rstrip()


def explain_request(request: str, lines: Iterable[str]) -> list[str]:
    """Return what logs say of a request, in the order of time."""
    records = sorted(records_of(request, lines), key=lambda r: float(r.get("timestamp", 0.0)))
    began = float(records[0].get("timestamp", 0.0)) if records else 0.0
    return [format_record(record, began) for record in records]
