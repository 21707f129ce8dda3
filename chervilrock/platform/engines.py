"""Sends orders to backend servers and fetches their reports over HTTP."""

from typing import Annotated, Any

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.httpclient import (
    decode_success,
    HttpAnswer,
    HttpClient,
)
from chervilrock.clients.serving import EngineControl
from chervilrock.decisions.decoding import Decoder
from chervilrock.decisions.serving.groups.orders import (
    Close,
    Join,
    Leave,
    Open,
    Order,
    OrderReply,
    ServerReport,
    Stage,
)
from chervilrock.decisions.serving.site import BackendServer
from chervilrock.platform.headers import EXPECTED_SERVER
from chervilrock.platform.servers import Count, decode_membership, GroupField
from chervilrock.platform.statements import LEAVING, LEAVING_VALUE

_REPLY_BY_STATUS = {
    200: OrderReply.DONE,
    202: OrderReply.STARTED,
    400: OrderReply.INVALID,
    409: OrderReply.CONFLICT,
    412: OrderReply.STALE,
    421: OrderReply.MISDIRECTED,
}

MAX_PACE = 1e9
"""Greatest factor on its times that a server reports."""


class _ReportBody(msgspec.Struct):
    group: GroupField | None = None
    staged: list[str] = []
    sequence: Count = 0  # counts orders carried out, not reports
    running: Count = 0
    waiting: Count = 0
    pace: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_PACE)] = 1.0
    born: Count = 0  # start of the server, in Unix milliseconds


_REPORT_DECODER = Decoder(_ReportBody)


class HttpEngineControl(EngineControl):
    """Control of the backend servers over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        """Create a control that sends its requests by a client."""
        self._client = client

    async def send_order(
        self, server: BackendServer, order: Order, timeout_s: float
    ) -> Result[OrderReply, PlatformError]:
        """See base class."""
        answer = await self._client.request(
            "POST",
            f"http://{server.address}/order",
            timeout_s=timeout_s,
            body=msgspec.json.encode(encode_order(order)),
            headers={EXPECTED_SERVER: server.server},
            send_once=True,
        )
        return answer.bind(_decode_reply)

    async def is_reached(
        self, server: str, address: str, status_path: str, timeout_s: float
    ) -> bool:
        """See base class."""
        answer = await self._client.request(
            "GET",
            f"http://{address}{status_path or '/report'}",
            timeout_s=timeout_s,
            headers={EXPECTED_SERVER: server},
            is_fresh=True,
        )
        return not isinstance(answer, Failure)

    async def fetch_report(
        self, server: BackendServer, timeout_s: float
    ) -> Result[ServerReport, PlatformError]:
        """See base class."""
        answer = await self._client.request(
            "GET",
            f"http://{server.address}/report",
            timeout_s=timeout_s,
            headers={EXPECTED_SERVER: server.server},
            wanted_header=LEAVING,
        )
        return answer.bind(_decode_report)


def encode_order(order: Order) -> dict[str, Any]:
    """Return the request body of an order."""
    match order:
        case Join():
            body = {"op": "join", **order._asdict()}
            if order.expected is None:
                del body["expected"]
            return body
        case Open():
            return {"op": "open", **order._asdict()}
        case Close():
            return {"op": "close", "close_mode": "queue", **order._asdict()}
        case Leave():
            return {"op": "leave", **order._asdict()}
        case Stage():
            return {"op": "stage", **order._asdict()}


def _decode_reply(answer: HttpAnswer) -> Result[OrderReply, PlatformError]:
    reply = _REPLY_BY_STATUS.get(answer.status)
    if reply is None:
        message = f"unexpected status {answer.status}"
        return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, message))
    return Success(reply)


def _decode_report(answer: HttpAnswer) -> Result[ServerReport, PlatformError]:
    is_leaving = answer.header == LEAVING_VALUE
    return decode_success(_REPORT_DECODER, answer).map(
        lambda body: _make_report(body, is_leaving)
    )


def _make_report(report: _ReportBody, is_leaving: bool) -> ServerReport:
    return ServerReport(
        membership=decode_membership(report.group),
        staged=tuple(report.staged),
        obeyed=report.sequence,
        running=report.running,
        waiting=report.waiting,
        time_factor=report.pace,
        started_ms=report.born,
        is_leaving=is_leaving,
    )
