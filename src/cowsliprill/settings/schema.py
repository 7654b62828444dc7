"""Pydantic models of the settings' JSON.

A node of the settings tree sets only the fields that differ from its parent,
so nearly every field is optional. Pydantic records which fields a node sets
(`model_fields_set`), and `layers` merges them with the inherited ones.
"""

import difflib
import ipaddress
import json
import re
from typing import Annotated
from typing import Any
from typing import TypeVar

import pydantic
import pydantic_core

from cowsliprill.decisions import model as model_lib
from cowsliprill.settings import errors

MAX_REVISION = 2**53


def _validate_ip_address(text: str) -> str:
    ipaddress.ip_address(text)
    return text


_MIN_NAME_SIMILARITY = 0.5
_NAME = re.compile(r"[a-z0-9][a-z0-9-]*")

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]*$")]
KeyHash = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
_Positive = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]
_NonNegative = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
_Count = Annotated[int, pydantic.Field(ge=1, le=2**31, strict=True)]
_Priority = Annotated[int, pydantic.Field(ge=-100, le=100, strict=True)]
_Method = Annotated[str, pydantic.Field(pattern=r"^[A-Z]{1,20}$")]
_IpAddress = Annotated[str, pydantic.AfterValidator(_validate_ip_address)]
_Port = Annotated[int, pydantic.Field(ge=1, le=65535, strict=True)]

_NodeT = TypeVar("_NodeT", bound="Node")


class Node(pydantic.BaseModel):
    """Base of JSON objects; rejects unknown names and suggests similar ones."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    @pydantic.model_validator(mode="before")
    @classmethod
    def _reject_unknown_names(cls, value: Any) -> Any:
        if not isinstance(value, dict):
            return value
        for name, field_value in value.items():
            if name not in cls.model_fields:
                raise pydantic_core.PydanticCustomError(
                    "unknown_name",
                    "{problem}",
                    {"problem": cls._unknown_name_message(name)},
                )
            if field_value is None:
                # Null would count as "not set" and inherit the parent's value
                # where the operator meant to disable something.
                raise pydantic_core.PydanticCustomError(
                    "null_value",
                    "{name} is null; leave it out to inherit it",
                    {"name": repr(name)},
                )
        return value

    @classmethod
    def _unknown_name_message(cls, name: str) -> str:
        nearest = difflib.get_close_matches(
            name, cls.model_fields, n=1, cutoff=_MIN_NAME_SIMILARITY
        )
        if nearest:
            return f"unknown name {name!r}, did you mean {nearest[0]!r}?"
        known_names = ", ".join(sorted(cls.model_fields))
        return f"unknown name {name!r}, known here: {known_names}"


class RetryNode(Node):
    """Retry budget of a service; see `model.RetryPolicy`."""

    ratio: _NonNegative | None = None
    burst: Annotated[int, pydantic.Field(ge=0, le=10_000)] | None = None
    attempts: Annotated[int, pydantic.Field(ge=1, le=10)] | None = None


class ServiceNode(Node):
    """Fields of a service that a node sets; see `model.Service`."""

    kind: model_lib.ServiceKind | None = None
    pool: Name | None = None
    model: str | None = None
    ttft_target_s: _Positive | None = None
    tpot_target_s: _Positive | None = None
    priority: _Priority | None = None
    idempotency: model_lib.Idempotency | None = None
    retries: RetryNode | None = None
    may_wait_s: _NonNegative | None = None
    timeout_s: _Positive | None = None
    resume: bool | None = None
    max_prompt_tokens: _Count | None = None
    max_output_tokens: _Count | None = None
    max_body_bytes: _Count | None = None
    goodput_weight: _NonNegative | None = None
    wasted_prefill_weight: _NonNegative | None = None
    methods: Annotated[
        tuple[_Method, ...] | None, pydantic.Field(min_length=1)
    ] = None
    echoes_request_id: bool | None = None


class TargetNode(Node):
    """Target role and model of an engine; see `model.EngineTarget`."""

    role: model_lib.EndpointKind | None = None
    model: str | None = None
    adapter: str | None = None
    version: str | None = None


class EndpointNode(Node):
    """Fields of an endpoint that a node sets; see `model.Endpoint`."""

    kind: model_lib.EndpointKind | None = None
    host: _IpAddress | None = None
    port: _Port | None = None
    availability_zone: str | None = None
    slots: _Count | None = None
    prefill_tokens_per_s: _Positive | None = None
    seconds_per_token: _Positive | None = None
    link_bytes_per_s: _Positive | None = None
    kv_bytes_per_token: _Count | None = None
    export_ttl_s: _Positive | None = None
    checks_fencing: bool | None = None
    checks_idempotency_keys: bool | None = None
    target: TargetNode | None = None
    vm: str | None = None


class ChildCustomerNode(Node):
    """A child customer, for example a firm of a consortium."""

    key_hashes: tuple[KeyHash, ...] = ()
    share: _Positive = 1.0
    service_defaults: ServiceNode = ServiceNode()
    services: dict[Name, ServiceNode] = {}


class CustomerNode(ChildCustomerNode):
    """A top-level customer with its child customers."""

    users: dict[Name, ChildCustomerNode] = {}


class PoolNode(Node):
    """A named group of endpoints that services refer to."""

    endpoint_defaults: EndpointNode = EndpointNode()
    endpoints: dict[Name, EndpointNode] = {}


class RootPart(Node):
    """Part `root`: defaults for all services and endpoints."""

    service_defaults: ServiceNode = ServiceNode()
    endpoint_defaults: EndpointNode = EndpointNode()


_BucketCount = Annotated[int, pydantic.Field(ge=0, le=65_536)]


class CustomerPart(ChildCustomerNode):
    """Part `user/NAME`: a top-level customer without its child customers.

    Attributes:
      buckets: Number of `children/NAME/BUCKET` parts.
    """

    buckets: _BucketCount = 0


class PoolPart(Node):
    """Part `pool/NAME`: a pool without its endpoints.

    Attributes:
      buckets: Number of `endpoints/NAME/BUCKET` parts.
    """

    endpoint_defaults: EndpointNode = EndpointNode()
    buckets: _BucketCount = 0


class Document(RootPart):
    """The whole settings tree in one file, as operators write it."""

    revision: Annotated[int, pydantic.Field(ge=1, le=MAX_REVISION, strict=True)]
    published_by: Annotated[str, pydantic.Field(min_length=1, max_length=100)]
    published_at: Annotated[str, pydantic.Field(max_length=40)] = ""
    users: dict[Name, CustomerNode] = {}
    pools: dict[Name, PoolNode] = {}


def is_valid_name(text: str) -> bool:
    """Returns whether a text may name a customer, service, pool or endpoint."""
    return bool(_NAME.fullmatch(text))


def parse(
    node_type: type[_NodeT], text: str | bytes, node_path: str = ""
) -> _NodeT:
    """Parses and validates JSON as a node.

    Args:
      node_type: Class of the node.
      text: JSON text of the node.
      node_path: Path of the node in the settings tree, for error messages.

    Returns:
      The validated node.

    Raises:
      SettingsError: The text isn't JSON or doesn't match the node's schema.
    """
    try:
        value = json.loads(text, object_pairs_hook=_object_without_duplicates)
    except (ValueError, RecursionError) as error:
        location = node_path or "settings"
        raise errors.SettingsError(
            f"{location}: not JSON: {error}", code="settings_not_json"
        ) from error
    return validate_node(node_type, value, node_path)


def validate_node(
    node_type: type[_NodeT], value: Any, node_path: str = ""
) -> _NodeT:
    """Validates a value decoded from JSON as a node; see `parse`."""
    try:
        return node_type.model_validate(value)
    except pydantic.ValidationError as error:
        raise _settings_error(error, node_path) from error


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # For a duplicate name, the json module silently keeps the last value. An
    # operator could see one value in the file while another is active.
    members = dict(pairs)
    if len(members) != len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"{duplicates[0]!r} stands twice in one object")
    return members


def _settings_error(
    error: pydantic.ValidationError, node_path: str
) -> errors.SettingsError:
    first = error.errors()[0]
    path = [node_path] if node_path else []
    path += [str(part) for part in first["loc"]]
    message = f"{'.'.join(path) or 'settings'}: {first['msg']}"
    unknown = first["type"] == "unknown_name"
    code = "unknown_name" if unknown else "settings_invalid"
    return errors.SettingsError(message, code=code)
