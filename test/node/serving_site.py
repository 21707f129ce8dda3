"""A stand-in of the platform with serving nodes, in one event loop."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import itertools
from typing import Any, NamedTuple

from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from bench.statements import CallerSends
from chervilrock.clients.curlpool import QuietCurlClient
from chervilrock.node.serving import ServingNode
from chervilrock.platform.settings import decode_settings
from chervilrock.standin.site.cuts import NodeCuts
from chervilrock.standin.site.servers import Run, SiteServer
from chervilrock.standin.site.site import (
    HOST,
    KEY,
    LARGE,
    make_node_file,
    PLAIN_SERVICE,
    Site,
    SMALL,
)

WAIT_S = 20.0
"""Longest wait for a condition; conditions are met much earlier."""


CALL_INTERVAL_S = 0.05
"""Interval between two requests that are sent to the nodes in turn."""

CUT = 0
"""Status of an incomplete answer."""


class Answer(NamedTuple):
    """The answer that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


class World:
    """A stand-in of the platform, its nodes and a caller."""

    def __init__(
        self, *, memory_mb: float = 0.0, has_own_ips: bool = False
    ) -> None:
        """Create a world that has not started.

        Args:
          memory_mb: memory in megabytes that a node may use, 0 for no limit.
          has_own_ips: whether each node has an IP address of its own and can
            be cut off from all servers by `cuts`.
        """
        self.memory_mb = memory_mb
        self.has_own_ips = has_own_ips
        self.cuts = NodeCuts()
        self.may_fault = False
        self.site = Site()
        self.nodes: list[ServingNode] = []
        self.client = QuietCurlClient(force_instance=True, max_clients=50)
        self.sends = CallerSends()
        self._number = 0
        self._once: set[str] = set()
        self._node_count = 0
        self._shared: dict[str, Any] = {}

    async def start(
        self,
        nodes: int = 1,
        *,
        data_centres: Sequence[str] = ("a",),
        evac_ms: int = 5000,
        grace_s: float = 8.0,
        **servers: int,
    ) -> None:
        """Start the site and nodes, and wait until both models are served."""
        self.site.start(data_centres=data_centres, **servers)
        if self.has_own_ips:
            await self.cuts.start(self.site.servers)
        self._shared = {
            "data_centres": data_centres,
            "evac_ms": evac_ms,
            "grace_s": grace_s,
        }
        for number in range(nodes):
            self.add_node(data_centre=data_centres[number % len(data_centres)])
        await self.wait(self.serves_all, "all models served")

    def add_node(
        self, *, store_address: str = "", data_centre: str = "a"
    ) -> ServingNode:
        """Start another node.

        Args:
          store_address: IP:port of the store, empty for that of the site.
          data_centre: data centre of the node.
        """
        self._node_count += 1
        return self._start_node(
            node=f"n{self._node_count}",
            store_address=store_address or self.site.store_address,
            data_centre=data_centre,
        )

    def restart_node(self, closed: ServingNode) -> ServingNode:
        """Start a node with the name and the ports of a closed one."""
        ports = {
            "callers": int(closed.own.callers_address.rpartition(":")[2]),
            "peers": int(closed.own.peer_address.rpartition(":")[2]),
        }
        return self._start_node(
            node=closed.own.node,
            store_address=self.site.store_address,
            data_centre=closed.own.data_centre,
            ports=ports,
        )

    def _start_node(self, **options: Any) -> ServingNode:
        ip = f"127.0.1.{len(self.nodes) + 1}" if self.has_own_ips else ""
        if ip:
            options["ip"] = ip
        file = make_node_file(
            memory_mb=self.memory_mb, **options, **self._shared
        )
        settings = decode_settings(file, source_ip=ip).unwrap()
        node = ServingNode(settings=settings)
        node.start()
        self.nodes.append(node)
        return node

    def serves_all(self) -> bool:
        """Return whether each node has groups of both models in its view."""
        wanted = {LARGE, SMALL}
        return all(
            {group.model for group in node.state.view.groups} == wanted
            for node in self.nodes
        )

    async def wait(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds."""
        for _ in range(int(WAIT_S / 0.02)):
            if condition():
                return
            await asyncio.sleep(0.02)
        raise AssertionError(f"condition not met: {what}")

    def make_headers(self, **changes: str) -> dict[str, str]:
        """Return the headers of a request for a stream."""
        self._number += 1
        headers = {
            "Host": HOST,
            "X-Request-Id": f"{self._number:016x}",
            "X-Deadline-Ms": "4000",
            "Api-Key": KEY,
            "X-Model": LARGE,
            "X-Token-Count": "10,8",
        }
        headers.update(
            {name.replace("_", "-"): text for name, text in changes.items()}
        )
        return {name: text for name, text in headers.items() if text}

    async def call(
        self,
        path: str,
        *,
        node: int = 0,
        method: str = "POST",
        headers: dict[str, str] | None = None,
        body: bytes = b"body",
    ) -> Answer:
        """Send a request to a node and return the whole answer."""
        address = self.nodes[node].own.callers_address
        sent_headers = headers or self.make_headers()
        request_id = sent_headers.get("X-Request-Id", "")
        self.sends.record_sent(request_id, self.nodes[node].own.node)
        return await self.call_address(
            address, path, method=method, headers=sent_headers, body=body
        )

    async def call_address(
        self,
        address: str,
        path: str,
        *,
        headers: dict[str, str],
        method: str = "POST",
        body: bytes = b"body",
        timeout_s: float = WAIT_S,
    ) -> Answer:
        """Send a request to an address and return the whole answer."""
        request_id = headers.get("X-Request-Id", "")
        if path.startswith("/book/"):
            self._once.add(request_id)
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=body if method == "POST" else None,
            headers=headers,
            request_timeout=timeout_s,
            decompress_response=False,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except CurlError:
            return Answer(CUT, {}, b"")
        self.sends.record_answer(request_id, response.headers)
        return Answer(
            response.code, dict(response.headers.get_all()), response.body
        )

    def is_once(self, request_id: str) -> bool:
        """Return whether a request is non-idempotent."""
        return request_id in self._once

    async def fetch(self, address: str, path: str) -> HTTPResponse:
        """Fetch a page of a node, such as its state dump."""
        return await self.client.fetch(f"http://{address}{path}")

    async def call_in_turn(
        self, path: str = "/draft/x", *, seconds: float, model: str = LARGE
    ) -> list[int]:
        """Send requests to all nodes in turn for a number of seconds.

        Returns:
          The statuses of the answers.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        calls = []
        for node in itertools.cycle(range(len(self.nodes))):
            if loop.time() >= end:
                break
            is_stream = path.startswith("/draft/")
            headers = self.make_headers(X_Model=model if is_stream else "")
            call = self.call(path, node=node, headers=headers)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(CALL_INTERVAL_S)
        return [answer.status for answer in await asyncio.gather(*calls)]

    def list_plain_servers(self) -> list[SiteServer]:
        """Return the servers of the plain service."""
        return [
            server
            for server in self.site.servers
            if server.service == PLAIN_SERVICE
        ]

    def find_runs(self, request_id: str) -> list[tuple[SiteServer, Run]]:
        """Return the servers that ran a request, with their runs of it."""
        return [
            (server, run)
            for server in self.site.servers
            for run in server.runs
            if run.request_id == request_id
        ]

    async def stop(self) -> None:
        """Stop the caller, the nodes and the site."""
        self.client.close()
        for node in self.nodes:
            await node.close()
        self.cuts.stop()
        await self.site.stop()
        assert self.may_fault or not self.count_faults(), "faults survived"

    def count_faults(self) -> int:
        """Return the number of faults that the nodes survived."""
        return sum(node.state.faults.counts.total() for node in self.nodes)


def run_world(
    scenario: Callable[[World], Awaitable[Any]],
    *,
    nodes: int = 1,
    memory_mb: float = 0.0,
    **options: Any,
) -> None:
    """Run a scenario in an event loop of its own.

    Args:
      scenario: gets the started world.
      nodes: number of nodes.
      memory_mb: memory in megabytes that a node may use, 0 for no limit.
      options: options of World.start; with `has_own_ips`, nodes can be cut
        off from all servers.
    """

    async def run() -> None:
        has_own_ips = bool(options.pop("has_own_ips", False))
        world = World(memory_mb=memory_mb, has_own_ips=has_own_ips)
        try:
            await world.start(nodes, **options)
            await scenario(world)
        finally:
            await world.stop()

    asyncio.run(run())


def make_events(request_id: str, count: int) -> bytes:
    """Return the complete stream of a request."""
    return b"".join(
        f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
        for number in range(1, count + 1)
    )
