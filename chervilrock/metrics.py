"""Prometheus metrics of a process.

`docs/OPERATIONS.md` explains each metric to operators; a test checks that both
agree. The number of label values that come from outside is limited, so that no
caller can exhaust the memory of a node.
"""

from collections.abc import Mapping
import enum

import prometheus_client
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from chervilrock.generated.interfaces import NodePhase
from chervilrock.generated.records import GroupPhase

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
OTHER = "other"
MAX_WORKSPACES = 32
MAX_MODELS = 64
REQUEST_BUCKETS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
)
FIRST_TOKEN_BUCKETS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
APPEND_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 2.0)


class RequestOutcome(enum.StrEnum):
    """Outcome of a request of a caller."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RetryKind(enum.StrEnum):
    """Reason for a further attempt of a request."""

    RETRY = "retry"
    HEDGE = "hedge"
    RESUME = "resume"
    CONTINUE = "continue"


class LabelValues:
    """Distinct values of a label; values beyond a limit become `other`."""

    def __init__(self, *, limit: int) -> None:
        """Creates an empty set for up to `limit` distinct values."""
        self._limit = limit
        self._values: set[str] = set()

    def bound(self, value: str) -> str:
        """Returns the value, or `other` if the limit is reached without it."""
        if value in self._values:
            return value
        if len(self._values) >= self._limit:
            return OTHER
        self._values.add(value)
        return value


class Metrics:
    """All metrics of one process, in a separate registry.

    Metrics without labels are public attributes. Those with labels are
    updated by methods, which limit the number of label values.
    """

    def __init__(
        self,
        *,
        max_workspaces: int = MAX_WORKSPACES,
        max_models: int = MAX_MODELS,
    ) -> None:
        """Creates and registers all metrics, with the value 0."""
        prometheus_client.disable_created_metrics()  # type: ignore[no-untyped-call]
        self.registry = CollectorRegistry()
        self._workspaces = LabelValues(limit=max_workspaces)
        self._models = LabelValues(limit=max_models)
        self._add_request_metrics()
        self._add_group_metrics()
        self._add_node_metrics()
        prometheus_client.ProcessCollector(registry=self.registry)

    def count_request(
        self,
        *,
        workspace: str,
        model: str,
        outcome: RequestOutcome,
        seconds: float,
    ) -> None:
        """Counts a completed request and records its duration.

        Args:
          workspace: workspace of the caller
          model: model, or name of the plain service
          outcome: outcome of the request
          seconds: time from its arrival to the end of the answer
        """
        model = self._models.bound(model)
        workspace = self._workspaces.bound(workspace)
        self._requests.labels(workspace, model, outcome.value).inc()
        self._durations.labels(model).observe(seconds)

    def observe_first_token(self, *, model: str, seconds: float) -> None:
        """Records the time in seconds from arrival to the first token."""
        self._first_tokens.labels(self._models.bound(model)).observe(seconds)

    def count_tokens(self, *, model: str, tokens: int) -> None:
        """Counts forwarded tokens; call once per stream, not per token."""
        self._tokens.labels(self._models.bound(model)).inc(tokens)

    def count_retry(self, kind: RetryKind) -> None:
        """Counts an attempt after the first one of a request."""
        self._retries.labels(kind.value).inc()

    def set_groups(self, counts: Mapping[GroupPhase, int]) -> None:
        """Sets the number of groups in each phase, 0 for a missing phase."""
        for phase in GroupPhase:
            self._groups.labels(phase.value).set(counts.get(phase, 0))

    def set_peers(self, counts: Mapping[NodePhase, int]) -> None:
        """Sets the number of peers in each phase, 0 for a missing phase."""
        for phase in NodePhase:
            self._peers.labels(phase.value).set(counts.get(phase, 0))

    def count_downtime(self, *, model: str, seconds: float) -> None:
        """Adds seconds in which a required group of a model did not serve.

        Only the controller of a region calls it, so that a sum over nodes
        counts no second twice.
        """
        self._downtime.labels(self._models.bound(model)).inc(seconds)

    def render(self) -> bytes:
        """Returns all metrics as text of the media type `CONTENT_TYPE`."""
        return prometheus_client.generate_latest(self.registry)

    def _add_request_metrics(self) -> None:
        """Registers the metrics of requests."""
        self._requests = self._counter(
            "requests_total",
            "Completed requests",
            ("workspace", "model", "outcome"),
        )
        self._durations = self._histogram(
            "request_duration_seconds",
            "Time from arrival to the end of the answer",
            ("model",),
            REQUEST_BUCKETS,
        )
        self._first_tokens = self._histogram(
            "first_token_seconds",
            "Time from arrival to the first token",
            ("model",),
            FIRST_TOKEN_BUCKETS,
        )
        self._tokens = self._counter(
            "tokens_total", "Tokens forwarded to callers", ("model",)
        )
        self._retries = self._counter(
            "retries_total", "Attempts after the first", ("kind",)
        )
        self.in_flight_requests = self._gauge(
            "in_flight_requests", "Requests at backend servers"
        )
        self.queue_requests = self._gauge(
            "queue_requests", "Requests queued on this node"
        )

    def _add_group_metrics(self) -> None:
        """Registers the metrics of groups and hosts."""
        self._groups = self._gauge("groups", "Groups by phase", ("phase",))
        self._downtime = self._counter(
            "group_downtime_seconds_total",
            "Seconds in which required groups did not serve",
            ("model",),
        )
        self.stranded_accelerators = self._gauge(
            "stranded_accelerators", "Accelerators in no serving group"
        )
        self.stranded_accelerator_seconds = self._counter(
            "stranded_accelerator_seconds_total",
            "Seconds of accelerators in no serving group",
        )
        self.quarantined_hosts = self._gauge(
            "quarantined_hosts", "Hosts that may hold an old shard"
        )

    def _add_node_metrics(self) -> None:
        """Registers the metrics of the node, its log service and its peers."""
        self.configuration_revision = self._gauge(
            "configuration_revision", "Configuration revision in force"
        )
        self.lease_held = self._gauge(
            "lease_held", "1 while this node is the controller of its region"
        )
        self.log_append_seconds = self._histogram(
            "log_append_seconds",
            "Duration of an append to the log service",
            (),
            APPEND_BUCKETS,
        )
        self.log_outage_seconds = self._counter(
            "log_outage_seconds_total",
            "Seconds in which the log service did not answer this node",
        )
        self._peers = self._gauge("peers", "Other nodes by phase", ("phase",))

    def _counter(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> Counter:
        """Returns a new registered counter."""
        full_name = f"chervilrock_{name}"
        return Counter(full_name, help_text, labels, registry=self.registry)

    def _gauge(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> Gauge:
        """Returns a new registered gauge."""
        full_name = f"chervilrock_{name}"
        return Gauge(full_name, help_text, labels, registry=self.registry)

    def _histogram(
        self,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        buckets: tuple[float, ...],
    ) -> Histogram:
        """Returns a new registered histogram."""
        full_name = f"chervilrock_{name}"
        return Histogram(
            full_name,
            help_text,
            labels,
            buckets=buckets,
            registry=self.registry,
        )
