import asyncio
import gc

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.clients.curlpool import CurlPool, HANDLES_PER_CLIENT
from chervilrock.clients.httpclient import HttpClient

REFUSING_URL = "http://127.0.0.1:1/"
"""URL with a port that refuses connections."""

TIMEOUT_S = 20.0
"""Timeout of each request."""


def test_pool_creates_clients_on_demand():
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


def test_a_cancelled_request_keeps_its_handle():
    # The server leaves the first requests unanswered. Their callers are
    # cancelled while all handles of the first client are in use. If the
    # handles were released then, the next request would wait for them.
    async def check():
        arrived = asyncio.Semaphore(0)
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            arrived.release()
            if len(connections) > HANDLES_PER_CLIENT:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient()

        def send():
            url = f"http://127.0.0.1:{port}/"
            return client.request("GET", url, timeout_s=TIMEOUT_S)

        unanswered = [
            asyncio.ensure_future(send()) for _ in range(HANDLES_PER_CLIENT)
        ]
        for _ in unanswered:
            await arrived.acquire()
        for request in unanswered:
            request.cancel()
        await asyncio.gather(*unanswered, return_exceptions=True)
        async with asyncio.timeout(TIMEOUT_S / 2):
            answer = await send()
        assert_that(answer.unwrap().status, Equals(200))
        client.close()
        for connection in connections:
            connection.close()
        server.close()

    asyncio.run(check())


def test_a_failure_of_a_cancelled_call_is_not_logged(caplog):
    # asyncio logged the failure of a cancelled call as an exception that was
    # never retrieved, at times after the last log line of a stopping process.
    async def check():
        client = HttpClient()
        call = asyncio.ensure_future(
            client.request("GET", REFUSING_URL, timeout_s=TIMEOUT_S)
        )
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        # A later call fails only after the cancelled one has failed.
        await client.request("GET", REFUSING_URL, timeout_s=TIMEOUT_S)
        await client.request("GET", REFUSING_URL, timeout_s=TIMEOUT_S)
        client.close()

    asyncio.run(check())
    gc.collect()
    assert_that([record.getMessage() for record in caplog.records], Equals([]))


def test_a_closed_client_opens_no_connection(caplog):
    # A task that resumed during shutdown created a curl client that was never
    # closed, and its failure was logged after the last line of the log.
    async def check():
        client = HttpClient()
        client.close()
        answer = await client.request("GET", REFUSING_URL, timeout_s=TIMEOUT_S)
        assert_that(answer.failure().message, Equals("closed"))

    asyncio.run(check())
    assert_that([record.getMessage() for record in caplog.records], Equals([]))
