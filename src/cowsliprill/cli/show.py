"""Formats the settings of a service or an endpoint with their origins."""

import dataclasses
import difflib
from typing import Any

from cowsliprill.cli import errors
from cowsliprill.decisions import model
from cowsliprill.settings import layers
from cowsliprill.settings import resolve
from cowsliprill.settings import schema
from cowsliprill.settings import tree as tree_lib

_BUILT_IN = "built-in default"
_CHILD_SERVICE_SEGMENTS = 3


def format_values(document: str, name: str) -> list[str]:
    """Formats the settings of a service or an endpoint.

    Args:
      document: Settings document as JSON.
      name: ID of an endpoint, or of a service as a customer refers to it.

    Returns:
      One line for each value with the settings node that it is inherited from.

    Raises:
      CliError: There is no service or endpoint of this name.
      SettingsError: The settings are invalid.
    """
    snapshot = resolve.resolve(document)
    tree = resolve.read_tree(document)
    if name in snapshot.endpoints_by_id:
        endpoint = snapshot.endpoints_by_id[name]
        setting_layers = layers.endpoint_layers(
            tree.root,
            endpoint.pool,
            tree.pools[endpoint.pool],
            name,
            _endpoint_node(tree, name),
        )
        return _format_values(
            endpoint, layers.merge(setting_layers), {"id", "pool"}
        )
    service = find_service(snapshot, name)
    if service is None:
        raise errors.CliError(
            _unknown_name_message(snapshot, name), code="unknown_service"
        )
    customer = service.customer
    setting_layers = layers.service_layers(
        tree.root, _customer_nodes(tree, customer), service.name
    )
    rows = _format_values(
        service, layers.merge(setting_layers), {"id", "customer", "name"}
    )
    if service.id != name:
        rows.insert(0, f"{name} is {service.id}, inherited whole")
    return rows


def find_service(snapshot: model.Snapshot, name: str) -> model.Service | None:
    """Finds the service that a name refers to.

    Args:
      snapshot: Resolved settings.
      name: `USER/SERVICE` or `USER/CHILD/SERVICE`.

    Returns:
      The customer's own service, else that of the parent customer, else None.
    """
    if name in snapshot.services_by_id:
        return snapshot.services_by_id[name]
    segments = name.split("/")
    if len(segments) != _CHILD_SERVICE_SEGMENTS or "/".join(
        segments[:2]
    ) not in (snapshot.customers_by_id):
        return None
    return snapshot.services_by_id.get(f"{segments[0]}/{segments[2]}")


def _customer_nodes(
    tree: tree_lib.Tree, customer_id: str
) -> list[tuple[str, schema.ChildCustomerNode]]:
    top_customer, _, child = customer_id.partition("/")
    nodes: list[tuple[str, schema.ChildCustomerNode]] = [
        (f"users.{top_customer}", tree.users[top_customer])
    ]
    for part in tree.children.values():
        if part.parent == top_customer and child in part.overriding:
            path = f"users.{top_customer}.users.{child}"
            nodes.append((path, part.overriding[child]))
    return nodes


def _endpoint_node(tree: tree_lib.Tree, name: str) -> schema.EndpointNode:
    for part in tree.endpoints.values():
        nodes = part.nodes()
        if name in nodes:
            return nodes[name]
    raise KeyError(name)


def _format_values(
    resolved: Any, merged: layers.MergedFields, derived: set[str]
) -> list[str]:
    rows = []
    for name, value in _flatten(resolved):
        origin = merged.origins.get(name, _BUILT_IN)
        rows.append((name, value, "" if name in derived else origin))
    widths = [max(len(row[column]) for row in rows) for column in (0, 1)]
    return [
        f"{name:<{widths[0]}}  {value:<{widths[1]}}  {origin}".rstrip()
        for name, value, origin in rows
    ]


def _flatten(resolved: Any) -> list[tuple[str, str]]:
    rows = []
    for field in dataclasses.fields(resolved):
        value = getattr(resolved, field.name)
        if dataclasses.is_dataclass(value):
            nested = _flatten(value)
            rows += [(f"{field.name}.{name}", text) for name, text in nested]
        elif isinstance(value, tuple):
            rows.append((field.name, ", ".join(map(str, value)) or "-"))
        else:
            rows.append((field.name, "-" if value == "" else str(value)))
    return rows


def _unknown_name_message(snapshot: model.Snapshot, name: str) -> str:
    known_names = [*snapshot.services_by_id, *snapshot.endpoints_by_id]
    closest_matches = difflib.get_close_matches(
        name, known_names, n=1, cutoff=0.4
    )
    hint = f", did you mean {closest_matches[0]!r}?" if closest_matches else ""
    return f"no service or endpoint {name!r}{hint}"
