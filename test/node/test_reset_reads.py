"""Reads of the store whose kept connections are reset."""

from testtools.assertions import assert_that
from testtools.matchers import HasLength

from test.node.serving_site import run_world, World

RESETS = 6


def test_a_node_does_not_send_a_long_poll_again_that_was_reset() -> None:
    # libcurl sent it again by itself, with a time limit that began anew.
    async def scenario(world: World) -> None:
        door = world.site.store.door

        def reset() -> bool:
            door.reset_polls(0.0)
            return door.polls_reset >= RESETS

        await world.wait(reset, "long polls reset")
        calls = door.calls
        await world.wait(lambda: door.calls > calls + 2, "reads after them")
        assert_that(door.sent_again, HasLength(0))

    run_world(scenario)
