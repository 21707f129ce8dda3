"""Control of the automatic retries of libcurl.

libcurl sends a request again when a reused connection turns out to be closed,
even if the remote side has already executed it. It invokes a callback right
before each send, on new and reused connections alike. The callback records
whether any byte can have been sent, and can abort the second send.
"""

import pycurl

_SEND: int = pycurl.PREREQFUNC_OK
_ABORT: int = pycurl.PREREQFUNC_ABORT


class SendGuard:
    """Records and limits the sends of one request.

    Attributes:
      sends: how often libcurl has begun to send; while it is 0, no byte of the
        request has been sent.
    """

    __slots__ = ("sends", "_fresh", "_once")

    def __init__(self, *, once: bool, fresh: bool = False) -> None:
        """Create a guard for one request.

        Args:
          once: whether to fail instead of sending a second time.
          fresh: whether to use a dedicated connection that is not shared with
            earlier or later requests. On a reused connection, `once` alone
            also fails when the remote side closed it before the send.
        """
        self.sends = 0
        self._once = once
        self._fresh = fresh

    @property
    def sent(self) -> bool:
        """Whether any byte of the request can have been sent."""
        return self.sends > 0

    def prepare(self, curl: pycurl.Curl) -> None:
        """Configure a handle; used as `prepare_curl_callback` of a request."""
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.PREREQFUNCTION, self._record_send)
        if self._fresh:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def _record_send(self, *_addresses: object) -> int:
        if self.sent and self._once:
            return _ABORT
        self.sends += 1
        return _SEND
