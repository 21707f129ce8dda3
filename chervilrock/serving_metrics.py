"""Prometheus metrics of a node on the platform of its users."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import prometheus_client
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from chervilrock.decisions.serving.admission.callerbuffers import BufferUse
from chervilrock.decisions.serving.planning.hostcounts import ModelCount
from chervilrock.metrics import (
    FIRST_TOKEN_BUCKETS,
    LabelValues,
    REQUEST_BUCKETS,
)

MAX_SERVICES = 32
"""Services with a label value of their own; further ones share `other`."""


class CompletedRequest(NamedTuple):
    """A completed request.

    Attributes:
      service: service of its route, empty if no route matched.
      status: status sent to the caller, 0 if the caller disconnected before.
      seconds: time from its arrival to its completion.
      first_event_s: time to the first event of a stream, None without one.
      waited_s: time for which it waited for a slot on a server.
    """

    service: str
    status: int
    seconds: float
    first_event_s: float | None
    waited_s: float


class ServingMetrics:
    """Counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        """Create and register all metrics, with the value 0."""
        prometheus_client.disable_created_metrics()  # type: ignore[no-untyped-call]
        self.registry = CollectorRegistry()
        self._services = LabelValues(limit=MAX_SERVICES)
        self._requests = self._counter(
            "served_requests_total", "Completed requests", "service", "status"
        )
        self._durations = self._histogram(
            "served_request_seconds",
            "Time from arrival to completion",
            REQUEST_BUCKETS,
        )
        self._first_events = self._histogram(
            "served_first_event_seconds",
            "Time from arrival to the first event",
            FIRST_TOKEN_BUCKETS,
        )
        self._waits = self._histogram(
            "served_wait_seconds", "Wait for a slot", FIRST_TOKEN_BUCKETS
        )
        self._retries = self._counter(
            "served_repeats_total", "Retries of requests", "reason"
        )
        self._rejected_retries = self._counter(
            "repeats_refused_total",
            "Retries rejected by the retry budget",
            "service",
        )
        self.running_requests = self._gauge(
            "served_running", "Requests in progress"
        )
        self.waiting_requests = self._gauge(
            "served_waiting", "Waiting requests"
        )
        self.leads = self._gauge("leads", "1 while this node is the leader")
        self.revision = self._gauge("served_revision", "Revision in force")
        self.revision_age = self._gauge(
            "revision_age_seconds", "Time since the revision came into force"
        )
        self.revision_lag = self._gauge(
            "revision_lag_seconds",
            "Time for which another node has had a newer revision",
        )
        self.configuration_unreadable = self._gauge(
            "configuration_unreadable",
            "1 while the newest configuration is not understood",
        )
        self._store_ages = self._labelled_gauge(
            "store_answer_age_seconds",
            "Time since the last answer of the store to a read",
            "topic",
        )
        self._faults = self._labelled_gauge(
            "faults", "Faults of the program that this node survived", "work"
        )
        self._unreadable = self._labelled_gauge(
            "records_unreadable", "Records that could not be decoded", "topic"
        )
        self._hosts = self._labelled_gauge(
            "hosts", "Hosts by model and state, on the leader", "model", "state"
        )
        self._groups = self._labelled_gauge(
            "groups_serving", "Groups that serve, on the leader", "model"
        )
        self._needed = self._labelled_gauge(
            "groups_needed", "Groups needed for the demand", "model"
        )
        self._pauses = self._counter(
            "pauses_stated_total",
            "Rejections with which a server asked this node for a pause",
            "service",
        )
        self._held_sends = self._counter(
            "sends_held_total",
            "Sends that were held back because the server pauses or leaves",
            "service",
        )
        self._evacuated_sends = self._counter(
            "sends_evacuated_total",
            "Sends that were held back because the data centre is evacuated",
            "service",
        )
        self.evacuated_data_centres = self._gauge(
            "data_centres_evacuated", "Data centres that are evacuated"
        )
        self._early_rejections = self._counter(
            "priority_rejections_total",
            "Requests rejected at once since more urgent ones need the slots, "
            "or since the most urgent ones exceed them",
            "service",
        )
        self._stop_rejections = self._counter(
            "stop_rejections_total",
            "Requests rejected since the node exits before they could end",
            "service",
        )
        self.unsent_answers = self._gauge(
            "answers_unsent",
            "Answers to requests in progress, or that were not sent completely",
        )
        self.blocked_pools = self._gauge(
            "priority_blocked",
            "Models and services whose slots more urgent requests need",
        )
        self.pausing_servers = self._gauge(
            "servers_pausing", "Servers that want no requests of this node"
        )
        self.leaving_servers = self._gauge(
            "servers_leaving", "Servers that said to this node that they leave"
        )
        self.cold_servers = self._gauge(
            "servers_cold", "Servers that warm up and get few requests"
        )
        self.limited_servers = self._gauge(
            "servers_limited", "Servers with a rate limit"
        )
        self.cut_off = self._gauge(
            "cut_off", "1 while this node reaches no server"
        )
        self._detours = self._counter(
            "detours_total",
            "Sends through another node, as this one reaches no server",
            "service",
        )
        self.withheld_suspects = self._gauge(
            "suspects_withheld", "Contents and prompt parts that are withheld"
        )
        self._withheld_requests = self._counter(
            "withheld_requests_total", "Attempts of withheld requests"
        )
        self._caller_bytes = self._labelled_gauge(
            "caller_bytes",
            "Bytes held for callers: bodies, unread and collected answers",
            "kind",
        )
        self._paused_answers = self._gauge(
            "answers_paused", "Answers that are not read from their servers"
        )
        self._ended_answers = self._counter(
            "answers_ended_total",
            "Answers that were ended as the memory for callers was used up",
        )
        self._cut_answers = self._counter(
            "answers_cut_total",
            "Answers that this node ended after they had begun, by cause",
            "cause",
        )
        self._partial_heads = self._counter(
            "partial_heads_total",
            "Answers of servers whose connection ended within their head",
            "service",
        )
        self._standstills = self._counter(
            "standstill_seconds_total",
            "Time for which the event loop of this node stood still",
        )
        self.calls_sent_again = self._gauge(
            "calls_sent_again",
            "Calls to the store, servers and nodes that were sent again",
        )
        self._rejected_bodies = self._counter(
            "bodies_rejected_total",
            "Requests that were rejected as their bodies did not fit",
        )
        self.leader_probes = self._gauge(
            "leader_probes", "Probes of the leader found at the start"
        )
        self.startup_rejections = self._gauge(
            "startup_rejections", "Late requests rejected after the start"
        )
        self.view_age = self._gauge("view_age_seconds", "Age of the view")
        self.lines_dropped = self._gauge(
            "log_lines_dropped", "Dropped log lines"
        )

    def count_request(self, end: CompletedRequest) -> None:
        """Count a completed request."""
        service = self._services.bound(end.service)
        self._requests.labels(service, str(end.status)).inc()
        self._durations.labels(service).observe(end.seconds)
        self._waits.labels(service).observe(end.waited_s)
        if end.first_event_s is not None:
            self._first_events.labels(service).observe(end.first_event_s)

    def count_retry(self, reason: str) -> None:
        """Count a retry of a request, by the outcome that caused it."""
        self._retries.labels(reason).inc()

    def count_rejected_retry(self, service: str) -> None:
        """Count a retry that the retry budget rejected."""
        self._rejected_retries.labels(self._services.bound(service)).inc()

    def count_pause(self, service: str) -> None:
        """Count a rejection with which a server asked for a pause."""
        self._pauses.labels(self._services.bound(service)).inc()

    def count_detour(self, service: str) -> None:
        """Count a send through another node."""
        self._detours.labels(self._services.bound(service)).inc()

    def count_held_send(self, service: str) -> None:
        """Count a send that was held back as the server pauses or leaves."""
        self._held_sends.labels(self._services.bound(service)).inc()

    def count_evacuated_send(self, service: str) -> None:
        """Count a send that was held back because of an evacuation."""
        self._evacuated_sends.labels(self._services.bound(service)).inc()

    def count_early_rejection(self, service: str) -> None:
        """Count a request that was rejected at once for its priority."""
        self._early_rejections.labels(self._services.bound(service)).inc()

    def count_stop_rejection(self, service: str) -> None:
        """Count a request that was rejected because the node is stopping."""
        self._stop_rejections.labels(self._services.bound(service)).inc()

    def count_withheld(self) -> None:
        """Count an attempt of a withheld request."""
        self._withheld_requests.inc()

    def set_caller_buffers(self, use: BufferUse) -> None:
        """Set the bytes that are held for callers."""
        self._caller_bytes.labels("bodies").set(use.bodies)
        self._caller_bytes.labels("unread").set(use.unread)
        self._caller_bytes.labels("collected").set(use.collected)
        self._paused_answers.set(use.paused)

    def count_ended_answer(self) -> None:
        """Count an answer that ended as the memory was used up."""
        self._ended_answers.inc()

    def count_cut_answer(self, cause: str) -> None:
        """Count an answer that this node ended after it had begun."""
        self._cut_answers.labels(cause).inc()

    def count_partial_head(self, service: str) -> None:
        """Count an answer whose connection ended within its head."""
        self._partial_heads.labels(self._services.bound(service)).inc()

    def count_standstill(self, seconds: float) -> None:
        """Count time for which this node stood still."""
        self._standstills.inc(seconds)

    def count_rejected_body(self) -> None:
        """Count a request whose body did not fit."""
        self._rejected_bodies.inc()

    def set_store_ages(self, ages: Mapping[str, float]) -> None:
        """Set the seconds since the last answer of the store, by topic."""
        self._store_ages.clear()
        for topic, age in ages.items():
            self._store_ages.labels(topic).set(age)

    def set_faults(self, counts: Mapping[str, int]) -> None:
        """Set the number of survived faults, by kind of work."""
        for work, count in counts.items():
            self._faults.labels(work).set(count)

    def set_unreadable(self, counts: Mapping[str, int]) -> None:
        """Set the number of records that could not be decoded, by topic."""
        for topic, count in counts.items():
            self._unreadable.labels(topic).set(count)

    def set_host_counts(self, counts: Iterable[ModelCount]) -> None:
        """Set the host and group counts; only the leader has any."""
        for gauge in (self._hosts, self._groups, self._needed):
            gauge.clear()
        for count in counts:
            for state, number in count.hosts.items():
                self._hosts.labels(count.model, state.value).set(number)
            if count.model:
                self._groups.labels(count.model).set(count.groups)
                self._needed.labels(count.model).set(count.needed)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        full_name = f"chervilrock_{name}"
        return Counter(full_name, help_text, labels, registry=self.registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(f"chervilrock_{name}", help_text, registry=self.registry)

    def _labelled_gauge(self, name: str, help_text: str, *labels: str) -> Gauge:
        full_name = f"chervilrock_{name}"
        return Gauge(full_name, help_text, labels, registry=self.registry)

    def _histogram(
        self, name: str, help_text: str, buckets: tuple[float, ...]
    ) -> Histogram:
        full_name = f"chervilrock_{name}"
        return Histogram(
            full_name,
            help_text,
            ("service",),
            buckets=buckets,
            registry=self.registry,
        )
