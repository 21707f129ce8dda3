"""Values of the folded state of a region."""

from typing import NamedTuple

from chervilrock.generated.records import GroupPhase, RecordId


class Controller(NamedTuple):
    """The node that controls the region.

    Attributes:
      node: name of the node
      address: IP:port of the node
      lease_s: length of its lease in seconds
    """

    node: str
    address: str
    lease_s: float


class Group(NamedTuple):
    """A replica group.

    Attributes:
      name: name, new when the group was granted
      model: name of the model
      version: version in the weight store
      adapters: adapters loaded with it
      hosts: hosts by rank
      domain: fabric domain, empty when the group spans several
      fence: fencing number in force
      phase: phase of life
      revision: configuration revision on which it was granted
      spares: hosts reserved for a repair while the log is out
      reserve: fencing number for such a repair, 0 for none
      incarnations: engine incarnations by rank since it began to serve
      spare_incarnations: engine incarnation of each spare when it was granted
    """

    name: str
    model: str
    version: str
    adapters: tuple[str, ...]
    hosts: tuple[str, ...]
    domain: str
    fence: int
    phase: GroupPhase
    revision: int
    spares: tuple[str, ...] = ()
    reserve: int = 0
    incarnations: tuple[str, ...] = ()
    spare_incarnations: tuple[str, ...] = ()

    def find_incarnation(self, host: str) -> str:
        """Return the incarnation on record of a member or a spare.

        Returns:
          An empty string when there is none on record.
        """
        hosts = (*self.hosts, *self.spares)
        incarnations = (*self.incarnations, *self.spare_incarnations)
        if len(hosts) != len(incarnations) or host not in hosts:
            return ""
        return incarnations[hosts.index(host)]


class Ownership(NamedTuple):
    """The group that owns a host.

    Attributes:
      group: name of the group
      fence: fencing number under which the host is owned
      quarantined: whether the host is kept out of all groups
      revoked: offset of the record that ended the use of the host, 0 while
        it is a member or a spare. An order to unload carries this number, so
        it supersedes each order to load that the owner may have sent.
    """

    group: str
    fence: int
    quarantined: bool = False
    revoked: int = 0


class HostOwnership(NamedTuple):
    """One entry of the map from hosts to their owners."""

    host: str
    ownership: Ownership


class RegionImage(NamedTuple):
    """The folded state of a region as a snapshot carries it.

    Attributes:
      upto: offset of the last record that the state contains
      epoch: offset of the accepted claim, 0 for none
      renewed: offset of the last accepted claim or renewal
      seen: greatest sequence number of each writer
    """

    upto: int
    epoch: int
    renewed: int
    controller: Controller | None
    groups: tuple[Group, ...]
    owners: tuple[HostOwnership, ...]
    seen: tuple[RecordId, ...]
