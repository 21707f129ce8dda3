"""Transfers of libcurl in the running event loop."""

import asyncio
from collections.abc import Callable

import pycurl

MAX_CONNECTIONS = 16_384
"""Open connections; libcurl by itself keeps few more than are in use."""

_MS_PER_S = 1000

End = Callable[[pycurl.Curl, pycurl.error | None], None]


class CurlLoop:
    """Moves the transfers of handles on when the event loop says so."""

    def __init__(self, *, on_end: End) -> None:
        """Start without transfers.

        Args:
          on_end: called with a handle whose transfer has ended, and with the
            error if it failed
        """
        self._on_end = on_end
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.Handle | None = None
        self._watched: set[int] = set()
        self._closed = False
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)

    def add(self, curl: pycurl.Curl) -> None:
        """Begin the transfer of a handle."""
        self._multi.add_handle(curl)

    def remove(self, curl: pycurl.Curl) -> None:
        """Give a transfer up; its end is not told."""
        self._multi.remove_handle(curl)

    def close(self) -> None:
        """Close all connections; no transfer may be under way."""
        self._closed = True
        self._cancel_timer()
        for descriptor in list(self._watched):
            self._unwatch(descriptor)
        self._multi.close()

    def _set_timer(self, timeout_ms: int) -> None:
        """Callback of libcurl: call it back after a time."""
        self._cancel_timer()
        if self._closed or timeout_ms < 0:
            return
        if timeout_ms == 0:
            self._timer = self._loop.call_soon(self._record_time)
            return
        delay_s = timeout_ms / _MS_PER_S
        self._timer = self._loop.call_later(delay_s, self._record_time)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _record_time(self) -> None:
        self._timer = None
        self._act(pycurl.SOCKET_TIMEOUT, 0)
        # The clock of the event loop may be a little ahead of libcurl's, which
        # then finds that nothing is due and does not ask for another call.
        if self._timer is None and not self._closed:
            self._set_timer(self._multi.timeout())

    def _watch(
        self, event: int, descriptor: int, _multi: object, _data: object
    ) -> None:
        """Callback of libcurl: watch a socket for other events.

        A socket may have been closed and its number used again without a
        notice, so that it is always watched anew.
        """
        self._unwatch(descriptor)
        if event == pycurl.POLL_REMOVE:
            return
        if event & pycurl.POLL_IN:
            self._loop.add_reader(
                descriptor, self._act, descriptor, pycurl.CSELECT_IN
            )
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(
                descriptor, self._act, descriptor, pycurl.CSELECT_OUT
            )
        self._watched.add(descriptor)

    def _unwatch(self, descriptor: int) -> None:
        if descriptor in self._watched:
            self._watched.discard(descriptor)
            self._loop.remove_reader(descriptor)
            self._loop.remove_writer(descriptor)

    def _act(self, descriptor: int, events: int) -> None:
        """Let libcurl go on, and settle the requests that have ended."""
        self._multi.socket_action(descriptor, events)
        while True:
            waiting, done, failed = self._multi.info_read()
            for curl in done:
                self._end(curl, None)
            for curl, code, message in failed:
                self._end(curl, pycurl.error(code, message))
            if waiting == 0:
                return

    def _end(self, curl: pycurl.Curl, error: pycurl.error | None) -> None:
        self._multi.remove_handle(curl)
        self._on_end(curl, error)
