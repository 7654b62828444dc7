"""What the settings' JSON may contain, checked by pydantic.

A node of the tree states only what differs from its parent, so nearly every
field may be left out. Which fields were stated is kept by pydantic
(`model_fields_set`); `layers` merges them.
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


def _checked_ip_number(text: str) -> str:
    ipaddress.ip_address(text)
    return text


_NEAREST_CUTOFF = 0.5
_NAME = re.compile(r"[a-z0-9][a-z0-9-]*")

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]*$")]
KeyHash = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
_Positive = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]
_NotNegative = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
_Count = Annotated[int, pydantic.Field(ge=1, le=2**31, strict=True)]
_Priority = Annotated[int, pydantic.Field(ge=-100, le=100, strict=True)]
_Method = Annotated[str, pydantic.Field(pattern=r"^[A-Z]{1,20}$")]
_IpNumber = Annotated[str, pydantic.AfterValidator(_checked_ip_number)]
_Port = Annotated[int, pydantic.Field(ge=1, le=65535, strict=True)]

_Node = TypeVar("_Node", bound="Node")


class Node(pydantic.BaseModel):
    """A JSON object that refuses unknown names and hints at the right one."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    @pydantic.model_validator(mode="before")
    @classmethod
    def _refuse_unknown_names(cls, value: Any) -> Any:
        if not isinstance(value, dict):
            return value
        for name, stated in value.items():
            if name not in cls.model_fields:
                raise pydantic_core.PydanticCustomError(
                    "unknown_name", "{problem}", {"problem": cls._hint(name)}
                )
            if stated is None:
                # Would pass for "not stated", and what the parent says would
                # hold where the operator meant to switch something off.
                raise pydantic_core.PydanticCustomError(
                    "null_value",
                    "{name} is null; leave it out to inherit it",
                    {"name": repr(name)},
                )
        return value

    @classmethod
    def _hint(cls, name: str) -> str:
        nearest = difflib.get_close_matches(
            name, cls.model_fields, n=1, cutoff=_NEAREST_CUTOFF
        )
        if nearest:
            return f"unknown name {name!r}, did you mean {nearest[0]!r}?"
        known = ", ".join(sorted(cls.model_fields))
        return f"unknown name {name!r}, known here: {known}"


class RetryNode(Node):
    """Budget of retries; see `model.RetryPolicy`."""

    ratio: _NotNegative | None = None
    burst: Annotated[int, pydantic.Field(ge=0, le=10_000)] | None = None
    attempts: Annotated[int, pydantic.Field(ge=1, le=10)] | None = None


class ServiceNode(Node):
    """What a node says about a service; see `model.Service`."""

    kind: model_lib.ServiceKind | None = None
    pool: Name | None = None
    model: str | None = None
    ttft_target_s: _Positive | None = None
    tpot_target_s: _Positive | None = None
    priority: _Priority | None = None
    idempotency: model_lib.Idempotency | None = None
    retries: RetryNode | None = None
    may_wait_s: _NotNegative | None = None
    timeout_s: _Positive | None = None
    resume: bool | None = None
    max_prompt_tokens: _Count | None = None
    max_output_tokens: _Count | None = None
    max_body_bytes: _Count | None = None
    goodput_weight: _NotNegative | None = None
    wasted_prefill_weight: _NotNegative | None = None
    methods: Annotated[
        tuple[_Method, ...] | None, pydantic.Field(min_length=1)
    ] = None
    echoes_request_id: bool | None = None


class TargetNode(Node):
    """What an engine should be; see `model.EngineTarget`."""

    role: model_lib.EndpointKind | None = None
    model: str | None = None
    adapter: str | None = None
    version: str | None = None


class EndpointNode(Node):
    """What a node says about an endpoint; see `model.Endpoint`."""

    kind: model_lib.EndpointKind | None = None
    host: _IpNumber | None = None
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
    """A customer at the top, with its child users."""

    users: dict[Name, ChildCustomerNode] = {}


class PoolNode(Node):
    """Endpoints that services refer to by one name."""

    endpoint_defaults: EndpointNode = EndpointNode()
    endpoints: dict[Name, EndpointNode] = {}


class RootPart(Node):
    """Part `root`: defaults of the whole tree."""

    service_defaults: ServiceNode = ServiceNode()
    endpoint_defaults: EndpointNode = EndpointNode()


_Buckets = Annotated[int, pydantic.Field(ge=0, le=65_536)]


class CustomerPart(ChildCustomerNode):
    """Part `customer/NAME`: a customer without its child users.

    Attributes:
      buckets: Number of `children/NAME/BUCKET` parts.
    """

    buckets: _Buckets = 0


class PoolPart(Node):
    """Part `pool/NAME`: a pool without its endpoints.

    Attributes:
      buckets: Number of `endpoints/NAME/BUCKET` parts.
    """

    endpoint_defaults: EndpointNode = EndpointNode()
    buckets: _Buckets = 0


class Document(RootPart):
    """The whole tree in one file, as operators write it."""

    revision: Annotated[int, pydantic.Field(ge=1, le=MAX_REVISION, strict=True)]
    published_by: Annotated[str, pydantic.Field(min_length=1, max_length=100)]
    published_at: Annotated[str, pydantic.Field(max_length=40)] = ""
    users: dict[Name, CustomerNode] = {}
    pools: dict[Name, PoolNode] = {}


def is_name(text: str) -> bool:
    """Returns whether a text may name a customer, service, pool or endpoint."""
    return bool(_NAME.fullmatch(text))


def parse(kind: type[_Node], text: str | bytes, where: str = "") -> _Node:
    """Reads JSON as a node.

    Args:
      kind: The node's class.
      text: The JSON text.
      where: Path of the node in the tree, for the message.

    Returns:
      The node.

    Raises:
      SettingsError: The text isn't JSON or doesn't fit.
    """
    try:
        value = json.loads(text, object_pairs_hook=_object_without_repeats)
    except (ValueError, RecursionError) as error:
        place = where or "settings"
        raise errors.SettingsError(
            f"{place}: not JSON: {error}", code="settings_not_json"
        ) from error
    return check(kind, value, where)


def check(kind: type[_Node], value: Any, where: str = "") -> _Node:
    """Checks a value already read from JSON; otherwise as `parse`."""
    try:
        return kind.model_validate(value)
    except pydantic.ValidationError as error:
        raise _settings_error(error, where) from error


def _object_without_repeats(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # Of a name that stands twice, json silently keeps the last. An operator
    # would see one value in the file and another in force.
    found = dict(pairs)
    if len(found) != len(pairs):
        names = [name for name, _ in pairs]
        twice = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"{twice[0]!r} stands twice in one object")
    return found


def _settings_error(
    error: pydantic.ValidationError, where: str
) -> errors.SettingsError:
    first = error.errors()[0]
    path = [where] if where else []
    path += [str(part) for part in first["loc"]]
    message = f"{'.'.join(path) or 'settings'}: {first['msg']}"
    unknown = first["type"] == "unknown_name"
    code = "unknown_name" if unknown else "settings_invalid"
    return errors.SettingsError(message, code=code)
