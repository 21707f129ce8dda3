"""Evidence that hosts are present and have loaded what the log says.

The age of evidence is measured from the time at which the probe was sent, so
a slow response is already old when it arrives.
"""

from typing import NamedTuple

from chervilrock.decisions.evidence import (
    Evidence,
    make_evidence,
    ShardPool,
)
from chervilrock.decisions.ownership import Group
from chervilrock.decisions.region import RegionState
from chervilrock.generated.interfaces import EnginePhase, EngineState
from chervilrock.generated.records import GroupPhase


class ReadyEngine(NamedTuple):
    """The first incarnation that was ready under a fencing number."""

    fence: int
    incarnation: str


class PresenceTable:
    """The last evidence of each host.

    Attributes:
      limit: maximum age of evidence in seconds
      created_at: when the table was created, in seconds
    """

    def __init__(self, *, limit: float, now: float) -> None:
        """Create an empty table; a host never seen is missing from `now`."""
        self.limit = limit
        self.created_at = now
        self._evidence: dict[str, Evidence] = {}
        self._ready: dict[str, ReadyEngine] = {}
        self._changed: set[str] = set()
        self._shards = ShardPool()

    def observe(
        self,
        host: str,
        state: EngineState,
        sent_at: float,
        read_at: float | None = None,
    ) -> None:
        """Record the response to a probe.

        A response to an earlier probe than the last one, and a response that
        names another host, are ignored.

        Args:
          host: name of the host.
          state: state that its engine reported.
          sent_at: when the probe was sent, in seconds.
          read_at: when the response was read, in seconds; None to use
            `sent_at`.
        """
        last = self._evidence.get(host)
        if state["host"] != host or (last and last.sent_at > sent_at):
            return
        recorded_at = sent_at if read_at is None else read_at
        if last is not None and last.agrees_with(state):
            self._evidence[host] = Evidence(sent_at, *last[1:])
            if recorded_at >= last.sent_at + self.limit:
                self._changed.add(host)
            return
        evidence = make_evidence(state, sent_at, self._shards)
        self._evidence[host] = evidence
        self._changed.add(host)
        self._record_ready(host, evidence)

    def intern_incarnations(self, group: Group) -> None:
        """Share the incarnations of a whole group with its record.

        The recorded incarnations equal those of the evidence. Storing the
        same objects, and dropping the incarnations that were first ready,
        saves memory.
        """
        for host, incarnation in zip(
            group.hosts, group.incarnations, strict=False
        ):
            evidence = self._evidence[host]
            self._evidence[host] = evidence._replace(incarnation=incarnation)
            self._ready.pop(host, None)
        if not self._ready:
            self._ready = {}

    def pop_changed(self) -> set[str]:
        """Return and reset the hosts whose evidence has changed.

        A host whose evidence was only confirmed is not included, nor is one
        whose evidence has expired.
        """
        changed = self._changed
        self._changed = set()
        return changed

    def forget(self, host: str) -> None:
        """Drop the evidence of a host, as after a refused connection."""
        if self._evidence.pop(host, None) is not None:
            self._changed.add(host)

    def retain(self, hosts: set[str]) -> None:
        """Drop all hosts except these, which are listed or owned."""
        for host in self._evidence.keys() - hosts:
            self.forget(host)
        for host in self._ready.keys() - hosts:
            del self._ready[host]
        self._shards.retain(
            evidence.common_shard for evidence in self._evidence.values()
        )

    def find_expiry(self, hosts: tuple[str, ...]) -> float:
        """Return when the oldest evidence of some hosts expires.

        Returns:
          Negative infinity if a host has no evidence.
        """
        evidence = self._evidence
        try:
            return min(evidence[host].sent_at for host in hosts) + self.limit
        except KeyError:
            return float("-inf")

    def find(self, host: str, now: float) -> Evidence | None:
        """Return the evidence of a host within the age limit."""
        return self._find(host, now, self.limit)

    def find_last(self, host: str) -> Evidence | None:
        """Return the last evidence of a host, whatever its age."""
        return self._evidence.get(host)

    def missing_since(self, host: str, now: float) -> float | None:
        """Return when the evidence of a host expired, None if it is valid."""
        last = self._evidence.get(host)
        since = self.created_at if last is None else last.sent_at + self.limit
        return since if now > since else None

    def missing(
        self, group: Group, now: float, limit: float | None = None
    ) -> tuple[str, ...]:
        """Return the hosts of a group without valid evidence."""
        age = self.limit if limit is None else limit
        return tuple(
            host for host in group.hosts if self._find(host, now, age) is None
        )

    def whole(
        self, group: Group, now: float, limit: float | None = None
    ) -> bool:
        """Return whether every host of a group is present and ready.

        Each host must have its own rank of the group under the fencing number
        in force, in the incarnation in which it became ready.
        """
        age = self.limit if limit is None else limit
        return all(
            self._is_ready(group, rank, now, age)
            for rank in range(len(group.hosts))
        )

    def is_ready(self, group: Group, rank: int, now: float) -> bool:
        """Return whether the host of one rank is present and ready."""
        return self._is_ready(group, rank, now, self.limit)

    def servable(self, region: RegionState, now: float) -> tuple[Group, ...]:
        """Return the groups that may serve now, as by `find_servable`."""
        found = (
            self.find_servable(group, now) for group in region.groups.values()
        )
        return tuple(group for group in found if group is not None)

    def compose_reserve(self, group: Group, now: float) -> Group | None:
        """Return the group as loaded under its reserve fencing number.

        Returns:
          None unless exactly one host has each rank under that number, in the
          recorded incarnation, and each engine rejects old numbers.
        """
        if not group.reserve:
            return None
        ranks: dict[int, str] = {}
        for host in (*group.hosts, *group.spares):
            evidence = self.find(host, now)
            if evidence is None or evidence.common_shard is None:
                continue
            if evidence.common_shard["fence"] != group.reserve:
                continue
            unchanged = self.is_unchanged(group, host, now)
            if evidence.rank in ranks or not unchanged:
                return None
            ranks[evidence.rank] = host
        if sorted(ranks) != list(range(len(group.hosts))):
            return None
        hosts = tuple(ranks[rank] for rank in range(len(group.hosts)))
        repaired = group._replace(
            hosts=hosts,
            fence=group.reserve,
            incarnations=tuple(map(group.find_incarnation, hosts)),
        )
        return repaired if self._is_fenced(repaired, now) else None

    def find_incarnations(self, hosts: tuple[str, ...]) -> tuple[str, ...]:
        """Return the last incarnation of each host, empty if unknown."""
        found = (self._evidence.get(host) for host in hosts)
        return tuple(
            evidence.incarnation if evidence else "" for evidence in found
        )

    def is_unchanged(self, group: Group, host: str, now: float) -> bool:
        """Return whether a host is present in its recorded incarnation."""
        evidence = self.find(host, now)
        if evidence is None:
            return False
        return evidence.incarnation == group.find_incarnation(host)

    def find_servable(self, group: Group, now: float) -> Group | None:
        """Return a group with its actual hosts and fencing number.

        They differ from the recorded ones if the group was repaired under its
        reserve fencing number while the log was unavailable.

        Returns:
          None if the group may not serve now.
        """
        if group.phase is not GroupPhase.SERVING:
            return None
        if self.whole(group, now):
            return group
        repaired = self.compose_reserve(group, now)
        if repaired is not None and self.whole(repaired, now):
            return repaired
        return None

    def _is_fenced(self, group: Group, now: float) -> bool:
        found = (self.find(host, now) for host in group.hosts)
        return all(
            evidence is not None and evidence.checks_fence for evidence in found
        )

    def _is_ready(
        self, group: Group, rank: int, now: float, limit: float
    ) -> bool:
        host = group.hosts[rank]
        evidence = self._find(host, now, limit)
        if evidence is None or evidence.phase != EnginePhase.READY:
            return False
        if not evidence.holds_rank(group, rank):
            return False
        if group.incarnations:
            return evidence.incarnation == group.incarnations[rank]
        ready = self._ready.get(host)
        return ready == ReadyEngine(group.fence, evidence.incarnation)

    def _find(self, host: str, now: float, limit: float) -> Evidence | None:
        evidence = self._evidence.get(host)
        if evidence is None or now - evidence.sent_at > limit:
            return None
        return evidence

    def _record_ready(self, host: str, evidence: Evidence) -> None:
        shard = evidence.common_shard
        if shard is None or evidence.phase != EnginePhase.READY:
            return
        known = self._ready.get(host)
        if known is None or shard["fence"] > known.fence:
            self._ready[host] = ReadyEngine(
                shard["fence"], evidence.incarnation
            )
