"""Findings: what is wrong with an input, where, and how to fix it.

Serving processes import this module, so it must not load YAML, JSON Schema or
the command line.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple

MAX_QUOTE_CHARACTERS = 60
MAX_HINT_NAME_CHARACTERS = 64
MIN_SIMILARITY = 0.6


class FindingCode(enum.StrEnum):
    """Stable identifier of a kind of finding, documented for operators."""

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
    """A fault in an input, with its location.

    Attributes:
      file: name of the file, or the flag or variable of a setting
      line: line number from 1, or 0 if the input has no lines
      column: column in characters from 1, or 0 if the input has no lines
      code: kind of the finding
      message: what is wrong
      hint: how to fix it, or an empty string
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
    """A fault in a value, without its location.

    Attributes:
      code: kind of the finding
      message: what is wrong, without the location
      hint: how to fix it, or an empty string
    """

    code: FindingCode
    message: str
    hint: str = ""


def sort_findings(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    """Sort findings by location and remove duplicates."""
    return tuple(sorted(set(findings)))


def quote_value(value: object) -> str:
    """Return a value as short, printable text on one line."""
    text = repr(value)
    if len(text) <= MAX_QUOTE_CHARACTERS:
        return text
    return text[: MAX_QUOTE_CHARACTERS - 3] + "..."


def find_nearest(
    name: str, known: Iterable[str], min_similarity: float = MIN_SIMILARITY
) -> str | None:
    """Return the most similar known name, or None if none is similar.

    Args:
      name: an unknown name
      known: the known names
      min_similarity: from 0 for any name to 1 for names that differ only in
        case
    """
    if len(name) > MAX_HINT_NAME_CHARACTERS:
        return None
    # Only an unknown name needs this, so serving processes rarely load it.
    import difflib

    by_lower = {item.lower(): item for item in known}
    near = difflib.get_close_matches(
        name.lower(), by_lower, n=1, cutoff=min_similarity
    )
    return by_lower[near[0]] if near else None


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a hint with the most similar known name, or an empty string."""
    nearest = find_nearest(name, known)
    return f"did you mean {quote_value(nearest)}?" if nearest else ""
