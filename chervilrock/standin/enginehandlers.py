"""HTTP handlers of the engine stand-in."""

from typing import TYPE_CHECKING
from urllib.parse import unquote
import uuid

from chervilrock.decisions.decoding import Decoder
from chervilrock.generated.interfaces import EngineOrder, EnginePhase
from chervilrock.standin.answers import (
    Answer,
    CompletionRequest,
    format_foreign_event,
    parse_event_id,
)
from chervilrock.standin.batch import Attempt, Ending
from chervilrock.standin.fabric import GroupCondition
from chervilrock.standin.faults import FaultKind
from chervilrock.standin.server import (
    REQUEST_ID_HEADER,
    Route,
    StandInHandler,
    STATUS_BAD_REQUEST,
)

if TYPE_CHECKING:
    from chervilrock.standin.engine import EngineStandIn

ATTEMPT_ID_HEADER = "X-Attempt-Id"
FENCE_HEADER = "X-Fence"
PRIORITY_HEADER = "X-Priority"
LAST_EVENT_HEADER = "Last-Event-ID"
DEFAULT_PRIORITY = 5

_STATUS_ACCEPTED = 202
_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_STATUS_TOO_MANY_REQUESTS = 429


def list_engine_routes() -> list[Route]:
    """Returns the HTTP routes of an engine."""
    return [
        (r"/v1/chat/completions", ChatHandler),
        (r"/v1/completions", CompletionHandler),
        (r"/control/orders", _OrderHandler),
        (r"/control/state", _StateHandler),
        (r"/control/load", _LoadHandler),
        (r"/control/events", _EventsHandler),
        (r"/control/cancel/([^/]+)", _CancelHandler),
        (r"/control/attempts/([^/]+)", _AttemptHandler),
    ]


class _EngineHandler(StandInHandler):
    standin: "EngineStandIn"


class _OrderHandler(_EngineHandler):
    _decoder = Decoder(EngineOrder)

    async def post(self) -> None:
        order = self.decode(self._decoder)
        if order is None:
            return
        accepted = self.standin.take_order(order)
        status = _STATUS_ACCEPTED if accepted else _STATUS_CONFLICT
        await self.reply_after_effect(status, self.standin.read_state())


class _StateHandler(_EngineHandler):
    async def get(self) -> None:
        await self.reply_after_effect(200, self.standin.read_state())


class _LoadHandler(_EngineHandler):
    async def get(self) -> None:
        await self.reply_after_effect(200, self.standin.read_load())


class _EventsHandler(_EngineHandler):
    async def get(self) -> None:
        start = self.get_number("from", 1)
        page = self.standin.cache.list_events(start, self.standin.clock())
        await self.reply_after_effect(200, page)


class _CancelHandler(_EngineHandler):
    async def post(self, attempt_id: str) -> None:
        known = self.standin.cancel(unquote(attempt_id))
        status = 200 if known else _STATUS_NOT_FOUND
        await self.reply_after_effect(status, {})


class _AttemptHandler(_EngineHandler):
    async def get(self, attempt_id: str) -> None:
        phase = self.standin.read_attempt(unquote(attempt_id))
        await self.reply_after_effect(200, {"phase": phase})


class CompletionHandler(_EngineHandler):
    """Runs a completion request."""

    chat = False
    _delayed_event = b""
    _decoder = Decoder(CompletionRequest)

    async def post(self) -> None:
        """Runs, resumes or continues a request."""
        body = self.decode(self._decoder)
        if body is None or not self._check_request(body):
            return
        self._request_id = self._get_header(REQUEST_ID_HEADER)
        self._attempt_id = self._get_header(ATTEMPT_ID_HEADER)
        attempt, position = self._find_attempt(body)
        if attempt is None:
            return
        self.set_header(REQUEST_ID_HEADER, self._request_id)
        self.set_header(ATTEMPT_ID_HEADER, self._attempt_id)
        self.set_header(
            FENCE_HEADER, self.request.headers.get(FENCE_HEADER, "")
        )
        if body.get("stream"):
            await self._stream(attempt, position)
        else:
            await self._reply_whole(attempt)

    def _get_header(self, name: str) -> str:
        return self.request.headers.get(name) or uuid.uuid4().hex

    def _check_request(self, body: CompletionRequest) -> bool:
        """Rejects a request that cannot run here and returns False."""
        shards = self.standin.shards
        shard = shards.shard
        if (
            shard is None
            or shards.phase is not EnginePhase.READY
            or shard["rank"] != 0
            or not self._check_fence(shard["fence"])
        ):
            self.refuse("not_leader", _STATUS_CONFLICT)
            return False
        model, _, adapter = body["model"].partition(":")
        if model != shard["model"] or (
            adapter and adapter not in shard["adapters"]
        ):
            self.refuse("model_not_found", _STATUS_NOT_FOUND)
            return False
        return True

    def _check_fence(self, fence: int) -> bool:
        sent = self.request.headers.get(FENCE_HEADER, "")
        return sent == str(fence) or self.standin.ignores_fence()

    def _find_attempt(
        self, body: CompletionRequest
    ) -> tuple[Attempt | None, int]:
        """Returns an attempt and the number of its events already sent.

        Rejects the request when there is no attempt.
        """
        continuation = body.get("continuation")
        last_event = self.request.headers.get(LAST_EVENT_HEADER)
        if last_event is not None:
            position = parse_event_id(last_event, self._request_id)
            found = self._resume(position)
            if found is not None:
                return found, position or 0
            if continuation is None:
                self.refuse("unknown_attempt", _STATUS_CONFLICT)
                return None, 0
        answer = Answer(request_id=self._request_id, body=body, chat=self.chat)
        position = 0
        if continuation is not None:
            position = continuation["events"]
            if answer.join_text(position) != continuation["text"]:
                self.refuse("wrong_continuation", STATUS_BAD_REQUEST)
                return None, 0
        return self._start(answer, position), position

    def _resume(self, position: int | None) -> Attempt | None:
        if position is None:
            return None
        attempt = self.standin.find_attempt(self._request_id, position)
        if attempt is not None:
            self.standin.link_attempt(self._attempt_id, attempt)
        return attempt

    def _start(self, answer: Answer, position: int) -> Attempt | None:
        if self.standin.check_group() is GroupCondition.BROKEN:
            self.refuse("not_whole")
            return None
        header = self.request.headers.get(PRIORITY_HEADER, "")
        priority = int(header) if header.isdecimal() else DEFAULT_PRIORITY
        attempt = self.standin.offer(
            self._attempt_id, answer, priority, position
        )
        if attempt is None:
            self.refuse("overloaded", _STATUS_TOO_MANY_REQUESTS)
        return attempt

    async def _reply_whole(self, attempt: Attempt) -> None:
        ending = await attempt.wait_end()
        if ending is Ending.WHOLE:
            await self.reply_after_effect(200, attempt.answer.make_body())
        else:
            self._reply_ending(ending)

    def _reply_ending(self, ending: Ending) -> None:
        if ending is Ending.NOT_RUN and not self.orphaned:
            self.refuse("not_run")
        else:
            self.cut()

    async def _stream(self, attempt: Attempt, position: int) -> None:
        await attempt.wait_beyond(position)
        if attempt.ending is Ending.NOT_RUN:
            self._reply_ending(attempt.ending)
            return
        await self.wait_fault(FaultKind.ANSWER_LATE)
        if self.loses_answer():
            self.cut()
            return
        self.set_header("Content-Type", "text/event-stream")
        if await self._send_events(attempt, position):
            await self.finish()

    async def _send_events(self, attempt: Attempt, position: int) -> bool:
        """Sends all events; returns False when the connection is closed."""
        rule = self.strike(FaultKind.BREAK_STREAM)
        break_at = None
        if rule is not None:
            break_at = position + rule.get("after_events", 0)
        while position <= attempt.answer.event_count:
            await attempt.wait_beyond(position)
            await self.standin.faults.wait_resumed()
            if attempt.ending not in (None, Ending.WHOLE):
                self.cut()
                return False
            end = attempt.emitted + int(attempt.ending is Ending.WHOLE)
            if break_at is not None:
                end = min(end, break_at)
            chunk = self._format_events(attempt.answer, position, end)
            if chunk and not await self.send(chunk):
                return False
            position = end
            if position == break_at:
                self.cut()
                return False
        return True

    def _format_events(self, answer: Answer, start: int, end: int) -> bytes:
        """Formats the events after `start` up to `end`, with faults applied."""
        chunks = []
        for number in range(start + 1, end + 1):
            event = answer.format_event(number)
            if self.strike(FaultKind.FOREIGN_EVENT):
                chunks.append(format_foreign_event(number))
            if self._delay_event(event, number, answer):
                continue
            chunks.append(event)
            chunks.append(self._delayed_event)
            self._delayed_event = b""
            if self.strike(FaultKind.REPEAT_EVENT):
                chunks.append(event)
        return b"".join(chunks)

    def _delay_event(self, event: bytes, number: int, answer: Answer) -> bool:
        """Delays an event until after the next one if a fault applies."""
        is_last = number > answer.event_count
        if (
            self._delayed_event
            or is_last
            or not self.strike(FaultKind.HOLD_EVENT)
        ):
            return False
        self._delayed_event = event
        return True


class ChatHandler(CompletionHandler):
    """Runs a chat request."""

    chat = True
