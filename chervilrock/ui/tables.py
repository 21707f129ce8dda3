"""Plain-text tables."""

from collections.abc import Sequence

COLUMN_SEPARATOR = "  "


def render_table(
    header: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Returns rows under a header, each column as wide as its widest cell."""
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_render_line(line, widths) for line in lines)


def _render_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    """Returns one line without trailing spaces."""
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return COLUMN_SEPARATOR.join(padded).rstrip()
