"""Logging of numbered events.

Every log line of the system is a member of `Event` and is logged by `emit`.
`docs/events.md` explains each event to operators; a test checks that both
agree. A line is written either as text,

    2026-01-31T12:00:00.000+00:00 INFO E1001 node-started node=a address=..

or as a JSON object with the same values and a sentence in `message`.
"""

import enum
import logging
import string
import sys
from typing import Any, TextIO, TYPE_CHECKING

from loguru import logger
import msgspec

from chervilrock.catalogue import Event, Level

if TYPE_CHECKING:
    import loguru

__all__ = ["Event", "Level", "LogFormat", "configure_logging", "emit"]

UNQUOTED_CHARACTERS = frozenset(
    string.ascii_letters + string.digits + "_.:/-+@,%[]()*"
)


class LogFormat(enum.StrEnum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class _LogConfiguration:
    """Log level and strictness of this process; global like loguru's logger."""

    level: Level = Level.DEBUG
    strict: bool = True


def emit(event: Event, **fields: Any) -> None:
    """Logs an event.

    Args:
      event: the event
      **fields: exactly the fields that the template of the event names

    Raises:
      ValueError: the fields do not match and logging is strict, as it is
        before `configure_logging`. Otherwise `EVENT_MALFORMED` is logged as
        well, because a malformed log line must not stop a request.
    """
    if fields.keys() != event.fields:
        _report_mismatch(event, fields)
    if event.level < _LogConfiguration.level:
        return
    bound = logger.bind(event=event, fields=fields)
    bound.log(event.level.name, render_text(event, fields))


def render_text(event: Event, fields: dict[str, Any]) -> str:
    """Returns number, name and fields of an event as a line of text."""
    parts = [f"E{event.number} {event.title}"]
    for name, value in fields.items():
        parts.append(f"{name}={quote(str(value))}")
    return " ".join(parts)


def quote(value: str) -> str:
    """Returns a value as is, or in JSON quotes if it has unsafe characters."""
    if value and UNQUOTED_CHARACTERS.issuperset(value):
        return value
    return msgspec.json.encode(value).decode()


def render_json(event: Event, fields: dict[str, Any], time: str) -> str:
    """Returns an event as a JSON object on one line.

    Args:
      event: the event
      fields: its values; those without a JSON representation become strings
      time: time of the event in ISO 8601
    """
    line = {
        "time": time,
        "level": event.level.name,
        "number": event.number,
        "event": event.title,
    }
    line.update(fields)
    if fields.keys() >= event.fields:
        line["message"] = event.template.format_map(fields)
    return msgspec.json.encode(line, enc_hook=str).decode()


def configure_logging(
    log_format: str = LogFormat.TEXT,
    level: str = Level.INFO.name,
    sink: TextIO | None = None,
    *,
    strict: bool = False,
) -> None:
    """Configures the format, level and sink of all log lines of this process.

    Messages of libraries that use the logging module of the standard library
    become `LIBRARY_MESSAGE` events if their level is WARNING or higher.

    Args:
      log_format: a value of `LogFormat`
      level: name of the lowest `Level` that is written
      sink: an open text file; standard error by default
      strict: whether `emit` raises an error if fields do not match

    Raises:
      ValueError: the format is unknown.
      KeyError: the level is unknown.
    """
    formats = {LogFormat.TEXT: _format_text, LogFormat.JSON: _format_json}
    chosen = formats[LogFormat(log_format)]
    _LogConfiguration.level = Level[level]
    _LogConfiguration.strict = strict
    logger.remove()
    logger.add(
        sys.stderr if sink is None else sink,
        level=level,
        format=chosen,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)


class _LibraryHandler(logging.Handler):
    """Logs messages of libraries as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a message of a library."""
        text = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            text = f"{text}: {record.exc_info[1]!r}"
        emit(Event.LIBRARY_MESSAGE, library=record.name, text=text)


def _report_mismatch(event: Event, fields: dict[str, Any]) -> None:
    """Raises or logs an error about the fields of an event."""
    difference = ",".join(sorted(event.fields ^ fields.keys()))
    if _LogConfiguration.strict:
        raise ValueError(f"{event.title} has wrong fields: {difference}")
    emit(Event.EVENT_MALFORMED, event_name=event.title, difference=difference)


def _format_text(record: "loguru.Record") -> str:
    """Returns the loguru template for a line of text."""
    record["extra"]["time"] = _format_time(record)
    return "{extra[time]} {level.name} {message}\n"


def _format_json(record: "loguru.Record") -> str:
    """Returns the loguru template for a line of JSON."""
    extra = record["extra"]
    extra["line"] = render_json(
        extra["event"], extra["fields"], _format_time(record)
    )
    return "{extra[line]}\n"


def _format_time(record: "loguru.Record") -> str:
    """Returns the time of a record in ISO 8601, to the millisecond."""
    return record["time"].isoformat(timespec="milliseconds")
