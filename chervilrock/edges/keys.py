"""Requests with a key that the caller chose."""

from chervilrock.decisions.requests import runregistry
from chervilrock.decisions.requests.keyfold import KeyName
from chervilrock.decisions.requests.keys import COMPLETE, KeyVerdict
from chervilrock.decisions.requests.runregistry import (
    Claim,
    ClaimKind,
    RecordedAnswer,
)
from chervilrock.edges import once
from chervilrock.edges.dispatch import CallerRequest, Prepared
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.path import RequestPath
from chervilrock.edges.sinks import AnswerSink
from chervilrock.generated.interfaces import Outcome

MAX_ENTRIES = 10_000
"""Most keys whose answers this node can still tell by itself."""

UNAVAILABLE = CallerError(
    ErrorCode.KEY_UNAVAILABLE,
    "the key cannot be claimed now; a ticket from /v1/tickets needs no claim",
    Outcome.UNKNOWN,
)
"""Told when the log does not say whose key it is.

This try was not run, but an earlier one with the same key may have been run by
another node, and for the caller both are the same request.
"""


class KeyDesk:
    """Runs a request once for each key that a caller chose."""

    def __init__(self, *, path: RequestPath) -> None:
        """Starts without keys.

        Args:
          path: request path of the node.
        """
        self._context = path.context
        self._memory: runregistry.RunRegistry[KeyName] = (
            runregistry.RunRegistry()
        )
        self._runs: once.OnceRuns[KeyName] = once.OnceRuns(path=path)

    async def answer(
        self,
        key: str,
        request: CallerRequest,
        prepared: Prepared,
        sink: AnswerSink,
    ) -> None:
        """Answers a request that carries a key.

        Args:
          key: the key.
          request: the request.
          prepared: the request, checked.
          sink: takes the answer.
        """
        name = KeyName(request.parsed.workspace, key)
        fingerprint = once.fingerprint(request)
        claim = self._memory.find(name, fingerprint)
        if claim is None and self._context.leaving:
            once.fail(sink, once.LEAVING)
            return
        if claim is None:
            verdict = await self._context.claim_key(name)
            # Another caller with the same key may have come meanwhile.
            claim = self._memory.find(name, fingerprint)
            if claim is None:
                claim = self._take_verdict(
                    name, fingerprint, verdict, prepared, sink
                )
        await self._follow_claim(name, claim, request, sink)

    def _take_verdict(
        self,
        name: KeyName,
        fingerprint: int,
        verdict: KeyVerdict,
        prepared: Prepared,
        sink: AnswerSink,
    ) -> Claim:
        """Runs the request if its key was claimed for it."""
        if verdict is KeyVerdict.DISPATCH:
            self._make_room()
            self._memory.start(name, fingerprint)
            self._start(name, prepared)
            return Claim(ClaimKind.JOIN)
        if verdict is KeyVerdict.TAKEN:
            return Claim(ClaimKind.FORGOTTEN)
        if verdict is KeyVerdict.FAILED:
            return Claim(ClaimKind.REPLAY, outcome=Outcome.FAILED)
        sink.fail(UNAVAILABLE, may_retry=True)
        return Claim(ClaimKind.RUN)

    async def _follow_claim(
        self,
        name: KeyName,
        claim: Claim,
        request: CallerRequest,
        sink: AnswerSink,
    ) -> None:
        if claim.kind is ClaimKind.JOIN:
            await self._runs.follow(name, request, sink)
        elif claim.kind is ClaimKind.REPLAY:
            once.replay(claim, sink)
        elif claim.kind is ClaimKind.MISMATCH:
            once.fail(sink, once.MISMATCH)
        elif claim.kind is ClaimKind.FORGOTTEN:
            once.fail(sink, once.FORGOTTEN)

    def _start(self, name: KeyName, prepared: Prepared) -> None:
        """Starts the one run of a key."""

        def finish(outcome: Outcome, answer: RecordedAnswer | None) -> None:
            self._memory.finish(name, outcome=outcome, answer=answer)
            told = outcome.value if answer is None else COMPLETE
            self._context.finish_key(name, told)

        self._runs.start(name, prepared, finish)

    def _make_room(self) -> None:
        """Forgets the oldest run; the log still knows of its key."""
        if len(self._memory) >= MAX_ENTRIES:
            oldest = next(self._memory.list_completed(), None)
            if oldest is not None:
                self._memory.forget(oldest)
