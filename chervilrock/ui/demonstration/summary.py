"""Results of the demonstration and the guarantees that were broken."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from chervilrock.metrics import Metrics
from chervilrock.ui.demonstration.operations import Ending, Result

SERVICE_PREFIX = "/services/"


class Costs(NamedTuple):
    """Costs of a run, as the users measure them.

    Attributes:
      downtime_s: seconds in which a configured group did not serve, summed
        over all groups
      stranded_s: accelerator-seconds outside any serving group
    """

    downtime_s: float
    stranded_s: float


class Summary(NamedTuple):
    """Counts of the operations and costs of the run.

    Attributes:
      sent: operations of callers
      endings: number of operations by outcome
      doubled: non-idempotent operations that ran more than once
      untrue: operations reported as `not run` although they ran
      repeated: retries, that is requests beyond the first of an operation
      costs: costs after every group had served for the first time
    """

    sent: int
    endings: Counter[Ending]
    doubled: int
    untrue: int
    repeated: int
    costs: Costs

    @property
    def broken(self) -> tuple[str, ...]:
        """The guarantees that were broken, as messages."""
        found = []
        if self.endings[Ending.LOST]:
            found.append("an operation was lost")
        if self.endings[Ending.FOREIGN]:
            found.append("a caller got an answer that is not its own")
        if self.doubled:
            found.append("a non-idempotent operation ran twice")
        if self.untrue:
            found.append("an operation ran although it was told not run")
        return tuple(found)


def summarize(
    results: Sequence[Result], calls: Counter[str], costs: Costs
) -> Summary:
    """Compare the outcomes that callers saw with what the services ran."""
    doubled = 0
    untrue = 0
    for result in results:
        operation = result.operation
        if operation.idempotent:
            continue
        path = operation.path.removeprefix(SERVICE_PREFIX)
        runs = calls[f"{operation.method} /{path.partition('/')[2]}"]
        doubled += runs > 1
        untrue += runs > 0 and result.ending is Ending.NOT_RUN
    return Summary(
        sent=len(results),
        endings=Counter(result.ending for result in results),
        doubled=doubled,
        untrue=untrue,
        repeated=sum(result.tries - 1 for result in results),
        costs=costs,
    )


def read_costs(metrics: Sequence[Metrics]) -> Costs:
    """Return the costs that the controllers have recorded so far."""
    downtime = 0.0
    stranded = 0.0
    for node_metrics in metrics:
        for family in node_metrics.registry.collect():
            for sample in family.samples:
                if sample.name == "chervilrock_group_downtime_seconds_total":
                    downtime += sample.value
                elif (
                    sample.name
                    == "chervilrock_stranded_accelerator_seconds_total"
                ):
                    stranded += sample.value
    return Costs(downtime, stranded)


def render(summary: Summary) -> str:
    """Return the summary as lines of text."""
    endings = summary.endings
    lines = (
        ("requests sent", summary.sent),
        ("answered whole", endings[Ending.WHOLE]),
        ("not run", endings[Ending.NOT_RUN]),
        ("unknown", endings[Ending.UNKNOWN]),
        ("failed", endings[Ending.FAILED]),
        ("doubled", summary.doubled),
        ("lost", endings[Ending.LOST]),
        ("foreign", endings[Ending.FOREIGN]),
        ("repeated by callers", summary.repeated),
        ("group downtime", f"{summary.costs.downtime_s:.1f} s"),
        ("stranded accelerators", f"{summary.costs.stranded_s:.0f} s"),
    )
    return "\n".join(f"  {name:<22} {value}" for name, value in lines)
