"""Writes the daemon's log as JSON lines through eliot."""

import contextvars
import enum
import sys
import traceback

import eliot

from papayacourse.boundedwriter import BoundedWriter


class LogLevel(enum.IntEnum):
    """How much is written; each level includes those above it."""

    ERROR = 40
    WARNING = 30
    INFO = 20
    DEBUG = 10


threshold = LogLevel.INFO
output: BoundedWriter | None = None
bound: contextvars.ContextVar[str] = contextvars.ContextVar("request", default="")


def bind(request: str) -> None:
    """Write a request's id on every later line of this task and those it starts."""
    bound.set(request)


def request() -> str:
    """Return the request's id that this task works for; empty for none."""
    return bound.get()


def start(level: str, daemon: str) -> None:
    """Send every log line at or above a level to standard output.

    A bounded number is written each second, and nothing waits for whoever reads them.

    Parameters
    ----------
    level : str
        One of ``error``, ``warning``, ``info``, ``debug``.
    daemon : str
        The daemon's name, written on every line.
    """
    global threshold, output
    threshold = LogLevel[level.upper()]
    eliot.add_global_fields(daemon=daemon)
    if output is None:
        output = BoundedWriter(sys.stdout.fileno())
        eliot.to_file(output)


def write(level: LogLevel, event: str, **fields) -> None:
    """Write one line, unless the level is below the threshold."""
    if level >= threshold:
        if bound.get():
            fields.setdefault("request", bound.get())
        eliot.log_message(message_type=event, level=level.name.lower(), **fields)


def error(event: str, **fields) -> None:
    """Write a line about a failure that needs somebody's eyes."""
    write(LogLevel.ERROR, event, **fields)


def warning(event: str, **fields) -> None:
    """Write a line about something unusual that the daemon has dealt with."""
    write(LogLevel.WARNING, event, **fields)


def info(event: str, **fields) -> None:
    """Write a line about an ordinary change of state."""
    write(LogLevel.INFO, event, **fields)


def debug(event: str, **fields) -> None:
    """Write a line that only somebody hunting a fault wants."""
    write(LogLevel.DEBUG, event, **fields)


def failure(event: str, problem: BaseException, **fields) -> None:
    """Write a line about an error that nobody expected, with its traceback."""
    error(
        event, error=repr(problem), traceback="".join(traceback.format_exception(problem)), **fields
    )
