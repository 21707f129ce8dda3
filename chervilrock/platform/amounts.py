"""Reads optional numbers of documents that other programs write."""

import reprlib

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


def _show(value: object) -> str:
    """Return the start of a malformed value as text.

    Lists and objects are shown to a depth of a few levels: `repr` raises for
    those that are nested deeply.
    """
    text = (
        reprlib.repr(value) if isinstance(value, (dict, list)) else repr(value)
    )
    return text[:_MAX_SHOWN_CHARS]
