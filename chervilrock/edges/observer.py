"""What routing, admission and metrics learn of the sends of a request."""

from chervilrock.decisions.requests.attempts import SendMode
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.decisions.routing.base import (
    Endpoint,
    PROGRESS_TOKENS,
    RequestView,
)
from chervilrock.edges.context import RequestContext
from chervilrock.edges.runs import Refusal
from chervilrock.events import emit, Event
from chervilrock.metrics import RetryKind

_STATUS_TOO_MANY_REQUESTS = 429
_RETRY_KINDS = {
    SendMode.START: RetryKind.RETRY,
    SendMode.RESUME: RetryKind.RESUME,
    SendMode.CONTINUE: RetryKind.CONTINUE,
}
_RETRY_EVENTS = {
    SendMode.RESUME: Event.STREAM_RESUMED,
    SendMode.CONTINUE: Event.STREAM_CONTINUED,
}


class SendObserver:
    """Hands on what happens to the sends of one completion.

    Attributes:
      answered: whether the present send has given an event.
    """

    def __init__(self, *, context: RequestContext, view: RequestView) -> None:
        """Starts when the request has arrived.

        Args:
          context: the node.
          view: the request.
        """
        self._context = context
        self._view = view
        self._arrived = context.now()
        self._sent_at = self._arrived
        self._first_seen = False
        self._told_tokens = 0
        self.answered = False

    def record_retry(self, mode: SendMode, group: str, position: int) -> None:
        """Tells of a send beyond the first one, before it is sent.

        Args:
          mode: what it asks for.
          group: group that gets it.
          position: events that the caller has.
        """
        self._context.metrics.count_retry(_RETRY_KINDS[mode])
        event = _RETRY_EVENTS.get(mode)
        if event is not None:
            emit(
                event,
                request_id=self._view.request_id,
                group=group,
                position=position,
            )

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Tells of a send to a group."""
        self._sent_at = now
        self._told_tokens = 0
        self.answered = False
        self._context.policy.on_sent(self._view, endpoint, now)

    def record_first_token(self, endpoint: Endpoint) -> None:
        """Tells of the first event of a send."""
        self.answered = True
        now = self._context.now()
        waited_s = now - self._sent_at
        self._context.policy.on_first_token(self._view, endpoint, now, waited_s)
        if self._first_seen:
            return
        self._first_seen = True
        self._context.admission.observe_first_token(
            self._view.request_id, endpoint.group, waited_s, now
        )
        self._context.metrics.observe_first_token(
            model=self._view.model, seconds=now - self._arrived
        )

    def record_progress(
        self, endpoint: Endpoint, tokens: int, now: float
    ) -> None:
        """Tells how many tokens of a send have come, if these are enough."""
        if tokens - self._told_tokens < PROGRESS_TOKENS:
            return
        self._told_tokens = tokens
        self._context.policy.on_progress(self._view, endpoint, now, tokens)

    def record_end(
        self, endpoint: Endpoint, end: AttemptEnd, refusal: Refusal, tokens: int
    ) -> None:
        """Tells of the end of a send.

        Args:
          endpoint: group that had it.
          end: how it ended.
          refusal: what the engine said instead of an answer.
          tokens: tokens that this send gave, 0 when their pace says nothing.
        """
        now = self._context.now()
        ok = end is AttemptEnd.COMPLETE
        self._context.policy.on_done(self._view, endpoint, now, ok, tokens)
        if refusal.status == _STATUS_TOO_MANY_REQUESTS:
            self._context.admission.observe_overload(endpoint.group, now)

    def record_broken(
        self, endpoint: Endpoint, end: AttemptEnd, position: int
    ) -> None:
        """Tells of a stream that broke after some events."""
        if position > 0:
            emit(
                Event.STREAM_BROKEN,
                request_id=self._view.request_id,
                group=endpoint.group,
                position=position,
                reason=end.value,
            )
