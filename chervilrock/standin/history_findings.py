"""The guarantees that the checks of a history verify, and their results."""

from collections.abc import Iterable, Sequence
import enum
from typing import NamedTuple, TypeVar

from chervilrock.standin.history import Entry

_T = TypeVar("_T")


class Promise(enum.StrEnum):
    """A guarantee of the system."""

    WHOLE_ANSWER = "every caller gets the whole own answer or the truth"
    NOT_RUN = "what was told not run did not run"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    WHOLE_GROUP = "a group serves only while all of its hosts are present"
    ONE_GROUP = "no host belongs to two groups"
    CONFIGURATION = "an accepted configuration never reverts"
    IN_FORCE = "an accepted configuration is in force everywhere in seconds"
    LEAVING = "a leaving backend server gets no new work after seconds"
    GRACEFUL_STOP = "a graceful stop cuts no request off"


class Finding(NamedTuple):
    """A guarantee that was violated.

    Attributes:
      place: index of the event that shows it, from 0
      message: human-readable description of the violation
    """

    promise: Promise
    place: int
    message: str


Entries = Sequence[Entry]
Findings = list[Finding]


def pick(entries: Entries, kind: type[_T]) -> Iterable[tuple[int, _T]]:
    """Yield the events of one kind with their indices."""
    for place, entry in enumerate(entries):
        if isinstance(entry.event, kind):
            yield place, entry.event
