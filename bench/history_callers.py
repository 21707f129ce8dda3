"""Callers that record their requests and answers in a history."""

import asyncio
from collections.abc import Sequence
import random
import time
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec

from bench.history_client import CallerClient, STATUS_OK
from bench.history_operations import (
    judge,
    Judged,
    Kind,
    make_body,
    Operation,
    PAUSE_S,
)
from chervilrock.generated.interfaces import AddressAnswer, Ticket
from chervilrock.standin.history import (
    AddressesTold,
    Ended,
    Got,
    History,
    Repeats,
    Sent,
    Told,
)
from chervilrock.standin.history_sources import TRY_HEADER

DEADLINE_MS = 8000
QUERY_TIMEOUT_S = 1.5
GIVE_UP_S = 45.0
MAX_REPEATS = 4
REUSED_ONE_IN = 2
"""One in so many tickets and keys is reused after its operation ended."""

_FINAL = frozenset({Told.WHOLE, Told.FOREIGN, Told.CUT})


class Shared(NamedTuple):
    """State shared by the callers of a run.

    Attributes:
      name: name of the run, prefix of the idempotency keys of callers
      attempts: number of attempts so far, as the only item of a list
    """

    name: str
    history: History
    client: CallerClient
    generator: random.Random
    attempts: list[int]

    def take_attempt(self) -> int:
        """Return the number of the next attempt, counted over all callers."""
        self.attempts[0] += 1
        return self.attempts[0]


class Caller:
    """Sends operations, retries them where allowed, and records events."""

    def __init__(
        self, *, shared: Shared, seeds: Sequence[str], data_centre: str
    ) -> None:
        """Create a caller that uses the seed addresses at first.

        Args:
          shared: state shared by all callers.
          seeds: addresses of nodes; the list may change later.
          data_centre: data centre of the caller.
        """
        self._shared = shared
        self._seeds = seeds
        self._data_centre = data_centre
        self._addresses = tuple(seeds)
        self._expires_at = 0.0

    async def run(self, operation: Operation) -> Told:
        """Run an operation until its outcome is final."""
        begin = time.monotonic()
        told = Told.NOT_RUN
        key = ""
        if operation.kind.repeats is Repeats.WITH_KEY:
            key = f"{self._shared.name}-{operation.number}"
        sends = 0
        while time.monotonic() < begin + GIVE_UP_S:
            node = await self._choose_node()
            if operation.kind.repeats is Repeats.WITH_TICKET and not key:
                key = await self._get_ticket(node)
                if not key:
                    await asyncio.sleep(PAUSE_S)
                    continue
            sends += 1
            judged = await self.send_try(operation, node, key)
            told = judged.told
            if self._is_final(operation, told, sends):
                break
            await asyncio.sleep(judged.wait_s)
        if key and operation.number % REUSED_ONE_IN == 0:
            # A reused ticket or key must not run the operation again.
            await self.send_try(operation, await self._choose_node(), key)
        self._shared.history.note(Ended(operation.number, told))
        return told

    def _is_final(self, operation: Operation, told: Told, sends: int) -> bool:
        if told in _FINAL:
            return True
        if told in (Told.NOT_RUN, Told.REFUSED):
            # No key can be claimed during an outage of the log, which may
            # last long.
            keyed = operation.kind.repeats is Repeats.WITH_KEY
            return keyed and sends >= MAX_REPEATS
        if operation.kind.repeats is Repeats.FREELY:
            return False
        if operation.kind.repeats is Repeats.NEVER:
            return True
        return told is Told.FAILED or sends >= MAX_REPEATS

    async def _choose_node(self) -> str:
        if time.monotonic() >= self._expires_at:
            await self._refresh_addresses()
        return self._shared.generator.choice(self._addresses)

    async def _refresh_addresses(self) -> None:
        query = f"/v1/addresses?data_centre={quote(self._data_centre)}"
        for node in dict.fromkeys((*self._addresses, *self._seeds)):
            answer = await self._shared.client.send(
                "GET", f"http://{node}{query}", timeout_s=QUERY_TIMEOUT_S
            )
            if answer.status != STATUS_OK:
                continue
            listed = msgspec.json.decode(answer.body, type=AddressAnswer)
            addresses = tuple(entry["address"] for entry in listed["addresses"])
            self._shared.history.note(AddressesTold(node, addresses))
            if addresses:
                self._addresses = addresses
                self._expires_at = time.monotonic() + listed["ttl_s"]
                return

    def _drop_address(self, node: str) -> None:
        """Stop using an address until the next list of addresses."""
        self._addresses = tuple(
            address for address in self._addresses if address != node
        )
        if not self._addresses:
            self._addresses = tuple(self._seeds)
            self._expires_at = 0.0

    async def _get_ticket(self, node: str) -> str:
        answer = await self._shared.client.send(
            "POST",
            f"http://{node}/v1/tickets",
            body=b"",
            timeout_s=QUERY_TIMEOUT_S,
        )
        if answer.status != STATUS_OK:
            self._drop_address(node)
            return ""
        return msgspec.json.decode(answer.body, type=Ticket)["ticket"]

    async def send_try(
        self, operation: Operation, node: str, key: str = ""
    ) -> Judged:
        """Send an operation once and record the answer."""
        kind = operation.kind
        attempt = self._shared.take_attempt()
        history = self._shared.history
        history.note(Sent(operation.number, attempt, node, kind.repeats))
        path = kind.path
        body = make_body(operation, attempt) if kind.is_completion else None
        if not kind.is_completion:
            path = kind.path.format(operation.name) + str(operation.number)
        answer = await self._shared.client.send(
            kind.method,
            f"http://{node}{path}",
            body=_encode(kind, body),
            headers=_make_headers(operation, attempt, key),
        )
        judged = judge(operation, body, answer)
        if judged.told in (Told.REFUSED, Told.NOTHING):
            self._drop_address(node)
        history.note(Got(operation.number, attempt, judged.told, judged.detail))
        return judged


def _encode(kind: Kind, body: dict[str, Any] | None) -> bytes | None:
    if body is not None:
        return msgspec.json.encode(body)
    return b"{}" if kind.method == "POST" else None


def _make_headers(
    operation: Operation, attempt: int, key: str
) -> dict[str, str]:
    headers = {
        "X-Workspace": operation.workspace,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "Content-Type": "application/json",
        TRY_HEADER: str(attempt),
    }
    if key:
        headers["Idempotency-Key"] = key
    elif operation.kind.repeats is Repeats.NEVER:
        headers["X-Idempotent"] = "false"
    return headers
