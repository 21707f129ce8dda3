"""Reads optional numbers of documents that other programs write."""

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
        return None, repr(value)[:_MAX_SHOWN_CHARS]
    if 0 <= value <= _MAX_AMOUNT:
        return float(value), ""
    return None, repr(value)[:_MAX_SHOWN_CHARS]
