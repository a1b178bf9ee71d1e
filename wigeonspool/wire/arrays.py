"""Data classes as arrays of their fields, without the names.

Fields stand in the order of the class. Those at the end that have their
default value are left out, so a class may gain a field with a default at its
end while processes of both versions run.
"""

from collections.abc import Callable, Mapping
import dataclasses
import functools
import types
import typing
from typing import Any, Final

import pydantic_core

from wigeonspool.model import errors

Fields = tuple[tuple[str, Any], ...]
Reader = Callable[[Any], Any]
SCALAR_TYPES: Final = frozenset({str, int, float, bool, bytes, type(None)})


@functools.cache
def _list_fields(kind: Any) -> Fields | None:
    """Returns name and default of each field; None if it is no data class."""
    if not dataclasses.is_dataclass(kind):
        return None
    return tuple(
        (
            field.name,
            field.default
            if field.default_factory is dataclasses.MISSING
            else field.default_factory(),
        )
        for field in dataclasses.fields(kind)
    )


def encode_value(value: Any) -> Any:
    """Returns a value with arrays in place of all data classes."""
    kind: Any = type(value)
    if kind in SCALAR_TYPES:
        return value
    fields = _list_fields(kind)
    if fields is not None:
        return _encode_fields(value, fields)
    if isinstance(value, (tuple, list)):
        return [encode_value(part) for part in value]
    if isinstance(value, Mapping):
        return {key: encode_value(part) for key, part in value.items()}
    return value


def _encode_fields(value: Any, fields: Fields) -> list[Any]:
    """Returns the fields of a data class up to the last one that matters."""
    values = [getattr(value, name) for name, _ in fields]
    while values and values[-1] == fields[len(values) - 1][1]:
        values.pop()
    return [encode_value(part) for part in values]


@functools.cache
def _build_reader(kind: Any) -> Reader | None:
    """Returns what arranges a decoded value for the validator of its type.

    Args:
        kind: Type that the value should have.

    Returns:
        The reader, or None if values of the type hold no data class.
    """
    if isinstance(kind, type) and dataclasses.is_dataclass(kind):
        return build_class_reader(kind)
    parts = typing.get_args(kind)
    inner = next(filter(None, map(_build_reader, parts)), None)
    if inner is None:
        return None
    read: Reader = inner
    origin = typing.get_origin(kind)
    if origin in (types.UnionType, typing.Union):
        return lambda value: None if value is None else read(value)
    if origin is tuple:
        return lambda value: [read(part) for part in _check_array(value)]
    return lambda value: (
        {key: read(part) for key, part in value.items()}
        if isinstance(value, dict)
        else value
    )


def _check_array(value: Any) -> list[Any]:
    """Returns a value that must be an array.

    Raises:
        FrameEncodingError: If it is none.
    """
    if not isinstance(value, list):
        raise errors.FrameEncodingError("not an array")
    return value


def build_class_reader(kind: Any) -> Reader:
    """Returns what arranges an array for the validator of a data class.

    The reader raises FrameEncodingError if it is given no array, or one that
    is too long.

    Args:
        kind: The data class.
    """
    hints = typing.get_type_hints(kind)
    names = [field.name for field in dataclasses.fields(kind)]
    readers = [_build_reader(hints[name]) for name in names]
    is_flat = not any(readers)

    def read(value: Any) -> pydantic_core.ArgsKwargs:
        """Returns the fields as arguments of the data class."""
        if len(_check_array(value)) > len(readers):
            raise errors.FrameEncodingError(
                f"{kind.__name__}: more than {len(readers)} fields"
            )
        if is_flat:
            return pydantic_core.ArgsKwargs(tuple(value))
        return pydantic_core.ArgsKwargs(
            tuple(
                part if inner is None else inner(part)
                for inner, part in zip(readers, value, strict=False)
            )
        )

    return read
