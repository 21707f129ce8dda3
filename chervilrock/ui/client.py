"""Client of the operator interface of a node."""

from typing import NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.clients.errors import PlatformError
from chervilrock.clients.httpclient import HttpAnswer, HttpClient
from chervilrock.decisions.decoding import Decoder, UnreadableError
from chervilrock.generated.interfaces import ErrorBody, Outcome
from chervilrock.generated.operators import (
    ApplyAnswer,
    ApplyRequest,
    StatusAnswer,
)

MAX_READ_BYTES = 64 * 1024 * 1024
"""Most bytes of the status or the state of a node, or of a report on a
configuration."""

READ_TIMEOUT_S = 10.0
APPLY_TIMEOUT_S = 30.0
APPLY_STATUSES = frozenset({200, 400, 409})
STATUS_OK = 200

T = TypeVar("T")

_ERROR_DECODER = Decoder(ErrorBody)


class ClientError(NamedTuple):
    """Why a node gave no usable answer.

    Attributes:
      message: one-line error message for the operator
      effect_possible: whether the request may have changed something
    """

    message: str
    effect_possible: bool


class OperatorClient:
    """Sends the requests of an operator to one node."""

    def __init__(self, *, address: str, http: HttpClient) -> None:
        """Creates a client for one node.

        Args:
          address: IP:port of the node
          http: HTTP client that sends the requests
        """
        self._address = address
        self._http = http

    async def get_status(self) -> Result[StatusAnswer, ClientError]:
        """Returns the status of the installation."""
        answer = await self._read("/admin/status")
        return answer.bind(lambda body: self._decode(body, StatusAnswer))

    async def get_state(self) -> Result[msgspec.Raw, ClientError]:
        """Returns the state of the process as undecoded JSON."""
        answer = await self._read("/state")
        return answer.bind(lambda body: self._decode(body, msgspec.Raw))

    async def apply(
        self, request: ApplyRequest
    ) -> Result[ApplyAnswer, ClientError]:
        """Sends a configuration without retries and returns the answer."""
        result = await self._http.request(
            "POST",
            self._format_url("/admin/apply"),
            timeout_s=APPLY_TIMEOUT_S,
            body=msgspec.json.encode(request),
            send_once=True,
            max_bytes=MAX_READ_BYTES,
        )
        return result.alt(
            lambda error: self._describe_failure(error, error.effect_possible)
        ).bind(self._read_apply)

    def _read_apply(
        self, answer: HttpAnswer
    ) -> Result[ApplyAnswer, ClientError]:
        """Returns the decoded answer to an apply request, or its error."""
        if answer.status in APPLY_STATUSES:
            decoded = self._decode(answer.body, ApplyAnswer, True)
            if isinstance(decoded, Success):
                return decoded
        return Failure(self._describe_status(answer, True))

    async def _read(self, path: str) -> Result[bytes, ClientError]:
        """Returns the response body of a GET request for a path."""
        result = await self._http.request(
            "GET",
            self._format_url(path),
            timeout_s=READ_TIMEOUT_S,
            max_bytes=MAX_READ_BYTES,
        )
        return result.alt(
            lambda error: self._describe_failure(error, False)
        ).bind(self._check_status)

    def _check_status(self, answer: HttpAnswer) -> Result[bytes, ClientError]:
        """Returns the body if the status is 200, otherwise an error."""
        if answer.status == STATUS_OK:
            return Success(answer.body)
        return Failure(self._describe_status(answer, False))

    def _decode(
        self, body: bytes, kind: type[T], effect_possible: bool = False
    ) -> Result[T, ClientError]:
        """Returns the decoded body, or an error that names the node."""
        try:
            return Success(Decoder(kind).decode(body))
        except UnreadableError as error:
            text = f"{self._address} does not answer as a node: {error}"
            return Failure(ClientError(text, effect_possible))

    def _describe_failure(
        self, error: PlatformError, effect_possible: bool
    ) -> ClientError:
        """Returns the error for a request without an answer."""
        text = f"node {self._address} cannot be reached: {error.message}"
        return ClientError(text, effect_possible)

    def _describe_status(
        self, answer: HttpAnswer, effect_possible: bool
    ) -> ClientError:
        """Returns the error for an unsuccessful answer."""
        try:
            body = _ERROR_DECODER.decode(answer.body)
        except UnreadableError:
            text = f"node {self._address} answered status {answer.status}"
            return ClientError(text, effect_possible)
        detail = body["error"]
        may_have_run = detail["outcome"] is not Outcome.NOT_RUN
        text = f"node {self._address}: {detail['message']} ({detail['code']})"
        return ClientError(text, may_have_run and effect_possible)

    def _format_url(self, path: str) -> str:
        """Returns the URL of a path on the node."""
        return f"http://{self._address}{path}"
