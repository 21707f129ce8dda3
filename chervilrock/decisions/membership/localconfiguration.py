"""Interfaces to the data that an exchange carries besides membership."""

import abc
from collections.abc import Iterable
from typing import Protocol

from chervilrock.generated.interfaces import NodeUse
from chervilrock.generated.records import StoredRecord


class LocalConfiguration(abc.ABC):
    """The configuration of this node, as read and updated by exchanges."""

    @abc.abstractmethod
    def current(self) -> StoredRecord | None:
        """Return the record of the configuration in force."""

    @abc.abstractmethod
    def adopt(self, stored: StoredRecord, now: float) -> None:
        """Adopt a record that a peer sent, if it is newer."""

    @property
    @abc.abstractmethod
    def revision(self) -> int:
        """Revision of the configuration in force, 0 for none."""

    def follows_log(self, now: float) -> bool:
        """Return whether the log was read recently and delivers updates."""
        del now
        return True


class ShareTracker(Protocol):
    """Counts the requests of bounded workspaces at all nodes."""

    def shares(self, now: float) -> tuple[NodeUse, ...]:
        """Return the requests in progress at this node and its peers."""

    def observe_peer_uses(self, uses: Iterable[NodeUse], now: float) -> None:
        """Record the requests in progress at peers."""

    def observe_members(self, members: Iterable[str], now: float) -> None:
        """Record which nodes may run requests, reachable or not."""
