"""State of a node for the handlers of callers' requests."""

from typing import TYPE_CHECKING

from chervilrock.clients.base import ModelEngine
from chervilrock.decisions.limits.admission import Admission
from chervilrock.decisions.membership.addresses import answer_addresses
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.decisions.requests.keyfold import KeyName
from chervilrock.decisions.requests.keys import KeyVerdict
from chervilrock.decisions.routing.base import Endpoint, RoutingPolicy
from chervilrock.edges.context import RequestContext
from chervilrock.generated.configuration import (
    LimitSpec,
    ModelSpec,
    ServiceSpec,
)
from chervilrock.generated.interfaces import AddressAnswer, ServiceEntry
from chervilrock.generated.settings import NodeSettings
from chervilrock.metrics import Metrics
from chervilrock.node.view import ViewTask
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.keys import KeyTask

if TYPE_CHECKING:
    import random


class NodeRequests(RequestContext):
    """Provides the handlers with the current state of the node."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        incarnation: str,
        clock: Clock,
        view: ViewTask,
        admission: Admission,
        policy: RoutingPolicy,
        engine: ModelEngine,
        metrics: Metrics,
        table: MemberTable,
        keys: KeyTask,
        generator: "random.Random",
    ) -> None:
        """Create the context from the parts of a node."""
        self._settings = settings
        self._incarnation = incarnation
        self._clock = clock
        self._view = view
        self._admission = admission
        self._policy = policy
        self._engine = engine
        self._metrics = metrics
        self._table = table
        self._keys = keys
        self._generator = generator
        self._leaving = False

    @property
    def node_id(self) -> str:
        """See base class."""
        return self._settings.node

    @property
    def incarnation(self) -> str:
        """See base class."""
        return self._incarnation

    @property
    def leaving(self) -> bool:
        """See base class."""
        return self._leaving

    @property
    def admission(self) -> Admission:
        """See base class."""
        return self._admission

    @property
    def policy(self) -> RoutingPolicy:
        """See base class."""
        return self._policy

    @property
    def engine(self) -> ModelEngine:
        """See base class."""
        return self._engine

    @property
    def metrics(self) -> Metrics:
        """See base class."""
        return self._metrics

    def reject_new(self) -> None:
        """Reject new requests from now on."""
        self._leaving = True

    def now(self) -> float:
        """See base class."""
        return self._clock()

    def limits(self) -> LimitSpec:
        """See base class."""
        return self._view.limits()

    def models(self) -> tuple[ModelSpec, ...]:
        """See base class."""
        return self._view.models()

    def endpoints(
        self, model: str, adapter: str, now: float
    ) -> tuple[Endpoint, ...]:
        """See base class."""
        return self._view.list_endpoints(model, adapter, now)

    def keeps_attempts(self, endpoint: Endpoint, now: float) -> bool:
        """See base class."""
        return self._view.keeps_attempts(endpoint, now)

    def service_spec(self, name: str) -> ServiceSpec | None:
        """See base class."""
        return self._view.find_service(name)

    def service_backends(
        self, name: str, now: float
    ) -> tuple[ServiceEntry, ...]:
        """See base class."""
        return self._view.list_backends(name)

    def addresses(self, data_centre: str, now: float) -> AddressAnswer:
        """See base class."""
        return answer_addresses(
            self._table.live(now),
            own=self._table.own,
            data_centre=data_centre or self._settings.data_centre,
            ttl_s=self._settings.address_ttl_s,
            generator=self._generator,
        )

    async def claim_key(self, name: KeyName) -> KeyVerdict:
        """See base class."""
        return await self._keys.claim(name)

    def finish_key(self, name: KeyName, outcome: str) -> None:
        """See base class."""
        self._keys.finish(name, outcome)

    def peer_address(self, incarnation: str) -> str | None:
        """See base class."""
        peer = self._table.find(incarnation, self._clock())
        return None if peer is None else peer.address
