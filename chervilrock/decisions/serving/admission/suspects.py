"""Identifies what crashes the backend servers: a request, or a part of prompts.

A request that crashes its server comes back as another attempt, at any node,
and would crash one server after the other; so would requests that share a part
of their prompts. A crash takes everything with it that ran on the server, so
one crash says little about any feature of a request. What distinguishes the
cause from bystanders: it was on the server at every crash, the server had sent
no or little of its answer by then, and no request with it runs normally.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple


class ServerCrash(NamedTuple):
    """A backend server that crashed while it had a request.

    Attributes:
      server: identifier of this incarnation of the server.
      node: node that observed it.
      since_first_byte_s: seconds since the first byte of the answer, 0 without
        one; of several requests with the feature, of the one answered last.
      since_sent_s: seconds since that request was sent there.
      companions: other features of the request.
      has_passed: whether requests with the feature had run normally at the
        node before.
      survived_s: seconds since the first byte of the answer to the request with
        the feature that had been answered for longest there.
      is_unsure: whether the node has seen too few requests to know whether the
        feature is common.
      position: index of the feature in its request, 0 for the content.
    """

    server: str
    node: str
    since_first_byte_s: float
    since_sent_s: float
    companions: tuple[str, ...] = ()
    has_passed: bool = False
    survived_s: float = 0.0
    is_unsure: bool = False
    position: int = 0


class Trial(NamedTuple):
    """A permission to send one request with a withheld feature.

    Attributes:
      number: number of the permission.
      node: node that has it, empty while there is none.
      avoids: features that the request may not have.
      failures: servers that crashed under such requests before.
    """

    number: int
    node: str
    avoids: tuple[str, ...]
    failures: int


class Suspect(NamedTuple):
    """A feature of requests under which servers crashed.

    Attributes:
      content: identifier of the feature.
      crashes: the servers that crashed under it, the first one first.
      is_withheld: whether requests with it are withheld from all servers.
      requires: features that a request must have as well to be withheld, as
        nothing tells yet which of them is the cause.
      has_passed: whether requests with it ran normally before the crashes.
      trial: which request with it may be sent all the same, None for none.
    """

    content: str
    crashes: tuple[ServerCrash, ...]
    is_withheld: bool
    requires: tuple[str, ...] = ()
    has_passed: bool = False
    trial: Trial | None = None

    @property
    def stored(self) -> tuple[object, ...]:
        """The fields for the store; former versions reject any more."""
        return self[:5]

    @property
    def servers(self) -> str:
        """The crashed servers, for a log line."""
        return ",".join(crash.server for crash in self.crashes)

    @property
    def nodes(self) -> str:
        """The nodes that observed the crashes, for a log line."""
        return ",".join(sorted({crash.node for crash in self.crashes}))


class CrashReport(NamedTuple):
    """What one node reports to another about requests and crashed servers.

    Attributes:
      crashes: features and the crashes that the node observed.
      cleared: features with which requests have run normally since.
    """

    crashes: tuple[tuple[str, ServerCrash], ...] = ()
    cleared: tuple[str, ...] = ()


class SuspectTable:
    """Suspects that one node has, as its requests look them up.

    Attributes:
      version: term and number of the list that a leader announced.
      announced: that list.
    """

    def __init__(self) -> None:
        """Create a table without suspects."""
        self.version = (-1, 0)
        self.announced: tuple[Suspect, ...] = ()
        self._withheld: dict[str, Suspect] = {}
        self._tried: dict[str, tuple[int, int]] = {}

    def __bool__(self) -> bool:
        return bool(self._withheld)

    def update(
        self, announced: Iterable[Suspect], own: Iterable[Suspect]
    ) -> tuple[tuple[Suspect, ...], tuple[str, ...]]:
        """Apply what the leader announced and what this node found by itself.

        Args:
          announced: suspects that the leader announced.
          own: suspects that this node found.

        Returns:
          What is withheld from now on, and what no longer is.
        """
        both = (*announced, *own)
        former = self._withheld
        self._withheld = {
            suspect.content: suspect
            for suspect in reversed(both)
            if suspect.is_withheld
        }
        self._tried = {
            content: number
            for content, number in self._tried.items()
            if content in self._withheld
        }
        newly_withheld = tuple(
            suspect
            for content, suspect in self._withheld.items()
            if content not in former
        )
        return newly_withheld, tuple(
            content for content in former if content not in self._withheld
        )

    def find_withheld(
        self, content: str, parts: Iterable[str] = ()
    ) -> Suspect | None:
        """Return why a request is withheld, None when it is not.

        Args:
          content: identifier of its content.
          parts: identifiers of its other features.
        """
        return next(self._iterate_withheld({content, *parts}), None)

    def begin_trial(
        self, node: str, content: str, parts: Iterable[str]
    ) -> Suspect | None:
        """Let a withheld request try whether a feature crashes servers.

        Args:
          node: this node.
          content: identifier of its content.
          parts: identifiers of its other features.

        Returns:
          The feature, None if the request is not permitted.
        """
        features = {content, *parts}
        withheld = tuple(self._iterate_withheld(features))
        if len(withheld) != 1:
            return None
        suspect = withheld[0]
        trial = suspect.trial
        if trial is None or trial.node != node:
            return None
        number = (self.version[0], trial.number)
        if self._tried.get(suspect.content) == number:
            return None
        others = features.difference((suspect.content, *suspect.requires))
        if not others.isdisjoint(trial.avoids) or any(
            other.content in others for other in self.announced
        ):
            return None
        self._tried[suspect.content] = number
        return suspect

    def is_on_trial(self, tried: Suspect) -> bool:
        """Return whether the trial of a feature that has begun still holds."""
        suspect = self._withheld.get(tried.content)
        if suspect is None or suspect.trial is None or tried.trial is None:
            return False
        # A new leader counts its trials anew.
        number = (self.version[0], suspect.trial.number)
        return self._tried.get(tried.content) == number

    def _iterate_withheld(self, features: set[str]) -> Iterator[Suspect]:
        """Iterate over the reasons for which a request is withheld."""
        for feature in features & self._withheld.keys():
            suspect = self._withheld[feature]
            if features.issuperset(suspect.requires):
                yield suspect

    def is_announced_withheld(self, content: str) -> bool:
        """Return whether the leader withholds a request."""
        return any(
            suspect.content == content and suspect.is_withheld
            for suspect in self.announced
        )

    def count_withheld(self) -> int:
        """Return how many requests are withheld."""
        return len(self._withheld)

    def list_withheld(self) -> tuple[Suspect, ...]:
        """Return the requests that are withheld."""
        return tuple(self._withheld.values())
