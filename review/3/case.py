"""Servers leave without a notice, and the store then deletes old records.

The store deletes the records of `keyed.servers` up to its present end, and
keeps the newest record of each key. It does so shortly after an entry was
removed, so that a reader whose next read comes later finds neither the entry
nor its removal. Six servers leave, eight seconds apart.
"""

import asyncio
import pathlib
import sys
import time

from chervilrock.standin.site.site import (
    HOST,
    KEY,
    make_configuration,
    PLAIN_SERVICE,
)
from chervilrock.standin.site.store import Topic
from common import (
    Installation,
    NodeProcess,
    parse_head,
    PlainServer,
    run_case,
)

CASE = pathlib.Path(__file__).resolve().parent

NODES = 3
MODEL_SERVERS = 24
SERVERS = 10
LEAVING = 6
SLOTS = 6
WORK_S = 0.1
HEARTBEAT_S = 1.2
REQUEST_INTERVAL_S = 0.02
TIME_LIMIT_MS = 1_500
DELETION_AFTER_S = 0.05
"""Time from the removal of an entry to the deletion of old records."""

LEAVE_INTERVAL_S = 8.0
SERVES_ON_S = 7.0
"""Time for which a server serves after its entry was removed."""

DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0


class Callers:
    """Callers that send requests to all nodes in turn.

    Attributes:
      sent: when each request was sent, on the monotonic clock.
      outcomes: status of each answer, "closed" without one.
    """

    def __init__(self, *, nodes: list[NodeProcess]) -> None:
        """Create callers that have sent nothing."""
        self._nodes = nodes
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent: dict[str, float] = {}
        self.outcomes: dict[str, str] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        number = 0
        while True:
            number += 1
            node = self._nodes[number % len(self._nodes)]
            task = asyncio.create_task(self._call(f"{number:016x}", node))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _call(self, request_id: str, node: NodeProcess) -> None:
        head = (
            f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {TIME_LIMIT_MS}\r\nContent-Length: 4\r\n\r\n"
        )
        self.sent[request_id] = time.monotonic()
        reader, writer = await asyncio.open_connection(*node.callers_address)
        try:
            writer.write(head.encode() + b"body")
            line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
            await reader.readexactly(int(headers["content-length"]))
            self.outcomes[request_id] = line.split()[1]
        except (OSError, asyncio.IncompleteReadError):
            self.outcomes[request_id] = "closed"
        finally:
            writer.close()


async def send_heartbeats(
    installation: Installation, servers: list[PlainServer]
) -> None:
    """Let each server write its entry every `HEARTBEAT_S`."""
    hosts = installation.site.servers
    while True:
        for host in hosts:
            host.register()
            await asyncio.sleep(HEARTBEAT_S / (len(hosts) + len(servers)))
        for server in servers:
            if not server.is_gone:
                server.write_entry()
            await asyncio.sleep(HEARTBEAT_S / (len(hosts) + len(servers)))


def delete_old_records(topic: Topic) -> None:
    """Delete all records; the newest one of each key is retained."""
    newest = {record.key: record for record in topic.compacted}
    newest |= {record.key: record for record in topic.records}
    topic.compact()
    topic.compacted = [record for record in newest.values() if record.value]


async def scenario(installation: Installation, is_disturbed: bool) -> bool:
    """Return whether no request reached a server that has left too late."""
    record = installation.record
    site = installation.site
    site.start(model_servers=MODEL_SERVERS, plain_servers=0)
    site.store.write_configuration(make_configuration(2))
    servers = [
        await installation.add_server(PLAIN_SERVICE, slots=SLOTS, work_s=WORK_S)
        for _ in range(SERVERS)
    ]
    nodes = [installation.add_node() for _ in range(NODES)]
    for node in nodes:
        await installation.wait(node.is_ready, f"{node.name} ready")
    callers = Callers(nodes=nodes)
    tasks = [
        asyncio.create_task(send_heartbeats(installation, servers)),
        asyncio.create_task(callers.run()),
    ]
    await asyncio.sleep(2 * STABLE_WINDOW_S)
    topic = site.store.topic("keyed.servers")
    removed: dict[str, float] = {}
    for server in servers[:LEAVING]:
        server.remove_entry()
        removed[server.server] = time.monotonic()
        record.write(f"the store confirms that {server.server} is removed")
        await asyncio.sleep(DELETION_AFTER_S)
        if is_disturbed:
            delete_old_records(topic)
            record.write("the store deletes old records")
        await asyncio.sleep(SERVES_ON_S - DELETION_AFTER_S)
        server.exit()
        record.write(f"{server.server} exits")
        await asyncio.sleep(LEAVE_INTERVAL_S - SERVES_ON_S)
    for task in tasks:
        task.cancel()
    late: list[str] = []
    for server in servers[:LEAVING]:
        # Machines are in touch again after the window that follows the
        # deletion, if that counts as an impairment of the store.
        from_s = removed[server.server] + max(
            DRAIN_S, DELETION_AFTER_S + STABLE_WINDOW_S
        )
        arrived = [
            request_id
            for request_id, begun in zip(server.runs, server.begun, strict=True)
            if begun > from_s and callers.sent[request_id] > from_s
        ]
        record.write(
            f"{server.server}: {len(arrived)} requests reached it in touch and"
            f" later than {from_s - removed[server.server]:.2f} s after its"
            f" removal, of {len(server.runs)}"
        )
        late += arrived
    outcomes: dict[str, int] = {}
    for request_id in late:
        outcome = callers.outcomes.get(request_id, "none yet")
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
    record.write(f"answers to these: {outcomes}")
    everything: dict[str, int] = {}
    for outcome in callers.outcomes.values():
        everything[outcome] = everything.get(outcome, 0) + 1
    record.write(f"answers to all requests: {everything}")
    return not late


if __name__ == "__main__":
    sys.exit(run_case(CASE, scenario))
