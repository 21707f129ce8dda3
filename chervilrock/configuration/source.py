"""Decodes configuration files and checks size, encoding and characters."""

import re
from typing import NamedTuple

from chervilrock.configuration.findings import Finding, FindingCode

MAX_BYTES = 10_000_000
BYTE_ORDER_MARK = "\ufeff"
UTF16_MARKS = (b"\xff\xfe", b"\xfe\xff")
LINE_BREAKS = ("\n", "\r", "\x85", "\u2028", "\u2029")
FORBIDDEN = re.compile(
    "[^\t\n\r\x20-\x7e\x85\xa0-\ud7ff\ue000-\ufffd\U00010000-\U0010ffff]"
)
DIRECTIVE = re.compile("(?:\\A|[\n\r\x85\u2028\u2029])%(?!YAML[ \t])")


class Source(NamedTuple):
    """The text of a file, or why it cannot be decoded.

    Attributes:
      text: the decoded text, or empty if there is a finding
      finding: the fault, or None if the text may be parsed
    """

    text: str
    finding: Finding | None


def decode_source(data: bytes | str, file_name: str) -> Source:
    """Decode a file as UTF-8 and reject what YAML does not permit.

    Args:
      data: content of the file; longer than `MAX_BYTES` is rejected
      file_name: file name to show in the finding
    """
    if len(data) > MAX_BYTES:
        return refuse_source(
            file_name,
            "",
            FindingCode.FILE_TOO_LARGE,
            f"the file is larger than {MAX_BYTES} bytes",
            "split the installation or remove generated parts",
        )
    if isinstance(data, str):
        return check_characters(data, file_name)
    if data.startswith(UTF16_MARKS):
        return refuse_mark(file_name)
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        return refuse_source(
            file_name,
            data[: error.start].decode("utf-8"),
            FindingCode.BAD_ENCODING,
            f"byte 0x{data[error.start]:02x} is not UTF-8",
            "save the file as UTF-8",
        )
    return check_characters(text, file_name)


def check_characters(text: str, file_name: str) -> Source:
    """Reject a byte order mark and characters that YAML forbids."""
    if text.startswith(BYTE_ORDER_MARK):
        return refuse_mark(file_name)
    forbidden = FORBIDDEN.search(text)
    if forbidden is None:
        return check_directives(text, file_name)
    return refuse_source(
        file_name,
        text[: forbidden.start()],
        FindingCode.CONTROL_CHARACTER,
        f"character U+{ord(forbidden.group()):04X} is not permitted",
        "remove it, or write it as an escape in a double-quoted text",
    )


def check_directives(text: str, file_name: str) -> Source:
    """Reject directives except `%YAML`; many are very slow to parse."""
    found = DIRECTIVE.search(text)
    if found is None:
        return Source(text, None)
    return refuse_source(
        file_name,
        text[: found.end() - 1],
        FindingCode.BROKEN_YAML,
        "directives are not supported",
        "remove the line that begins with %",
    )


def refuse_mark(file_name: str) -> Source:
    """Return the finding for a byte order mark."""
    return refuse_source(
        file_name,
        "",
        FindingCode.BYTE_ORDER_MARK,
        "the file begins with a byte order mark",
        "save the file as UTF-8 without a byte order mark",
    )


def refuse_source(
    file_name: str, before: str, code: FindingCode, message: str, hint: str
) -> Source:
    """Return a finding located just after the text `before`."""
    line = 1 + sum(before.count(mark) for mark in LINE_BREAKS)
    line -= before.count("\r\n")
    start = 1 + max(before.rfind(mark) for mark in LINE_BREAKS)
    column = len(before) - start + 1
    return Source("", Finding(file_name, line, column, code, message, hint))
