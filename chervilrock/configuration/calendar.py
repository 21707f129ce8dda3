"""Days of the year, for the periods of the cost calendar."""

DAYS_OF_MONTH = (31, 29, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31)
DAYS_OF_YEAR = sum(DAYS_OF_MONTH)


def count_day(text: str) -> int | None:
    """Return the zero-based day of a leap year, or None if invalid.

    Args:
      text: month and day as MM-DD, with two digits each
    """
    month, _, day = text.partition("-")
    month_index = int(month) - 1
    if not 0 <= month_index < len(DAYS_OF_MONTH):
        return None
    if not 1 <= int(day) <= DAYS_OF_MONTH[month_index]:
        return None
    return sum(DAYS_OF_MONTH[:month_index]) + int(day) - 1


def list_days(start: int, end: int) -> list[int]:
    """Return the days of a period, which may span the new year."""
    length = (end - start) % DAYS_OF_YEAR + 1
    return [(start + step) % DAYS_OF_YEAR for step in range(length)]
