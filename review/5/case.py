"""Case 5: an entry of another writer makes a new leader forget an open group."""

import asyncio
import json
import pathlib
import signal

from tornado.httpclient import AsyncHTTPClient

from chervilrock.standin.site import servers as standin
from chervilrock.standin.site import store as store_standin
from chervilrock.standin.site.servers import SiteServer
from chervilrock.standin.site.site import (
    LARGE,
    make_configuration,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Site,
    SMALL,
)
from review.common2 import (
    Callers,
    choose_network,
    NodeProcess,
    Record,
    run_case,
    TROUBLE,
    wait_until,
)

NODES = 3
HOSTS = 8
ODD_KEY = "backup-1"
"""Key of the odd entry; the store lists the entries in the order of keys."""

ODD_SERVICE = "archive"
"""A service that the configuration doesn't name."""

SETTLE_S = 3.0


class Judge:
    """Knows the servers, and records which joins break the rule."""

    def __init__(self, *, record: Record) -> None:
        """Create a judge without servers."""
        self.record = record
        self.hosts: dict[str, Host] = {}
        self.broken: list[str] = []

    def find_head_state(self, host: "Host") -> str:
        """Return the state of the head of a host's group if it is in use."""
        group = host.group
        if group is None or not host.members:
            return ""
        head = self.hosts[host.members[0]].group
        if head is None or head["epoch"] != group["epoch"]:
            return ""
        state = str(head["state"])
        return state if state in ("open", "closing") else ""


class Host(SiteServer):
    """A model server that counts its orders and checks the expected count.

    Attributes:
      members: members of its group.
    """

    def __init__(
        self, *, judge: Judge, name: str, domain: str, site: Site
    ) -> None:
        """Create a host and register it."""
        super().__init__(store=site.store, service=MODEL_SERVICE, domain=domain)
        self.server = name
        self.judge = judge
        self.members: list[str] = []
        self.accepted = 0
        judge.hosts[name] = self
        site.add_server(self)

    def obey(self, order: dict[str, object]) -> int:
        """Carry out an order as `PROTOCOL.md` says; judge it if it is a join."""
        kind = order.get("op")
        former = self.group
        state = self.judge.find_head_state(self)
        expected = order.get("expected")
        is_expected = expected is None or expected == self.accepted
        status = super().obey(order) if is_expected else 409
        if status == 202 or (status == 200 and kind in ("leave", "close")):
            self.accepted += 1
        self.judge.record.write(
            f"{self.server}: {kind} {order.get('group')} -> {status}"
        )
        if kind == "join" and status == 202:
            if former is not None and state:
                broken = (
                    f"{self.server} takes a join of {order.get('group')} while"
                    f" the head {self.members[0]} of its group"
                    f" {former['name']} is {state}"
                )
                self.judge.broken.append(broken)
                self.judge.record.write(broken, show=True)
            members = order["members"]
            assert isinstance(members, list)
            self.members = [str(member) for member in members]
        return status


class _ReportHandler(standin._ReportHandler):
    def get(self) -> None:
        """Answer with the status, the count of the orders included."""
        server = self.server
        self.finish(
            {
                "born": server.born,
                "staged": server.staged,
                "group": server.group,
                "running": server.running,
                "waiting": 0,
                "pace": 1.0,
                "sequence": getattr(server, "accepted", 0),
            }
        )


class SortedTopic(store_standin.Topic):
    """A topic that lists its newest records in the order of their keys."""

    def list_newest(self) -> list[store_standin._Record]:
        """Return the newest record of each key, without deleted keys."""
        return sorted(super().list_newest(), key=lambda record: record.key)


standin._ReportHandler = _ReportHandler  # type: ignore[misc]
store_standin.Topic = SortedTopic  # type: ignore[misc]


def write_odd_entry(site: Site, head: Host, record: Record) -> None:
    """Write an entry as another program does that copies one of a server.

    It names a service that does not exist here, and an address of its own.
    """
    topic = site.store.topic("keyed.servers")
    newest = {entry.key: entry.value for entry in topic.list_newest()}
    copied = json.loads(newest[head.server])
    copied["service"] = ODD_SERVICE
    copied["address"] = "127.0.0.1:9"
    copied["domain"] = "elsewhere"
    topic.append(ODD_KEY, json.dumps(copied).encode())
    record.write(f"entry {ODD_KEY}: {json.dumps(copied)}", show=True)


def describe(judge: Judge) -> str:
    """Return the groups of all hosts."""
    return ", ".join(
        f"{name}: {host.group['name']} {host.group['state']}"
        if host.group
        else f"{name}: none"
        for name, host in sorted(judge.hosts.items())
    )


async def is_ready(node: NodeProcess) -> bool:
    """Return whether a node answers that it is ready."""
    try:
        answer = await AsyncHTTPClient().fetch(
            f"http://{node.ready_address}/ready", raise_error=False
        )
    except OSError:
        return False
    return answer.code == 200


async def restart_in_turn(nodes: list[NodeProcess], record: Record) -> None:
    """Stop and start each node, one after the other, as planned work."""
    for node in nodes:
        node.signal(signal.SIGTERM)
        record.write(f"SIGTERM to {node.name}", show=True)
        await wait_until(
            lambda node=node: not node.is_running, f"{node.name} has stopped"
        )
        record.write(f"{node.name} has stopped", show=True)
        await asyncio.sleep(1.0)
        node.start()
        while not await is_ready(node):
            await asyncio.sleep(0.05)
        record.write(f"{node.name} is ready again", show=True)
        await asyncio.sleep(SETTLE_S)


async def run(record: Record, folder: str) -> bool:
    """Restart all nodes in turn beside an entry of another writer."""
    site = Site()
    site.store_address = site.open_door(site.store.door)
    site.store.write_configuration(make_configuration())
    judge = Judge(record=record)
    for number in range(HOSTS):
        Host(
            judge=judge,
            name=f"i-{number}",
            domain=f"d{number // 4}",
            site=site,
        )
    site.add_server(SiteServer(store=site.store, service=PLAIN_SERVICE))
    network = choose_network()
    nodes = [
        NodeProcess(
            number=number + 1,
            network=network,
            store=site.store_address,
            folder=folder,
            memory_mb=300.0,
        )
        for number in range(NODES)
    ]
    callers = Callers(record=record, nodes=nodes)
    load: asyncio.Task[None] | None = None
    try:
        for node in nodes:
            node.start()
        await wait_until(
            lambda: bool(site.list_heads(LARGE) and site.list_heads(SMALL)),
            "both models are served",
        )
        load = asyncio.create_task(callers.run(LARGE, 0.2))
        await asyncio.sleep(3.0)
        record.write(f"groups: {describe(judge)}", show=True)
        if TROUBLE:
            head = site.list_heads(LARGE)[0]
            assert isinstance(head, Host)
            write_odd_entry(site, head, record)
        await asyncio.sleep(1.0)
        await restart_in_turn(nodes, record)
        record.write(f"groups: {describe(judge)}", show=True)
        record.write(f"answers to callers: {callers.statuses}", show=True)
        return bool(judge.broken)
    finally:
        if load is not None:
            load.cancel()
        for node in nodes:
            node.end()
        await site.stop()


run_case(pathlib.Path(__file__).resolve().parent / "record.txt", run)
