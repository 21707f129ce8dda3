"""Metrics of a node that serves on the platform of its users."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import prometheus_client
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from chervilrock.decisions.serving.hostcounts import ModelCount
from chervilrock.metrics import (
    FIRST_TOKEN_BUCKETS,
    LabelValues,
    REQUEST_BUCKETS,
)

MAX_SERVICES = 32
"""Greatest number of services with a value of their own."""


class RequestEnd(NamedTuple):
    """A request that has ended.

    Attributes:
      service: service that it went to, empty when it had no route.
      status: status that the caller got, 0 when it left before.
      seconds: time from its arrival to its end.
      first_event_s: time to the first event of a stream, None without one.
      waited_s: time for which it waited for a place.
    """

    service: str
    status: int
    seconds: float
    first_event_s: float | None
    waited_s: float


class ServingMetrics:
    """Counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        """Register every metric with the value 0."""
        prometheus_client.disable_created_metrics()  # type: ignore[no-untyped-call]
        self.registry = CollectorRegistry()
        self._services = LabelValues(limit=MAX_SERVICES)
        self._requests = self._counter(
            "served_requests_total", "Requests that ended", "service", "status"
        )
        self._durations = self._histogram(
            "served_request_seconds", "Arrival to end", REQUEST_BUCKETS
        )
        self._first_events = self._histogram(
            "served_first_event_seconds",
            "Arrival to the first event",
            FIRST_TOKEN_BUCKETS,
        )
        self._waits = self._histogram(
            "served_wait_seconds", "Wait for a place", FIRST_TOKEN_BUCKETS
        )
        self._repeats = self._counter(
            "served_repeats_total", "Sends beyond the first", "reason"
        )
        self._refused_repeats = self._counter(
            "repeats_refused_total",
            "Sends that the shared bound of repeats forbade",
            "service",
        )
        self.running = self._gauge("served_running", "Requests under way")
        self.waiting = self._gauge("served_waiting", "Requests that wait")
        self.leads = self._gauge("leads", "1 while this node leads")
        self.revision = self._gauge("served_revision", "Revision in force")
        self.revision_age = self._gauge(
            "revision_age_seconds", "Time since the revision came in force"
        )
        self.revision_lag = self._gauge(
            "revision_lag_seconds",
            "Time for which another node has had a newer revision",
        )
        self._store_ages = self._labelled(
            "store_answer_age_seconds",
            "Time since the store answered to a read",
            "topic",
        )
        self._hosts = self._labelled(
            "hosts", "Hosts by what they do, on the leader", "model", "state"
        )
        self._groups = self._labelled(
            "groups_serving", "Groups that serve, on the leader", "model"
        )
        self._needed = self._labelled(
            "groups_needed", "Groups that the demand needs", "model"
        )
        self.limited = self._gauge(
            "servers_limited", "Servers that take only so many requests"
        )
        self.withheld = self._gauge(
            "suspects_withheld", "Requests withheld from servers"
        )
        self._withheld_requests = self._counter(
            "withheld_requests_total", "Attempts of withheld requests"
        )
        self.view_age = self._gauge("view_age_seconds", "Age of the view")
        self.lines_dropped = self._gauge(
            "log_lines_dropped", "Log lines that were dropped"
        )

    def count_request(self, end: RequestEnd) -> None:
        """Count a request that has ended."""
        service = self._services.bound(end.service)
        self._requests.labels(service, str(end.status)).inc()
        self._durations.labels(service).observe(end.seconds)
        self._waits.labels(service).observe(end.waited_s)
        if end.first_event_s is not None:
            self._first_events.labels(service).observe(end.first_event_s)

    def count_repeat(self, reason: str) -> None:
        """Count a send beyond the first one of a request."""
        self._repeats.labels(reason).inc()

    def count_refused_repeat(self, service: str) -> None:
        """Count a request that the bound keeps from being sent again."""
        self._refused_repeats.labels(self._services.bound(service)).inc()

    def count_withheld(self) -> None:
        """Count an attempt that was kept from the servers."""
        self._withheld_requests.inc()

    def show_store_ages(self, ages: Mapping[str, float]) -> None:
        """Show the seconds since the store answered, by topic."""
        self._store_ages.clear()
        for topic, age in ages.items():
            self._store_ages.labels(topic).set(age)

    def show_hosts(self, counts: Iterable[ModelCount]) -> None:
        """Show what the hosts do; nothing on a node that does not lead."""
        for gauge in (self._hosts, self._groups, self._needed):
            gauge.clear()
        for one in counts:
            for state, number in one.hosts.items():
                self._hosts.labels(one.model, state.value).set(number)
            if one.model:
                self._groups.labels(one.model).set(one.groups)
                self._needed.labels(one.model).set(one.needed)

    def render(self) -> bytes:
        """Return the text of all metrics."""
        return prometheus_client.generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        full = f"chervilrock_{name}"
        return Counter(full, text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"chervilrock_{name}", text, registry=self.registry)

    def _labelled(self, name: str, text: str, *labels: str) -> Gauge:
        full = f"chervilrock_{name}"
        return Gauge(full, text, labels, registry=self.registry)

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...]
    ) -> Histogram:
        full = f"chervilrock_{name}"
        return Histogram(
            full, text, ("service",), buckets=buckets, registry=self.registry
        )
