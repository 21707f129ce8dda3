"""Loads a YAML document with the line and column of every value."""

from typing import NamedTuple

import yaml

from chervilrock.configuration.events import (
    describe_error,
    LOADER,
    scan_events,
)
from chervilrock.configuration.findings import (
    Finding,
    FindingCode,
    quote_value,
)
from chervilrock.configuration.places import Document, Path, Place
from chervilrock.configuration.scalars import (
    convert_scalar,
    OddKind,
    OddScalar,
    PREFIX,
    STRING_TAGS,
)
from chervilrock.configuration.source import decode_source

MAPPING_TAG = f"{PREFIX}map"
LIST_TAG = f"{PREFIX}seq"
MERGE_TAG = f"{PREFIX}merge"


class Loaded(NamedTuple):
    """A loaded document with its faults.

    Attributes:
      document: the document, or None if the text cannot be parsed
      findings: faults in the text, its keys and its tags
    """

    document: Document | None
    findings: tuple[Finding, ...]


def load_document(data: bytes | str, file_name: str) -> Loaded:
    """Load a document, rejecting oversized input before composing it."""
    source = decode_source(data, file_name)
    if source.finding is not None:
        return Loaded(None, (source.finding,))
    finding = scan_events(source.text, file_name)
    if finding is not None:
        return Loaded(None, (finding,))
    try:
        node = yaml.compose(source.text, Loader=LOADER)
    except (yaml.YAMLError, ValueError) as error:
        return Loaded(None, (describe_error(error, file_name),))
    if node is None:
        return Loaded(None, ())
    builder = DocumentBuilder(file_name=file_name)
    value = builder.build_value(node, ())
    document = Document(
        value, builder.places, builder.keys, frozenset(builder.bad)
    )
    return Loaded(document, tuple(builder.findings))


class DocumentBuilder:
    """Converts composed YAML nodes to plain data with locations.

    The recursion is bounded, since the event scan limits the nesting depth.
    """

    def __init__(self, *, file_name: str) -> None:
        """Create an empty builder.

        Args:
          file_name: file name to show in the findings
        """
        self.file_name = file_name
        self.places: dict[Path, Place] = {}
        self.keys: dict[Path, Place] = {}
        self.bad: set[Path] = set()
        self.findings: list[Finding] = []

    def build_value(self, node: yaml.Node, path: Path) -> object:
        """Return the value of a node and record its location."""
        self.places[path] = find_node_place(node)
        if isinstance(node, yaml.MappingNode) and node.tag == MAPPING_TAG:
            return self.build_mapping(node, path)
        if isinstance(node, yaml.SequenceNode) and node.tag == LIST_TAG:
            return [
                self.build_value(item, (*path, index))
                for index, item in enumerate(node.value)
            ]
        if isinstance(node, yaml.ScalarNode):
            value = convert_scalar(node.value, node.tag)
            if not is_invalid(value):
                return value
        self.bad.add(path)
        self.add_finding(
            node,
            FindingCode.BAD_TAG,
            f"tag {quote_value(node.tag)} does not fit here",
            "remove the tag",
        )
        return OddScalar("", OddKind.INVALID)

    def build_mapping(
        self, node: yaml.MappingNode, path: Path
    ) -> dict[str, object]:
        """Return a mapping; the first of several equal keys wins."""
        value: dict[str, object] = {}
        for key_node, value_node in node.value:
            key = self.read_key(key_node)
            if key is None:
                continue
            if key in value:
                self.add_duplicate(key_node, key, (*path, key))
                continue
            self.keys[(*path, key)] = find_node_place(key_node)
            value[key] = self.build_value(value_node, (*path, key))
        return value

    def read_key(self, node: yaml.Node) -> str | None:
        """Return a key; if it is no string, add a finding and return None."""
        if isinstance(node, yaml.ScalarNode) and node.tag in STRING_TAGS:
            return str(node.value)
        message = "a list or mapping as a key"
        hint = ""
        if isinstance(node, yaml.ScalarNode):
            message = f"key {quote_value(node.value)} is not a text"
            hint = "write it in quotes"
        if node.tag == MERGE_TAG:
            message = "merge keys are not supported"
            hint = "write the merged keys out"
        self.add_finding(node, FindingCode.BAD_KEY, message, hint)
        return None

    def add_duplicate(self, node: yaml.Node, key: str, path: Path) -> None:
        """Add the finding for a duplicate key."""
        first = self.keys[path]
        self.add_finding(
            node,
            FindingCode.DUPLICATE_KEY,
            f"key {quote_value(key)} stands in line {first.line} already",
            "remove one of them",
        )

    def add_finding(
        self, node: yaml.Node, code: FindingCode, message: str, hint: str
    ) -> None:
        """Add a finding at the start of a node."""
        place = find_node_place(node)
        self.findings.append(
            Finding(
                self.file_name, place.line, place.column, code, message, hint
            )
        )


def is_invalid(value: object) -> bool:
    """Return whether a scalar could not be parsed."""
    return isinstance(value, OddScalar) and value.kind is OddKind.INVALID


def find_node_place(node: yaml.Node) -> Place:
    """Return the location where a node starts."""
    mark = node.start_mark
    text = node.value if isinstance(node, yaml.ScalarNode) else ""
    return Place(mark.line + 1, mark.column + 1, text)
