"""Log lines on requests: where they go and how they end."""

from typing import NamedTuple

from chervilrock.decisions.serving.placement import Choice
from chervilrock.decisions.serving.retrybudget import BudgetState
from chervilrock.decisions.serving.routes import Admission
from chervilrock.decisions.serving.suspects import Suspect
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint
from chervilrock.edges.relay import TransferEnd
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.events import emit, Event
from chervilrock.serving_metrics import RequestEnd
from chervilrock.tasks.serving.poisondetector import BrokenSend
from chervilrock.tasks.serving.state import ServingState

_MS_PER_S = 1000


class Ended(NamedTuple):
    """A request that has ended.

    Attributes:
      request: the request.
      admission: its route and customer, None when it had none.
      service: service that it went to, empty for none.
      status: what the caller got, 0 for nothing.
      reason: why it ended so.
      sends: servers that it was sent to.
      waited_s: time for which it waited for a place.
      first_event: when the first event went to the caller, None for none.
      state: what the node knows.
      now: present time.
    """

    request: CallerRequest
    admission: Admission | None
    service: str
    status: int
    reason: str
    sends: int
    waited_s: float
    first_event: float | None
    state: ServingState
    now: float


def log_send(
    request_id: str,
    route: str,
    place: Choice[GroupEndpoint] | Choice[ServerEndpoint],
    state: ServingState,
    *,
    after: str,
    now: float,
) -> None:
    """Log a send with what decided it and how old that was."""
    view = state.view
    emit(
        Event.REQUEST_SENT,
        request_id=request_id,
        route=route,
        endpoint=place.endpoint.name,
        server=place.endpoint.server,
        own=place.load.own,
        others=place.load.others,
        view=f"{view.term}.{view.sequence}",
        view_age_ms=round((now - state.view_time) * _MS_PER_S),
        after=after,
    )


class Repeat(NamedTuple):
    """A send that is to follow another one of the same request.

    Attributes:
      request_id: the request.
      service: service that gets it.
      reason: how the last send ended.
      sends: sends before it.
      after: last event that the caller has, empty for none.
      budget: repeats to the service that are left to this node.
    """

    request_id: str
    service: str
    reason: str
    sends: int
    after: str
    budget: BudgetState


def log_repeat(repeat: Repeat) -> None:
    """Log that a request is sent again, and how many others may be."""
    emit(
        Event.REQUEST_SENT_AGAIN,
        request_id=repeat.request_id,
        reason=repeat.reason,
        sends=repeat.sends,
        after=repeat.after,
        left=round(repeat.budget.left, 2),
        nodes=repeat.budget.nodes,
    )


def log_refused_repeat(repeat: Repeat) -> None:
    """Log that the shared bound keeps a request from being sent again."""
    emit(
        Event.REPEAT_REFUSED,
        request_id=repeat.request_id,
        service=repeat.service,
        reason=repeat.reason,
        left=round(repeat.budget.left, 2),
        nodes=repeat.budget.nodes,
    )


def log_broken(
    request_id: str,
    broken: BrokenSend,
    end: TransferEnd,
    served_s: float | None,
) -> None:
    """Log that the connection of a send broke, and how far it had come."""
    emit(
        Event.SEND_BROKEN,
        request_id=request_id,
        content=broken.content,
        server=broken.server,
        status=0 if end.head is None else end.head.status,
        ran_ms=None if served_s is None else round(served_s * _MS_PER_S),
        error=end.error,
    )


def log_withheld(request_id: str, suspect: Suspect) -> None:
    """Log that a request was kept from the servers, and why."""
    emit(
        Event.REQUEST_WITHHELD,
        request_id=request_id,
        content=suspect.content,
        servers=suspect.servers,
        nodes=suspect.nodes,
    )


def log_end(ended: Ended) -> RequestEnd:
    """Log the end of a request and return what is counted of it."""
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
        revision=-1 if routes is None else routes.configuration.revision,
    )
    return RequestEnd(
        service=ended.service,
        status=ended.status,
        seconds=ended.now - arrived,
        first_event_s=first_s,
        waited_s=ended.waited_s,
    )
