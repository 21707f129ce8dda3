"""A replica group under the hands of the leader."""

import enum

from chervilrock.decisions.serving.site import MemberState


class Phase(enum.Enum):
    """Where a group stands.

    Attributes:
      FORMING: its members were told to join.
      OPENING: all members were seen ready; its head was told to open.
      SERVING: its head takes requests.
      CLOSING: its head finishes what it has.
      CLEARING: its head was told to leave.
      STANDBY: a single host that holds the weights.
    """

    FORMING = "forming"
    OPENING = "opening"
    SERVING = "serving"
    CLOSING = "closing"
    CLEARING = "clearing"
    STANDBY = "standby"


class ManagedGroup:
    """A group and what is known of its members.

    Attributes:
      name: name of the group.
      epoch: number of this membership.
      model: its model.
      service: its service.
      members: servers, the head first.
      is_standby: whether it is a single host that stands by.
      phase: where it stands.
      since: when the phase began.
      ready: members that were seen ready under this epoch.
      joined: members that have answered to the order to join.
      awaited: members of a doubted group that have not confirmed their
        membership, or of one that is cleared that may still be in it.
      due: when the members should be ready.
      doubted: when it was found to be silent, None when it was not.
      sure_until: until when it is not doubted again.
      failures_allowed: unanswered questions after which a member is lost.
      failures: unanswered questions to each member since it was doubted.
      reason: why it closes or is cleared.
      head_out: whether the head is known to be out of the group.
      has_head: whether the first member is the head; a group that was found
        may have lost it.
      may_be_open: whether its head may have been told to open.
      served_at: when it began to serve.
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
        """Take the members of a group that is new or was found."""
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
        self.doubted: float | None = None
        self.sure_until = now
        self.failures_allowed = 1
        self.failures: dict[str, int] = {}
        self.reason = ""
        self.head_out = False
        self.has_head = True
        self.may_be_open = False
        self.served_at = now

    @property
    def head(self) -> str:
        """The server that gets the requests."""
        return self.members[0]

    def move(self, phase: Phase, now: float, reason: str = "") -> None:
        """Go on to a phase."""
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
