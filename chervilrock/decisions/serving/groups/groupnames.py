"""Group names, which include the model so that a new leader need not query it.

The servers' entries hold the name, epoch and rank of each member, but neither
the model nor the size of the group.
"""

from typing import NamedTuple

_SEPARATOR = "."
_SERVING = "g"
_STANDBY = "s"
_PARTS = 3

EPOCHS_PER_TERM = 100_000
"""Epochs that one leader may use; it uses some thousand an hour."""


class GroupName(NamedTuple):
    """The parts of a group's name.

    Attributes:
      model: model of the group.
      is_standby: whether it is a single standby host with the weights loaded.
    """

    model: str
    is_standby: bool


def make_name(model: str, epoch: int, *, is_standby: bool) -> str:
    """Return the name of a group; the epoch makes it unique."""
    kind = _STANDBY if is_standby else _SERVING
    return _SEPARATOR.join((kind, str(epoch), model))


def parse_name(name: str) -> GroupName | None:
    """Return the parts of a name, None for a name of another program."""
    parts = name.split(_SEPARATOR, _PARTS - 1)
    if len(parts) != _PARTS or parts[0] not in (_SERVING, _STANDBY):
        return None
    return GroupName(model=parts[2], is_standby=parts[0] == _STANDBY)


def find_term(epoch: int) -> int:
    """Return the term of the leader that uses an epoch."""
    return epoch // EPOCHS_PER_TERM


def make_epoch(term: int, number: int) -> int:
    """Return an epoch above all those of earlier terms."""
    return term * EPOCHS_PER_TERM + number
