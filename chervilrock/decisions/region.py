"""The fold of a region stream: controller, groups and owners of hosts.

The state depends only on the records, never on a clock, so every reader of
the stream arrives at the same state. A record names the epoch, the fencing
number or the phase that it supersedes; the first one that matches the state
is accepted.
"""

import sys

import msgspec

from chervilrock.decisions.decoding import Decoder
from chervilrock.decisions.owners import OwnerTable
from chervilrock.decisions.ownership import (
    Controller,
    Group,
    HostOwnership,
    Ownership,
    RegionImage,
)
from chervilrock.decisions.records import Body, decode_body, SeenRecords
from chervilrock.decisions.region_rules import RULES
from chervilrock.decisions.verdicts import Reason, Verdict, VerdictKind
from chervilrock.generated.records import (
    StoredRecord,
)

_IMAGE_DECODER = Decoder(RegionImage)


class RegionState:
    """Folded state of a region stream.

    Attributes:
      upto: offset of the last record applied
      epoch: offset of the accepted claim, 0 if there is none
      renewed: offset of the last accepted claim or renewal, 0 if there is none
      controller: the controller of this epoch, None after a release
      groups: groups by name; a dissolved group stays until each of its hosts
        is released or quarantined
      owners: owner of each host that is not free
      revoked: hosts to be released once they are proved empty
      quarantined: hosts in quarantine
    """

    def __init__(self) -> None:
        """Create the state of an empty stream."""
        self.upto = 0
        self.epoch = 0
        self.renewed = 0
        self.controller: Controller | None = None
        self.groups: dict[str, Group] = {}
        self.table = OwnerTable()
        self.owners = self.table.owners
        self.revoked = self.table.revoked
        self.quarantined = self.table.quarantined
        self._seen = SeenRecords()

    def apply(self, stored: StoredRecord) -> Verdict:
        """Apply the next record and return the verdict."""
        offset = stored.offset
        if offset <= self.upto:
            return Verdict(VerdictKind.SKIPPED, offset)
        self.upto = offset
        body = decode_body(stored.record)
        if body is None:
            return Verdict(VerdictKind.REJECTED, offset, Reason.UNREADABLE)
        if not self._seen.add(stored.record.record_id):
            return Verdict(VerdictKind.DUPLICATE, offset, body=body)
        reason = self._apply_rule(body, offset)
        kind = VerdictKind.REJECTED if reason else VerdictKind.ACCEPTED
        return Verdict(kind, offset, reason, body)

    def is_free(self, host: str) -> bool:
        """Return whether no group owns the host."""
        return host not in self.owners

    def resume(self, first_offset: int) -> bool:
        """Return False, as only a snapshot can replace lost records."""
        del first_offset
        return False

    def carry_over(self, other: "RegionState") -> None:
        """Do nothing, as all state of a region is in the log."""

    def export(self) -> str:
        """Return the state as JSON text."""
        image = RegionImage(
            upto=self.upto,
            epoch=self.epoch,
            renewed=self.renewed,
            controller=self.controller,
            groups=tuple(self.groups.values()),
            owners=tuple(HostOwnership(*item) for item in self.owners.items()),
            seen=self._seen.export(),
        )
        return msgspec.json.encode(image).decode()

    @classmethod
    def restore(cls, text: str) -> "RegionState":
        """Return the state that `export` wrote.

        Raises:
          UnreadableError: the text is not a valid state.
        """
        image = _IMAGE_DECODER.decode(text)
        state = cls()
        state.upto = image.upto
        state.epoch = image.epoch
        state.renewed = image.renewed
        state.controller = image.controller
        state.groups = {sys.intern(group.name): group for group in image.groups}
        state._seen.restore(image.seen)
        owners: dict[Ownership, Ownership] = {}
        for host, ownership in image.owners:
            # The hosts of a group share one value, as after a grant.
            owner = owners.setdefault(ownership, ownership)
            state.table.assign(host, owner)
        return state

    def _apply_rule(self, body: Body, offset: int) -> Reason | None:
        rule = RULES.get(type(body))
        if rule is None:
            return Reason.FOREIGN_KIND
        return rule(self, body, offset)
