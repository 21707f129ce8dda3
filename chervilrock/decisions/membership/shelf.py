"""What an exchange carries besides membership, as seen by the exchange."""

import abc
from collections.abc import Iterable
from typing import Protocol

from chervilrock.generated.interfaces import NodeUse
from chervilrock.generated.records import StoredRecord


class ConfigurationShelf(abc.ABC):
    """Where an exchange finds and leaves accepted configurations."""

    @abc.abstractmethod
    def current(self) -> StoredRecord | None:
        """Return the record of the configuration in force."""

    @abc.abstractmethod
    def adopt(self, stored: StoredRecord, now: float) -> None:
        """Take over a record that a peer handed on, if it is newer."""

    @property
    @abc.abstractmethod
    def revision(self) -> int:
        """Revision of the configuration in force, 0 for none."""

    def follows_log(self, now: float) -> bool:
        """Say whether the log was read lately, so that news comes from it."""
        del now
        return True


class ShareBook(Protocol):
    """Counts the requests of bounded workspaces at all nodes."""

    def shares(self, now: float) -> tuple[NodeUse, ...]:
        """Return what this node and its peers run."""

    def observe_peer_uses(self, uses: Iterable[NodeUse], now: float) -> None:
        """Learn what peers run."""

    def observe_members(self, members: Iterable[str], now: float) -> None:
        """Learn which nodes may run requests, reachable or not."""
