"""Control of the automatic retries of libcurl.

libcurl sends a request again when a reused connection turns out to be closed,
even if the remote side has already read it, and starts its time limit anew. It
invokes a callback right before each send, on new and reused connections alike.
The callback records whether any byte can have been sent, and aborts a second
send.
"""

import pycurl

_SEND: int = pycurl.PREREQFUNC_OK
_ABORT: int = pycurl.PREREQFUNC_ABORT


class SendGuard:
    """Lets one request be sent at most once.

    Attributes:
      sent: whether libcurl has begun to send; while it is False, no byte of
        the request has been sent.
      is_repeat_aborted: whether libcurl would have sent it again, since a
        reused connection was closed before an answer.
      has_ended: whether nobody waits for its answer any more.
    """

    __slots__ = ("sent", "is_repeat_aborted", "has_ended", "_fresh")

    def __init__(self, *, fresh: bool = False) -> None:
        """Create a guard for one request.

        Args:
          fresh: whether to use a dedicated connection that is not shared with
            earlier or later requests. On a reused connection, the request also
            fails when the remote side closed it before the send.
        """
        self.sent = False
        self.is_repeat_aborted = False
        self.has_ended = False
        self._fresh = fresh

    def end(self) -> None:
        """Prevent the send if it has not begun."""
        self.has_ended = True

    def prepare(self, curl: pycurl.Curl) -> None:
        """Configure a handle; used as `prepare_curl_callback` of a request."""
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.PREREQFUNCTION, self._record_send)
        if self._fresh:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def _record_send(self, *_addresses: object) -> int:
        if self.sent or self.has_ended:
            self.is_repeat_aborted = self.sent
            return _ABORT
        self.sent = True
        return _SEND
