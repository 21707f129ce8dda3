"""Which route a request takes, and whether its caller may use it."""

import enum
from typing import NamedTuple, TYPE_CHECKING

from chervilrock.decisions.serving.site import (
    Route,
    SiteConfiguration,
    Workspace,
)

if TYPE_CHECKING:
    import random


class Denial(enum.Enum):
    """Why a request gets no route; the values are HTTP statuses."""

    UNKNOWN_KEY = 401
    NO_ROUTE = 404


class Admission(NamedTuple):
    """A request that may be served.

    Attributes:
      route: route that it takes.
      workspace: workspace of the caller, None when it was not identified.
      priority: priority of the request, 0 is the highest.
    """

    route: Route
    workspace: Workspace | None
    priority: int


class RouteTable:
    """The routes of one configuration, indexed for lookups."""

    def __init__(self, *, configuration: SiteConfiguration) -> None:
        """Create a table of the routes, sorted by host and prefix."""
        self.configuration = configuration
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_host = by_host

    def admit(self, host: str, path: str, key: str) -> Admission | Denial:
        """Return the route of a request, or why it has none.

        Args:
          host: value of the Host header.
          path: path of the request, with or without a query.
          key: key of the caller, empty when there is none.
        """
        route = self.find(host, path)
        if route is None:
            return Denial.NO_ROUTE
        keys = self.configuration.keys
        workspace = None if keys is None else keys.get(key)
        if workspace is None and keys is not None and not route.is_public:
            return Denial.UNKNOWN_KEY
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return Admission(route, workspace, priority)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        name = host.partition(":")[0].lower()
        plain = path.partition("?")[0]
        for route in self._by_host.get(name, ()):
            if plain.startswith(route.prefix):
                return route
        return None


def choose_service(route: Route, generator: "random.Random") -> str:
    """Return a random service of a route, according to the weights."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    weights = [max(0.0, service.weight) for service in services]
    if not sum(weights):
        return services[0].service
    return generator.choices(services, weights)[0].service
