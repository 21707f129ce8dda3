"""Limits on a YAML text, checked on parser events before composition.

The scan is not recursive and stops at the first limit that is exceeded, so a
text that would take too long or too much memory is rejected cheaply.
"""

from typing import Any, NamedTuple

import yaml

from chervilrock.configuration.findings import (
    Finding,
    FindingCode,
    quote_value,
)

MAX_DEPTH = 32
MAX_VALUES = 50_000
MAX_ALIASES = 100
MAX_LENGTH = 4096
LIBRARY_DEPTH_MESSAGE = "exceeded maximum nesting depth"
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class Extent(NamedTuple):
    """The size of a value with its aliases expanded.

    Attributes:
      values: number of scalars, lists and mappings, keys included
      height: number of nested levels of lists and mappings
    """

    values: int
    height: int


class Frame(NamedTuple):
    """A list or mapping whose end event has not been read yet.

    Attributes:
      anchor: its anchor, or None
      start: number of values before it
      heights: greatest height of its values so far, in a mutable list of
        one item
    """

    anchor: str | None
    start: int
    heights: list[int]


class ScanError(Exception):
    """The text exceeds a limit.

    Attributes:
      code: kind of the finding
      message: what is wrong
      hint: what to do about it
    """

    def __init__(self, code: FindingCode, message: str, hint: str) -> None:
        """Create an error from the parts of a finding."""
        super().__init__(message)
        self.code = code
        self.message = message
        self.hint = hint


class EventScan:
    """State of a scan: open collections, anchors and totals."""

    def __init__(self) -> None:
        """Create a scan in its state before the first event."""
        self.documents = 0
        self.values = 0
        self.aliases = 0
        self.stack: list[Frame] = []
        self.anchors: dict[str, Extent] = {}

    def add_event(self, event: yaml.Event) -> None:
        """Count one event.

        Raises:
          ScanError: The text exceeds a limit.
        """
        if isinstance(event, yaml.DocumentStartEvent):
            self.add_document()
        elif isinstance(event, yaml.AliasEvent):
            self.add_alias(event.anchor or "")
        elif isinstance(event, yaml.ScalarEvent):
            check_length(event.value)
            self.add_value(Extent(1, 0))
            self.keep_anchor(event.anchor, Extent(1, 0))
        elif isinstance(event, yaml.CollectionStartEvent):
            self.add_value(Extent(1, 1))
            self.stack.append(Frame(event.anchor, self.values - 1, [0]))
        elif isinstance(event, yaml.CollectionEndEvent):
            self.end_collection()

    def add_document(self) -> None:
        """Count a document and reject a second one."""
        self.documents += 1
        if self.documents > 1:
            raise ScanError(
                FindingCode.SEVERAL_DOCUMENTS,
                "a second document begins here",
                "keep one document in a file",
            )

    def add_alias(self, anchor: str) -> None:
        """Count an alias as the value that it refers to."""
        self.aliases += 1
        extent = self.anchors.get(anchor)
        if extent is None:
            raise ScanError(
                FindingCode.BROKEN_YAML,
                f"alias {quote_value(anchor)} has no value before it",
                "write the value out",
            )
        if self.aliases > MAX_ALIASES:
            raise self.refuse_expansion()
        try:
            self.add_value(extent)
        except ScanError as error:
            if error.code is FindingCode.TOO_MANY_VALUES:
                raise self.refuse_expansion() from None
            raise

    def add_value(self, extent: Extent) -> None:
        """Count a value with everything nested in it."""
        height = len(self.stack) + extent.height
        if height > MAX_DEPTH:
            raise ScanError(
                FindingCode.TOO_DEEP,
                f"more than {MAX_DEPTH} levels of lists and mappings",
                "",
            )
        self.values += extent.values
        if self.values > MAX_VALUES:
            raise ScanError(
                FindingCode.TOO_MANY_VALUES,
                f"more than {MAX_VALUES} values",
                "split the installation or remove generated parts",
            )
        if self.stack:
            heights = self.stack[-1].heights
            heights[0] = max(heights[0], extent.height)

    def keep_anchor(self, anchor: str | None, extent: Extent) -> None:
        """Record the extent of an anchored value."""
        if anchor is not None:
            self.anchors[anchor] = extent

    def end_collection(self) -> None:
        """Close the innermost list or mapping."""
        frame = self.stack.pop()
        height = frame.heights[0] + 1
        if self.stack:
            heights = self.stack[-1].heights
            heights[0] = max(heights[0], height)
        extent = Extent(self.values - frame.start, height)
        self.keep_anchor(frame.anchor, extent)

    def refuse_expansion(self) -> ScanError:
        """Return the error for aliases that expand to too many values."""
        return ScanError(
            FindingCode.ALIAS_EXPANSION,
            f"more than {MAX_ALIASES} aliases, or they stand for more than "
            f"{MAX_VALUES} values",
            "write the values out",
        )


def check_length(text: str) -> None:
    """Reject a scalar that is longer than any valid value.

    Raises:
      ScanError: The scalar is too long.
    """
    if len(text) > MAX_LENGTH:
        raise ScanError(
            FindingCode.TEXT_TOO_LONG,
            f"a text of {len(text)} characters, more than {MAX_LENGTH}",
            "look for a quote that is not closed",
        )


def scan_events(text: str, file_name: str) -> Finding | None:
    """Return the first finding of the event scan, or None."""
    scan = EventScan()
    try:
        for event in yaml.parse(text, Loader=LOADER):
            try:
                scan.add_event(event)
            except ScanError as error:
                return place_error(error, event.start_mark, file_name)
    except (yaml.YAMLError, ValueError) as error:
        return describe_error(error, file_name)
    if scan.documents == 0:
        return Finding(
            file_name,
            1,
            1,
            FindingCode.EMPTY_DOCUMENT,
            "the file holds no document",
            "write at least name, data_centres and models",
        )
    return None


def place_error(error: ScanError, mark: Any, file_name: str) -> Finding:
    """Return the finding for a text that exceeds a limit."""
    line = mark.line + 1 if mark else 1
    column = mark.column + 1 if mark else 1
    return Finding(
        file_name, line, column, error.code, error.message, error.hint
    )


def describe_error(error: Exception, file_name: str) -> Finding:
    """Return the finding for a text that is not valid YAML."""
    mark = None
    message = str(error)
    if isinstance(error, yaml.MarkedYAMLError):
        mark = error.problem_mark or error.context_mark
        message = ", ".join(filter(None, (error.context, error.problem)))
    hint = ""
    if "'\\t'" in message or "tab" in message:
        hint = "indent with spaces, not with tabs"
    line = mark.line + 1 if mark else 1
    column = mark.column + 1 if mark else 1
    code = FindingCode.BROKEN_YAML
    if LIBRARY_DEPTH_MESSAGE in message:
        code = FindingCode.TOO_DEEP
    message = " ".join(message.split())
    return Finding(file_name, line, column, code, message, hint)
