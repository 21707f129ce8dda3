"""The task that reads the host list of the platform."""

import asyncio

from returns.result import Success

from chervilrock.clients.base import HostListSource
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.mailbox import Outbox
from chervilrock.tasks.messages import HostsListed


class HostListTask:
    """Reads the host list once per interval and sends `HostsListed`.

    When the list cannot be read, the last one stays in force: probes, not the
    list, prove that a host is present.
    """

    def __init__(
        self,
        *,
        source: HostListSource,
        clock: Clock,
        interval_s: float,
        outbox: Outbox[HostsListed],
    ) -> None:
        self._source = source
        self._clock = clock
        self._interval_s = interval_s
        self._outbox = outbox

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            result = await self._source.fetch()
            if isinstance(result, Success):
                hosts = result.unwrap()
                self._outbox.offer(
                    HostsListed(hosts=hosts, read_at=self._clock())
                )
            await asyncio.sleep(self._interval_s)
