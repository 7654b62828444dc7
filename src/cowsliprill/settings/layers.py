"""Inheritance of settings: merges the layers from the root down to a node.

For each field, the layer closest to the node takes precedence. Nested objects
such as `retries` are merged field by field too.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any

import pydantic

from cowsliprill.settings import schema


@dataclasses.dataclass(frozen=True, slots=True)
class Layer:
    """The fields that one node of the settings tree sets.

    Attributes:
      path: The node's path, for example `users.umurongo.services.brief`.
      fields: The fields set at this node, with nested objects as dicts.
    """

    path: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class MergedFields:
    """The effective fields of a node.

    Attributes:
      fields: Effective value of each field, with nested objects as dicts.
      origins: Path of the node that sets each value, by field; a nested field
        is named `outer.inner`.
    """

    fields: dict[str, Any]
    origins: dict[str, str]


def make_layer(path: str, node: pydantic.BaseModel) -> Layer:
    """Returns the layer of a node, with only the fields that the node sets.

    Args:
      path: The node's path in the settings tree.
      node: The validated node.
    """
    return Layer(path, node.model_dump(exclude_unset=True, exclude_none=True))


def merge(layers: Iterable[Layer]) -> MergedFields:
    """Merges layers; later layers override earlier ones.

    Args:
      layers: The layers, from the root to the node.

    Returns:
      The effective fields and the origin of each.
    """
    fields: dict[str, Any] = {}
    origins: dict[str, str] = {}
    for layer in layers:
        for name, value in layer.fields.items():
            if isinstance(value, dict):
                fields[name] = {**fields.get(name, {}), **value}
                origins.update(
                    {f"{name}.{inner}": layer.path for inner in value}
                )
            else:
                fields[name] = value
                origins[name] = layer.path
    return MergedFields(fields, origins)


def service_layers(
    root: schema.RootPart,
    users: Iterable[tuple[str, schema.ChildCustomerNode]],
    name: str,
) -> list[Layer]:
    """Collects the layers that apply to a service.

    Args:
      root: The root part, with the defaults of all services.
      users: Path and node of the customer's ancestors and of the customer
        itself, top-level customer first.
      name: Name of the service.

    Returns:
      The layers, from the root to the customer.
    """
    layers = [make_layer("service_defaults", root.service_defaults)]
    for path, node in users:
        layers.append(
            make_layer(f"{path}.service_defaults", node.service_defaults)
        )
        if name in node.services:
            layers.append(
                make_layer(f"{path}.services.{name}", node.services[name])
            )
    return layers


def endpoint_layers(
    root: schema.RootPart,
    pool_name: str,
    pool: schema.PoolPart,
    name: str,
    node: schema.EndpointNode,
) -> list[Layer]:
    """Collects the layers that apply to an endpoint.

    Args:
      root: The root part, with the defaults of all endpoints.
      pool_name: Name of the endpoint's pool.
      pool: The pool's part, with the defaults of the pool's endpoints.
      name: Name of the endpoint.
      node: The endpoint's node.

    Returns:
      The layers, from the root to the endpoint.
    """
    path = f"pools.{pool_name}"
    return [
        make_layer("endpoint_defaults", root.endpoint_defaults),
        make_layer(f"{path}.endpoint_defaults", pool.endpoint_defaults),
        make_layer(f"{path}.endpoints.{name}", node),
    ]
