"""State of a replica group as its leader manages it."""

import enum

from chervilrock.decisions.serving.site import MemberState


class Phase(enum.Enum):
    """Phase of a group's life cycle.

    Attributes:
      FORMING: its members were ordered to join.
      OPENING: all members reported ready; its head was ordered to open.
      SERVING: its head accepts requests.
      CLOSING: its head drains its requests.
      DISSOLVING: its head, or each member, was ordered to leave.
      STANDBY: a single host with the weights loaded.
    """

    FORMING = "forming"
    OPENING = "opening"
    SERVING = "serving"
    CLOSING = "closing"
    DISSOLVING = "clearing"
    STANDBY = "standby"


class ManagedGroup:
    """A group and the known state of its members.

    Attributes:
      name: name of the group.
      epoch: number of this membership.
      model: its model.
      service: its service.
      members: servers, the head first.
      is_standby: whether it is a single standby host.
      phase: its current phase.
      since: when the phase began.
      ready: members that reported ready under this epoch.
      joined: members that have accepted the order to join.
      awaited: while the group is being verified, members that have not
        confirmed their membership; while it is being dissolved, members that
        may still be in it.
      due: when the members should be ready.
      verifying_since: when its verification began, None when it is not being
        verified.
      verified_until: until when it is not verified again.
      failures_allowed: unanswered status queries after which a member counts
        as lost.
      failures: by member, unanswered status queries since the verification
        began; while it is being dissolved, unanswered orders to leave.
      reason: why it is closing or being dissolved.
      head_out: whether the head is known to have left the group.
      has_head: whether the first member is the head; a group adopted from an
        earlier leader may have lost it.
      may_be_open: whether its head may have been ordered to open.
      served_at: from when it accepts requests.
      must_finish: whether its requests may take as long as they need while it
        is closing.
    """

    def __init__(
        self,
        *,
        name: str,
        epoch: int,
        model: str,
        service: str,
        members: tuple[str, ...],
        is_standby: bool,
        phase: Phase,
        now: float,
    ) -> None:
        """Create the record of a new or an adopted group."""
        self.name = name
        self.epoch = epoch
        self.model = model
        self.service = service
        self.members = members
        self.is_standby = is_standby
        self.phase = phase
        self.since = now
        self.ready: set[str] = set()
        self.joined: set[str] = set()
        self.awaited: set[str] = set()
        self.due = now
        self.verifying_since: float | None = None
        self.verified_until = now
        self.failures_allowed = 1
        self.failures: dict[str, int] = {}
        self.reason = ""
        self.head_out = False
        self.has_head = True
        self.may_be_open = False
        self.served_at = now
        self.must_finish = False

    @property
    def head(self) -> str:
        """The server that receives the requests."""
        return self.members[0]

    def enter(self, phase: Phase, now: float, reason: str = "") -> None:
        """Enter a phase."""
        self.phase = phase
        self.since = now
        self.reason = reason or self.reason


READY_STATES = frozenset(
    {
        MemberState.READY,
        MemberState.OPEN,
        MemberState.CLOSING,
    }
)
"""States of a member that has joined."""
