"""Tests of the metrics: values, bounded labels, agreement with the docs."""

import pathlib
import re

from prometheus_client.metrics import MetricWrapperBase
from prometheus_client.parser import text_string_to_metric_families
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from chervilrock.generated.interfaces import NodePhase
from chervilrock.generated.records import GroupPhase
from chervilrock.metrics import Metrics, RequestOutcome, RetryKind
from chervilrock.serving_metrics import ServingMetrics

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "OPERATIONS.md"
ROW = re.compile(r"^\| `(chervilrock_\w+)` \| (\w+) \| (.*?) ?\| .+ \|$", re.M)


@pytest.fixture
def metrics() -> Metrics:
    """Metrics with labels for at most two workspaces and two models."""
    return Metrics(max_workspaces=2, max_models=2)


def read_sample(metrics: Metrics, name: str, **labels: str) -> float:
    """Returns the value of a sample in the rendered metrics."""
    for family in text_string_to_metric_families(metrics.render().decode()):
        for sample in family.samples:
            if sample.name == name and sample.labels == labels:
                return float(sample.value)
    raise LookupError(name, labels)


def count(metrics: Metrics, workspace: str, model: str) -> None:
    """Counts one complete request with a duration of one second."""
    metrics.count_request(
        workspace=workspace,
        model=model,
        outcome=RequestOutcome.COMPLETE,
        seconds=1.0,
    )


def test_requests_are_counted_with_their_duration(metrics: Metrics) -> None:
    count(metrics, "w1", "m1")
    count(metrics, "w2", "m1")
    total = read_sample(
        metrics,
        "chervilrock_requests_total",
        workspace="w1",
        model="m1",
        outcome="complete",
    )
    seconds = read_sample(
        metrics, "chervilrock_request_duration_seconds_sum", model="m1"
    )
    assert_that(total, Equals(1.0))
    assert_that(seconds, Equals(2.0))


def test_values_of_labels_are_bounded(metrics: Metrics) -> None:
    for number in range(100):
        count(metrics, f"w{number}", f"m{number}")
    others = read_sample(
        metrics,
        "chervilrock_requests_total",
        workspace="other",
        model="other",
        outcome="complete",
    )
    assert_that(others, Equals(98.0))
    assert_that(metrics.render().decode(), Not(Contains('"w2"')))


def test_models_are_bounded_over_all_metrics(metrics: Metrics) -> None:
    metrics.count_tokens(model="m1", tokens=5)
    metrics.observe_first_token(model="m2", seconds=0.2)
    metrics.count_downtime(model="m3", seconds=4.0)
    tokens = read_sample(metrics, "chervilrock_tokens_total", model="m1")
    downtime = read_sample(
        metrics, "chervilrock_group_downtime_seconds_total", model="other"
    )
    assert_that(tokens, Equals(5.0))
    assert_that(downtime, Equals(4.0))


def test_phases_without_members_become_zero(metrics: Metrics) -> None:
    metrics.set_groups({GroupPhase.SERVING: 3})
    metrics.set_groups({GroupPhase.LOADING: 1})
    metrics.set_peers({NodePhase.SERVING: 8})
    serving = read_sample(metrics, "chervilrock_groups", phase="serving")
    loading = read_sample(metrics, "chervilrock_groups", phase="loading")
    leaving = read_sample(metrics, "chervilrock_peers", phase="leaving")
    assert_that([serving, loading, leaving], Equals([0.0, 1.0, 0.0]))


def test_retries_are_counted_by_kind(metrics: Metrics) -> None:
    metrics.count_retry(RetryKind.HEDGE)
    hedges = read_sample(metrics, "chervilrock_retries_total", kind="hedge")
    assert_that(hedges, Equals(1.0))


def test_processes_share_no_registry(metrics: Metrics) -> None:
    metrics.lease_held.set(1)
    other = read_sample(Metrics(), "chervilrock_lease_held")
    assert_that(other, Equals(0.0))


def test_page_agrees_with_the_metrics(metrics: Metrics) -> None:
    serving = ServingMetrics()
    documented = {
        (name, kind, tuple(re.findall(r"`(\w+)`", labels)))
        for name, kind, labels in ROW.findall(PAGE.read_text(encoding="utf-8"))
    }
    wrappers = [
        value
        for value in (*vars(metrics).values(), *vars(serving).values())
        if isinstance(value, MetricWrapperBase)
    ]
    defined = {describe(wrapper) for wrapper in wrappers}
    registered = {
        family.name
        for registry in (metrics.registry, serving.registry)
        for family in registry.collect()
    }
    named = {wrapper._name for wrapper in wrappers}
    unlisted = {n for n in registered - named if n.startswith("chervilrock")}
    assert_that(documented, Equals(defined))
    assert_that(unlisted, HasLength(0))


def describe(wrapper: MetricWrapperBase) -> tuple[str, str, tuple[str, ...]]:
    """Returns exposed name, type and labels of a metric."""
    suffix = "_total" if wrapper._type == "counter" else ""
    labels = tuple(wrapper._labelnames)
    return wrapper._name + suffix, str(wrapper._type), labels
