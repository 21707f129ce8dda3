"""Integration of libcurl transfers into the asyncio event loop."""

import asyncio
from collections.abc import Callable

import pycurl

MAX_CONNECTIONS = 16_384
"""Limit of cached connections; the default of libcurl is little more than the
number of connections in use."""

_MS_PER_S = 1000

EndCallback = Callable[[pycurl.Curl, pycurl.error | None], None]


class CurlLoop:
    """Drives libcurl transfers from socket and timer events of the loop."""

    def __init__(self, *, on_end: EndCallback) -> None:
        """Create a driver without transfers.

        Args:
          on_end: called when a transfer ends, with its handle and with the
            error if it failed
        """
        self._on_end = on_end
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.Handle | None = None
        self._watched_descriptors: set[int] = set()
        self._closed = False
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)

    def add(self, curl: pycurl.Curl) -> None:
        """Start the transfer of a handle."""
        self._multi.add_handle(curl)

    def remove(self, curl: pycurl.Curl) -> None:
        """Abort a transfer without calling `on_end`."""
        self._multi.remove_handle(curl)

    def close(self) -> None:
        """Close all connections; no transfer may be in progress."""
        self._closed = True
        self._cancel_timer()
        for descriptor in list(self._watched_descriptors):
            self._unwatch_socket(descriptor)
        self._multi.close()

    def _set_timer(self, timeout_ms: int) -> None:
        """Callback of libcurl that sets the timer for its next timeout."""
        self._cancel_timer()
        if self._closed or timeout_ms < 0:
            return
        if timeout_ms == 0:
            self._timer = self._loop.call_soon(self._handle_timeout)
            return
        delay_s = timeout_ms / _MS_PER_S
        self._timer = self._loop.call_later(delay_s, self._handle_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        self._timer = None
        self._run_transfers(pycurl.SOCKET_TIMEOUT, 0)
        # The clock of the event loop may be slightly ahead of that of libcurl,
        # which then has nothing due and does not set the timer again.
        if self._timer is None and not self._closed:
            self._set_timer(self._multi.timeout())

    def _watch_socket(
        self, event: int, descriptor: int, _multi: object, _data: object
    ) -> None:
        """Callback of libcurl that changes the events watched on a socket.

        A socket may have been closed and its descriptor reused without
        notification, so the old callbacks are always removed first.
        """
        self._unwatch_socket(descriptor)
        if event == pycurl.POLL_REMOVE:
            return
        if event & pycurl.POLL_IN:
            self._loop.add_reader(
                descriptor, self._run_transfers, descriptor, pycurl.CSELECT_IN
            )
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(
                descriptor, self._run_transfers, descriptor, pycurl.CSELECT_OUT
            )
        self._watched_descriptors.add(descriptor)

    def _unwatch_socket(self, descriptor: int) -> None:
        if descriptor in self._watched_descriptors:
            self._watched_descriptors.discard(descriptor)
            self._loop.remove_reader(descriptor)
            self._loop.remove_writer(descriptor)

    def _run_transfers(self, descriptor: int, events: int) -> None:
        """Let libcurl process events, and finish completed transfers."""
        self._multi.socket_action(descriptor, events)
        while True:
            remaining, done, failed = self._multi.info_read()
            for curl in done:
                self._finish_transfer(curl, None)
            for curl, code, message in failed:
                self._finish_transfer(curl, pycurl.error(code, message))
            if remaining == 0:
                return

    def _finish_transfer(
        self, curl: pycurl.Curl, error: pycurl.error | None
    ) -> None:
        self._multi.remove_handle(curl)
        self._on_end(curl, error)
