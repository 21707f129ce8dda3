"""Reads flags of the form `--name VALUE` or `--name=VALUE`."""

from collections.abc import Iterator, Sequence

MARK = "--"


class UsageError(Exception):
    """The arguments have not the form of flags; the text tells why."""


def parse_flags(arguments: Sequence[str]) -> dict[str, str]:
    """Returns the values of flags by name, with `_` for `-` in the names.

    Whether there are such flags, and whether their values fit, is checked by
    whoever knows the flags.

    Raises:
      UsageError: an argument is no flag, or a flag lacks its value or stands
        twice.
    """
    values: dict[str, str] = {}
    rest = iter(arguments)
    for argument in rest:
        flag, separator, value = argument.partition("=")
        if not flag.startswith(MARK) or flag == MARK:
            raise UsageError(f"unexpected argument {argument!r}")
        if not separator:
            value = _take_value(flag, rest)
        name = flag.removeprefix(MARK).replace("-", "_")
        if name in values:
            raise UsageError(f"{flag} stands twice")
        values[name] = value
    return values


def _take_value(flag: str, rest: Iterator[str]) -> str:
    """Returns the argument after a flag."""
    value = next(rest, None)
    if value is None or value.startswith(MARK):
        raise UsageError(f"{flag} needs a value")
    return value
