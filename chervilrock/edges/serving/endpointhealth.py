"""What the end of a send shows about the group or server that got it."""

from typing import NamedTuple

from chervilrock.decisions.serving.admission.attempts import (
    is_server_error,
    SendOutcome,
)
from chervilrock.decisions.serving.view import GroupEndpoint
from chervilrock.edges.serving.slots import Endpoint
from chervilrock.tasks.serving.state import ServingState

_LOSSES = (SendOutcome.NOT_RUN, SendOutcome.LOST, SendOutcome.STALLED)


class EndedSend(NamedTuple):
    """How a send ended.

    Attributes:
      outcome: its outcome.
      status: status of the answer, 0 without one.
      was_paused: whether this node did not read the answer for a while.
      is_faulty: whether what the server sent was no answer.
      is_cancelled: whether this node ended the send for reasons of its own.
    """

    outcome: SendOutcome
    status: int
    was_paused: bool
    is_faulty: bool
    is_cancelled: bool


def record_ended_send(
    state: ServingState, endpoint: Endpoint, send: EndedSend, now: float
) -> None:
    """Avoid an endpoint for a while if it did not answer, or failed."""
    if state.reachability.is_cut_off:
        return
    if isinstance(endpoint, GroupEndpoint):
        _record_group(state, endpoint, send, now)
    asked_for_pause = (
        send.outcome is SendOutcome.NOT_RUN
        and state.statements.pauses.is_recent(endpoint.server, now)
    )
    if asked_for_pause:
        # The server works; the leader need not verify its group.
        return
    if send.was_paused and not send.is_faulty:
        # A server may cut off an answer that this node does not read.
        return
    if send.outcome in _LOSSES and not send.is_cancelled:
        state.avoid(endpoint.name, now)


def _record_group(
    state: ServingState, endpoint: GroupEndpoint, send: EndedSend, now: float
) -> None:
    """Record whether a group answers, or fails by itself."""
    has_failed = send.outcome is SendOutcome.FAILED and is_server_error(
        send.status
    )
    if send.outcome is SendOutcome.COMPLETE:
        state.record_success(endpoint.group)
    elif send.is_faulty or has_failed:
        state.record_failure(endpoint.group, now)
