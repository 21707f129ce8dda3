"""Whether a request crashes the servers that run it, as its exchange asks."""

import functools

from chervilrock.decisions.serving.contents import identify_content
from chervilrock.decisions.serving.site import Workspace
from chervilrock.decisions.serving.suspects import (
    MAX_CRASHES,
    MIN_ANNOUNCED_CRASHES,
    Suspect,
)
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint
from chervilrock.edges.relay import TransferEnd
from chervilrock.edges.serving import exchangelog
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.receiver import AnswerReceiver
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.serving.poisondetector import BrokenSend, PoisonDetector
from chervilrock.tasks.serving.state import ServingState


class SuspectCheck:
    """Relates one attempt of a caller to others with the same content."""

    def __init__(
        self,
        *,
        state: ServingState,
        poisondetector: PoisonDetector,
        request: CallerRequest,
    ) -> None:
        """Check an attempt.

        Args:
          state: what the node knows.
          poisondetector: what it does about requests that crash servers.
          request: the attempt.
        """
        self._state = state
        self._poisondetector = poisondetector
        self._request = request
        self._workspace = ""
        self._is_broken = False

    def admit(self, workspace: Workspace | None) -> None:
        """Note the customer, before anything is asked."""
        self._workspace = "" if workspace is None else workspace.name

    def find_withheld(self) -> Suspect | None:
        """Return why no server may get the request, None when it may."""
        suspects = self._state.suspects
        if not suspects:
            return None
        return suspects.find_withheld(self._content)

    async def wait_for_verdict(self, until: float) -> None:
        """Wait, before a send, whether the request is to be withheld.

        After a server ended, two ends before it are enough to wait.
        """
        if self._poisondetector.is_empty():
            return
        ends = MIN_ANNOUNCED_CRASHES if self._is_broken else MAX_CRASHES
        await self._poisondetector.wait_for_verdict(self._content, ends, until)

    def record_end(
        self,
        receiver: AnswerReceiver,
        end: TransferEnd | None,
        endpoint: GroupEndpoint | ServerEndpoint,
        sent: float,
    ) -> None:
        """Have it looked into if the connection of a send broke.

        Args:
          receiver: what came of the answer.
          end: end of the transfer, None when it was given up.
          endpoint: where it was sent.
          sent: when it was sent.
        """
        self._is_broken = end is not None and end.is_broken
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
        )
        self._poisondetector.record_broken(broken, now)
        exchangelog.log_broken(
            self._request.facts.request_id, broken, end, since_first_byte_s
        )

    def record_completion(self) -> None:
        """Clear the request, whose whole answer came."""
        poisondetector = self._poisondetector
        if not poisondetector.is_empty() and poisondetector.count_crashes(
            self._content
        ):
            poisondetector.record_completion(self._content)

    @functools.cached_property
    def _content(self) -> str:
        """What the request asks for, the same for all its attempts."""
        request = self._request
        return identify_content(
            method=request.method,
            host=request.host,
            target=request.target,
            workspace=self._workspace,
            body=request.body,
        )
