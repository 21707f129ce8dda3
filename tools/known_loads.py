"""Compare the server loads that nodes estimated with the actual loads.

Reads the JSON log lines of all nodes of an installation, in any order. The
name of the node precedes each line, possibly after other columns. For each
send of a request the tool counts the requests that all nodes had in progress
at that server at that time, and prints one table:

    python tools/known_loads.py --slots 11 nodes.log

* `sends`: number of sends
* `believed`, `ran`: requests at the server, as estimated by the node and
  actual; means over all sends
* `error`, `spread`: mean and standard deviation of the difference
* `unseen`: fraction of the sends that found no free slot although the node
  estimated that there was one
* `not_run`: fraction of the sends that were returned without being run
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
    """A log line about a request, or about the start of a node.

    Attributes:
      at: time when it was written, in Unix seconds.
      node: name of the node that wrote it.
      event: name of the event.
      fields: all its fields.
    """

    at: float
    node: str
    event: str
    fields: dict[str, Any]


class Send(NamedTuple):
    """The load of a server when a node sent a request there.

    Attributes:
      believed: requests at the server, as estimated by the node.
      ran: requests that were in progress there.
    """

    believed: int
    ran: int


class Table(NamedTuple):
    """Statistics over all sends."""

    sends: int
    believed: float
    ran: float
    error: float
    spread: float
    unseen: float
    not_run: float


def parse_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the relevant log lines; skip all others."""
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
    """Return the loads at each send, in order of time.

    Args:
      lines: log lines of all nodes.
      prefix: prefix of the names of the endpoints that are evaluated.
    """
    running: dict[str, set[str]] = {}
    # Server of each request in progress, by the node that sent it.
    servers: dict[str, dict[str, str]] = {}
    sends = []
    for line in sorted(lines, key=lambda line: line.at):
        node_servers = servers.setdefault(line.node, {})
        request = line.fields.get("request_id", "")
        # A restart of the node ends all requests of its last process.
        ended_requests = (
            list(node_servers) if line.event == STARTED else [request]
        )
        for ended in ended_requests:
            running.get(node_servers.pop(ended, ""), set()).discard(ended)
        if line.event != SENT:
            continue
        server = line.fields["server"]
        in_progress = running.setdefault(server, set())
        if line.fields["endpoint"].startswith(prefix):
            believed = line.fields["own"] + line.fields["others"]
            sends.append(Send(believed, len(in_progress)))
        in_progress.add(request)
        node_servers[request] = server
    return sends


def make_table(sends: list[Send], *, slots: int, unrun: int) -> Table:
    """Return the statistics over all sends.

    Args:
      sends: at least one.
      slots: requests that a server runs at once.
      unrun: sends that were returned without being run.
    """
    errors = [send.believed - send.ran for send in sends]
    unseen = sum(send.believed < slots <= send.ran for send in sends)
    return Table(
        sends=len(sends),
        believed=statistics.fmean(send.believed for send in sends),
        ran=statistics.fmean(send.ran for send in sends),
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
        line.event == REPEATED and line.fields["reason"] == NOT_RUN
        for line in lines
    )
    table = make_table(sends, slots=slots, unrun=unrun)
    typer.echo(json.dumps({k: round(v, 3) for k, v in table._asdict().items()}))


if __name__ == "__main__":
    typer.run(main)
