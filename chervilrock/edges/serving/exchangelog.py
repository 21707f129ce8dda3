"""Log events of requests: where they are sent and how they end."""

from typing import NamedTuple

from chervilrock.decisions.serving.admission.attempts import SendOutcome
from chervilrock.decisions.serving.admission.placement import Choice
from chervilrock.decisions.serving.admission.retrybudget import BudgetState
from chervilrock.decisions.serving.admission.routes import Admission
from chervilrock.decisions.serving.admission.suspects import Suspect
from chervilrock.decisions.serving.view import (
    GroupEndpoint,
    NodeEntry,
    ServerEndpoint,
)
from chervilrock.edges.relay import TransferEnd
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.receiver import AnswerSummary
from chervilrock.events import emit, Event
from chervilrock.serving_metrics import CompletedRequest
from chervilrock.tasks.serving.faults import find_place
from chervilrock.tasks.serving.poisondetector import BrokenSend
from chervilrock.tasks.serving.state import ServingState

_MS_PER_S = 1000

MAX_LOGGED_PARTS = 8
"""Parts of a prompt in a log line."""


class EndedRequest(NamedTuple):
    """A request that has ended.

    Attributes:
      request: the request.
      admission: its route and workspace, None if it was not admitted.
      service: service that it was sent to, empty for none.
      status: HTTP status that the caller got, 0 without an answer.
      reason: reason of the outcome.
      sends: number of times that it was sent to a server.
      waited_s: time for which it waited for a slot, in seconds.
      first_event: time at which the first event was sent to the caller, None
        for none.
      last_event: identifier of the last event that the caller has, empty for
        none.
      cut: why the node ended an answer that had begun, empty if it did not.
      received: what was received of the answer to the last send.
      left_s: time until the time limit of the request, in seconds.
      state: state of the node.
      now: current time.
    """

    request: CallerRequest
    admission: Admission | None
    service: str
    status: int
    reason: str
    sends: int
    waited_s: float
    first_event: float | None
    last_event: str
    cut: str
    received: AnswerSummary
    left_s: float
    state: ServingState
    now: float


def log_send(
    request_id: str,
    route: str,
    slot: Choice[GroupEndpoint] | Choice[ServerEndpoint],
    state: ServingState,
    *,
    after: str,
    now: float,
) -> None:
    """Log a send with the loads and the age of the view that decided it."""
    view = state.view
    emit(
        Event.REQUEST_SENT,
        request_id=request_id,
        route=route,
        endpoint=slot.endpoint.name,
        server=slot.endpoint.server,
        own=slot.load.own,
        others=slot.load.others,
        view=f"{view.term}.{view.sequence}",
        view_age_ms=round((now - state.view_time) * _MS_PER_S),
        after=after,
    )


def log_held(request_id: str, server: str) -> None:
    """Log that a request was not sent to the server that was chosen for it."""
    emit(Event.SEND_HELD, request_id=request_id, server=server)


def log_evacuated(request_id: str, server: str, data_centre: str) -> None:
    """Log that a request was not sent to an evacuated data centre."""
    emit(
        Event.SEND_EVACUATED,
        request_id=request_id,
        server=server,
        data_centre=data_centre,
    )


def log_detour(
    request_id: str, node: NodeEntry, sends: int, after: str
) -> None:
    """Log that a request is passed on to another node."""
    emit(
        Event.REQUEST_DETOURED,
        request_id=request_id,
        node=node.node,
        sends=sends,
        after=after,
    )


def log_error(request_id: str, error: Exception) -> None:
    """Log an error in the handling of a request, and where it was raised."""
    emit(
        Event.REQUEST_ERROR,
        request_id=request_id,
        error=repr(error),
        place=find_place(error),
    )


class FailedSend(NamedTuple):
    """A send without a usable answer.

    Attributes:
      server: identifier of the server.
      outcome: outcome of the send.
      is_connected: whether the connection was established.
      status: status of the answer, 0 without one.
      error: error of the connection, empty for none.
      is_abandoned: whether this node ended the transfer.
      answer: what was received of the answer.
      seconds: time since the send began.
    """

    server: str
    outcome: SendOutcome
    is_connected: bool
    status: int
    error: str
    is_abandoned: bool
    answer: AnswerSummary
    seconds: float


def log_failed_send(request_id: str, failed: FailedSend) -> None:
    """Log a send without a usable answer, and whether it got through."""
    emit(
        Event.SEND_FAILED,
        request_id=request_id,
        server=failed.server,
        outcome=failed.outcome.value,
        connected=failed.is_connected,
        status=failed.status,
        error=failed.error,
        abandoned=failed.is_abandoned,
        head=failed.answer.head.value,
        addressee=failed.answer.addressee,
        framing=failed.answer.framing,
        body_bytes=failed.answer.size,
        ran_ms=round(failed.seconds * _MS_PER_S),
    )


class Retry(NamedTuple):
    """A retry of a request.

    Attributes:
      request_id: the request.
      service: service that gets the request.
      reason: outcome of the last send.
      sends: number of sends before it.
      after: identifier of the last event that the caller has, empty for none.
      budget: retries to the service that are left to this node.
    """

    request_id: str
    service: str
    reason: str
    sends: int
    after: str
    budget: BudgetState


def log_retry(retry: Retry) -> None:
    """Log a retry and the number of retries that are left."""
    emit(
        Event.REQUEST_SENT_AGAIN,
        request_id=retry.request_id,
        reason=retry.reason,
        sends=retry.sends,
        after=retry.after,
        left=round(retry.budget.left, 2),
        nodes=retry.budget.nodes,
    )


def log_rejected_retry(retry: Retry) -> None:
    """Log that the retry budget of all nodes allows no retry."""
    emit(
        Event.REPEAT_REFUSED,
        request_id=retry.request_id,
        service=retry.service,
        reason=retry.reason,
        left=round(retry.budget.left, 2),
        nodes=retry.budget.nodes,
    )


def log_broken(
    request_id: str,
    broken: BrokenSend,
    end: TransferEnd,
    served_s: float | None,
) -> None:
    """Log that the connection of a send broke, and the progress until then."""
    emit(
        Event.SEND_BROKEN,
        request_id=request_id,
        content=broken.content,
        server=broken.server,
        status=0 if end.head is None else end.head.status,
        ran_ms=None if served_s is None else round(served_s * _MS_PER_S),
        error=end.error,
        parts=",".join(broken.parts[:MAX_LOGGED_PARTS]),
    )


def log_withheld(request_id: str, suspect: Suspect) -> None:
    """Log that a request was withheld from the servers, and why."""
    emit(
        Event.REQUEST_WITHHELD,
        request_id=request_id,
        content=suspect.content,
        servers=suspect.servers,
        nodes=suspect.nodes,
    )


class CutAnswer(NamedTuple):
    """An answer that had begun when the process exited; times in seconds.

    Attributes:
      request_id: the request.
      sends: number of sends, including one in progress.
      stopping_at: time at which the node began to stop.
      arrived: time at which the request was received.
      sent_at: time of the last send.
      expected_at: time at which the answer was expected to be complete, None if
        it was sent before the node began to stop.
      silent_s: time since the server last sent a part of the answer, None
        without a send in progress.
    """

    request_id: str
    sends: int
    stopping_at: float
    arrived: float
    sent_at: float
    expected_at: float | None
    silent_s: float | None


def log_cut_at_exit(cut: CutAnswer) -> None:
    """Log how a request that the exit cuts was accepted, sent and served."""
    emit(
        Event.ANSWER_CUT_AT_EXIT,
        request_id=cut.request_id,
        sends=cut.sends,
        arrived_ms=round((cut.arrived - cut.stopping_at) * _MS_PER_S),
        sent_ms=round((cut.sent_at - cut.stopping_at) * _MS_PER_S),
        expected_ms=None
        if cut.expected_at is None
        else round((cut.expected_at - cut.stopping_at) * _MS_PER_S),
        silent_ms=None
        if cut.silent_s is None
        else round(cut.silent_s * _MS_PER_S),
    )


def log_end(ended: EndedRequest) -> CompletedRequest:
    """Log the end of a request and return its values for the metrics."""
    arrived = ended.request.arrived
    admission = ended.admission
    workspace = None if admission is None else admission.workspace
    first_s = None
    if ended.first_event is not None:
        first_s = ended.first_event - arrived
    routes = ended.state.routes
    emit(
        Event.REQUEST_ENDED,
        request_id=ended.request.facts.request_id,
        route="" if admission is None else admission.route.name,
        workspace="" if workspace is None else workspace.name,
        status=ended.status,
        reason=ended.reason,
        sends=ended.sends,
        waited_ms=round(ended.waited_s * _MS_PER_S),
        first_event_ms=None if first_s is None else round(first_s * _MS_PER_S),
        total_ms=round((ended.now - arrived) * _MS_PER_S),
        after=ended.last_event,
        cut=ended.cut,
        head=ended.received.head.value,
        framing=ended.received.framing,
        body_bytes=ended.received.size,
        left_ms=round(ended.left_s * _MS_PER_S),
        revision=-1 if routes is None else routes.configuration.revision,
    )
    return CompletedRequest(
        service=ended.service,
        status=ended.status,
        seconds=ended.now - arrived,
        first_event_s=first_s,
        waited_s=ended.waited_s,
    )
