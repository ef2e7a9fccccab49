"""Reconstructs the history of one request from the logs of several daemons."""

from collections.abc import Iterable, Iterator

from papayacourse import jsontext

FIRST = ("timestamp", "daemon", "level", "message_type")
OMITTED_FIELDS = frozenset({*FIRST, "request", "task_uuid", "task_level"})


def matching_records(request: str, lines: Iterable[str]) -> Iterator[dict]:
    """Yield the log records of a request; lines that are not records are skipped."""
    for line in lines:
        begin = line.find("{")
        if begin < 0 or request not in line:
            continue
        try:
            record = jsontext.parse(line[begin:])
        except ValueError:
            continue
        if isinstance(record, dict) and record.get("request") == request:
            yield record


def format_record(record: dict, started_at: float) -> str:
    """Return one record as a line: seconds since the first record, daemon, event, and fields."""
    seconds = float(record.get("timestamp", started_at)) - started_at
    fields = (f"{name}={value}" for name, value in record.items() if name not in OMITTED_FIELDS)
    event = record.get("message_type", "")
    return f"{seconds:9.3f} s  {record.get('daemon', '')}: {event}  {' '.join(fields)}".rstrip()


def explain_request(request: str, lines: Iterable[str]) -> list[str]:
    """Return the log records of a request as lines, in time order."""
    records = sorted(matching_records(request, lines), key=lambda r: float(r.get("timestamp", 0.0)))
    started_at = float(records[0].get("timestamp", 0.0)) if records else 0.0
    return [format_record(record, started_at) for record in records]
