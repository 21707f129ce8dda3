"""Requests, endpoints and faults of the model of entry nodes."""

from typing import NamedTuple

from bench import workload
from chervilrock.decisions.routing import base

MODEL = "draft"


class Fault(NamedTuple):
    """A fault of one engine.

    Attributes:
      engine: number of the engine
      start: time in seconds
      end: time in seconds
      slowness: factor on the duration of each step, 0 for a lost host
    """

    engine: int
    start: float
    end: float
    slowness: float


class Result(NamedTuple):
    """Outcome of a request.

    Attributes:
      arrival: the request
      first_s: time from arrival to the first token, or None
      done_s: time from arrival to the last token, or None
      code: reason of a rejection or failure, else empty
      retry_after_s: retry delay that a rejected caller received
    """

    arrival: workload.Arrival
    first_s: float | None
    done_s: float | None
    code: str
    retry_after_s: float = 0.0


class Request:
    """State of a request at its node, with its attempts by number."""

    def __init__(
        self, arrival: workload.Arrival, view: base.RequestView
    ) -> None:
        self.arrival = arrival
        self.view = view
        self.tried: set[str] = set()
        self.attempts: dict[int, base.Endpoint] = {}
        self.sent_at: dict[int, float] = {}
        self.hedge = 0
        self.first_s: float | None = None
        self.winner = 0
        self.over = False


def data_centre_of(number: int, count: int) -> str:
    """Return the data centre of a node or an engine."""
    return f"dc{number % count}"


def make_endpoint(number: int, data_centres: int) -> base.Endpoint:
    """Return the endpoint of an engine."""
    return base.Endpoint(
        group=f"g{number}",
        fence=number + 1,
        model=MODEL,
        version="1",
        adapters=(),
        address=f"10.0.0.{number}:80",
        data_centre=data_centre_of(number, data_centres),
        size=4,
    )


def make_view(arrival: workload.Arrival) -> base.RequestView:
    """Return an arrival as its node sees it."""
    return base.RequestView(
        request_id=str(arrival.number),
        workspace=arrival.workspace,
        model=MODEL,
        adapter="",
        prefix_blocks=arrival.blocks[: workload.SEEN_BLOCKS],
        prompt_tokens=arrival.prompt_tokens,
        max_tokens=600,
        priority=arrival.priority,
        idempotent=arrival.idempotent,
        deadline=arrival.time + workload.CALLER_WAIT_S,
    )
