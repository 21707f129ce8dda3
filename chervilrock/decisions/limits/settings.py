"""Limits in the form used by admission, read from a configuration."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from chervilrock.generated import configuration

DEFAULT_MAX_QUEUE = 256
DEFAULT_QUEUE_WAIT_MS = 2000
DEFAULT_REQUEST_TIMEOUT_MS = 120000
DEFAULT_RETRY_RATIO = 0.1
DEFAULT_SERVICE_IN_FLIGHT = 64
MIN_SHARE = 0.01
"""Minimum weight of a workspace, so that each gets slots eventually."""


class LimitSettings(NamedTuple):
    """Limits in force.

    Attributes:
      max_queue: requests that may wait at the node
      max_wait_s: maximum wait in the queue in seconds
      request_timeout_s: maximum time for a whole answer in seconds
      retry_ratio: further attempts allowed for each first one
      shares: weight by workspace
      bounds: requests in flight over all nodes by bounded workspace
      service_limits: requests at one backend server by plain service
    """

    max_queue: int
    max_wait_s: float
    request_timeout_s: float
    retry_ratio: float
    shares: Mapping[str, float]
    bounds: Mapping[str, int]
    service_limits: Mapping[str, float]


def read_settings(
    limits: configuration.LimitSpec,
    workspaces: Sequence[configuration.WorkspaceSpec],
    services: Sequence[configuration.ServiceSpec],
) -> LimitSettings:
    """Read the limits from the parts of a configuration."""
    wait_ms = limits.get("queue_wait_ms", DEFAULT_QUEUE_WAIT_MS)
    timeout_ms = limits.get("request_timeout_ms", DEFAULT_REQUEST_TIMEOUT_MS)
    return LimitSettings(
        max_queue=limits.get("queue", DEFAULT_MAX_QUEUE),
        max_wait_s=wait_ms / 1000.0,
        request_timeout_s=timeout_ms / 1000.0,
        retry_ratio=limits.get("retry_ratio", DEFAULT_RETRY_RATIO),
        shares={
            spec["name"]: max(MIN_SHARE, spec.get("share", 1.0))
            for spec in workspaces
        },
        bounds={
            spec["name"]: spec["max_in_flight"]
            for spec in workspaces
            if spec.get("max_in_flight", 0)
        },
        service_limits={
            spec["name"]: float(
                spec.get("max_in_flight", DEFAULT_SERVICE_IN_FLIGHT)
            )
            for spec in services
        },
    )
