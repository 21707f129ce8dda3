import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.clients.curlpool import CurlPool


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
