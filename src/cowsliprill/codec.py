"""JSON of data classes at the border between processes.

pydantic checks what comes in and builds the data class. A wrong type is an
error; an unknown field is passed over, since peers of two versions talk to
each other while a new one is rolled out.
"""

import functools
from typing import Any
from typing import TypeVar

import pydantic

from cowsliprill import errors

_T = TypeVar("_T")


class CodecError(errors.CowsliprillError):
    """Raised for JSON that is not of the expected type."""

    code = "invalid_message"


@functools.cache
def _adapter(kind: Any) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(kind)


def encode(value: Any) -> bytes:
    """Writes a data class, or a container of them, as JSON.

    Args:
      value: The value.

    Returns:
      UTF-8 JSON.
    """
    return _adapter(type(value)).dump_json(value)


def encode_short(value: Any) -> bytes:
    """Writes JSON as `encode`, without fields that have their default value.

    For messages that are sent often: the receiver fills the defaults in.

    Args:
      value: The value.

    Returns:
      UTF-8 JSON.
    """
    return _adapter(type(value)).dump_json(value, exclude_defaults=True)


def decode(kind: type[_T], text: bytes | str) -> _T:
    """Reads JSON as a data class.

    Args:
      kind: The data class, or a type made of them.
      text: UTF-8 JSON.

    Returns:
      The value.

    Raises:
      CodecError: The text isn't JSON or doesn't fit the type.
    """
    try:
        return _adapter(kind).validate_json(text)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"])
        raise CodecError(f"{path or 'message'}: {first['msg']}") from error
