"""Encodes and decodes data classes as JSON messages between processes.

pydantic validates incoming messages. A wrong type is an error; an unknown field
is ignored, since peers of two versions exchange messages during a rollout.
"""

import functools
import json
from typing import Any
from typing import TypeVar

import pydantic

from cowsliprill import errors

_T = TypeVar("_T")


class CodecError(errors.CowsliprillError):
    """Raised for a message that doesn't match the expected type."""

    code = "invalid_message"


@functools.cache
def _type_adapter(message_type: Any) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(message_type)


def encode(value: Any) -> bytes:
    """Encodes a data class, or a container of data classes, as JSON.

    Args:
      value: Value to encode.

    Returns:
      UTF-8 JSON.
    """
    return _type_adapter(type(value)).dump_json(value)


def encode_without_defaults(value: Any) -> bytes:
    """Encodes as JSON without the fields that have their default value.

    Used for frequent messages; the receiver fills in the defaults.

    Args:
      value: Value to encode.

    Returns:
      UTF-8 JSON.
    """
    return _type_adapter(type(value)).dump_json(value, exclude_defaults=True)


def load_json(text: bytes | str) -> Any:
    """Parses JSON of any content, for text that another program has written.

    Args:
      text: UTF-8 JSON.

    Returns:
      The JSON value, whose size and depth only the text bounds.

    Raises:
      ValueError: The text isn't JSON, or is too deeply nested to be parsed.
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("too deeply nested") from error


def decode(message_type: type[_T], text: bytes | str) -> _T:
    """Decodes JSON into a data class.

    Args:
      message_type: Data class, or a container type of data classes.
      text: UTF-8 JSON.

    Returns:
      The decoded value.

    Raises:
      CodecError: The text is not JSON or doesn't match the type.
    """
    try:
        return _type_adapter(message_type).validate_json(text)
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
        path = ".".join(str(part) for part in first_error["loc"])
        raise CodecError(
            f"{path or 'message'}: {first_error['msg']}"
        ) from error
