"""Inheritance: layers of one value, from the root to the node itself.

The nearest node wins, field by field; objects such as `retries` are merged
field by field as well.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any

import pydantic

from cowsliprill.settings import schema


@dataclasses.dataclass(frozen=True, slots=True)
class Layer:
    """What one node of the tree states.

    Attributes:
      path: The node's path, for example `users.umurongo.services.brief`.
      fields: The stated fields, nested objects as dicts.
    """

    path: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Merged:
    """The result of a merge.

    Attributes:
      fields: Values by field, nested objects as dicts.
      origins: Path of the node that each value comes from, by field; a
        nested field is named `outer.inner`.
    """

    fields: dict[str, Any]
    origins: dict[str, str]


def layer(path: str, node: pydantic.BaseModel) -> Layer:
    """Makes the layer of a node.

    Args:
      path: The node's path.
      node: The node.

    Returns:
      A layer with the fields that the node states.
    """
    return Layer(path, node.model_dump(exclude_unset=True, exclude_none=True))


def merge(layers: Iterable[Layer]) -> Merged:
    """Merges layers, the farthest (the root) first.

    Args:
      layers: The layers.

    Returns:
      The merged fields and where each comes from.
    """
    fields: dict[str, Any] = {}
    origins: dict[str, str] = {}
    for each in layers:
        for name, value in each.fields.items():
            if isinstance(value, dict):
                fields[name] = {**fields.get(name, {}), **value}
                origins.update(
                    {f"{name}.{inner}": each.path for inner in value}
                )
            else:
                fields[name] = value
                origins[name] = each.path
    return Merged(fields, origins)


def service_layers(
    root: schema.RootPart,
    users: Iterable[tuple[str, schema.ChildCustomerNode]],
    name: str,
) -> list[Layer]:
    """Collects the layers of a service.

    Args:
      root: The root's defaults.
      users: Paths and nodes of the customer and its parents, the top one first.
      name: Name of the service.

    Returns:
      The layers, the root's first.
    """
    found = [layer("service_defaults", root.service_defaults)]
    for path, node in users:
        found.append(layer(f"{path}.service_defaults", node.service_defaults))
        if name in node.services:
            found.append(layer(f"{path}.services.{name}", node.services[name]))
    return found


def endpoint_layers(
    root: schema.RootPart,
    pool_name: str,
    pool: schema.PoolPart,
    name: str,
    node: schema.EndpointNode,
) -> list[Layer]:
    """Collects the layers of an endpoint.

    Args:
      root: The root's defaults.
      pool_name: Name of the pool.
      pool: The pool's own part.
      name: Name of the endpoint.
      node: The endpoint's own node.

    Returns:
      The layers, the root's first.
    """
    path = f"pools.{pool_name}"
    return [
        layer("endpoint_defaults", root.endpoint_defaults),
        layer(f"{path}.endpoint_defaults", pool.endpoint_defaults),
        layer(f"{path}.endpoints.{name}", node),
    ]
