"""Parses flags of the form `--name VALUE` or `--name=VALUE`."""

from collections.abc import Iterator, Sequence

FLAG_PREFIX = "--"


class UsageError(Exception):
    """The arguments cannot be parsed as flags; the message says why."""


def parse_flags(arguments: Sequence[str]) -> dict[str, str]:
    """Returns the values of flags by name, with `_` for `-` in the names.

    The caller checks that the flags exist and that their values are valid.

    Raises:
      UsageError: an argument is not a flag, or a flag has no value or is
        given twice.
    """
    values: dict[str, str] = {}
    remaining = iter(arguments)
    for argument in remaining:
        flag, separator, value = argument.partition("=")
        if not flag.startswith(FLAG_PREFIX) or flag == FLAG_PREFIX:
            raise UsageError(f"unexpected argument {argument!r}")
        if not separator:
            value = _consume_value(flag, remaining)
        name = flag.removeprefix(FLAG_PREFIX).replace("-", "_")
        if name in values:
            raise UsageError(f"{flag} stands twice")
        values[name] = value
    return values


def _consume_value(flag: str, remaining: Iterator[str]) -> str:
    """Returns the argument after a flag."""
    value = next(remaining, None)
    if value is None or value.startswith(FLAG_PREFIX):
        raise UsageError(f"{flag} needs a value")
    return value
