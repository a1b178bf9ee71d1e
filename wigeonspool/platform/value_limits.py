"""Limits on the values of the store, which any of its clients may write.

Size and nesting are checked before a value is decoded, because the decoder
recurses once per level.
"""

import re
import reprlib
from typing import Any, Final, TypeVar

import msgspec

from wigeonspool.model import addresses
from wigeonspool.model import errors
from wigeonspool.platform import duration_text

# Levels of arrays and objects; documents of the platform have up to seven.
MAX_DEPTH: Final = 64
# Limit of the store on the size of a key.
MAX_NAME_BYTES: Final = 200
# Longest quotation of an invalid value in an error message or a log line.
MAX_QUOTE_CHARS: Final = 60

_JSON_STRING: Final = re.compile(rb'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_OPENING: Final = frozenset(b"[{")
_NOT_BRACKETS: Final = bytes(set(range(256)) - set(b"[]{}"))
_T = TypeVar("_T")

_quotation: Final = reprlib.Repr()
_quotation.maxstring = _quotation.maxother = MAX_QUOTE_CHARS
_quotation.maxlong = MAX_QUOTE_CHARS


def quote(value: Any) -> str:
    """Returns a representation of a value that is short enough for a log."""
    if isinstance(value, bytes):
        value = value[:MAX_QUOTE_CHARS]
    return _quotation.repr(value)


def decode_json(
    decoder: msgspec.json.Decoder[_T],
    value: bytes,
    max_bytes: int,
    has_secrets: bool = False,
) -> _T:
    """Decodes a JSON document within the limits of size and nesting.

    Args:
        decoder: Decoder of the expected type.
        value: The document.
        max_bytes: Maximum size of the document.
        has_secrets: True if no part of the document may be in error messages.

    Raises:
        PlatformFormatError: If the document exceeds a limit, is not valid JSON
            or does not have the expected type.
    """
    _check_size(value, max_bytes)
    check_json_depth(value, has_secrets=has_secrets)
    return _decode(decoder, value, has_secrets)


def decode_msgpack(
    decoder: msgspec.msgpack.Decoder[_T], value: bytes, max_bytes: int
) -> _T:
    """Decodes a msgpack document within a limit of size.

    Args:
        decoder: Decoder of the expected type.
        value: The document.
        max_bytes: Maximum size of the document.

    Raises:
        PlatformFormatError: If the document is too large or too deeply nested,
            is not valid msgpack or does not have the expected type.
    """
    _check_size(value, max_bytes)
    return _decode(decoder, value)


def _check_size(value: bytes, max_bytes: int) -> None:
    """Checks the size of a document.

    Raises:
        PlatformFormatError: If the document is too large.
    """
    if len(value) > max_bytes:
        raise errors.PlatformFormatError(
            f"{len(value)} bytes exceed the limit of {max_bytes}"
        )


def _decode(
    decoder: msgspec.json.Decoder[_T] | msgspec.msgpack.Decoder[_T],
    value: bytes,
    has_secrets: bool = False,
) -> _T:
    """Decodes a document.

    Raises:
        PlatformFormatError: If the document is invalid or too deeply nested.
    """
    try:
        return decoder.decode(value)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise errors.PlatformFormatError(
            f"{error}, in {_describe(value, has_secrets)}"
        ) from error


def _describe(value: bytes, has_secrets: bool) -> str:
    """Returns the beginning of a document, or its size if it has secrets."""
    return f"{len(value)} bytes" if has_secrets else quote(value)


def check_json_depth(
    value: bytes, max_depth: int = MAX_DEPTH, has_secrets: bool = False
) -> None:
    """Checks the nesting of a JSON document, which need not be valid JSON.

    Args:
        value: The document.
        max_depth: Maximum number of levels.
        has_secrets: True if no part of the document may be in error messages.

    Raises:
        PlatformFormatError: If the document has too many levels.
    """
    if value.count(b"[") + value.count(b"{") <= max_depth:
        return
    brackets = _JSON_STRING.sub(b"", value).translate(None, _NOT_BRACKETS)
    depth = 0
    for bracket in brackets:
        depth += 1 if bracket in _OPENING else -1
        if depth > max_depth:
            raise errors.PlatformFormatError(
                f"more than {max_depth} levels,"
                f" in {_describe(value, has_secrets)}"
            )


def check_address(field: str, address: str) -> None:
    """Checks an address `host:port`.

    Raises:
        PlatformFormatError: If the host is not an IPv4 address or the port is
            out of range.
    """
    try:
        addresses.split_address(address)
    except errors.AddressInvalidError as error:
        raise errors.PlatformFormatError(f"{field}: {error}") from error


def check_name(field: str, name: str, empty_allowed: bool = False) -> None:
    """Checks a name: printable, and at most `MAX_NAME_BYTES` long.

    Raises:
        PlatformFormatError: If the name is too long or empty, or has control
            characters.
    """
    is_short = len(name.encode(errors="replace")) <= MAX_NAME_BYTES
    if not is_short or not name.isprintable() or not (name or empty_allowed):
        raise errors.PlatformFormatError(
            f"{field}: {quote(name)} is not a name"
        )


def check_identity(identity: str, field: str = "identity") -> None:
    """Checks an identity, which is also the value of a header field.

    Args:
        identity: The identity.
        field: Name of its field, for error messages.

    Raises:
        PlatformFormatError: If it is not a name of visible ASCII characters.
    """
    check_name(field, identity)
    if not identity.isascii() or " " in identity:
        raise errors.PlatformFormatError(
            f"{field}: {quote(identity)} is not visible ASCII"
        )


def check_range(
    field: str, number: float, minimum: float, maximum: float
) -> None:
    """Checks that a number lies between two bounds, inclusive.

    Raises:
        PlatformFormatError: If the number is out of range or not a number.
    """
    if not minimum <= number <= maximum:
        raise errors.PlatformFormatError(
            f"{field}: {quote(number)} is not from {minimum} to {maximum}"
        )


def parse_duration(field: str, text: str, max_seconds: float) -> float:
    """Parses a duration such as `1500ms`; returns seconds.

    Raises:
        PlatformFormatError: If the text is not a duration, or too long a one.
    """
    try:
        seconds = duration_text.parse_seconds(text)
    except errors.PlatformFormatError as error:
        raise errors.PlatformFormatError(f"{field}: {error}") from error
    check_range(field, seconds, 0.0, max_seconds)
    return seconds
