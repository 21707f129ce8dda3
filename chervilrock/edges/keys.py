"""Requests with a key that the caller chose."""

from chervilrock.edges.dispatch import CallerRequest, Prepared
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.path import RequestPath
from chervilrock.edges.sinks import AnswerSink

UNAVAILABLE = CallerError(
    ErrorCode.KEY_UNAVAILABLE,
    "this node takes no keys of callers; get a ticket from /v1/tickets",
)


class KeyDesk:
    """Runs a request once for each key that a caller chose."""

    def __init__(self, *, path: RequestPath) -> None:
        """Starts without keys.

        Args:
          path: request path of the node.
        """
        self._path = path

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
        sink.fail(UNAVAILABLE, may_repeat=False)
