"""Collects findings about a document, with their locations."""

from collections.abc import Mapping

from chervilrock.configuration.findings import Fault, Finding
from chervilrock.configuration.places import (
    Document,
    find_key_place,
    find_place,
    Path,
    render_path,
)


class Report:
    """The findings about one document."""

    def __init__(
        self,
        *,
        file_name: str,
        document: Document,
        origins: Mapping[Path, Path] | None = None,
    ) -> None:
        """Create a report without findings.

        Args:
          file_name: file name to show in the findings
          document: the document, for its locations
          origins: path in the document of each list item of the checked
            value, needed if faulty items were left out of that value
        """
        self.file_name = file_name
        self.document = document
        self.origins = origins or {}
        self.findings: list[Finding] = []

    def add_value(self, path: Path, fault: Fault) -> None:
        """Add a finding at the location of a value."""
        origin = self.find_origin(path)
        place = find_place(self.document, origin)
        self.add_finding(place.line, place.column, origin, fault)

    def add_key(self, path: Path, fault: Fault) -> None:
        """Add a finding at the location of the key of a value."""
        origin = self.find_origin(path)
        place = find_key_place(self.document, origin)
        self.add_finding(place.line, place.column, origin, fault)

    def find_line(self, path: Path) -> int:
        """Return the line number of a value."""
        return find_place(self.document, self.find_origin(path)).line

    def find_origin(self, path: Path) -> Path:
        """Map a path in the checked value to its path in the document."""
        for end in range(len(path), 0, -1):
            origin = self.origins.get(path[:end])
            if origin is not None:
                return origin + path[end:]
        return path

    def add_finding(
        self, line: int, column: int, path: Path, fault: Fault
    ) -> None:
        """Add a finding whose message begins with the path."""
        message = fault.message
        if path:
            message = f"{render_path(path)}: {message}"
        self.findings.append(
            Finding(
                self.file_name, line, column, fault.code, message, fault.hint
            )
        )
