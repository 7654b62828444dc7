"""Values of a service or an endpoint with the nodes that they come from."""

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
_CHILD_DEPTH = 3


def lines(document: str, name: str) -> list[str]:
    """Shows a service or an endpoint.

    Args:
      document: JSON of the settings.
      name: Id of a service as a customer sees it, or of an endpoint.

    Returns:
      One line for each value.

    Raises:
      CliError: There is none of this name.
      SettingsError: The settings aren't valid.
    """
    snapshot = resolve.resolve(document)
    tree = resolve.read_tree(document)
    if name in snapshot.endpoints_by_id:
        endpoint = snapshot.endpoints_by_id[name]
        found = layers.endpoint_layers(
            tree.root,
            endpoint.pool,
            tree.pools[endpoint.pool],
            name,
            _endpoint_node(tree, name),
        )
        return _lines(endpoint, layers.merge(found), {"id", "pool"})
    service = find_service(snapshot, name)
    if service is None:
        raise errors.CliError(_unknown(snapshot, name), code="unknown_service")
    customer = service.customer
    found = layers.service_layers(
        tree.root, _nodes(tree, customer), service.name
    )
    shown = _lines(service, layers.merge(found), {"id", "customer", "name"})
    if service.id != name:
        shown.insert(0, f"{name} is {service.id}, inherited whole")
    return shown


def find_service(snapshot: model.Snapshot, name: str) -> model.Service | None:
    """Finds the service that a customer sees under a name.

    Args:
      snapshot: The settings.
      name: `USER/SERVICE` or `USER/CHILD/SERVICE`.

    Returns:
      The customer's own service, else its parent's, else None.
    """
    if name in snapshot.services_by_id:
        return snapshot.services_by_id[name]
    path = name.split("/")
    if len(path) != _CHILD_DEPTH or "/".join(path[:2]) not in (
        snapshot.customers_by_id
    ):
        return None
    return snapshot.services_by_id.get(f"{path[0]}/{path[2]}")


def _nodes(
    tree: tree_lib.Tree, customer_id: str
) -> list[tuple[str, schema.ChildCustomerNode]]:
    top, _, child = customer_id.partition("/")
    nodes: list[tuple[str, schema.ChildCustomerNode]] = [
        (f"users.{top}", tree.users[top])
    ]
    for part in tree.children.values():
        if part.parent == top and child in part.overriding:
            path = f"users.{top}.users.{child}"
            nodes.append((path, part.overriding[child]))
    return nodes


def _endpoint_node(tree: tree_lib.Tree, name: str) -> schema.EndpointNode:
    for part in tree.endpoints.values():
        nodes = part.nodes()
        if name in nodes:
            return nodes[name]
    raise KeyError(name)


def _lines(
    resolved: Any, merged: layers.MergedFields, derived: set[str]
) -> list[str]:
    rows = []
    for name, value in _values(resolved):
        origin = merged.origins.get(name, _BUILT_IN)
        rows.append((name, value, "" if name in derived else origin))
    widths = [max(len(row[column]) for row in rows) for column in (0, 1)]
    return [
        f"{name:<{widths[0]}}  {value:<{widths[1]}}  {origin}".rstrip()
        for name, value, origin in rows
    ]


def _values(resolved: Any) -> list[tuple[str, str]]:
    found = []
    for field in dataclasses.fields(resolved):
        value = getattr(resolved, field.name)
        if dataclasses.is_dataclass(value):
            inner = _values(value)
            found += [(f"{field.name}.{name}", text) for name, text in inner]
        elif isinstance(value, tuple):
            found.append((field.name, ", ".join(map(str, value)) or "-"))
        else:
            found.append((field.name, "-" if value == "" else str(value)))
    return found


def _unknown(snapshot: model.Snapshot, name: str) -> str:
    known = [*snapshot.services_by_id, *snapshot.endpoints_by_id]
    nearest = difflib.get_close_matches(name, known, n=1, cutoff=0.4)
    hint = f", did you mean {nearest[0]!r}?" if nearest else ""
    return f"no service or endpoint {name!r}{hint}"
