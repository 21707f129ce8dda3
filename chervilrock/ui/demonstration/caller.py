"""A caller that follows the documented rules for callers."""

import asyncio
import random
import time
from typing import NamedTuple, TypedDict
from urllib.parse import quote

import msgspec
from returns.result import Failure

from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.clients.httpclient import HttpAnswer, HttpClient
from chervilrock.decisions.decoding import (
    Decoder,
    UnreadableError,
)
from chervilrock.generated.interfaces import (
    AddressAnswer,
    ErrorBody,
    Outcome,
    Ticket,
)
from chervilrock.ui.demonstration.operations import (
    Ending,
    Operation,
    OperationKind,
    read_completion,
    read_stream,
    Result,
)

DEADLINE_S = 20.0
ATTEMPT_TIMEOUT_S = 10.0
MIN_WAIT_S = 0.05
MAX_WAIT_S = 1.0
STATUS_OK = 200

_ADDRESS_DECODER = Decoder(AddressAnswer)
_TICKET_DECODER = Decoder(Ticket)
_ERROR_DECODER = Decoder(ErrorBody)


class _Echo(TypedDict):
    """Answer of a service: the path of its request."""

    uri: str


_ECHO_DECODER = Decoder(_Echo)


class Attempt(NamedTuple):
    """Outcome of one request of an operation.

    Attributes:
      ending: how the request ended as far as the caller knows
      wait_s: time to wait before the next request, in seconds
    """

    ending: Ending
    wait_s: float = MIN_WAIT_S


class AddressBook:
    """Cache of the entry node addresses that honours their time to live."""

    def __init__(
        self, *, seeds: tuple[str, ...], data_centre: str, http: HttpClient
    ) -> None:
        """Create a cache that holds only the configured seed addresses."""
        self._seeds = seeds
        self._data_centre = data_centre
        self._http = http
        self._addresses: tuple[str, ...] = seeds
        self._expires_at_s = 0.0

    async def list(self) -> tuple[str, ...]:
        """Return the addresses to use, refreshed if they have expired."""
        if time.monotonic() < self._expires_at_s:
            return self._addresses
        for address in (*self._addresses, *self._seeds):
            answer = await self._query(address)
            if answer is not None and answer["addresses"]:
                entries = answer["addresses"]
                self._addresses = tuple(entry["address"] for entry in entries)
                self._expires_at_s = time.monotonic() + answer["ttl_s"]
                break
        return self._addresses

    def drop(self, address: str) -> None:
        """Remove an address until the next refresh."""
        self._addresses = tuple(a for a in self._addresses if a != address)
        if not self._addresses:
            self._addresses = self._seeds
            self._expires_at_s = 0.0

    async def _query(self, address: str) -> AddressAnswer | None:
        encoded_data_centre = quote(self._data_centre)
        result = await self._http.request(
            "GET",
            f"http://{address}/v1/addresses?data_centre={encoded_data_centre}",
            timeout_s=1.0,
        )
        if isinstance(result, Failure):
            return None
        answer = result.unwrap()
        if answer.status != STATUS_OK:
            return None
        return _ADDRESS_DECODER.read(answer.body).value_or(None)


class Caller:
    """Sends operations and retries them where that is allowed."""

    def __init__(
        self, *, book: AddressBook, http: HttpClient, generator: random.Random
    ) -> None:
        """Create a caller with its own address book."""
        self._book = book
        self._http = http
        self._generator = generator

    async def run(self, operation: Operation) -> Result:
        """Send an operation until it has a final outcome or times out."""
        started_s = time.monotonic()
        last = Attempt(Ending.LOST)
        ticket = ""
        tries = 0
        while time.monotonic() < started_s + DEADLINE_S:
            address = await self._choose_address()
            if not operation.idempotent and not ticket:
                ticket = await self._get_ticket(address)
                if not ticket:
                    await asyncio.sleep(MIN_WAIT_S)
                    continue
            tries += 1
            last = await self._send(operation, address, ticket)
            if self._is_final(operation, last.ending, tries):
                break
            await asyncio.sleep(last.wait_s)
        seconds = time.monotonic() - started_s
        return Result(operation, last.ending, seconds, tries)

    def _is_final(
        self, operation: Operation, ending: Ending, tries: int
    ) -> bool:
        """Return whether no further attempt should be made."""
        if ending in (Ending.WHOLE, Ending.FOREIGN):
            return True
        if operation.idempotent or ending is Ending.NOT_RUN:
            return False
        return ending is Ending.FAILED or tries > 3

    async def _choose_address(self) -> str:
        addresses = await self._book.list()
        return self._generator.choice(addresses)

    async def _get_ticket(self, address: str) -> str:
        result = await self._http.request(
            "POST", f"http://{address}/v1/tickets", timeout_s=2.0, body=b""
        )
        if isinstance(result, Failure):
            self._book.drop(address)
            return ""
        answer = result.unwrap()
        if answer.status != STATUS_OK:
            return ""
        ticket = _TICKET_DECODER.read(answer.body)
        return "" if isinstance(ticket, Failure) else ticket.unwrap()["ticket"]

    async def _send(
        self, operation: Operation, address: str, ticket: str
    ) -> Attempt:
        headers = {"X-Workspace": operation.workspace}
        if ticket:
            headers["Idempotency-Key"] = ticket
        body = None
        if operation.body is not None:
            body = msgspec.json.encode(operation.body)
        result = await self._http.request(
            operation.method,
            f"http://{address}{operation.path}",
            timeout_s=ATTEMPT_TIMEOUT_S,
            body=body,
            headers=headers,
        )
        if isinstance(result, Failure):
            self._book.drop(address)
            refused = result.failure().kind is PlatformErrorKind.REFUSED
            return Attempt(Ending.NOT_RUN if refused else Ending.UNKNOWN)
        return interpret_answer(operation, result.unwrap())


def interpret_answer(operation: Operation, answer: HttpAnswer) -> Attempt:
    """Return the outcome of a request from its answer."""
    try:
        return _interpret(operation, answer)
    except UnreadableError:
        return Attempt(Ending.UNKNOWN)


def _interpret(operation: Operation, answer: HttpAnswer) -> Attempt:
    """Return the outcome of a request from its answer.

    Raises:
      UnreadableError: the answer is no JSON.
    """
    if answer.status != STATUS_OK:
        return _read_error(_ERROR_DECODER.decode(answer.body))
    if operation.kind is OperationKind.STREAM:
        text = read_stream(answer.body)
        if text is None:
            return Attempt(Ending.UNKNOWN)
    elif operation.kind is OperationKind.COMPLETION:
        text = read_completion(answer.body)
    else:
        uri = _ECHO_DECODER.decode(answer.body)["uri"]
        is_own = operation.path.endswith(uri)
        return Attempt(Ending.WHOLE if is_own else Ending.FOREIGN)
    return Attempt(Ending.WHOLE if text == operation.answer else Ending.FOREIGN)


def _read_error(body: ErrorBody) -> Attempt:
    detail = body["error"]
    wait_s = min(detail["retry_after_ms"], MAX_WAIT_S * 1000) / 1000
    endings = {
        Outcome.NOT_RUN: Ending.NOT_RUN,
        Outcome.UNKNOWN: Ending.UNKNOWN,
        Outcome.FAILED: Ending.FAILED,
    }
    return Attempt(
        endings[detail["outcome"]],
        max(MIN_WAIT_S, wait_s),
    )
