"""A caller as docs/callers.md asks callers to behave."""

import asyncio
import json
import random
import time
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec
from returns.result import Failure

from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.clients.httpclient import HttpAnswer, HttpClient
from chervilrock.generated.interfaces import AddressAnswer, Outcome, Ticket
from chervilrock.ui.demonstration.operations import (
    Ending,
    Operation,
    OperationKind,
    read_completion,
    read_stream,
    Result,
)

DEADLINE_S = 20.0
TRY_TIMEOUT_S = 10.0
SHORTEST_WAIT_S = 0.05
LONGEST_WAIT_S = 1.0
STATUS_OK = 200


class Try(NamedTuple):
    """How one request of an operation ended.

    Attributes:
      ending: what the caller knows after it
      wait_s: time to wait before the next one, in seconds
    """

    ending: Ending
    wait_s: float = SHORTEST_WAIT_S


class AddressBook:
    """The addresses of the system, cached for their time to live."""

    def __init__(
        self, *, seeds: tuple[str, ...], data_centre: str, http: HttpClient
    ) -> None:
        """Start with the addresses that the caller was given once."""
        self._seeds = seeds
        self._data_centre = data_centre
        self._http = http
        self._known: tuple[str, ...] = seeds
        self._until = 0.0

    async def list(self) -> tuple[str, ...]:
        """Return the addresses to use, asking anew when they are old."""
        if time.monotonic() < self._until:
            return self._known
        for address in (*self._known, *self._seeds):
            answer = await self._ask(address)
            if answer is not None and answer["addresses"]:
                entries = answer["addresses"]
                self._known = tuple(entry["address"] for entry in entries)
                self._until = time.monotonic() + answer["ttl_s"]
                break
        return self._known

    def drop(self, address: str) -> None:
        """Use an address no more until the next answer."""
        self._known = tuple(a for a in self._known if a != address)
        if not self._known:
            self._known = self._seeds
            self._until = 0.0

    async def _ask(self, address: str) -> AddressAnswer | None:
        place = quote(self._data_centre)
        result = await self._http.request(
            "GET",
            f"http://{address}/v1/addresses?data_centre={place}",
            timeout_s=1.0,
        )
        if isinstance(result, Failure):
            return None
        answer = result.unwrap()
        if answer.status != STATUS_OK:
            return None
        return msgspec.json.decode(answer.body, type=AddressAnswer)


class Caller:
    """Sends operations and repeats them where that is allowed."""

    def __init__(
        self, *, book: AddressBook, http: HttpClient, generator: random.Random
    ) -> None:
        """Make a caller with its own address book."""
        self._book = book
        self._http = http
        self._generator = generator

    async def run(self, operation: Operation) -> Result:
        """Run an operation to its end."""
        begin = time.monotonic()
        last = Try(Ending.LOST)
        ticket = ""
        tries = 0
        while time.monotonic() < begin + DEADLINE_S:
            address = await self._choose()
            if not operation.idempotent and not ticket:
                ticket = await self._get_ticket(address)
                if not ticket:
                    await asyncio.sleep(SHORTEST_WAIT_S)
                    continue
            tries += 1
            last = await self._try(operation, address, ticket)
            if self._is_final(operation, last.ending, tries):
                break
            await asyncio.sleep(last.wait_s)
        seconds = time.monotonic() - begin
        return Result(operation, last.ending, seconds, tries)

    def _is_final(
        self, operation: Operation, ending: Ending, tries: int
    ) -> bool:
        """Return whether nothing more can be learnt by another try."""
        if ending in (Ending.WHOLE, Ending.FOREIGN):
            return True
        if operation.idempotent or ending is Ending.NOT_RUN:
            return False
        return ending is Ending.FAILED or tries > 3

    async def _choose(self) -> str:
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
        return msgspec.json.decode(answer.body, type=Ticket)["ticket"]

    async def _try(
        self, operation: Operation, address: str, ticket: str
    ) -> Try:
        headers = {"X-Workspace": operation.workspace}
        if ticket:
            headers["Idempotency-Key"] = ticket
        body = None
        if operation.body is not None:
            body = msgspec.json.encode(operation.body)
        result = await self._http.request(
            operation.method,
            f"http://{address}{operation.path}",
            timeout_s=TRY_TIMEOUT_S,
            body=body,
            headers=headers,
        )
        if isinstance(result, Failure):
            self._book.drop(address)
            refused = result.failure().kind is PlatformErrorKind.REFUSED
            return Try(Ending.NOT_RUN if refused else Ending.UNKNOWN)
        return judge(operation, result.unwrap())


def judge(operation: Operation, answer: HttpAnswer) -> Try:
    """Return what an answer means for its caller."""
    if answer.status != STATUS_OK:
        return _read_error(json.loads(answer.body))
    if operation.kind is OperationKind.STREAM:
        text = read_stream(answer.body)
        if text is None:
            return Try(Ending.UNKNOWN)
    elif operation.kind is OperationKind.COMPLETION:
        text = read_completion(answer.body)
    else:
        uri = json.loads(answer.body)["uri"]
        own = operation.path.endswith(uri)
        return Try(Ending.WHOLE if own else Ending.FOREIGN)
    return Try(Ending.WHOLE if text == operation.answer else Ending.FOREIGN)


def _read_error(body: Any) -> Try:
    detail = body["error"]
    wait_s = detail["retry_after_ms"] / 1000
    endings = {
        Outcome.NOT_RUN: Ending.NOT_RUN,
        Outcome.UNKNOWN: Ending.UNKNOWN,
        Outcome.FAILED: Ending.FAILED,
    }
    return Try(
        endings[Outcome(detail["outcome"])],
        min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, wait_s)),
    )
