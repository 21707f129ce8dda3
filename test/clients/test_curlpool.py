import asyncio
import gc

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.clients.curlpool import CurlPool, HANDLES
from chervilrock.clients.httpclient import HttpClient

REFUSING = "http://127.0.0.1:1/"
"""An address at which nobody listens."""

LONG_S = 20.0
"""Timeout of a request that is not answered."""


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


def test_a_request_that_nobody_waits_for_keeps_its_handle():
    # A server answers none of the first requests; their callers are cancelled
    # while all handles of the first client are taken.
    async def check():
        arrived = asyncio.Semaphore(0)
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            arrived.release()
            if len(connections) > HANDLES:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient()

        def send():
            url = f"http://127.0.0.1:{port}/"
            return client.request("GET", url, timeout_s=LONG_S)

        held = [asyncio.ensure_future(send()) for _ in range(HANDLES)]
        for _ in held:
            await arrived.acquire()
        for one in held:
            one.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        async with asyncio.timeout(LONG_S / 2):
            answer = await send()
        assert_that(answer.unwrap().status, Equals(200))
        client.close()
        for one in connections:
            one.close()
        server.close()

    asyncio.run(check())


def test_a_call_that_was_given_up_fails_without_a_word(caplog):
    # Its failure was logged as one that nobody waited for, at times after the
    # last line of a process that stopped.
    async def check():
        client = HttpClient()
        call = asyncio.ensure_future(
            client.request("GET", REFUSING, timeout_s=LONG_S)
        )
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        # The failure of a second call comes after that of the first.
        await client.request("GET", REFUSING, timeout_s=LONG_S)
        await client.request("GET", REFUSING, timeout_s=LONG_S)
        client.close()

    asyncio.run(check())
    gc.collect()
    assert_that([one.getMessage() for one in caplog.records], Equals([]))


def test_a_closed_client_makes_no_connection(caplog):
    # A task that wakes while its process ends made a client that was never
    # closed, and its failure came after the last line of the log.
    async def check():
        client = HttpClient()
        client.close()
        answer = await client.request("GET", REFUSING, timeout_s=LONG_S)
        assert_that(answer.failure().message, Equals("closed"))

    asyncio.run(check())
    assert_that([one.getMessage() for one in caplog.records], Equals([]))
