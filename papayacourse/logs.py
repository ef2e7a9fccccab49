"""Writes the daemon's log as JSON lines through eliot."""

import contextvars
import enum
import sys

import eliot

from papayacourse import logline
from papayacourse.boundedwriter import BoundedWriter


class LogLevel(enum.IntEnum):
    """The severity of a line; a threshold includes all levels above it."""

    ERROR = 40
    WARNING = 30
    INFO = 20
    DEBUG = 10


threshold = LogLevel.INFO
output: BoundedWriter | None = None
bound: contextvars.ContextVar[str] = contextvars.ContextVar("request", default="")


def bind(request: str) -> None:
    """Add a request's id to every later line of this task and of tasks it starts."""
    bound.set(request)


def request() -> str:
    """Return the id of the request that this task works on; empty if there is none."""
    return bound.get()


def start(level: str, daemon: str) -> None:
    """Write log lines at or above a level to standard output.

    The number of lines per second is limited, and writes never wait for the reader.

    Parameters
    ----------
    level : str
        One of ``error``, ``warning``, ``info``, ``debug``.
    daemon : str
        The daemon's name, added to every line.
    """
    global threshold, output
    threshold = LogLevel[level.upper()]
    eliot.add_global_fields(daemon=daemon)
    if output is None:
        output = BoundedWriter(sys.stdout.fileno())
        eliot.add_destinations(write_line)


def write_line(message: dict) -> None:
    """Write a message of eliot as one line."""
    output.write(logline.encode(message))
    output.flush()


def write(level: LogLevel, event: str, **fields) -> None:
    """Write one line unless its level is below the threshold."""
    if level >= threshold:
        if bound.get():
            fields.setdefault("request", bound.get())
        eliot.log_message(message_type=event, level=level.name.lower(), **fields)


def error(event: str, **fields) -> None:
    """Log a failure that needs an operator's attention."""
    write(LogLevel.ERROR, event, **fields)


def warning(event: str, **fields) -> None:
    """Log an unusual event that the daemon has handled."""
    write(LogLevel.WARNING, event, **fields)


def info(event: str, **fields) -> None:
    """Log an ordinary change of state."""
    write(LogLevel.INFO, event, **fields)


def debug(event: str, **fields) -> None:
    """Log a detail that is useful only for debugging."""
    write(LogLevel.DEBUG, event, **fields)


def failure(event: str, problem: BaseException, **fields) -> None:
    """Log an unexpected exception with its traceback."""
    error(
        event,
        error=logline.error_text(problem),
        traceback=logline.traceback_text(problem),
        **fields,
    )
