"""Text that a caller has received so far, to continue it at another group.

Events are stored undecoded and are decoded in batches, since nearly all
answers complete at the group where they started.
"""

import enum
from typing import Any, NamedTuple

import msgspec

from chervilrock.decisions.decoding import Decoder, UnreadableError
from chervilrock.decisions.requests import positions

MAX_TEXT_CHARS = 4 * 1024 * 1024
"""Maximum length of the text; a longer answer cannot continue elsewhere."""

_BATCH_CHUNKS = 64
_DATA_LINE = b"\ndata: "


class PartialText(NamedTuple):
    """Text of an answer that broke off.

    Attributes:
      text: concatenated text of all events.
      finished: whether an event reported that the text is complete.
    """

    text: str
    finished: bool


class _Form(enum.StrEnum):
    """Whether an answer is a single plain text."""

    TEXT = "text"
    OTHER = "other"


class _Delta(msgspec.Struct, forbid_unknown_fields=True):
    """Delta of a chat message that holds only text."""

    role: str | None = None
    content: str | None = None


class _Choice(msgspec.Struct):
    """One choice of an event, for text and chat completions."""

    index: int = 0
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None
    message: Any = None


class _Event(msgspec.Struct):
    """Data of one event."""

    choices: tuple[_Choice, ...] = ()


_DECODER = Decoder(_Event)


class Transcript:
    """Collects the text of one answer from its events."""

    __slots__ = ("_chars", "_finished", "_form", "_pending", "_texts")

    def __init__(self) -> None:
        """Creates a transcript without events."""
        self._pending: list[bytes] = []
        self._texts: list[str] = []
        self._chars = 0
        self._finished = False
        self._form = _Form.TEXT

    def add(self, events: bytes) -> None:
        """Appends one or more whole events that are sent to the caller."""
        self._pending.append(events)
        if len(self._pending) >= _BATCH_CHUNKS:
            self._decode_batch()

    def read(self) -> PartialText | None:
        """Returns the text so far.

        Returns:
          The text, or None if the events hold more than a single plain text,
          such as tool calls or several choices, and cannot be continued.
        """
        self._decode_batch()
        if self._form is not _Form.TEXT:
            return None
        self._texts = ["".join(self._texts)]
        return PartialText(text=self._texts[0], finished=self._finished)

    def _decode_batch(self) -> None:
        batch = b"".join(self._pending)
        self._pending.clear()
        if self._form is not _Form.TEXT:
            return
        for event in batch.split(positions.EVENT_END):
            if event and not self._decode_event(event):
                self._form = _Form.OTHER
                self._texts.clear()
                return

    def _decode_event(self, event: bytes) -> bool:
        """Adds the text of an event; returns False if it is not plain text."""
        data = event.partition(_DATA_LINE)[2]
        if data == b"[DONE]":
            return True
        try:
            choices = _DECODER.decode(data).choices
        except UnreadableError:
            return False
        return all(self._add_choice(choice) for choice in choices)

    def _add_choice(self, choice: _Choice) -> bool:
        if choice.index != 0 or choice.message is not None:
            return False
        text = choice.text or ""
        if choice.delta is not None:
            text += choice.delta.content or ""
        self._finished = self._finished or choice.finish_reason is not None
        self._chars += len(text)
        self._texts.append(text)
        return self._chars <= MAX_TEXT_CHARS
