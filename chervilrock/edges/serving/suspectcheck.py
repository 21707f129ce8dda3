"""Checks whether a request is suspected of crashing servers."""

import functools

from chervilrock.decisions.serving.admission.contents import identify_content
from chervilrock.decisions.serving.admission.features import identify_parts
from chervilrock.decisions.serving.admission.suspects import Suspect
from chervilrock.decisions.serving.admission.suspecttracker import (
    MAX_CRASHES,
    MIN_ANNOUNCED_CRASHES,
)
from chervilrock.decisions.serving.site import Workspace
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint
from chervilrock.edges.relay import TransferEnd
from chervilrock.edges.serving import exchangelog
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.receiver import AnswerReceiver
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.serving.poisondetector import BrokenSend, PoisonDetector
from chervilrock.tasks.serving.state import ServingState

MIN_SURVIVAL_S = 1.0
"""Time after the first byte of an answer from which its server counts as having
survived the request, even if the answer is not complete."""


class SuspectCheck:
    """Links an attempt of a caller to others that share a feature with it."""

    def __init__(
        self,
        *,
        state: ServingState,
        poisondetector: PoisonDetector,
        request: CallerRequest,
    ) -> None:
        """Create a check of an attempt.

        Args:
          state: state of the node.
          poisondetector: detector of requests that crash servers.
          request: the attempt.
        """
        self._state = state
        self._poisondetector = poisondetector
        self._request = request
        self._workspace = ""
        self._is_broken = False
        self._tried: Suspect | None = None
        self._survives_at = MIN_SURVIVAL_S

    def admit(self, workspace: Workspace | None) -> None:
        """Record the workspace; must be called before the other methods."""
        self._workspace = "" if workspace is None else workspace.name

    def find_withheld(self) -> Suspect | None:
        """Return why the request is withheld, None if it is not."""
        suspects = self._state.suspects
        if not suspects:
            return None
        suspect = suspects.find_withheld(self._content, self._parts)
        if suspect is None or self._may_try(suspect):
            return None
        return suspect

    def _may_try(self, suspect: Suspect) -> bool:
        """Return whether a withheld request is sent once, as a trial."""
        suspects = self._state.suspects
        if self._tried is None:
            self._tried = suspects.begin_trial(
                self._state.own.node, self._content, self._parts
            )
        return (
            self._tried is not None
            and self._tried.content == suspect.content
            and suspects.is_on_trial(self._tried)
            and not self._is_broken
        )

    async def wait_for_verdict(self, until: float) -> None:
        """Wait before a send for the verdict whether to withhold the request.

        After a broken connection, MIN_ANNOUNCED_CRASHES earlier crashes are
        enough to wait; otherwise MAX_CRASHES are required.
        """
        if self._poisondetector.is_empty():
            return
        min_crashes = MIN_ANNOUNCED_CRASHES if self._is_broken else MAX_CRASHES
        await self._poisondetector.wait_for_verdict(
            self._content, min_crashes, until, self._parts
        )

    def record_end(
        self,
        receiver: AnswerReceiver,
        end: TransferEnd | None,
        endpoint: GroupEndpoint | ServerEndpoint,
        sent: float,
    ) -> None:
        """Have the server checked if the connection of a send broke.

        Args:
          receiver: the part of the answer that was received.
          end: end of the transfer, None if it was abandoned.
          endpoint: endpoint to which the request was sent.
          sent: time at which it was sent.
        """
        self._survives_at = MIN_SURVIVAL_S
        self._is_broken = end is not None and receiver.is_broken_off(end)
        if end is None or not self._is_broken:
            return
        now = read_clock()
        since_first_byte_s = receiver.find_duration(now)
        broken = BrokenSend(
            content=self._content,
            server=endpoint.server,
            address=endpoint.address,
            since_first_byte_s=since_first_byte_s or 0.0,
            since_sent_s=now - sent,
            parts=self._parts,
        )
        self._poisondetector.record_broken(broken, now)
        exchangelog.log_broken(
            self._request.facts.request_id,
            broken,
            end._replace(error=receiver.find_error(end)),
            since_first_byte_s,
        )

    def record_progress(self, receiver: AnswerReceiver, sent: float) -> None:
        """Record now and then that a server survives the request.

        Args:
          receiver: the part of the answer that was received.
          sent: time at which the request was sent.
        """
        if self._poisondetector.is_empty():
            return
        now = read_clock()
        survived_s = receiver.find_duration(now)
        if survived_s is None or survived_s < self._survives_at:
            return
        self._survives_at = 2 * survived_s
        self._poisondetector.record_pass(
            (self._content, *self._parts),
            sent_at=sent,
            now=now,
            survived_s=survived_s,
        )

    def record_completion(self, sent: float) -> None:
        """Record a complete answer, which clears the request of suspicion.

        Args:
          sent: time at which the request was sent.
        """
        self._poisondetector.record_pass(
            (self._content, *self._parts), sent_at=sent, now=read_clock()
        )

    @functools.cached_property
    def _content(self) -> str:
        """Identifier of the content, the same for all attempts."""
        request = self._request
        return identify_content(
            method=request.method,
            host=request.host,
            target=request.target,
            workspace=self._workspace,
            body=request.body,
        )

    @functools.cached_property
    def _parts(self) -> tuple[str, ...]:
        """Identifiers of the features that other requests may share."""
        return identify_parts(self._workspace, self._request.facts.prompt_parts)
