"""Findings: what is wrong with an input, where, and how to mend it.

This module is imported by serving processes and stays free of YAML, JSON
Schema and the command line.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple

QUOTE_LIMIT = 60
HINT_LIMIT = 64
LIKENESS = 0.6


class FindingCode(enum.StrEnum):
    """Stable name of a kind of finding; docs/configuration.md lists them."""

    FILE_TOO_LARGE = "file-too-large"
    BAD_ENCODING = "bad-encoding"
    BYTE_ORDER_MARK = "byte-order-mark"
    CONTROL_CHARACTER = "control-character"
    BROKEN_YAML = "broken-yaml"
    EMPTY_DOCUMENT = "empty-document"
    SEVERAL_DOCUMENTS = "several-documents"
    TOO_DEEP = "too-deep"
    TOO_MANY_VALUES = "too-many-values"
    ALIAS_EXPANSION = "alias-expansion"
    DUPLICATE_KEY = "duplicate-key"
    BAD_KEY = "bad-key"
    BAD_TAG = "bad-tag"
    WRONG_TYPE = "wrong-type"
    UNQUOTED_TEXT = "unquoted-text"
    AMBIGUOUS_VALUE = "ambiguous-value"
    MISSING_KEY = "missing-key"
    UNKNOWN_KEY = "unknown-key"
    TEXT_TOO_LONG = "text-too-long"
    TOO_MANY_FINDINGS = "too-many-findings"
    OUT_OF_RANGE = "out-of-range"
    BAD_FORM = "bad-form"
    UNKNOWN_CHOICE = "unknown-choice"
    DUPLICATE_NAME = "duplicate-name"
    UNKNOWN_DATA_CENTRE = "unknown-data-centre"
    GROUP_TOO_LARGE = "group-too-large"
    TOO_FEW_HOSTS = "too-few-hosts"
    TOO_MANY_SPARES = "too-many-spares"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_VERSION = "unknown-version"
    UNKNOWN_ADAPTER = "unknown-adapter"
    BAD_DATE = "bad-date"
    OVERLAPPING_PERIODS = "overlapping-periods"
    SHARE_TOO_SMALL = "share-too-small"
    MISSING_SETTING = "missing-setting"
    UNKNOWN_SETTING = "unknown-setting"
    BAD_NUMBER = "bad-number"
    BAD_ADDRESS = "bad-address"
    CONFLICTING_SETTINGS = "conflicting-settings"


class Finding(NamedTuple):
    """One fault of an input with its place.

    Attributes:
      file: name of the file, or the flag or variable of a setting
      line: line from 1, 0 when the input has no lines
      column: column in characters from 1, 0 when the input has no lines
      code: kind of the finding
      message: what is wrong
      hint: what to do about it, empty when there is nothing to add
    """

    file: str
    line: int
    column: int
    code: FindingCode
    message: str
    hint: str = ""

    def render(self) -> str:
        """Return the finding as `file:line:column: code: message`."""
        place = self.file
        if self.line:
            place = f"{self.file}:{self.line}:{self.column}"
        text = f"{place}: {self.code}: {self.message}"
        return f"{text} ({self.hint})" if self.hint else text


class Fault(NamedTuple):
    """What is wrong with a value, wherever it stands.

    Attributes:
      code: kind of the finding
      message: what is wrong, without the place
      hint: what to do about it
    """

    code: FindingCode
    message: str
    hint: str = ""


def sort_findings(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    """Order findings by their place and drop doubles."""
    return tuple(sorted(set(findings)))


def quote_value(value: object) -> str:
    """Return a value for a message: printable, on one line and short."""
    text = repr(value)
    if len(text) <= QUOTE_LIMIT:
        return text
    return text[: QUOTE_LIMIT - 3] + "..."


def find_nearest(
    name: str, known: Iterable[str], likeness: float = LIKENESS
) -> str | None:
    """Return the known name that is nearest, None when none is near.

    Args:
      name: a name that is not known
      known: the known names
      likeness: from 0 for any name to 1 for equal names but for the case
    """
    if len(name) > HINT_LIMIT:
        return None
    # Only needed for a name that is wrong, so a serving process spares it.
    import difflib

    by_lower = {item.lower(): item for item in known}
    near = difflib.get_close_matches(
        name.lower(), by_lower, n=1, cutoff=likeness
    )
    return by_lower[near[0]] if near else None


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a hint with the known name that is nearest, or an empty text."""
    nearest = find_nearest(name, known)
    return f"did you mean {quote_value(nearest)}?" if nearest else ""
