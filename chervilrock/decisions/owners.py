"""Map from hosts to the groups that own them."""

from collections import Counter
import sys

from chervilrock.decisions.ownership import Ownership


class OwnerTable:
    """Owners of hosts, with indexes of revoked and quarantined hosts.

    Attributes:
      owners: owner of each host that is not free
      revoked: hosts to be released once they are proved empty
      quarantined: hosts in quarantine
    """

    def __init__(self) -> None:
        """Create a table in which every host is free."""
        self.owners: dict[str, Ownership] = {}
        self.revoked: dict[str, None] = {}
        self.quarantined: dict[str, None] = {}
        self._host_counts: Counter[str] = Counter()

    def assign(self, host: str, ownership: Ownership) -> None:
        """Set the owner of a host."""
        if host in self.owners:
            self.remove(host)
        host = sys.intern(host)
        self.owners[host] = ownership
        if ownership.quarantined:
            self.quarantined[host] = None
            return
        self._host_counts[ownership.group] += 1
        if ownership.revoked:
            self.revoked[host] = None

    def revoke(self, host: str, offset: int) -> None:
        """End the use of a host by its group, which still owns it."""
        self.assign(host, self.owners[host]._replace(revoked=offset))

    def quarantine(self, host: str) -> None:
        """Put a revoked host into quarantine."""
        self.assign(host, self.owners[host]._replace(quarantined=True))

    def remove(self, host: str) -> None:
        """Make a host free."""
        ownership = self.owners.pop(host)
        self.revoked.pop(host, None)
        self.quarantined.pop(host, None)
        if ownership.quarantined:
            return
        self._host_counts[ownership.group] -= 1
        if not self._host_counts[ownership.group]:
            del self._host_counts[ownership.group]

    def holds_any(self, group: str) -> bool:
        """Return whether the group owns a host outside quarantine."""
        return group in self._host_counts
