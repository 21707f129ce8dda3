"""Parsing and validation of the request headers of callers.

All problems are collected with their location, so that a caller gets them in
a single error.
"""

from collections.abc import Mapping
import re
from typing import NamedTuple

from returns.result import Failure, Result, Success

DEFAULT_WORKSPACE = "default"
DEFAULT_PRIORITY = 5
MAX_NAME_CHARS = 200
MAX_KEY_CHARS = 200
MAX_DEADLINE_MS = 24 * 3600 * 1000

_MS_PER_S = 1000.0
_BOOLEANS = {"true": True, "false": False}
_MAX_DIGITS = 12
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@-]*")
_KEY = re.compile(r"[\x21-\x7e]+")


class Finding(NamedTuple):
    """A problem in a request.

    Attributes:
      location: header or field of the body.
      problem: description of the problem.
    """

    place: str
    problem: str


def format_findings(findings: tuple[Finding, ...]) -> str:
    """Returns all findings as one line."""
    return "; ".join(f"{place}: {problem}" for place, problem in findings)


class CallerHeaders(NamedTuple):
    """Parsed headers of a caller.

    Attributes:
      workspace: workspace of the caller.
      priority: 0 (highest) to 9 (lowest).
      timeout_s: time in seconds that the caller waits, None if not given.
      idempotent: whether the request may run twice, None if not given.
      key: ticket or idempotency key, empty for none.
    """

    workspace: str
    priority: int
    timeout_s: float | None
    idempotent: bool | None
    key: str


Findings = tuple[Finding, ...]


def parse_headers(
    headers: Mapping[str, str],
) -> Result[CallerHeaders, Findings]:
    """Parses the headers that callers may add.

    Args:
      headers: headers by name, with case-insensitive lookup.

    Returns:
      The values, with defaults for missing headers, or all problems.
    """
    findings: list[Finding] = []
    parsed = CallerHeaders(
        workspace=_parse_workspace(headers, findings),
        priority=_parse_priority(headers, findings),
        timeout_s=_parse_deadline(headers, findings),
        idempotent=_parse_idempotent(headers, findings),
        key=_parse_key(headers, findings),
    )
    return Failure(tuple(findings)) if findings else Success(parsed)


def _parse_workspace(
    headers: Mapping[str, str], findings: list[Finding]
) -> str:
    value = headers.get("X-Workspace", DEFAULT_WORKSPACE)
    if len(value) > MAX_NAME_CHARS or not NAME.fullmatch(value):
        findings.append(Finding("header X-Workspace", "is not a name"))
    return value


def _parse_priority(headers: Mapping[str, str], findings: list[Finding]) -> int:
    value = headers.get("X-Priority", str(DEFAULT_PRIORITY))
    if len(value) != 1 or value not in "0123456789":
        findings.append(Finding("header X-Priority", "is not 0 to 9"))
        return DEFAULT_PRIORITY
    return int(value)


def _parse_deadline(
    headers: Mapping[str, str], findings: list[Finding]
) -> float | None:
    value = headers.get("X-Deadline-Ms")
    if value is None:
        return None
    number = parse_count(value)
    if number is None or not 0 < number <= MAX_DEADLINE_MS:
        problem = f"is not 1 to {MAX_DEADLINE_MS}"
        findings.append(Finding("header X-Deadline-Ms", problem))
        return None
    return number / _MS_PER_S


def parse_count(value: str) -> int | None:
    """Parses a non-negative integer, returns None if it is malformed."""
    if not value.isascii() or not value.isdigit():
        return None
    return int(value) if len(value) <= _MAX_DIGITS else None


def _parse_idempotent(
    headers: Mapping[str, str], findings: list[Finding]
) -> bool | None:
    value = headers.get("X-Idempotent")
    if value is not None and value not in _BOOLEANS:
        findings.append(Finding("header X-Idempotent", "is not true or false"))
    return None if value is None else _BOOLEANS.get(value)


def _parse_key(headers: Mapping[str, str], findings: list[Finding]) -> str:
    value = headers.get("Idempotency-Key", "")
    if "Idempotency-Key" not in headers:
        return ""
    if len(value) > MAX_KEY_CHARS or not _KEY.fullmatch(value):
        problem = f"is not 1 to {MAX_KEY_CHARS} visible ASCII characters"
        findings.append(Finding("header Idempotency-Key", problem))
    return value
