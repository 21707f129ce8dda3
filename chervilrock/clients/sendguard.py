"""Control over how often libcurl sends a request.

libcurl sends a request again by itself when a reused connection turns out to
be closed, also after the remote side has run it. It calls back right before
each send, on a new connection as on a reused one, which tells whether a byte
can have left and allows to stop the second send.
"""

import pycurl

_SEND: int = pycurl.PREREQFUNC_OK
_ABORT: int = pycurl.PREREQFUNC_ABORT


class SendGuard:
    """Watches the sends of one request.

    Attributes:
      sent: whether libcurl has begun to send; while it is False, no byte of
        the request has left this process.
    """

    __slots__ = ("sent", "_fresh", "_once")

    def __init__(self, *, once: bool, fresh: bool = False) -> None:
        """Makes a guard for one request.

        Args:
          once: whether to fail rather than to send a second time.
          fresh: whether to use a connection of its own, which no request used
            before or will use later. With a reused connection `once` alone
            also fails when the remote side had closed it before the send.
        """
        self.sent = False
        self._once = once
        self._fresh = fresh

    def prepare(self, curl: pycurl.Curl) -> None:
        """Sets up a handle; the `prepare_curl_callback` of a request."""
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.PREREQFUNCTION, self._record_send)
        if self._fresh:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def _record_send(self, *_addresses: object) -> int:
        if self.sent and self._once:
            return _ABORT
        self.sent = True
        return _SEND
