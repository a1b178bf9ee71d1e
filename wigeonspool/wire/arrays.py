"""Encoding of data classes as arrays of field values without names.

Values are in the order of the fields of the class. Trailing fields with their
default value are omitted. Thus a field with a default can be added at the end
of a class while processes of both versions run.
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
def _list_fields(value_type: Any) -> Fields | None:
    """Returns name and default of each field, or None for other types."""
    if not dataclasses.is_dataclass(value_type):
        return None
    return tuple(
        (
            field.name,
            field.default
            if field.default_factory is dataclasses.MISSING
            else field.default_factory(),
        )
        for field in dataclasses.fields(value_type)
    )


def encode_value(value: Any) -> Any:
    """Returns a value in which each data class is replaced by an array."""
    value_type: Any = type(value)
    if value_type in SCALAR_TYPES:
        return value
    fields = _list_fields(value_type)
    if fields is not None:
        return _encode_fields(value, fields)
    if isinstance(value, (tuple, list)):
        return [encode_value(item) for item in value]
    if isinstance(value, Mapping):
        return {key: encode_value(item) for key, item in value.items()}
    return value


def _encode_fields(value: Any, fields: Fields) -> list[Any]:
    """Returns the values of a data class without trailing defaults."""
    values = [getattr(value, name) for name, _ in fields]
    while values and values[-1] == fields[len(values) - 1][1]:
        values.pop()
    return [encode_value(item) for item in values]


@functools.cache
def _build_reader(value_type: Any) -> Reader | None:
    """Returns a function that prepares decoded values for validation.

    Args:
        value_type: Expected type of the values.

    Returns:
        The reader, or None if values of the type contain no data class.
    """
    if isinstance(value_type, type) and dataclasses.is_dataclass(value_type):
        return build_class_reader(value_type)
    arguments = typing.get_args(value_type)
    inner = next(filter(None, map(_build_reader, arguments)), None)
    if inner is None:
        return None
    read: Reader = inner
    origin = typing.get_origin(value_type)
    if origin in (types.UnionType, typing.Union):
        # A union in the fields of messages is a data class or None.
        return lambda value: None if value is None else read(value)
    if origin is tuple:
        return lambda value: [read(item) for item in _check_array(value)]
    return lambda value: (
        {key: read(item) for key, item in value.items()}
        if isinstance(value, dict)
        else value
    )


def _check_array(value: Any) -> list[Any]:
    """Returns a value unchanged if it is an array.

    Raises:
        FrameEncodingError: If the value is not an array.
    """
    if not isinstance(value, list):
        raise errors.FrameEncodingError("not an array")
    return value


def build_class_reader(data_class: Any) -> Reader:
    """Returns a function that prepares arrays for validation as a data class.

    The function raises FrameEncodingError if its argument is not an array or
    has more items than the class has fields.

    Args:
        data_class: The data class.
    """
    hints = typing.get_type_hints(data_class)
    names = [field.name for field in dataclasses.fields(data_class)]
    readers = [_build_reader(hints[name]) for name in names]
    is_flat = not any(readers)

    def read(value: Any) -> pydantic_core.ArgsKwargs:
        """Returns the items of an array as arguments of the data class."""
        if len(_check_array(value)) > len(readers):
            raise errors.FrameEncodingError(
                f"{data_class.__name__}: more than {len(readers)} fields"
            )
        if is_flat:
            return pydantic_core.ArgsKwargs(tuple(value))
        return pydantic_core.ArgsKwargs(
            tuple(
                item if inner is None else inner(item)
                for inner, item in zip(readers, value, strict=False)
            )
        )

    return read
