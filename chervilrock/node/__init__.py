"""An entry node, assembled from its tasks and request handlers."""

import asyncio
import signal

from chervilrock.generated.settings import NodeSettings
from chervilrock.node.entry import EntryNode

__all__ = ["EntryNode", "run"]

_EXIT_FAILURE = 1


async def run(settings: NodeSettings) -> int:
    """Run a node until SIGTERM or SIGINT and return the exit code."""
    node = EntryNode(settings=settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await node.start()
    waits = [
        asyncio.create_task(stopping.wait()),
        asyncio.create_task(node.failed.wait()),
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if node.failed.is_set():
        await node.stop_after_failure()
        return _EXIT_FAILURE
    await node.stop()
    return 0
