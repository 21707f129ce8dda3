"""Servers of the stand-in of the platform."""

import asyncio
import socket

from testtools.assertions import assert_that
from testtools.matchers import Equals, Not

from chervilrock.clients.liveness import ConnectionLiveness
from chervilrock.standin.site.servers import RESTART_DELAY_S
from chervilrock.standin.site.site import Site

MAX_WAIT_S = 10.0


def test_a_server_restarts_although_its_port_was_taken_meanwhile() -> None:
    async def scenario() -> None:
        site = Site()
        site.start(model_servers=0, plain_servers=1)
        (server,) = site.servers
        former = server.server
        port = int(server.address.rpartition(":")[2])
        liveness = ConnectionLiveness()
        server.depart()
        while await liveness.is_alive(server.address):
            await asyncio.sleep(0.01)
        with socket.create_server(("127.0.0.1", port)):
            await asyncio.sleep(2 * RESTART_DELAY_S)
        async with asyncio.timeout(MAX_WAIT_S):
            while not await liveness.is_alive(server.address):
                await asyncio.sleep(0.05)
        assert_that(server.server, Not(Equals(former)))
        await site.stop()

    asyncio.run(scenario())
