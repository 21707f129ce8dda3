"""Value types of the folded state of a region."""

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
      name: name, never used by an earlier group
      model: name of the model
      version: version in the weight store
      adapters: adapters loaded with it
      hosts: hosts by rank
      domain: fabric domain, empty when the group spans several
      fence: fencing number in force
      phase: phase of its life cycle
      revision: configuration revision for which it was granted
      spares: hosts reserved for a repair while the log is unavailable
      reserve: fencing number for such a repair, 0 if there is none
      incarnations: engine incarnations by rank, set when it begins to serve
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
        """Return the recorded incarnation of a member or a spare.

        Returns:
          An empty string if none is recorded.
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
      quarantined: whether no group may use the host
      revoked: offset of the record that ended the use of the host, 0 while
        it is a member or a spare. An order to unload carries this offset as
        its fencing number, so it supersedes any earlier order to load.
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
    """The folded state of a region as stored in a snapshot.

    Attributes:
      upto: offset of the last record included in the state
      epoch: offset of the accepted claim, 0 if there is none
      renewed: offset of the last accepted claim or renewal
      seen: highest sequence number of each writer
    """

    upto: int
    epoch: int
    renewed: int
    controller: Controller | None
    groups: tuple[Group, ...]
    owners: tuple[HostOwnership, ...]
    seen: tuple[RecordId, ...]
