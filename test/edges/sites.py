"""A node's request path and its backend servers on loopback, for tests."""

import asyncio
from collections.abc import Callable
import random
import socket
import time
from typing import Any

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from chervilrock.clients.base import ModelEngine
from chervilrock.clients.http import HttpModelEngine
from chervilrock.clients.httpclient import HttpClient
from chervilrock.decisions.limits.admission import Admission
from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.requests.keyfold import KeyName
from chervilrock.decisions.requests.keys import (
    CLAIM_WAIT_S,
    KeyClaims,
    KeyDecision,
    KeyVerdict,
)
from chervilrock.decisions.routing.base import Endpoint, RoutingPolicy
from chervilrock.decisions.routing.baselines import LeastInFlight
from chervilrock.edges.callers import (
    make_caller_routes,
    make_not_found_options,
)
from chervilrock.edges.context import RequestContext
from chervilrock.edges.path import RequestPath
from chervilrock.edges.services import make_endpoints
from chervilrock.edges.state import BodyLimits
from chervilrock.generated.configuration import (
    LimitSpec,
    ModelSpec,
    ServiceSpec,
)
from chervilrock.generated.interfaces import (
    AddressAnswer,
    AddressEntry,
    EngineOrder,
    EnginePhase,
    EngineShard,
    ServiceEntry,
)
from chervilrock.generated.records import Record, StoredRecord
from chervilrock.metrics import Metrics
from chervilrock.standin.engine import EngineOptions, EngineStandIn
from chervilrock.standin.fabric import Fabric
from chervilrock.standin.service import ServiceOptions, ServiceStandIn
from test.standin.calls import Call, call

GROUP_SIZE = 2
SEND_BUFFER_BYTES = 16 * 1024
MODEL = "m"
ADAPTER = "a"
SERVICE = "filing"


class KeyLog:
    """The log of idempotency keys, in memory and without a log service."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.is_available = True


class StaticContext(RequestContext):
    """A request context whose state is set by the test."""

    def __init__(self, *, node_id: str = "n1", incarnation: str = "i1") -> None:
        self.key_log = KeyLog()
        self.claims = KeyClaims(
            writer=RecordWriter(node=node_id, incarnation=incarnation)
        )
        self._applied_count = 0
        self._node_id = node_id
        self._incarnation = incarnation
        self._admission = Admission(node=node_id, limits=LimitSpec())
        self._policy = LeastInFlight(rng=random.Random(0))
        self._metrics = Metrics()
        self.http = HttpClient(max_clients=16)
        self._engine = HttpModelEngine(http=self.http)
        self.is_leaving = False
        self.serving: list[Endpoint] = []
        self.finishing: list[Endpoint] = []
        self.backends: list[ServiceEntry] = []
        self.idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
        self.peers: dict[str, str] = {}
        self.timeout_ms = 20000
        self.clock: Callable[[], float] = time.monotonic

    @property
    def node_id(self) -> str:
        return self._node_id

    @property
    def incarnation(self) -> str:
        return self._incarnation

    @property
    def leaving(self) -> bool:
        return self.is_leaving

    @property
    def admission(self) -> Admission:
        return self._admission

    @property
    def policy(self) -> RoutingPolicy:
        return self._policy

    @property
    def engine(self) -> ModelEngine:
        return self._engine

    @property
    def metrics(self) -> Metrics:
        return self._metrics

    def now(self) -> float:
        return self.clock()

    def limits(self) -> LimitSpec:
        return LimitSpec(request_timeout_ms=self.timeout_ms)

    def models(self) -> tuple[ModelSpec, ...]:
        return (
            ModelSpec(
                name=MODEL,
                version="1",
                groups=2,
                hosts_per_group=GROUP_SIZE,
                adapters=(ADAPTER,),
            ),
        )

    def endpoints(
        self, model: str, adapter: str, now: float
    ) -> tuple[Endpoint, ...]:
        return tuple(self.serving) if model == MODEL else ()

    def keeps_attempts(self, endpoint: Endpoint, now: float) -> bool:
        return endpoint in self.serving or endpoint in self.finishing

    def service_spec(self, name: str) -> ServiceSpec | None:
        if name != SERVICE:
            return None
        return ServiceSpec(
            name=SERVICE, idempotent_methods=self.idempotent_methods
        )

    def service_backends(
        self, name: str, now: float
    ) -> tuple[ServiceEntry, ...]:
        return tuple(self.backends)

    def addresses(self, data_centre: str, now: float) -> AddressAnswer:
        entry = AddressEntry(
            address="127.0.0.1:1", data_centre=data_centre, weight=100
        )
        return AddressAnswer(addresses=(entry,), ttl_s=5.0)

    def peer_address(self, incarnation: str) -> str | None:
        return self.peers.get(incarnation)

    async def claim_key(self, name: KeyName) -> KeyVerdict:
        verdict = self.claims.claim(name, self.now())
        if verdict is not KeyVerdict.WAIT:
            return verdict
        if not self.key_log.is_available:
            (decision,) = self.claims.expire(self.now() + CLAIM_WAIT_S)
            return decision.verdict
        decisions = self._apply_key_records()
        return {each.name: each.verdict for each in decisions}[name]

    def finish_key(self, name: KeyName, outcome: str) -> None:
        self.claims.finish(name, outcome)
        self._apply_key_records()

    def _apply_key_records(self) -> list[KeyDecision]:
        self.key_log.records += self.claims.start_batch()
        self.claims.record_appended(ok=True)
        decisions = []
        for record in self.key_log.records[self._applied_count :]:
            self._applied_count += 1
            stored = StoredRecord(self._applied_count, record)
            decisions.append(self.claims.apply_record(stored))
        return [decision for decision in decisions if decision is not None]

    def set_serving(self, endpoints: list[Endpoint]) -> None:
        self.serving = endpoints
        backends = make_endpoints(self.backends)
        self._admission.observe_groups([*endpoints, *backends], self.now())


class Group:
    """A replica group whose hosts run engine stand-ins."""

    def __init__(self, name: str, fence: int, fabric: Fabric) -> None:
        self.name = name
        self.fence = fence
        self.engines = [
            EngineStandIn(
                options=EngineOptions(host=f"{name}-{rank}"), fabric=fabric
            )
            for rank in range(GROUP_SIZE)
        ]

    @property
    def leader(self) -> EngineStandIn:
        return self.engines[0]

    async def start(self) -> Endpoint:
        for engine in self.engines:
            await engine.start()
        for rank, engine in enumerate(self.engines):
            shard = EngineShard(
                group=self.name,
                fence=self.fence,
                model=MODEL,
                version="1",
                adapters=(ADAPTER,),
                rank=rank,
                size=GROUP_SIZE,
                leader=self.leader.address,
            )
            engine.take_order(
                EngineOrder(fence=self.fence, group=self.name, shard=shard)
            )
            while engine.shards.phase is not EnginePhase.READY:
                await asyncio.sleep(0)
        return Endpoint(
            group=self.name,
            fence=self.fence,
            model=MODEL,
            version="1",
            adapters=(ADAPTER,),
            address=self.leader.address,
            data_centre="d1",
            size=GROUP_SIZE,
        )

    async def stop(self) -> None:
        for engine in self.engines:
            await engine.stop()


class Site:
    """One entry node, two replica groups and two backend servers.

    Both backend servers belong to the service `SERVICE`.
    """

    def __init__(self, incarnation: str = "i1") -> None:
        self.context = StaticContext(incarnation=incarnation)
        self.path = RequestPath(context=self.context)
        fabric = Fabric()
        self.groups = [Group(f"g{n}", 10 + n, fabric) for n in range(2)]
        self.services = [
            ServiceStandIn(options=ServiceOptions(server=f"s{n}"))
            for n in range(2)
        ]
        self.client = CurlAsyncHTTPClient(force_instance=True, max_clients=64)
        self.address = ""
        self._server: HTTPServer | None = None

    async def start(self, limits: BodyLimits | None = None) -> None:
        for service in self.services:
            address = await service.start()
            self.context.backends.append(
                ServiceEntry(
                    service=SERVICE,
                    address=address,
                    data_centre="d1",
                    leaving=False,
                )
            )
        self.context.set_serving([await g.start() for g in self.groups])
        routes = make_caller_routes(self.context, path=self.path, limits=limits)
        application = Application(
            routes,
            log_function=lambda _handler: None,
            **make_not_found_options(self.path),
        )
        sockets = bind_sockets(0, "127.0.0.1", reuse_port=False)
        for listener in sockets:
            # With small buffers a slow caller blocks its stream early.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
        self._server = HTTPServer(application)
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        assert self._server is not None
        self._server.stop()
        await self._server.close_all_connections()
        for group in self.groups:
            await group.stop()
        for service in self.services:
            await service.stop()
        self.path.close()
        self.client.close()
        self.context.http.close()

    async def call(self, path: str, **options: Any) -> Call:
        return await call(
            self.client, f"http://{self.address}{path}", **options
        )

    async def complete(
        self,
        headers: dict[str, str] | None = None,
        on_chunk: Callable[[bytes], None] | None = None,
        **members: Any,
    ) -> Call:
        body = {"model": MODEL, "prompt": "hello", "max_tokens": 6} | members
        return await self.call(
            "/v1/completions", body=body, headers=headers, on_chunk=on_chunk
        )

    def count_runs(self) -> int:
        """Returns the number of executions of requests on all engines."""
        return sum(
            sum(engine.executions.values())
            for group in self.groups
            for engine in group.engines
        )

    def count_arrivals(self) -> int:
        """Returns the number of requests that reached the group leaders."""
        return sum(group.leader.arrivals for group in self.groups)

    def count_running(self) -> int:
        """Returns the number of attempts that engines run or queue."""
        loads = [group.leader.read_load() for group in self.groups]
        return sum(load["running"] + load["waiting"] for load in loads)

    def count_calls(self) -> int:
        """Returns the number of executions of calls on backend servers."""
        return sum(sum(s.executions.values()) for s in self.services)


def read_error(answer: Call) -> dict[str, Any]:
    """Returns the error object of an answer."""
    error: dict[str, Any] = msgspec.json.decode(answer.body)["error"]
    return error


def join_stream(body: bytes) -> str:
    """Returns the text of a complete stream of events.

    Asserts that the stream is complete and its events are in order.
    """
    texts = []
    events = body.split(b"\n\n")
    assert events.pop() == b"", "the last event of the stream is truncated"
    assert events.pop().endswith(b"data: [DONE]"), (
        "the stream does not end with [DONE]"
    )
    for number, event in enumerate(events, start=1):
        event_id, _, data = event.partition(b"\ndata: ")
        assert event_id.endswith(b"/%d" % number), "an event is out of order"
        for choice in msgspec.json.decode(data)["choices"]:
            delta = choice.get("delta") or {}
            texts.append(choice.get("text") or delta.get("content") or "")
    return "".join(texts)
