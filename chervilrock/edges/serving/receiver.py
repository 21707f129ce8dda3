"""Receives the answer of a server to one send."""

from collections.abc import Callable
from typing import NamedTuple

from chervilrock.clients.heads import HeadState
from chervilrock.decisions.serving.admission.attempts import (
    classify_answer,
    SendOutcome,
)
from chervilrock.decisions.serving.admission.streams import EventSplitter
from chervilrock.decisions.serving.messages import AnswerFacts, Framing
from chervilrock.edges.heads import Head
from chervilrock.edges.relay import Receiver, Transfer, TransferEnd
from chervilrock.platform import headers as names
from chervilrock.tasks.clock import read_clock, read_unix_time

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest answer that is buffered until it is complete."""

MAX_UNUSED_BYTES = 64 * 1024
"""Most bytes that are read of a body that nobody needs, such as that of
a rejection."""

_USED_OUTCOMES = (SendOutcome.COMPLETE, SendOutcome.FAILED)


class AnswerSummary(NamedTuple):
    """What was received of an answer, for log events.

    Attributes:
      head: how much of the head was received.
      addressee: request that the head names: `own`, `other` or `none`.
      framing: what states where the body ends, empty without a head.
      size: bytes of the body that were received.
    """

    head: HeadState = HeadState.NONE
    addressee: str = "none"
    framing: str = ""
    size: int = 0


NO_ANSWER = AnswerSummary()


class AnswerReceiver(Receiver):
    """Receives the answer of a server to one send.

    Events of a stream of this very request are forwarded as they arrive; all
    other bodies are buffered until they are complete.

    Attributes:
      splitter: splits the stream into events.
      facts: fields read from the head, None before it was received.
      body: the body if it is buffered.
      is_relayed: whether events are forwarded as they arrive.
      size: bytes of the body that were received.
    """

    def __init__(
        self,
        *,
        request_id: str,
        last_event: str,
        has_body: bool = True,
        is_continuation: bool = False,
        deliver: Callable[[Head, bytes], None],
        progress: Callable[["AnswerReceiver"], None],
        record_facts: Callable[[AnswerFacts], None] = lambda _facts: None,
        record_collected: Callable[[int], None] = lambda _size: None,
        find_room: Callable[[int], bool] = lambda _size: True,
    ) -> None:
        """Create a receiver that has received nothing.

        Args:
          request_id: identifier of the request.
          last_event: identifier of the last event that the caller has, empty
            for none.
          has_body: whether an answer may have a body; one to HEAD has none.
          is_continuation: whether the caller has a part of the answer, which
            only a stream can continue.
          deliver: is called with complete events for the caller.
          progress: is called with this receiver whenever data is received. It
            must not refer to it, as both would then outlive the send.
          record_facts: is called with the fields read from the head, also for
            an abandoned transfer.
          record_collected: is called with the size of a body or event that is
            buffered until it is complete, whenever it changes.
          find_room: returns whether further bytes may be received now.
        """
        self._find_room = find_room
        self._record_collected = record_collected
        self._request_id = request_id
        self._has_body = has_body
        self._is_continuation = is_continuation
        self._deliver = deliver
        self._progress = progress
        self._record_facts = record_facts
        self.splitter = EventSplitter(last_event=last_event)
        self.facts: AnswerFacts | None = None
        self.body = bytearray()
        self.is_relayed = False
        self._is_used = True
        self.size = 0
        self._held = 0
        self._head_at: float | None = None

    def find_duration(self, now: float) -> float | None:
        """Return the seconds since the head was received, None without one."""
        return None if self._head_at is None else now - self._head_at

    def inspect_head(self, head: Head) -> None:
        """See base class."""
        self._inspected = names.read_answer(
            head.status, head.headers, read_unix_time()
        )
        self._record_facts(self._inspected)

    def handle_head(self, head: Head) -> None:
        """See base class."""
        self._head = head
        self._head_at = read_clock()
        self.facts = self._inspected
        outcome = classify_answer(
            self.facts, request_id=self._request_id, is_whole=True
        )
        self._is_used = outcome in _USED_OUTCOMES
        self.is_relayed = (
            outcome is SendOutcome.COMPLETE
            and self.facts.is_stream
            and self._has_body
        )
        self._progress(self)

    def has_room(self, size: int) -> bool:
        """See base class; bytes that are not kept need none."""
        return not self._is_used or self._find_room(size)

    def handle_data(self, data: bytes) -> None:
        """See base class."""
        if self.fault:
            return
        self._progress(self)
        self.size += len(data)
        if self.is_relayed:
            events = self.splitter.feed(data)
            self.fault = self.splitter.fault
            # What is delivered counts again until its caller has read it.
            self._record_held(self.splitter.held)
            if events:
                self._deliver(self._head, events)
            return
        limit = MAX_BODY_BYTES if self._is_used else MAX_UNUSED_BYTES
        if self.size > limit:
            self.fault = (
                f"the body has more than {limit} bytes, {self.size} received"
            )
            self.body.clear()
        elif self._is_used:
            self.body += data
        self._record_held(len(self.body))

    def _record_held(self, size: int) -> None:
        if size != self._held:
            self._held = size
            self._record_collected(size)

    def summarize(self, transfer: Transfer) -> AnswerSummary:
        """Return what was received of the answer.

        Args:
          transfer: the transfer of the send.
        """
        facts = self.facts
        if facts is None:
            return AnswerSummary(head=transfer.head_state, size=self.size)
        addressee = "none"
        if facts.request_id:
            is_own = facts.request_id == self._request_id
            addressee = "own" if is_own else "other"
        return AnswerSummary(
            transfer.head_state, addressee, facts.framing.value, self.size
        )

    def find_error(self, end: TransferEnd | SendOutcome) -> str:
        """Return why the answer is not complete, empty if it may be.

        libcurl reports no error for an answer with neither a length nor chunks
        that ends with its connection.

        Args:
          end: end of the transfer, or the outcome for which it was abandoned.
        """
        if isinstance(end, SendOutcome):
            return ""
        if self.fault:
            return self.fault
        if end.error or not self.is_relayed or self.facts is None:
            return end.error
        splitter = self.splitter
        if splitter.has_partial_event:
            return "the stream ended inside an event"
        is_undelimited = self.facts.framing is Framing.CONNECTION
        if is_undelimited and not splitter.events:
            return "the stream ended before its first event"
        return ""

    def is_broken_off(self, end: TransferEnd | SendOutcome) -> bool:
        """Return whether the server ended the answer before it was complete.

        Args:
          end: end of the transfer, or the outcome for which it was abandoned.
        """
        if isinstance(end, SendOutcome) or end.is_faulty:
            return False
        return end.is_broken or bool(self.find_error(end) and not end.error)

    def classify(
        self, transfer: Transfer, end: TransferEnd | SendOutcome
    ) -> SendOutcome:
        """Return the outcome of the send.

        Args:
          transfer: the transfer of the send.
          end: end of the transfer, or the outcome for which it was abandoned.
        """
        if isinstance(end, SendOutcome):
            return end
        if not transfer.sent:
            return SendOutcome.HELD if end.is_held else SendOutcome.NOT_RUN
        if self.facts is None:
            return SendOutcome.LOST
        outcome = classify_answer(
            self.facts,
            request_id=self._request_id,
            is_whole=not self.find_error(end),
        )
        if outcome is SendOutcome.COMPLETE and not self._may_complete:
            return SendOutcome.LOST
        return outcome

    @property
    def _may_complete(self) -> bool:
        """Whether the answer can complete what the caller has of it."""
        return self.is_relayed or not self._is_continuation
