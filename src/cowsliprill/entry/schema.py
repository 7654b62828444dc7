"""Bodies of callers' requests, checked at the border by pydantic."""

import json
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

import pydantic

from cowsliprill.entry import errors

_Name = Annotated[str, pydantic.Field(min_length=1, max_length=200)]
_Tokens = Annotated[int, pydantic.Field(ge=1)]
_TokenId = Annotated[int, pydantic.Field(ge=0)]

_Model = TypeVar("_Model", bound=pydantic.BaseModel)


class _Request(pydantic.BaseModel):
    # Further fields (temperature, stop, ...) are the engine's business and
    # are passed on. Strict types: "5" for 5 is the caller's mistake, and the
    # engine would refuse it only after the request has waited for a slot.
    model_config = pydantic.ConfigDict(extra="allow", strict=True)


class GenerationRequest(_Request):
    """What both kinds of model requests share.

    Attributes:
      model: Name of the service.
      stream: Whether tokens are sent as they come.
      max_tokens: Limit of the answer.
      max_completion_tokens: The newer name of the same.
      n: Number of answers; only one is served.
    """

    model: _Name
    stream: bool = False
    max_tokens: _Tokens | None = None
    max_completion_tokens: _Tokens | None = None
    n: Literal[1] = 1

    @property
    def output_limit(self) -> int | None:
        """The limit of the answer, None if the caller names none."""
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
      role: Who says it.
      content: Text, or parts of which the texts count.
    """

    role: _Name
    content: str | list[dict[str, Any]] | None = None


class ChatRequest(GenerationRequest):
    """Body of `POST /v1/chat/completions`.

    Attributes:
      messages: The conversation.
    """

    messages: Annotated[list[ChatMessage], pydantic.Field(min_length=1)]


class TicketRequest(_Request):
    """Body of `POST /v1/tickets`.

    Attributes:
      service: Name of the service that the ticket is for.
    """

    service: _Name


def parse_json(body: bytes) -> dict[str, Any]:
    """Reads a body as a JSON object.

    Args:
      body: The body.

    Returns:
      The object's fields.

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


def validate(kind: type[_Model], fields: dict[str, Any]) -> _Model:
    """Checks the fields of a body.

    Args:
      kind: The request's model.
      fields: The fields.

    Returns:
      The request.

    Raises:
      errors.EntryError: A field is missing or has a wrong type or value.
    """
    try:
        return kind.model_validate(fields)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(part) for part in first["loc"])
        raise errors.EntryError(
            errors.Code.INVALID_REQUEST, f"{path or 'body'}: {first['msg']}"
        ) from error
