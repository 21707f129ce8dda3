"""Conditions that fault scripts wait for."""

import abc
import asyncio
from collections.abc import Awaitable, Callable, Sequence
import time
from typing import Generic, Protocol, TypeVar

import msgspec

from bench.history_installation import RecordedInstallation
from bench.history_load import Load
from bench.history_operators import list_serving, Operator
from chervilrock.generated.operators import StatusAnswer
from chervilrock.generated.records import Record, RecordKind, SnapshotPart
from chervilrock.standin.history import History

POLL_S = 0.02
SAMPLE_S = 0.3
WAIT_LIMIT_S = 40.0
IN_FORCE_LIMIT_S = 10.0


class WaitError(Exception):
    """An awaited condition did not hold within the limit."""


class RunningNode(Protocol):
    """An entry node of a site."""

    @property
    def address(self) -> str:
        """IP:port of the node."""

    @property
    def name(self) -> str:
        """Identifier from the settings of the node."""


Node = TypeVar("Node", bound=RunningNode)


class Watch(abc.ABC, Generic[Node]):
    """Waits for conditions of a site.

    Attributes:
      history: history that records the answers of nodes
      installation: the stand-ins
      operator: operator that reads the status of nodes
      load: the callers
    """

    history: History
    installation: RecordedInstallation
    operator: Operator
    load: Load

    @abc.abstractmethod
    def list_running(self) -> Sequence[Node]:
        """Return the nodes that are not frozen."""

    async def sample(self) -> None:
        """Read the status of all running nodes periodically."""
        while True:
            for node in self.list_running():
                await self.operator.read_status(node.address)
            await asyncio.sleep(SAMPLE_S)

    async def read_revision(self) -> int:
        """Return the greatest revision that a node has in force."""
        statuses = [
            await self.operator.read_status(node.address)
            for node in self.list_running()
        ]
        return max(
            status["revision"] for status in statuses if status is not None
        )

    async def find_status(
        self, is_wanted: Callable[[StatusAnswer], bool], otherwise: str
    ) -> StatusAnswer:
        """Return the first status of a running node that meets a condition.

        Args:
          is_wanted: the condition.
          otherwise: error message when no status meets it in time.
        """
        found: list[StatusAnswer] = []

        async def is_found() -> bool:
            for node in self.list_running():
                status = await self.operator.read_status(node.address)
                if status is not None and is_wanted(status):
                    found.append(status)
                    return True
            return False

        await self.wait(is_found, otherwise)
        return found[0]

    async def find_controller(self) -> Node:
        """Return the node that holds the lease, once there is one."""
        names = {node.name: node for node in self.list_running()}
        status = await self.find_status(
            lambda status: status["controller"] in names, "no controller"
        )
        return names[status["controller"]]

    async def wait_controller_but(self, node: Node) -> None:
        """Wait until another node is the controller."""
        name = node.name
        await self.find_status(
            lambda status: status["controller"] not in ("", name),
            "nobody takes over",
        )

    async def find_group(self, model: str) -> tuple[str, ...]:
        """Return the hosts of a serving group of a model."""
        status = await self.find_status(
            lambda status: bool(list_serving(status, model)),
            f"no group of {model}",
        )
        return tuple(list_serving(status, model)[0]["hosts"])

    async def wait_serving(self, groups: int) -> None:
        """Wait until a node reports that a number of groups serve."""
        await self.find_status(
            lambda status: len(list_serving(status)) >= groups,
            "the groups do not serve",
        )

    async def wait_missing(self, host: str) -> None:
        """Wait until a node reports no serving group with a host."""
        await self.find_status(
            lambda status: (
                not any(
                    host in group["hosts"] for group in list_serving(status)
                )
            ),
            f"{host} is not missed",
        )

    async def wait_age(self, kind: type, age_s: float) -> None:
        """Wait until the last event of a kind has reached an age."""

        async def is_old() -> bool:
            return not any(
                isinstance(entry.event, kind)
                and entry.at > time.monotonic() - age_s
                for entry in reversed(self.history.entries)
            )

        await self.wait(is_old, "the time does not pass")

    async def trim(self, stream: str) -> None:
        """Drop all records that the last snapshot of a stream contains."""
        log = self.installation.platform.get_stream(stream)
        begin = log.next_offset
        found: list[int] = []

        async def is_found() -> bool:
            for stored in log.read(begin, log.next_offset):
                record = msgspec.json.decode(stored.data, type=Record)
                if record.kind is RecordKind.SNAPSHOT_PART:
                    part = msgspec.convert(record.body, SnapshotPart)
                    if part.number == part.parts - 1:
                        found.append(part.upto)
            return bool(found)

        await self.wait(is_found, f"no snapshot of {stream}")
        log.trim(found[-1] + 1)

    async def wait_progress(self, share: float) -> None:
        """Wait until a further share of the least load has ended."""
        wanted = self.load.ended + share * self.load.least

        async def is_done() -> bool:
            return self.load.ended >= wanted

        await self.wait(is_done, "the callers get no answers")

    async def wait(
        self, is_done: Callable[[], Awaitable[bool]], otherwise: str
    ) -> None:
        """Wait until a condition holds.

        Raises:
          WaitError: it did not hold within `WAIT_LIMIT_S`.
        """
        limit = time.monotonic() + WAIT_LIMIT_S
        while not await is_done():
            if time.monotonic() > limit:
                raise WaitError(otherwise)
            await asyncio.sleep(POLL_S)

    async def wait_in_force(self) -> None:
        """Wait until all nodes have the same revision, or the limit passes."""
        limit = time.monotonic() + IN_FORCE_LIMIT_S
        while time.monotonic() < limit:
            statuses = [
                await self.operator.read_status(node.address)
                for node in self.list_running()
            ]
            revisions = {
                status["revision"] if status else -1 for status in statuses
            }
            if len(revisions) == 1 and -1 not in revisions:
                return
            await asyncio.sleep(POLL_S)
