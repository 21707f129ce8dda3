import asyncio
import socket

from testtools.assertions import assert_that
from testtools.matchers import Equals
from tornado.ioloop import IOLoop

from chervilrock.platform.curlpool import CurlPool
from chervilrock.platform.httpclient import HttpClient


def test_pool_makes_clients_when_they_are_needed():
    async def check():
        pool = CurlPool(max_requests=3, max_body_size=1000, handles=2)
        with pool.borrow() as first, pool.borrow() as second:
            assert_that(second is first, Equals(True))
            with pool.borrow() as third, pool.borrow() as fourth:
                assert_that(third is first, Equals(False))
                assert_that(fourth is third, Equals(True))
                assert_that(pool.running, Equals(4))
        with pool.borrow() as again:
            assert_that(again is first, Equals(True))
        pool.close()
        assert_that(pool.running, Equals(0))

    asyncio.run(check())


def test_closed_client_leaves_no_socket_with_the_event_loop():
    async def check():
        # Connections wait in the backlog; nothing of it is in the loop.
        server = socket.create_server(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{server.getsockname()[1]}/"
        handlers = IOLoop.current().handlers
        before = set(handlers)
        client = HttpClient()
        waiting = [
            asyncio.create_task(client.request("GET", url, timeout_s=90))
            for _ in range(6)
        ]
        while len(handlers) < len(before) + len(waiting):
            await asyncio.sleep(0)
        client.close()
        assert_that(set(handlers), Equals(before))
        for task in waiting:
            task.cancel()
        server.close()

    asyncio.run(check())
