"""Decodes what a server states of itself in the headers of its answers."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
import datetime
import email.utils
import re

from chervilrock.decisions.serving.messages import (
    ServerStatement,
    StatedDeparture,
    StatedLimit,
    StatedPause,
)

MISDIRECTED = 421
"""Status of a server that is not the intended one, or not the head of a
group."""

LEAVING = "server-leaving"
LEAVING_VALUE = "1"

_LIMIT = "server-limit"
_RETRY_AFTER = "retry-after"
_DATE = "date"

_UNAVAILABLE = 503
_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)
_HTTP_DATE = re.compile(r"[A-Z][a-z]{2,8},? [A-Za-z0-9: -]+", re.ASCII)
_MAX_LIMIT_PER_S = 1e9  # requests per second; a greater limit has no effect
_MAX_PAUSE_S = 1e9
_MAX_SHOWN_CHARS = 40  # characters kept of a malformed value
_EMPTY = "nothing"

Values = Mapping[str, Sequence[str]]
"""Values of each header of an answer, by its name in lower case."""


def read_statement(
    status: int, pairs: Iterable[tuple[str, str]], unix_time_s: float
) -> ServerStatement:
    """Return what the head of an answer states of its server.

    An answer with status 421 may be from another server that has taken over
    the address. Then the intended server has ended, so an answer that says
    that its server leaves is true of the intended one as well.

    Args:
      status: HTTP status.
      pairs: names and values of the headers.
      unix_time_s: current time of day, for a pause that is stated as a date.
    """
    values: dict[str, list[str]] = defaultdict(list)
    for name, value in pairs:
        values[name.lower()].append(value.strip())
    is_intended = status != MISDIRECTED
    return ServerStatement(
        limit=_read_limit(values) if is_intended else None,
        pause=_read_pause(values, unix_time_s)
        if status == _UNAVAILABLE
        else StatedPause(0.0),
        departure=_read_departure(values),
    )


def _read_limit(values: Values) -> StatedLimit:
    """Return the rate limit, which is the last one of several."""
    texts = values.get(_LIMIT)
    if not texts:
        return StatedLimit(None)
    if not _DECIMAL.fullmatch(texts[-1]):
        return StatedLimit(None, unreadable=_shorten(texts[-1]))
    return StatedLimit(min(float(texts[-1]), _MAX_LIMIT_PER_S))


def _read_pause(values: Values, unix_time_s: float) -> StatedPause:
    """Return the pause, which is the longest one of several."""
    longest_s = 0.0
    unreadable = ""
    for text in values.get(_RETRY_AFTER, ()):
        pause_s = _parse_pause(text, values, unix_time_s)
        if pause_s is None:
            unreadable = _shorten(text)
        else:
            longest_s = max(longest_s, min(pause_s, _MAX_PAUSE_S))
    return StatedPause(longest_s, unreadable=unreadable)


def _parse_pause(text: str, values: Values, unix_time_s: float) -> float | None:
    """Return a pause in seconds, None for an invalid value.

    A date is compared to the date of the answer, which is from the same clock,
    and without one to the clock of this host.
    """
    if _DECIMAL.fullmatch(text):
        return float(text)
    end_s = _parse_date(text)
    if end_s is None:
        return None
    for sent in values.get(_DATE, ()):
        sent_s = _parse_date(sent)
        if sent_s is not None:
            return max(0.0, end_s - sent_s)
    return max(0.0, end_s - unix_time_s)


def _parse_date(text: str) -> float | None:
    """Return an HTTP date in seconds since the epoch, None if malformed."""
    if not _HTTP_DATE.fullmatch(text):
        return None
    try:
        date = email.utils.parsedate_to_datetime(text)
        if date.tzinfo is None:
            date = date.replace(tzinfo=datetime.UTC)
        return date.timestamp()
    except (ValueError, TypeError, IndexError, OverflowError):
        return None


def _read_departure(values: Values) -> StatedDeparture:
    """Return whether the server says that it leaves."""
    texts = values.get(LEAVING, ())
    if LEAVING_VALUE in texts:
        return StatedDeparture(is_leaving=True)
    unreadable = _shorten(texts[-1]) if texts else ""
    return StatedDeparture(is_leaving=False, unreadable=unreadable)


def _shorten(text: str) -> str:
    """Return a malformed value as it is logged."""
    return text[:_MAX_SHOWN_CHARS] or _EMPTY
