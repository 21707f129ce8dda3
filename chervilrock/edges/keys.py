"""Requests with an idempotency key that the caller chose."""

from chervilrock.decisions.requests import runregistry
from chervilrock.decisions.requests.keyfold import KeyName
from chervilrock.decisions.requests.keys import COMPLETE, KeyVerdict
from chervilrock.decisions.requests.runregistry import (
    Claim,
    ClaimKind,
    RecordedAnswer,
)
from chervilrock.edges import detachedruns
from chervilrock.edges.dispatch import CallerRequest, PreparedRequest
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.path import RequestPath
from chervilrock.edges.sinks import AnswerSink
from chervilrock.generated.interfaces import Outcome

MAX_ENTRIES = 10_000
"""Maximum number of keys whose answers this node stores."""

UNAVAILABLE = CallerError(
    ErrorCode.KEY_UNAVAILABLE,
    "the key cannot be claimed now; a ticket from /v1/tickets needs no claim",
    Outcome.UNKNOWN,
)
"""Sent when the log cannot confirm who has claimed the key.

This attempt was not run, but another node may have run an earlier one with the
same key. For the caller both are the same request, so its outcome is unknown.
"""


class KeyedRequestRunner:
    """Runs a request at most once for each idempotency key."""

    def __init__(self, *, path: RequestPath) -> None:
        """Creates a runner without keys.

        Args:
          path: request path of the node.
        """
        self._context = path.context
        self._registry: runregistry.RunRegistry[KeyName] = (
            runregistry.RunRegistry()
        )
        self._runs: detachedruns.DetachedRuns[KeyName] = (
            detachedruns.DetachedRuns(path=path)
        )

    async def answer(
        self,
        key: str,
        request: CallerRequest,
        prepared: PreparedRequest,
        sink: AnswerSink,
    ) -> None:
        """Answers a request that carries a key.

        Args:
          key: the key.
          request: the request.
          prepared: the validated request.
          sink: sink for the answer.
        """
        name = KeyName(request.parsed.workspace, key)
        fingerprint = detachedruns.fingerprint(request)
        claim = self._registry.find(name, fingerprint)
        if claim is None and self._context.leaving:
            detachedruns.fail(sink, detachedruns.LEAVING)
            return
        if claim is None:
            verdict = await self._context.claim_key(name)
            # Another request with the same key may have arrived meanwhile.
            claim = self._registry.find(name, fingerprint)
            if claim is None:
                claim = self._apply_verdict(
                    name, fingerprint, verdict, prepared, sink
                )
        await self._answer_claim(name, claim, request, sink)

    def _apply_verdict(
        self,
        name: KeyName,
        fingerprint: int,
        verdict: KeyVerdict,
        prepared: PreparedRequest,
        sink: AnswerSink,
    ) -> Claim:
        """Runs the request if the verdict grants its key."""
        if verdict is KeyVerdict.DISPATCH:
            self._evict_oldest()
            self._registry.start(name, fingerprint)
            self._start(name, prepared)
            return Claim(ClaimKind.JOIN)
        if verdict is KeyVerdict.TAKEN:
            return Claim(ClaimKind.FORGOTTEN)
        if verdict is KeyVerdict.FAILED:
            return Claim(ClaimKind.REPLAY, outcome=Outcome.FAILED)
        sink.fail(UNAVAILABLE, may_retry=True)
        return Claim(ClaimKind.RUN)

    async def _answer_claim(
        self,
        name: KeyName,
        claim: Claim,
        request: CallerRequest,
        sink: AnswerSink,
    ) -> None:
        if claim.kind is ClaimKind.JOIN:
            await self._runs.follow(name, request, sink)
        elif claim.kind is ClaimKind.REPLAY:
            detachedruns.replay(claim, sink)
        elif claim.kind is ClaimKind.MISMATCH:
            detachedruns.fail(sink, detachedruns.MISMATCH)
        elif claim.kind is ClaimKind.FORGOTTEN:
            detachedruns.fail(sink, detachedruns.FORGOTTEN)

    def _start(self, name: KeyName, prepared: PreparedRequest) -> None:
        """Starts the single run of a key."""

        def finish(outcome: Outcome, answer: RecordedAnswer | None) -> None:
            self._registry.finish(name, outcome=outcome, answer=answer)
            recorded_outcome = outcome.value if answer is None else COMPLETE
            self._context.finish_key(name, recorded_outcome)

        self._runs.start(name, prepared, finish)

    def _evict_oldest(self) -> None:
        """Removes the oldest completed run if the registry is full.

        The log still has the record of its key.
        """
        if len(self._registry) >= MAX_ENTRIES:
            oldest = next(self._registry.list_completed(), None)
            if oldest is not None:
                self._registry.forget(oldest)
