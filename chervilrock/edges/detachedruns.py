"""Runs that outlive their callers, and the repeated requests that join them."""

import asyncio
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from chervilrock.decisions.requests.runregistry import (
    Claim,
    make_fingerprint,
    RecordedAnswer,
)
from chervilrock.edges import recordings
from chervilrock.edges.dispatch import CallerRequest, PreparedRequest
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.path import RequestPath
from chervilrock.edges.recordings import RecordingSink
from chervilrock.edges.sinks import AnswerSink
from chervilrock.generated.interfaces import Outcome

RunName = TypeVar("RunName", bound=Hashable)
FinishCallback = Callable[[Outcome, RecordedAnswer | None], None]

FORGOTTEN = CallerError(
    ErrorCode.TICKET_UNKNOWN,
    "it may have run before, and what became of it is not known",
    Outcome.UNKNOWN,
)
MISMATCH = CallerError(
    ErrorCode.TICKET_MISMATCH,
    "the ticket or key was used for another request; this one has not run",
    Outcome.NOT_RUN,
)
STILL_RUNNING = CallerError(
    ErrorCode.TICKET_RUNNING,
    "the run with this ticket or key is still in progress",
    Outcome.UNKNOWN,
)
FAILED = CallerError(
    ErrorCode.ANSWER_BROKEN,
    "it ran before and ended without a whole answer",
    Outcome.FAILED,
    0.0,
)
LEAVING = CallerError(ErrorCode.LEAVING, "this node is leaving")


class DetachedRuns(Generic[RunName]):
    """The runs in progress of requests that must run only once."""

    def __init__(self, *, path: RequestPath) -> None:
        """Creates a collection without runs.

        Args:
          path: request path of the node.
        """
        self._path = path
        self._recordings: dict[RunName, RecordingSink] = {}

    def start(
        self, name: RunName, prepared: PreparedRequest, finish: FinishCallback
    ) -> None:
        """Starts a run.

        Args:
          name: ticket or key name for which the request runs only once.
          prepared: the validated request.
          finish: called at the end of the run with its outcome, and with the
            complete answer if it is kept.
        """
        recording = RecordingSink()
        self._recordings[name] = recording
        self._path.start_task(self._run(name, prepared, recording, finish))

    async def follow(
        self, name: RunName, request: CallerRequest, sink: AnswerSink
    ) -> None:
        """Writes the answer of a run in progress to the sink of a caller."""
        recording = self._recordings[name]
        if not recording.follow(sink):
            fail(sink, FORGOTTEN)
            return
        remaining_s = max(0.0, request.deadline - self._path.context.now())
        try:
            await asyncio.wait({recording.ended}, timeout=remaining_s)
            if not recording.ended.done():
                fail(sink, STILL_RUNNING)
        finally:
            recording.unfollow(sink)

    async def _run(
        self,
        name: RunName,
        prepared: PreparedRequest,
        recording: RecordingSink,
        finish: FinishCallback,
    ) -> None:
        """Runs a request to its end even if its caller disconnects."""
        outcome = Outcome.UNKNOWN
        try:
            with self._path.track_request():
                end = await prepared.make_run(recording).run()
            if end.error is not None:
                outcome = end.error.outcome
        finally:
            if not recording.ended.done():
                recording.fail(FORGOTTEN, may_retry=False)
            del self._recordings[name]
            finish(outcome, recording.make_record())


def fingerprint(request: CallerRequest) -> int:
    """Returns a number that identifies the content of a request."""
    return make_fingerprint(
        request.parsed.workspace, request.method, request.target, request.body
    )


def replay(claim: Claim, sink: AnswerSink) -> None:
    """Answers a repeated request with the outcome of the earlier run."""
    if claim.answer is not None:
        recordings.replay(claim.answer, sink)
    elif claim.outcome is Outcome.FAILED:
        fail(sink, FAILED)
    else:
        fail(sink, FORGOTTEN)


def fail(sink: AnswerSink, error: CallerError) -> None:
    """Ends the answer to a caller with a ticket or key with an error.

    A repeat with the same ticket or key is always safe.
    """
    sink.fail(error, may_retry=error.delay_s > 0)
