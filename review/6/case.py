"""Case 6: late orders open a former group, and its head joins another one."""

import asyncio
import pathlib
import time

from chervilrock.decisions.decoding import decode_plain
from chervilrock.standin.site import servers as standin
from chervilrock.standin.site.servers import SiteServer
from chervilrock.standin.site.site import (
    LARGE,
    make_configuration,
    MODEL_SERVICE,
    Site,
)
from review.common2 import (
    Callers,
    CannotRunError,
    choose_network,
    NodeProcess,
    Record,
    run_case,
    TROUBLE,
    wait_until,
)

NODES = 3
HOSTS = 5
REPEATED = "i-0"
"""The server whose orders are carried out late: the first by its identifier, so
that it becomes the head of each group it joins."""

MIN_LATE_S = 2.0
MAX_LATE_S = 12.0
"""How late an order without an answer may be carried out."""

FORM_S = 0.3
"""Time between the late order to join and the late one to open."""


class Judge:
    """Knows the servers, and records which joins break the rule."""

    def __init__(self, *, record: Record) -> None:
        """Create a judge without servers."""
        self.record = record
        self.hosts: dict[str, Host] = {}
        self.broken: list[str] = []
        self.orders = 0

    def is_group_open(self, host: "Host") -> str:
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
    """A model server that counts its orders, and carries out some late.

    Attributes:
      members: members of its group.
      to_delay: kinds of the next orders that get no answer.
      delayed: orders without an answer, with the times of their arrival.
    """

    judge: Judge

    def __init__(self, *, judge: Judge, name: str, site: Site) -> None:
        """Create a host of the only fabric domain."""
        super().__init__(store=site.store, service=MODEL_SERVICE, domain="d0")
        self.server = name
        self.judge = judge
        self.members: list[str] = []
        self.accepted = 0
        self.to_delay: list[str] = []
        self.delayed: list[tuple[float, dict[str, object]]] = []
        judge.hosts[name] = self
        site.add_server(self)

    def obey(self, order: dict[str, object]) -> int:
        """Carry out an order as `PROTOCOL.md` says; judge it if it is a join."""
        kind = order.get("op")
        former = self.group
        state = self.judge.is_group_open(self)
        status = self._check(order) or super().obey(order)
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

    def _check(self, order: dict[str, object]) -> int:
        """Return the status of an order that does not fit, 0 for another."""
        expected = order.get("expected")
        if expected is not None and expected != self.accepted:
            return 409
        group = self.group
        is_same = (
            order.get("op") == "join"
            and group is not None
            and group["name"] == order.get("group")
            and group["epoch"] == order.get("epoch")
        )
        return 412 if is_same and order["members"] != self.members else 0

    async def carry_out(self, kind: str) -> None:
        """Carry out the delayed order of a kind."""
        for arrived, order in list(self.delayed):
            if order["op"] != kind:
                continue
            await asyncio.sleep(arrived + MIN_LATE_S - time.monotonic())
            late_s = time.monotonic() - arrived
            if late_s > MAX_LATE_S:
                raise CannotRunError(f"{kind} would be {late_s:.1f} s late")
            self.delayed.remove((arrived, order))
            self.judge.record.write(f"carried out {late_s:.2f} s late: {kind}")
            self.obey(order)


class _ReportHandler(standin._ReportHandler):
    def get(self) -> None:
        """Answer with the status, the count of the orders included."""
        server = self.server
        assert isinstance(server, Host)
        self.finish(
            {
                "born": server.born,
                "staged": server.staged,
                "group": server.group,
                "running": server.running,
                "waiting": 0,
                "pace": 1.0,
                "sequence": server.accepted,
            }
        )


class _OrderHandler(standin._OrderHandler):
    async def post(self) -> None:
        """Carry out an order, or leave it unanswered and carry it out later."""
        if self.reject_misdirected():
            return
        server = self.server
        assert isinstance(server, Host)
        order = decode_plain(self.request.body)
        server.judge.orders += 1
        kind = str(order.get("op"))
        if kind in server.to_delay:
            server.to_delay.remove(kind)
            server.delayed.append((time.monotonic(), order))
            server.judge.record.write(
                f"{server.server}: {kind} {order.get('group')} -> no answer"
            )
            # The sender closes the connection when it has waited enough.
            await asyncio.sleep(MAX_LATE_S)
            return
        self.set_status(server.obey(order))
        self.finish()


standin._ReportHandler = _ReportHandler  # type: ignore[misc]
standin._OrderHandler = _OrderHandler  # type: ignore[misc]


def describe(judge: Judge) -> str:
    """Return the groups of all hosts."""
    return ", ".join(
        f"{name}: {host.group['name']} {host.group['state']}"
        if host.group
        else f"{name}: none"
        for name, host in sorted(judge.hosts.items())
    )


async def run(record: Record, folder: str) -> bool:
    """Replace two servers while some orders get no answer."""
    site = Site()
    site.store_address = site.open_door(site.store.door)
    configuration = make_configuration()
    engine = configuration["services"][0]["engine"]
    engine["models"] = [
        model for model in engine["models"] if model["name"] == LARGE
    ]
    site.store.write_configuration(configuration)
    judge = Judge(record=record)
    hosts = [
        Host(judge=judge, name=f"i-{number}", site=site)
        for number in range(HOSTS)
    ]
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
        head = hosts[0]
        await wait_until(
            lambda: len(site.list_heads(LARGE)) == 2 and head.is_head,
            "two groups serve",
        )
        load = asyncio.create_task(callers.run(LARGE, 0.2))
        await asyncio.sleep(3.0)
        record.write(f"groups: {describe(judge)}", show=True)

        # Planned work: a server leaves, so that its group is formed anew.
        first = head.group
        if TROUBLE:
            head.to_delay = ["join", "open"]
        leaving = judge.hosts[head.members[1]]
        record.write(f"{leaving.server} drains", show=True)
        leaving.leave()
        await wait_until(
            lambda: head.is_head
            and head.group is not None
            and first is not None
            and head.group["epoch"] != first["epoch"],
            "the group was formed anew",
        )
        record.write(f"groups: {describe(judge)}", show=True)
        Host(judge=judge, name="i-5", site=site)
        await asyncio.sleep(2.5)

        # Planned work: another member leaves.
        second = head.group
        if TROUBLE:
            head.to_delay = ["leave"]
        leaving = judge.hosts[head.members[1]]
        record.write(f"{leaving.server} drains", show=True)
        leaving.leave()
        await wait_until(
            lambda: head.group is None
            or second is None
            or head.group["epoch"] != second["epoch"],
            "the head has left",
        )
        if TROUBLE:
            await asyncio.sleep(0.1)
            await head.carry_out("join")
            await asyncio.sleep(FORM_S)
            await head.carry_out("open")
            record.write(f"groups: {describe(judge)}", show=True)
        await wait_until(
            lambda: head.is_head
            and head.group is not None
            and second is not None
            and head.group["epoch"] != second["epoch"],
            "the head serves with another member",
        )
        if TROUBLE:
            await asyncio.sleep(2.0)
            await head.carry_out("leave")
        await asyncio.sleep(2.0)
        record.write(f"groups: {describe(judge)}", show=True)
        record.write(
            f"{judge.orders} orders; answers to callers: {callers.statuses}",
            show=True,
        )
        return bool(judge.broken)
    finally:
        if load is not None:
            load.cancel()
        for node in nodes:
            node.end()
        await site.stop()


run_case(pathlib.Path(__file__).resolve().parent / "record.txt", run)
