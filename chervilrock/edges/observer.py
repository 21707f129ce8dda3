"""Reports the sends of a request to routing, admission and metrics."""

from chervilrock.decisions.requests.attempts import SendMode
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.decisions.routing.base import (
    Endpoint,
    PROGRESS_TOKENS,
    RequestView,
)
from chervilrock.edges.context import RequestContext
from chervilrock.edges.runs import ErrorReply
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
    """Reports the events of the sends of one completion.

    Attributes:
      answered: whether the current send has returned an event.
    """

    def __init__(self, *, context: RequestContext, view: RequestView) -> None:
        """Creates an observer at the arrival of the request.

        Args:
          context: the node.
          view: the request.
        """
        self._context = context
        self._view = view
        self._arrived_at = context.now()
        self._sent_at = self._arrived_at
        self._first_token_seen = False
        self._reported_tokens = 0
        self.answered = False

    def record_retry(self, mode: SendMode, group: str, position: int) -> None:
        """Records a send after the first one, before it is sent.

        Args:
          mode: mode of the send.
          group: group that receives it.
          position: number of events that the caller has received.
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
        """Records a send to a group."""
        self._sent_at = now
        self._reported_tokens = 0
        self.answered = False
        self._context.policy.on_sent(self._view, endpoint, now)

    def record_first_token(self, endpoint: Endpoint) -> None:
        """Records the first event of a send."""
        self.answered = True
        now = self._context.now()
        waited_s = now - self._sent_at
        self._context.policy.on_first_token(self._view, endpoint, now, waited_s)
        if self._first_token_seen:
            return
        self._first_token_seen = True
        self._context.admission.observe_first_token(
            self._view.request_id, endpoint.group, waited_s, now
        )
        self._context.metrics.observe_first_token(
            model=self._view.model, seconds=now - self._arrived_at
        )

    def record_progress(
        self, endpoint: Endpoint, tokens: int, now: float
    ) -> None:
        """Records the progress of a send after `PROGRESS_TOKENS` new tokens."""
        if tokens - self._reported_tokens < PROGRESS_TOKENS:
            return
        self._reported_tokens = tokens
        self._context.policy.on_progress(self._view, endpoint, now, tokens)

    def record_end(
        self,
        endpoint: Endpoint,
        end: AttemptEnd,
        error_reply: ErrorReply,
        tokens: int,
    ) -> None:
        """Records the end of a send.

        Args:
          endpoint: group that received it.
          end: how it ended.
          error_reply: error that the engine returned instead of an answer.
          tokens: number of tokens from this send, 0 if their rate does not
            reflect the speed of the group.
        """
        now = self._context.now()
        ok = end is AttemptEnd.COMPLETE
        self._context.policy.on_done(self._view, endpoint, now, ok, tokens)
        if error_reply.status == _STATUS_TOO_MANY_REQUESTS:
            self._context.admission.observe_overload(endpoint.group, now)

    def record_broken(
        self, endpoint: Endpoint, end: AttemptEnd, position: int
    ) -> None:
        """Records a stream that broke after at least one event."""
        if position > 0:
            emit(
                Event.STREAM_BROKEN,
                request_id=self._view.request_id,
                group=endpoint.group,
                position=position,
                reason=end.value,
            )
