"""Invariants of the simulated region, checked independently of its code.

The oracle sees the whole log, trimmed records included, and the true state of
the engines. Owners of hosts are plain sets; no fold of the product is used.
"""

from chervilrock.generated.records import GroupPhase

DRIFT = 0.01
AGE_LIMIT_S = 1.5


def replay_configurations(stored):
    """Return the last accepted revision of a whole stream."""
    revision = 0
    seen = set()
    for offset, record in stored:
        if record.kind != "configuration-applied" or record.record_id in seen:
            continue
        seen.add(record.record_id)
        if record.body[0] == revision:
            revision = offset
    return revision


class Owners:
    """The owners of hosts, replayed from a whole stream with plain sets.

    Attributes:
      seen: identities of the replayed records
      offset: offset of the last replayed record
      hosts: hosts by group
      spares: spares by group
      former: hosts that a group lost and that are not released, by group
    """

    def __init__(self):
        self.seen = set()
        self.offset = self.epoch = self.renewed = 0
        self.hosts: dict[str, set[str]] = {}
        self.spares: dict[str, set[str]] = {}
        self.former: dict[str, set[str]] = {}
        self.fence: dict[str, int] = {}
        self.phase: dict[str, str] = {}

    def apply_new(self, stored):
        for offset, record in stored[self.offset :]:
            self.offset = offset
            if record.record_id not in self.seen:
                self.seen.add(record.record_id)
                self.apply(offset, record.kind, record.body)

    def owners(self):
        """Return the owning groups of each host; a correct state has one."""
        found: dict[str, set[str]] = {}
        for table in (self.hosts, self.spares, self.former):
            for group, hosts in table.items():
                for host in hosts:
                    found.setdefault(host, set()).add(group)
        return found

    def apply(self, offset, kind, body):
        if kind == "controller-claimed":
            if (body[2], body[4]) == (self.epoch, self.renewed):
                self.epoch = self.renewed = offset
        elif kind == "controller-renewed":
            if body[0] == self.epoch:
                self.renewed = offset
        elif kind != "snapshot-part" and body[0] == self.epoch:
            self.apply_region_record(offset, kind, body)

    def apply_region_record(self, offset, kind, body):
        name = body[1]
        if kind == "group-granted":
            hosts = set(body[5])
            if name not in self.fence and not hosts & self.owners().keys():
                self.hosts[name] = hosts
                self.fence[name] = offset
                self.phase[name] = "loading"
        elif kind in ("host-released", "host-cleared"):
            for hosts in self.former.values():
                hosts.discard(name)
        elif kind != "host-quarantined" and self.fence.get(name) == body[2]:
            self.apply_group_record(offset, kind, name, body)

    def apply_group_record(self, offset, kind, name, body):
        own_hosts = self.hosts[name] | self.spares.get(name, set())
        other_hosts = self.owners().keys() - own_hosts
        former = self.former.setdefault(name, set())
        if kind == "group-phase-changed":
            order = ("loading", "serving", "draining", "dissolved")
            if order.index(body[3]) <= order.index(self.phase[name]):
                return
            self.phase[name] = body[3]
            if body[3] == "dissolved":
                former |= own_hosts
                self.hosts[name] = set()
                self.spares[name] = set()
        elif self.phase[name] == "dissolved" or set(body[3]) & other_hosts:
            return
        elif kind == "group-repaired":
            former |= self.hosts[name] - set(body[3])
            self.hosts[name] = set(body[3])
            self.spares[name] = self.spares.get(name, set()) - set(body[3])
            self.fence[name] = body[5] or offset
            self.phase[name] = "loading"
        elif self.phase[name] != "draining":
            former |= self.spares.get(name, set()) - set(body[3])
            self.spares[name] = set(body[3])


def check_load(world, host, group):
    """Assert that only the owner of a host loads a shard on it."""
    world.owners.apply_new(world.region.stored)
    owner = world.owners.owners().get(host)
    assert owner == {group}, "a former owner loaded a host"


def check(world):
    """Assert all invariants."""
    owners = world.owners
    owners.apply_new(world.region.stored)
    owned = owners.owners()
    assert all(len(groups) == 1 for groups in owned.values())
    running = [node for node in world.nodes if not node.paused]
    acting = [node for node in running if node.lease.may_act(node.now())]
    assert len(acting) <= 1, "two controllers act"
    groups_by_host: dict[str, str] = {}
    for node in running:
        for group in node.served():
            check_served(world, group, groups_by_host)
        check_folds(world, node, owners)


def check_served(world, group, groups_by_host):
    """Assert that each host of a served group was ready within the limit."""
    oldest = world.now - AGE_LIMIT_S * (1 + DRIFT)
    assert len(group.hosts) == 2
    for rank, host in enumerate(group.hosts):
        key = (group.name, group.fence, rank)
        ready_at = world.engines[host].last_ready_at.get(key, -1.0)
        assert ready_at >= oldest, "a group serves while a host is missing"
        assert groups_by_host.setdefault(host, group.name) == group.name


def check_folds(world, node, owners):
    """Assert that the folds of a node agree with the log if they are known."""
    region = node.region
    if node.reader.known and region.upto == owners.offset:
        assert region.epoch == owners.epoch
        assert region.renewed == owners.renewed
        assert {
            host: {ownership.group} for host, ownership in region.owners.items()
        } == owners.owners()
        for name, group in region.groups.items():
            assert (group.fence, group.phase) == (
                owners.fence[name],
                owners.phase[name],
            )
            if group.phase is not GroupPhase.DISSOLVED:
                assert set(group.hosts) == owners.hosts[name]
    stored = world.config.stored
    fold = node.configs.fold
    if node.configs.known:
        expected = replay_configurations(stored[: fold.upto])
        assert fold.revision >= expected, "an accepted configuration is lost"
    accepted = replay_configurations(stored[: fold.revision])
    assert fold.revision == accepted, "a stale configuration is in force"
