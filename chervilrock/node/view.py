"""The view of groups, backend servers and configuration for requests."""

from chervilrock.decisions.limits.admission import Admission
from chervilrock.decisions.routing.base import Endpoint, RoutingPolicy
from chervilrock.edges.services import make_endpoints
from chervilrock.generated.configuration import (
    Configuration,
    LimitSpec,
    ModelSpec,
    ServiceSpec,
)
from chervilrock.generated.interfaces import ServiceEntry
from chervilrock.metrics import Metrics
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.loads import GroupLoad
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.messages import ConfigurationInForce
from chervilrock.tasks.region import ServingView

Message = ServingView | ConfigurationInForce | GroupLoad


class ViewTask:
    """Keeps the view that requests are routed and admitted by up to date.

    It shares the admission and the routing policy with the request handlers.
    Both run in the same event loop and never await between reading and
    changing them.

    Attributes:
      inbox: mailbox for views, configurations and loads
      serving: latest view of the region
      configuration: configuration in force, None before the first one
      revision: revision of the configuration, 0 for none
    """

    def __init__(
        self,
        *,
        clock: Clock,
        admission: Admission,
        policy: RoutingPolicy,
        metrics: Metrics,
    ) -> None:
        """Create a task without groups and configuration."""
        self._clock = clock
        self._admission = admission
        self._policy = policy
        self._metrics = metrics
        self._groups: tuple[Endpoint, ...] = ()
        self.inbox: Mailbox[Message] = Mailbox()
        self.serving = ServingView()
        self.configuration: Configuration | None = None
        self.revision = 0

    async def run(self) -> None:
        """Apply messages until cancelled."""
        while True:
            self._apply(await self.inbox.receive(), self._clock())

    def _apply(self, message: Message, now: float) -> None:
        if isinstance(message, ServingView):
            self._apply_serving(message, now)
        elif isinstance(message, ConfigurationInForce):
            self._apply_configuration(message, now)
        else:
            self._policy.on_load_report(message.group, message.load, now)
            self._admission.observe_load(message.group, message.load, now)

    def _apply_serving(self, view: ServingView, now: float) -> None:
        self.serving = view
        groups = (
            *(timed.endpoint for timed in view.endpoints),
            *make_endpoints(view.services),
        )
        if groups == self._groups:
            return
        self._groups = groups
        self._admission.observe_groups(groups, now)

    def _apply_configuration(
        self, message: ConfigurationInForce, now: float
    ) -> None:
        self.configuration = message.document
        self.revision = message.revision
        self._metrics.configuration_revision.set(message.revision)
        self._admission.set_limits(
            self.limits(),
            tuple(message.document.get("workspaces", ())),
            now,
            services=tuple(message.document.get("services", ())),
        )

    def limits(self) -> LimitSpec:
        """Return the limits in force."""
        if self.configuration is None:
            return LimitSpec()
        return self.configuration.get("limits") or LimitSpec()

    def models(self) -> tuple[ModelSpec, ...]:
        """Return the models of the configuration in force."""
        if self.configuration is None:
            return ()
        return tuple(self.configuration["models"])

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return the configuration of a plain service, None for none."""
        if self.configuration is None:
            return None
        for spec in self.configuration.get("services", ()):
            if spec["name"] == name:
                return spec
        return None

    def list_backends(self, name: str) -> tuple[ServiceEntry, ...]:
        """Return the backend servers of a plain service for new requests."""
        return tuple(
            entry for entry in self.serving.services if entry["service"] == name
        )

    def list_endpoints(
        self, model: str, adapter: str, now: float
    ) -> tuple[Endpoint, ...]:
        """Return the groups of a model that may serve at `now`."""
        return tuple(
            timed.endpoint
            for timed in self.serving.endpoints
            if now < timed.until
            and timed.endpoint.model == model
            and (not adapter or adapter in timed.endpoint.adapters)
        )

    def keeps_attempts(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a group still processes requests sent to it."""
        for timed in self.serving.endpoints:
            if timed.endpoint.group == endpoint.group:
                is_same_fence = timed.endpoint.fence == endpoint.fence
                return is_same_fence and now < timed.until
        return any(
            finishing_group.group == endpoint.group
            and finishing_group.fence == endpoint.fence
            and now < finishing_group.until
            for finishing_group in self.serving.finishing
        )
