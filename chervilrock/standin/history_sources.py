"""Stand-ins that record their actions in a history.

Requests carry the numbers of their operation and attempt: a completion in its
prompt, as `[7/31]`; a call of a plain service in its path, as `/entries/7`,
and in the header `X-Try`.
"""

import re
from typing import Any

import msgspec

from chervilrock.decisions.decoding import Decoder
from chervilrock.generated.interfaces import EngineShard
from chervilrock.generated.records import Record, RecordKind
from chervilrock.standin.answers import Answer
from chervilrock.standin.batch import Attempt
from chervilrock.standin.engine import EngineOptions, EngineStandIn
from chervilrock.standin.fabric import Fabric, FabricMember, GroupCondition
from chervilrock.standin.history import (
    Arrived,
    ConfigurationAppended,
    Executed,
    Held,
    History,
    Shard,
)
from chervilrock.standin.platform import PlatformOptions, PlatformStandIn
from chervilrock.standin.server import REQUEST_ID_HEADER, Route, StandInHandler
from chervilrock.standin.service import ServiceOptions, ServiceStandIn

TRY_HEADER = "X-Try"
CONFIGURATION_STREAM = "config"

_RECORD_DECODER = Decoder(Record)
_PROMPT_MARK = re.compile(r"\[(\d+)/(\d+)\]")
_PATH_MARK = re.compile(r"/entries/(\d+)")


def make_mark(operation: int, attempt: int) -> str:
    """Return the mark for a prompt; attempt 0 if all attempts are equal."""
    return f"[{operation}/{attempt}]"


class RecordedFabric(Fabric):
    """Records which host has loaded which shard.

    A blind fabric hides the loss of a host from the other hosts of its group,
    so that they continue as if the group were whole.
    """

    def __init__(self, *, history: History, blind: bool = False) -> None:
        """Create an empty registry."""
        super().__init__()
        self._history = history
        self._blind = blind

    def enter(self, member: FabricMember, shard: EngineShard) -> None:
        """See base class."""
        super().enter(member, shard)
        assert isinstance(member, EngineStandIn)
        self._history.note(Held(member.options.host, read_shard(shard)))

    def leave(self, member: FabricMember, shard: EngineShard) -> None:
        """See base class."""
        assert isinstance(member, EngineStandIn)
        self._history.note(Held(member.options.host, None))
        if not self._blind:
            super().leave(member, shard)

    def check_group(self, shard: EngineShard) -> GroupCondition:
        """See base class."""
        return (
            GroupCondition.WHOLE if self._blind else super().check_group(shard)
        )


def read_shard(shard: EngineShard) -> Shard:
    """Return the fields of a shard that a history records."""
    return Shard(shard["group"], shard["fence"], shard["rank"], shard["size"])


class RecordedEngine(EngineStandIn):
    """A model engine that records the requests it queues and runs."""

    def __init__(
        self, *, history: History, options: EngineOptions, fabric: Fabric
    ) -> None:
        """Create an engine that does not listen yet."""
        super().__init__(options=options, fabric=fabric)
        self._history = history

    def offer(
        self, attempt_id: str, answer: Answer, priority: int, emitted: int
    ) -> Attempt | None:
        """See base class."""
        attempt = super().offer(attempt_id, answer, priority, emitted)
        if attempt is not None:
            self._history.note(Arrived(*self._describe(answer)))
        return attempt

    def _admit(self) -> None:
        before = set(map(id, self._batch.running))
        super()._admit()
        for attempt in self._batch.running:
            if id(attempt) not in before:
                self._history.note(Executed(*self._describe(attempt.answer)))

    def _describe(self, answer: Answer) -> tuple[str, int, int, str, Shard]:
        shard = self.shards.shard
        assert shard is not None
        mark = _PROMPT_MARK.search(answer.prompt)
        operation, attempt = map(int, mark.groups()) if mark else (0, 0)
        host = self.options.host
        return host, operation, attempt, answer.request_id, read_shard(shard)


class RecordedService(ServiceStandIn):
    """A backend server of a plain service that records its calls."""

    def __init__(self, *, history: History, options: ServiceOptions) -> None:
        """Create a backend server that does not listen yet."""
        super().__init__(options=options)
        self._history = history

    def _list_routes(self) -> list[Route]:
        return [
            (path, _record_calls(handler, self._history))
            for path, handler in super()._list_routes()
        ]


def _record_calls(
    base: type[StandInHandler], history: History
) -> type[StandInHandler]:
    """Return a handler that records each call right before it runs."""

    class RecordedCall(base):  # type: ignore[misc, valid-type]
        """Records each call."""

        async def prepare(self) -> None:
            """See base class."""
            await super().prepare()
            if not self._finished:
                described = _describe_call(self)
                history.note(Arrived(*described))
                history.note(Executed(*described))

    return RecordedCall


def _describe_call(handler: Any) -> tuple[str, int, int, str]:
    mark = _PATH_MARK.search(handler.request.path)
    headers = handler.request.headers
    return (
        handler.standin.address,
        int(mark[1]) if mark else 0,
        int(headers.get(TRY_HEADER, "0")),
        headers.get(REQUEST_ID_HEADER, ""),
    )


class RecordedPlatform(PlatformStandIn):
    """A platform that records configurations appended to its log."""

    def __init__(
        self,
        *,
        history: History,
        options: PlatformOptions | None = None,
        models: Any = None,
    ) -> None:
        """Create a platform with empty streams."""
        super().__init__(options=options, models=models)
        self._history = history

    def append(
        self, name: str, records: tuple[msgspec.Raw, ...]
    ) -> tuple[int, ...]:
        """See base class."""
        offsets = super().append(name, records)
        if name == CONFIGURATION_STREAM:
            for offset, raw in zip(offsets, records, strict=True):
                self._record_append(offset, _RECORD_DECODER.decode(raw))
        return offsets

    def _record_append(self, offset: int, record: Record) -> None:
        event = ConfigurationAppended(offset, *record.record_id)
        if record.kind is RecordKind.CONFIGURATION_APPLIED:
            base, operator = record.body[:2]
            event = event._replace(base=base, operator=operator)
        self._history.note(event)
