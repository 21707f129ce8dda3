"""Text that a caller has got so far, kept to go on at another group.

Events are kept as they came and are decoded in batches, since nearly all
answers end at the group where they began.
"""

import enum
from typing import Any, NamedTuple

import msgspec

from chervilrock.decisions.requests import positions

MAX_TEXT_CHARS = 4 * 1024 * 1024
"""Longest text that is kept; a longer answer cannot go on elsewhere."""

_BATCH = 64
_DATA_LINE = b"\ndata: "


class Kept(NamedTuple):
    """What is known of an answer that broke off.

    Attributes:
      text: text of all events.
      finished: whether an event said that the text is at its end.
    """

    text: str
    finished: bool


class _Form(enum.StrEnum):
    """Why an answer is or is not one text."""

    TEXT = "text"
    OTHER = "other"


class _Delta(msgspec.Struct, forbid_unknown_fields=True):
    """Part of a chat message that is nothing but text."""

    role: str | None = None
    content: str | None = None


class _Choice(msgspec.Struct):
    """One choice of an event, of either kind of completion."""

    index: int = 0
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None
    message: Any = None


class _Event(msgspec.Struct):
    """Data of one event."""

    choices: tuple[_Choice, ...] = ()


_DECODER = msgspec.json.Decoder(_Event)


class Transcript:
    """The text of one answer, from its events."""

    __slots__ = ("_chars", "_finished", "_form", "_raw", "_texts")

    def __init__(self) -> None:
        """Starts with no events."""
        self._raw: list[bytes] = []
        self._texts: list[str] = []
        self._chars = 0
        self._finished = False
        self._form = _Form.TEXT

    def add(self, events: bytes) -> None:
        """Takes one or more whole events that the caller gets."""
        self._raw.append(events)
        if len(self._raw) >= _BATCH:
            self._decode_batch()

    def read(self) -> Kept | None:
        """Returns the text so far.

        Returns:
          None when the events hold more than one plain text, such as tool
          calls or several choices, so that nobody can go on after them.
        """
        self._decode_batch()
        if self._form is not _Form.TEXT:
            return None
        self._texts = ["".join(self._texts)]
        return Kept(text=self._texts[0], finished=self._finished)

    def _decode_batch(self) -> None:
        batch = b"".join(self._raw)
        self._raw.clear()
        if self._form is not _Form.TEXT:
            return
        for event in batch.split(positions.EVENT_END):
            if event and not self._decode_event(event):
                self._form = _Form.OTHER
                self._texts.clear()
                return

    def _decode_event(self, event: bytes) -> bool:
        """Adds the text of an event; False when it is not plain text."""
        data = event.partition(_DATA_LINE)[2]
        if data == b"[DONE]":
            return True
        try:
            choices = _DECODER.decode(data).choices
        except (msgspec.DecodeError, UnicodeDecodeError):
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
