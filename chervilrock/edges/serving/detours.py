"""Sends a request to a server through another node.

A node that reaches no server passes the requests of its callers on to the
callers' port of a node that does. A header tells that node that it must not
pass the request on again, and how often it was sent to a server before.
"""

from chervilrock.decisions.serving.admission.attempts import (
    is_promise,
    SendOutcome,
)
from chervilrock.decisions.serving.nodes.detours import (
    choose_detour,
    MAX_DETOURS,
)
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.edges.relay import BackendRequest, Transfer, TransferEnd
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.receiver import AnswerReceiver
from chervilrock.platform import headers as names
from chervilrock.tasks.serving.state import ServingState

HEADER = "Chervilrock-Detour"
"""Header of a request that another node has passed on; its value is the number
of sends to servers before."""

CUT_OFF_PAIR = (HEADER, "cut-off")
"""Header of the answer of a node that reaches no server, so that the request
may go to a third node."""

STOPPING_PAIR = (HEADER, "stopping")
"""Header of the answer of a node that is about to exit, to a request that
another node has passed on; it may go to a third node as well."""

CONNECT_TIMEOUT_S = 0.4
"""Longest time to connect to another node."""

MAX_DIGITS = 3
"""Digits of the number of sends that are read."""

DENIALS = frozenset({400, 401, 403, 404})
"""Statuses of a node whose configuration is not that of this node; it has not
sent the request to a server."""


def read_sends(request: CallerRequest) -> int | None:
    """Return the earlier sends of a request from another node.

    Returns:
      None for a request that comes from its caller.
    """
    for name, value in request.headers:
        if name.lower() == HEADER.lower():
            text = value.strip()[:MAX_DIGITS]
            return int(text) if text.isascii() and text.isdigit() else 0
    return None


def remove_header(request: CallerRequest) -> names.HeaderPairs:
    """Return the headers of a request as its caller sent them."""
    return tuple(
        pair for pair in request.headers if pair[0].lower() != HEADER.lower()
    )


class Detour:
    """Chooses the nodes through which one request is sent.

    Attributes:
      is_rejected: whether a node that reaches servers rejected the request.
      retry_after_s: time after which the last node asked to retry, 0 if it
        did not.
    """

    def __init__(self, *, state: ServingState, request: CallerRequest) -> None:
        """Create a detour that has tried no node.

        Args:
          state: state of this node.
          request: the request.
        """
        self._state = state
        self._request = request
        self._tried: set[str] = set()
        self.is_rejected = False
        self.retry_after_s = 0.0

    def choose(self) -> NodeEntry | None:
        """Return the next node to try, None if none is left."""
        if len(self._tried) >= MAX_DETOURS:
            return None
        state = self._state
        node = choose_detour(
            state.nodes or state.known_nodes.values(),
            own=state.own,
            tried=frozenset(self._tried),
            generator=state.generator,
        )
        if node is not None:
            self._tried.add(node.node)
        return node

    def make_request(
        self,
        node: NodeEntry,
        *,
        sends: int,
        last_event: str,
        remaining_s: float,
    ) -> BackendRequest:
        """Return the request as it is sent to another node.

        Args:
          node: the node.
          sends: earlier sends to servers.
          last_event: last event that the caller has, empty for none.
          remaining_s: time that is left, in seconds.
        """
        request = self._request
        pairs = names.make_passed_on_headers(
            request.headers, remaining_s, last_event
        )
        return BackendRequest(
            method=request.method,
            url=f"http://{node.callers_address}{request.target}",
            headers=(*pairs, (HEADER, str(sends))),
            body=request.body if request.has_body else None,
            timeout_s=remaining_s + 1.0,
            send_once=True,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )

    def classify(
        self,
        transfer: Transfer,
        receiver: AnswerReceiver,
        end: TransferEnd | SendOutcome,
    ) -> SendOutcome:
        """Return the outcome of a send through another node.

        Unlike a server, the other node may be trusted when it states that the
        request was not run.
        """
        facts = receiver.facts
        if facts is None or isinstance(end, SendOutcome):
            return receiver.classify(transfer, end)
        if facts.has_receipt or facts.is_ambiguous:
            return receiver.classify(transfer, end)
        if is_promise(facts.status) or facts.status in DENIALS:
            self.retry_after_s = _read_retry_after(transfer)
            self.is_rejected = is_promise(
                facts.status
            ) and not _allows_another_node(transfer)
            return SendOutcome.NOT_RUN
        return SendOutcome.LOST


def _allows_another_node(transfer: Transfer) -> bool:
    """Return whether a node states that another one may serve a request."""
    head = transfer.head
    return head is not None and bool(head.find(HEADER.lower()))


def _read_retry_after(transfer: Transfer) -> float:
    """Return the seconds after which a node asks to retry, 0 for none."""
    if transfer.head is None:
        return 0.0
    try:
        return max(0.0, float(transfer.head.find("retry-after", "0")))
    except ValueError:
        return 0.0
