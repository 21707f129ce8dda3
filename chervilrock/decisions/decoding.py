"""The only decoder of what other programs write.

Bytes from outside can make msgspec and Python raise several exceptions. They
are listed here alone, and every caller handles `UnreadableError`.
"""

from typing import Any, Generic, TypeVar

import msgspec
from returns.result import Failure, Result, Success

_T = TypeVar("_T")

_CAUSES = (
    ValueError,  # also those of msgspec, of UTF-8 and of very long numbers
    RecursionError,  # values that are nested deeply, also in unread fields
    OverflowError,
)


class UnreadableError(Exception):
    """A text or value cannot be decoded; its message tells why."""


class Decoder(Generic[_T]):
    """Decodes JSON texts of one type.

    Attributes:
      kind: the type.
    """

    __slots__ = ("kind", "_decoder")

    def __init__(self, kind: type[_T]) -> None:
        """Create a decoder for the values of a type."""
        self.kind = kind
        self._decoder: msgspec.json.Decoder[_T] = msgspec.json.Decoder(kind)

    def decode(self, text: bytes | str | msgspec.Raw, /) -> _T:
        """Return the value of a JSON text.

        Raises:
          UnreadableError: the text is no JSON, or its value not of the type.
        """
        try:
            return self._decoder.decode(text)
        except _CAUSES as error:
            raise UnreadableError(_describe(error)) from error

    def read(self, text: bytes | str | msgspec.Raw, /) -> Result[_T, str]:
        """Return the value of a JSON text, or why it cannot be decoded."""
        try:
            return Success(self.decode(text))
        except UnreadableError as error:
            return Failure(str(error))


_PLAIN_DECODER: Decoder[Any] = Decoder(Any)


def decode_plain(text: bytes | str) -> Any:
    """Return a JSON text as plain lists, dictionaries, texts and numbers.

    Raises:
      UnreadableError: the text is no JSON.
    """
    return _PLAIN_DECODER.decode(text)


def convert(value: Any, kind: type[_T], *, str_keys: bool = False) -> _T:
    """Return a plain value as a value of a type.

    Args:
      value: what `decode_plain` returns.
      kind: type of the result.
      str_keys: whether keys of objects are texts, as in JSON.

    Raises:
      UnreadableError: the value is not one of the type.
    """
    try:
        return msgspec.convert(value, kind, str_keys=str_keys)
    except _CAUSES as error:
        raise UnreadableError(_describe(error)) from error


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
