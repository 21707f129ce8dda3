"""Compares what nodes believed of loads with what ran, from their logs.

Reads the JSON lines of all nodes of an installation, in any order, each behind
the name of its node and perhaps other columns. For each send of a request it
counts what ran at that server just then over all nodes, and prints one table:

    python tools/known_loads.py --slots 11 nodes.log

* `believed`, `ran`: requests at the server, as the node took them to be and as
  they were; means over all sends
* `error`: mean and standard deviation of the difference
* `unseen`: part of the sends that found no free slot though the node believed
  that there was one
* `not-run`: part of the sends that came back unrun
"""

from collections.abc import Iterable, Iterator
import datetime
import json
import pathlib
import statistics
from typing import Annotated, Any, NamedTuple

import typer

SENT = "request-sent"
REPEATED = "request-sent-again"
ENDED = "request-ended"
STARTED = "serving-started"
NOT_RUN = "not-run"


class Line(NamedTuple):
    """A log line on a request, or on the start of a node.

    Attributes:
      at: when it was written, in seconds.
      node: who wrote it.
      event: name of the event.
      fields: all its fields.
    """

    at: float
    node: str
    event: str
    fields: dict[str, Any]


class Send(NamedTuple):
    """What a node believed of a server when it sent a request there.

    Attributes:
      believed: requests at the server, as the node took them to be.
      ran: requests that were there.
    """

    believed: int
    ran: int


class Table(NamedTuple):
    """What the sends come to."""

    sends: int
    believed: float
    ran: float
    error: float
    spread: float
    unseen: float
    not_run: float


def parse_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines that count; other lines are passed over."""
    for text in texts:
        begin = text.find("{")
        try:
            fields = json.loads(text[begin:]) if begin >= 0 else {}
        except json.JSONDecodeError:
            continue
        event = fields.get("event")
        if event in (SENT, REPEATED, ENDED, STARTED):
            time = datetime.datetime.fromisoformat(fields["time"])
            node = "".join(text[:begin].split()[-1:])
            yield Line(time.timestamp(), node, event, fields)


def count_loads(lines: Iterable[Line], *, prefix: str) -> list[Send]:
    """Return what each send found, in the order of time.

    Args:
      lines: log lines of all nodes.
      prefix: beginning of the names of the endpoints that are looked at.
    """
    running: dict[str, set[str]] = {}
    # Server of each request, by the node that sent it.
    places: dict[str, dict[str, str]] = {}
    sends = []
    for line in sorted(lines, key=lambda one: one.at):
        own = places.setdefault(line.node, {})
        request = line.fields.get("request_id", "")
        # What a process had sent is over when another one takes its place.
        over = list(own) if line.event == STARTED else [request]
        for one in over:
            running.get(own.pop(one, ""), set()).discard(one)
        if line.event != SENT:
            continue
        server = line.fields["server"]
        there = running.setdefault(server, set())
        if line.fields["endpoint"].startswith(prefix):
            believed = line.fields["own"] + line.fields["others"]
            sends.append(Send(believed, len(there)))
        there.add(request)
        own[request] = server
    return sends


def make_table(sends: list[Send], *, slots: int, unrun: int) -> Table:
    """Return what the sends come to.

    Args:
      sends: at least one.
      slots: requests that a server runs at once.
      unrun: sends that came back unrun.
    """
    errors = [one.believed - one.ran for one in sends]
    unseen = sum(one.believed < slots <= one.ran for one in sends)
    return Table(
        sends=len(sends),
        believed=statistics.fmean(one.believed for one in sends),
        ran=statistics.fmean(one.ran for one in sends),
        error=statistics.fmean(errors),
        spread=statistics.pstdev(errors),
        unseen=unseen / len(sends),
        not_run=unrun / len(sends),
    )


def main(
    logs: Annotated[list[pathlib.Path], typer.Argument(help="logs of nodes")],
    slots: Annotated[int, typer.Option(help="slots of a server")],
    prefix: Annotated[str, typer.Option(help="endpoints looked at")] = "g.",
) -> None:
    """Print the table as one JSON line."""
    lines = [
        line
        for log in logs
        for line in parse_lines(log.read_text(errors="replace").splitlines())
    ]
    sends = count_loads(lines, prefix=prefix)
    if not sends:
        raise typer.BadParameter("no send is logged there")
    unrun = sum(
        one.event == REPEATED and one.fields["reason"] == NOT_RUN
        for one in lines
    )
    table = make_table(sends, slots=slots, unrun=unrun)
    typer.echo(json.dumps({k: round(v, 3) for k, v in table._asdict().items()}))


if __name__ == "__main__":
    typer.run(main)
