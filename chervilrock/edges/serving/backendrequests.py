"""Requests of callers as they are sent to servers."""

from chervilrock.decisions.serving.admission.lateness import Timeliness
from chervilrock.decisions.serving.messages import ForwardedFields
from chervilrock.edges.relay import BackendRequest
from chervilrock.edges.serving import detours
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.platform import headers as names

CONNECT_TIMEOUT_S = 0.4
"""Longest time to connect to a server. Connecting takes some milliseconds, and
a lost packet is retransmitted after 0.2 s."""

MIN_REMAINING_S = 0.05
"""Shortest time limit of a transfer to a server."""

LEAST_URGENT_RANK = 9
"""Greatest urgency rank of the engines; requests of rank 0 run first."""


def make_backend_request(
    request: CallerRequest, address: str, forwarded: ForwardedFields
) -> BackendRequest:
    """Return a request as it is sent to a server.

    Args:
      request: the request of the caller.
      address: IP:port of the server.
      forwarded: what the headers tell the server.
    """
    pairs = names.make_forwarded_headers(
        detours.remove_header(request), forwarded
    )
    if not any(name.lower() == "content-type" for name, _ in pairs):
        # An empty value keeps libcurl from adding its default.
        pairs = (*pairs, ("Content-Type", ""))
    return BackendRequest(
        method=request.method,
        url=f"http://{address}{request.target}",
        headers=pairs,
        body=request.body if request.has_body else None,
        timeout_s=max(MIN_REMAINING_S, forwarded.remaining_s + 1.0),
        send_once=True,
        connect_timeout_s=CONNECT_TIMEOUT_S,
    )


def find_urgency(timeliness: Timeliness, priority: int) -> int:
    """Return the urgency rank of a request for an engine.

    Interrupted streams run first. Of the requests of one priority, those that
    can be on time run first.

    Args:
      timeliness: timeliness of the request.
      priority: its priority, 0 for the most urgent.
    """
    if timeliness is Timeliness.BEGUN:
        return 0
    is_late = timeliness is Timeliness.LATE
    return min(LEAST_URGENT_RANK, 1 + 2 * priority + is_late)
