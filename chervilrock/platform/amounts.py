"""Reads optional numbers of documents that other programs write."""

import reprlib
from typing import TypeVar

from chervilrock.decisions.serving.site import BoundedField

_Number = TypeVar("_Number", int, float)

_MAX_AMOUNT = 1e12  # a greater time or rate is malformed
_MAX_SHOWN_CHARS = 40  # characters kept of a malformed value


def read_amount(value: object) -> tuple[float | None, str]:
    """Return a number that is not negative, or the malformed value as text.

    Args:
      value: decoded value; None for an absent one, which is valid.

    Returns:
      The number, None if it is absent or malformed, and the malformed value,
      which is empty otherwise.
    """
    if value is None:
        return None, ""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None, _show(value)
    if 0 <= value <= _MAX_AMOUNT:
        return float(value), ""
    return None, _show(value)


class Bounds:
    """Keeps the numbers of a document within bounds.

    Attributes:
      bounded: the numbers that were out of bounds.
    """

    def __init__(self) -> None:
        """Create an object that has met no number."""
        self.bounded: list[BoundedField] = []

    def bound(
        self, place: str, value: _Number, low: _Number, high: _Number
    ) -> _Number:
        """Return the number within bounds that is nearest to a given one.

        Args:
          place: place of the number in its document.
          value: the number.
          low: least permitted number.
          high: greatest permitted number.
        """
        used = min(max(value, low), high)
        if used != value:
            self.bounded.append(BoundedField(place, _show(value), used))
        return used


def _show(value: object) -> str:
    """Return the start of a malformed value as text.

    Lists and objects are shown to a depth of a few levels: `repr` raises for
    those that are nested deeply.
    """
    text = (
        reprlib.repr(value) if isinstance(value, (dict, list)) else repr(value)
    )
    return text[:_MAX_SHOWN_CHARS]
