"""Converts YAML scalars, avoiding the surprises of YAML 1.1.

YAML 1.1 reads `1:30` as 90, `010` as 8 and `2024-01-31` as a date. Such plain
scalars become an `OddScalar`, which no schema type accepts, so that the
operator gets a hint to quote the text or to write a plain decimal number.
"""

import enum
import math
import re
from typing import NamedTuple

PREFIX = "tag:yaml.org,2002:"
STRING_TAGS = (f"{PREFIX}str", f"{PREFIX}value")
INTEGER_TAG = f"{PREFIX}int"
FLOAT_TAG = f"{PREFIX}float"
BOOLEAN_TAG = f"{PREFIX}bool"
NULL_TAG = f"{PREFIX}null"
DATE_TAG = f"{PREFIX}timestamp"
DECIMAL = re.compile(r"[-+]?(?:0|[1-9][0-9]{0,17})")
FRACTION = re.compile(r"[-+]?[0-9]{1,40}\.[0-9]{0,40}(?:[eE][-+][0-9]{1,3})?")
BOOLEANS = {"true": True, "false": False}
NULLS = ("", "~", "null", "Null", "NULL")


class OddKind(enum.StrEnum):
    """How YAML 1.1 reads a plain scalar that is not plain JSON."""

    NUMBER = "a number in a form that is not plain decimal"
    DATE = "a date"
    WORD = "a truth value"
    INVALID = "a value that cannot be read"


class OddScalar(NamedTuple):
    """A scalar that YAML 1.1 reads in a surprising way.

    Attributes:
      text: the scalar as written
      kind: how YAML 1.1 reads it
    """

    text: str
    kind: OddKind


Scalar = str | int | float | bool | None | OddScalar


def convert_scalar(text: str, tag: str) -> Scalar:
    """Return the value of a scalar; kind `INVALID` if its tag is unknown."""
    if tag in STRING_TAGS:
        return text
    if tag == INTEGER_TAG:
        return convert_integer(text)
    if tag == FLOAT_TAG:
        return convert_float(text)
    if tag == BOOLEAN_TAG:
        return convert_boolean(text)
    if tag == NULL_TAG:
        return None if text in NULLS else OddScalar(text, OddKind.INVALID)
    if tag == DATE_TAG:
        return OddScalar(text, OddKind.DATE)
    return OddScalar(text, OddKind.INVALID)


def convert_integer(text: str) -> int | OddScalar:
    """Parse a decimal integer of at most 18 digits."""
    if DECIMAL.fullmatch(text):
        return int(text)
    return OddScalar(text, OddKind.NUMBER)


def convert_float(text: str) -> float | OddScalar:
    """Parse a finite decimal number."""
    if FRACTION.fullmatch(text):
        value = float(text)
        if math.isfinite(value):
            return value
    return OddScalar(text, OddKind.NUMBER)


def convert_boolean(text: str) -> bool | OddScalar:
    """Parse true or false; yes, no, on and off become an `OddScalar`."""
    value = BOOLEANS.get(text.lower())
    return OddScalar(text, OddKind.WORD) if value is None else value
