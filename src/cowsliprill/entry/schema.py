"""Pydantic models that validate the bodies of callers' requests."""

import json
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

import pydantic

from cowsliprill.entry import errors

_Name = Annotated[str, pydantic.Field(min_length=1, max_length=200)]
_TokenCount = Annotated[int, pydantic.Field(ge=1)]
_TokenId = Annotated[int, pydantic.Field(ge=0)]

_Model = TypeVar("_Model", bound=pydantic.BaseModel)


class _Request(pydantic.BaseModel):
    # Unknown fields (temperature, stop, ...) are passed on to the engine.
    # Types are strict: "5" for 5 is the caller's mistake, and the engine would
    # refuse it only after the request has waited for a slot.
    model_config = pydantic.ConfigDict(extra="allow", strict=True)


class GenerationRequest(_Request):
    """Fields common to completion and chat requests.

    Attributes:
      model: Name of the service.
      stream: Whether tokens are streamed as they are generated.
      max_tokens: Limit of output tokens.
      max_completion_tokens: Newer name of `max_tokens`; wins if both are set.
      n: Number of completions; only 1 is supported.
    """

    model: _Name
    stream: bool = False
    max_tokens: _TokenCount | None = None
    max_completion_tokens: _TokenCount | None = None
    n: Literal[1] = 1

    @property
    def output_limit(self) -> int | None:
        """Limit of output tokens, None if the caller sets none."""
        return self.max_completion_tokens or self.max_tokens


class CompletionRequest(GenerationRequest):
    """Body of `POST /v1/completions`.

    Attributes:
      prompt: Text, or token ids.
    """

    prompt: str | list[_TokenId]


class ChatMessage(_Request):
    """One message of a conversation.

    Attributes:
      role: Role of the author, such as `user`.
      content: Text, or a list of content parts of which only text is counted.
    """

    role: _Name
    content: str | list[dict[str, Any]] | None = None


class ChatRequest(GenerationRequest):
    """Body of `POST /v1/chat/completions`.

    Attributes:
      messages: Messages of the conversation, oldest first.
    """

    messages: Annotated[list[ChatMessage], pydantic.Field(min_length=1)]


class TicketRequest(_Request):
    """Body of `POST /v1/tickets`.

    Attributes:
      service: Name of the service that the ticket is for.
    """

    service: _Name


def parse_json(body: bytes) -> dict[str, Any]:
    """Parses a request body as a JSON object.

    Args:
      body: The body.

    Returns:
      The fields of the object.

    Raises:
      errors.EntryError: The body isn't a JSON object.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise errors.EntryError(
            errors.Code.INVALID_JSON, "The body isn't valid JSON."
        ) from error
    if not isinstance(fields, dict):
        raise errors.EntryError(
            errors.Code.INVALID_JSON, "The body isn't a JSON object."
        )
    return fields


def validate(model_class: type[_Model], fields: dict[str, Any]) -> _Model:
    """Validates the fields of a request body.

    Args:
      model_class: Pydantic model of the request.
      fields: Fields of the body.

    Returns:
      The validated request.

    Raises:
      errors.EntryError: A field is missing or has a wrong type or value.
    """
    try:
        return model_class.model_validate(fields)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(part) for part in first["loc"])
        raise errors.EntryError(
            errors.Code.INVALID_REQUEST, f"{path or 'body'}: {first['msg']}"
        ) from error
