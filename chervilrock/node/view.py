"""What requests are decided by: groups, backend servers, configuration."""

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
    """Keeps what requests are decided by up to date.

    It owns the admission and the routing policy together with the handlers
    of requests, which run in the same event loop and never wait in between.

    Attributes:
      inbox: mailbox for the newest views
      serving: last view of the region
      configuration: configuration in force, None before the first one
      revision: its revision, 0 for none
    """

    def __init__(
        self,
        *,
        clock: Clock,
        admission: Admission,
        policy: RoutingPolicy,
        metrics: Metrics,
    ) -> None:
        """Make the task without groups and configuration."""
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
        """Take views until cancelled."""
        while True:
            self._take(await self.inbox.receive(), self._clock())

    def _take(self, message: Message, now: float) -> None:
        if isinstance(message, ServingView):
            self._take_serving(message, now)
        elif isinstance(message, ConfigurationInForce):
            self._take_configuration(message, now)
        else:
            self._policy.on_load_report(message.group, message.load, now)
            self._admission.observe_load(message.group, message.load, now)

    def _take_serving(self, view: ServingView, now: float) -> None:
        self.serving = view
        groups = (
            *(timed.endpoint for timed in view.endpoints),
            *make_endpoints(view.services),
        )
        if groups == self._groups:
            return
        self._groups = groups
        self._admission.observe_groups(groups, now)

    def _take_configuration(
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
        """Return the configuration of a plain service."""
        if self.configuration is None:
            return None
        for spec in self.configuration.get("services", ()):
            if spec["name"] == name:
                return spec
        return None

    def list_backends(self, name: str) -> tuple[ServiceEntry, ...]:
        """Return the backend servers of a plain service for new work."""
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

    def holds(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a group still works on what it was sent."""
        for timed in self.serving.endpoints:
            if timed.endpoint.group == endpoint.group:
                same = timed.endpoint.fence == endpoint.fence
                return same and now < timed.until
        return any(
            one.group == endpoint.group
            and one.fence == endpoint.fence
            and now < one.until
            for one in self.serving.finishing
        )
