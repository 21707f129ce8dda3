import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.tasks.mailbox import Mailbox


def test_cancellation_that_coincides_with_a_message_ends_the_task():
    async def check():
        mailbox: Mailbox[str] = Mailbox()
        received: list[str | None] = []

        async def work():
            while True:
                received.append(await mailbox.receive_within(3600))

        task = asyncio.create_task(work())
        await asyncio.sleep(0)
        mailbox.offer("message")
        task.cancel()
        for _ in range(10):
            await asyncio.sleep(0)
        assert_that(task.done(), Equals(True))
        assert_that(len(received), Equals(0))
        assert_that(await mailbox.receive(), Equals("message"))

    asyncio.run(check())


def test_cancellation_right_after_a_message_is_received_ends_the_task():
    async def check():
        mailbox: Mailbox[str] = Mailbox()

        async def work():
            while True:
                await mailbox.receive_within(3600)

        for turns in range(6):
            task = asyncio.create_task(work())
            await asyncio.sleep(0)
            mailbox.offer("message")
            for _ in range(turns):
                await asyncio.sleep(0)
            task.cancel()
            for _ in range(10):
                await asyncio.sleep(0)
            assert_that(task.done(), Equals(True))

    asyncio.run(check())


def test_timeout_without_a_message_returns_none():
    async def check():
        mailbox: Mailbox[str] = Mailbox()
        message = await mailbox.receive_within(0)
        assert_that(message is None, Equals(True))

    asyncio.run(check())


def test_full_mailbox_drops_the_oldest_offered_message():
    async def check():
        mailbox: Mailbox[int] = Mailbox(size=2)
        for number in range(3):
            mailbox.offer(number)
        assert_that(list(mailbox.receive_waiting()), Equals([1, 2]))
        assert_that(mailbox.dropped, Equals(1))

    asyncio.run(check())
