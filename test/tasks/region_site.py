"""A small installation whose nodes share a clock that a test can advance."""

import asyncio
import json

import msgspec

from chervilrock.clients.base import ModelEntry
from chervilrock.clients.httpclient import HttpClient
from chervilrock.generated.interfaces import HostEntry, HostList
from chervilrock.generated.settings import NodeSettings
from chervilrock.node import EntryNode
from chervilrock.standin.engine import EngineOptions
from chervilrock.standin.faults import FaultKind, FaultRule
from chervilrock.standin.installation import Installation
from chervilrock.tasks.clock import read_clock

MODEL = "writer"
DOCUMENT = {
    "name": "test",
    "data_centres": ["north-1"],
    "models": [
        {
            "name": MODEL,
            "version": "1",
            "groups": 1,
            "hosts_per_group": 2,
            "spares": 1,
        }
    ],
}
BODY = {
    "model": MODEL,
    "messages": [{"role": "user", "content": "a note"}],
    "max_tokens": 2,
}


class ShiftedClock:
    """Clock of the process plus an offset that a test sets."""

    def __init__(self):
        self.shift_s = 0.0

    def __call__(self):
        return read_clock() + self.shift_s


class RegionSite:
    """Stand-ins, and entry nodes that share one clock."""

    def __init__(self, *, fenced):
        self.clock = ShiftedClock()
        self.http = HttpClient()
        self.nodes: list[EntryNode] = []
        hosts = tuple(make_host(*item) for item in enumerate(fenced))
        self.installation = Installation(
            hosts=HostList(hosts=hosts, services=(), age_ms=0),
            models={MODEL: ModelEntry(versions=("1",), adapters=(), bytes=1)},
            engine_options=EngineOptions(),
        )

    async def add_node(self):
        settings = NodeSettings(
            node=f"entry-{len(self.nodes)}",
            listen="127.0.0.1:0",
            region="north",
            data_centre="north-1",
            log_service=self.installation.platform.address,
            peers=",".join(node.address for node in self.nodes),
            lease_ms=600,
            probe_interval_ms=50,
            presence_limit_ms=1000,
            exchange_interval_ms=100,
            address_ttl_s=0.1,
        )
        node = EntryNode(settings=settings, clock=self.clock)
        await node.start()
        self.nodes.append(node)
        return node

    async def stop(self):
        for node in self.nodes:
            await node.kill()
        await self.installation.stop()
        self.http.close()

    async def begin_outage(self):
        """Make the log service fail and wait until each node reports it."""
        fault = FaultRule(kind=FaultKind.OUTAGE, path="/log")
        self.installation.platform.faults.add(fault)
        for number in range(len(self.nodes)):
            await self.wait_status(
                lambda status: not status["log_reachable"], number
            )

    def end_outage(self):
        self.installation.platform.faults.clear()

    async def send(self, method, path, value=None, number=0):
        """Send a request to a node; return the status and the decoded body."""
        body = None if value is None else msgspec.json.encode(value)
        url = f"http://{self.nodes[number].address}{path}"
        result = await self.http.request(method, url, timeout_s=20, body=body)
        answer = result.unwrap()
        return answer.status, json.loads(answer.body)

    async def apply(self):
        request = {"base_revision": 0, "operator": "t", "document": DOCUMENT}
        return await self.send("POST", "/admin/apply", request)

    async def read_status(self, number=0):
        _, status = await self.send("GET", "/admin/status", number=number)
        return status

    async def complete(self, number=0):
        """Send a completion request and return the HTTP status."""
        path = "/v1/chat/completions"
        status, _ = await self.send("POST", path, BODY, number)
        return status

    async def wait_status(self, condition, number=0):
        """Poll the status of a node until it meets a condition; return it."""
        while not condition(status := await self.read_status(number)):
            await asyncio.sleep(0)
        return status

    async def wait_until_answered(self, number=0):
        """Send completion requests until one is answered with status 200."""
        while await self.complete(number) != 200:
            await asyncio.sleep(0)

    async def wait_requests(self, host, count):
        """Wait until the engine of a host gets `count` more requests."""
        engine = self.installation.engines[host]
        wanted = engine.arrivals + count
        while engine.arrivals < wanted:
            await asyncio.sleep(0)

    def find_shard(self, host):
        """Return the shard on the engine of a host, if any."""
        return self.installation.engines[host].shards.shard


def make_host(number, fenced):
    return HostEntry(
        host=f"host-{number}",
        address="127.0.0.1:0",
        data_centre="north-1",
        domain="north-1-a",
        region="north",
        accelerators=8,
        leaving=False,
        checks_fence=fenced,
    )


def is_serving(status):
    """Return whether there are groups and all serve with no host missing."""
    groups = status["groups"]
    return bool(groups) and all(
        group["phase"] == "serving" and not group["missing"] for group in groups
    )
