"""From the settings' text to the `model.Snapshot` that processes use.

A pure function of the text, so that all processes accept or all refuse a
revision. `Resolver` remembers what it made of each part, so that a change
costs what it touches and not the whole tree.
"""

import dataclasses
import json
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from cowsliprill.decisions import model
from cowsliprill.settings import customers
from cowsliprill.settings import errors
from cowsliprill.settings import layers
from cowsliprill.settings import parts
from cowsliprill.settings import schema

_ENDPOINT_REQUIRED = ("kind", "host", "port", "availability_zone", "slots")
_SERVICE_REQUIRED = ("kind", "pool")

# Without these the time of a prefill, a transfer or a token can't be worked
# out, and no request could be placed within its targets.
_ENGINE_REQUIRED = ("link_bytes_per_s", "kv_bytes_per_token")
_SPEED_REQUIRED = {
    model.EndpointKind.PREFILL: ("prefill_tokens_per_s", *_ENGINE_REQUIRED),
    model.EndpointKind.DECODE: ("seconds_per_token", *_ENGINE_REQUIRED),
    model.EndpointKind.PLAIN: (),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Tree:
    """The checked parts of one revision.

    Attributes:
      root: Defaults of the whole tree.
      users: Users at the top by name.
      children: Parts of child users by part name.
      pools: Pools by name.
    """

    root: schema.RootPart
    users: dict[str, schema.UserPart]
    children: dict[str, customers.ChildrenPart]
    pools: dict[str, schema.PoolNode]


def resolve(document: str) -> model.Snapshot:
    """Resolves a whole document.

    Args:
      document: JSON of `schema.Document`.

    Returns:
      The snapshot.

    Raises:
      SettingsError: The document isn't valid.
    """
    revision = schema.parse(schema.Document, document).revision
    return Resolver().resolve(revision, parts.split(document))


def read_tree(document: str) -> Tree:
    """Reads a whole document as a tree, for tools that show it.

    Args:
      document: JSON of `schema.Document`.

    Returns:
      The tree.

    Raises:
      SettingsError: The document isn't valid.
    """
    return Resolver().read(parts.split(document))


class Resolver:
    """Resolves revisions, one after the other."""

    def __init__(self) -> None:
        self._read_by_part: dict[str, tuple[Any, Any]] = {}

    def resolve(
        self, revision: int, texts_by_part: Mapping[str, str]
    ) -> model.Snapshot:
        """Resolves one revision.

        Args:
          revision: Its number.
          texts_by_part: Text of every part by the part's name.

        Returns:
          The snapshot.

        Raises:
          SettingsError: The settings aren't valid.
        """
        tree = self.read(texts_by_part)
        users = customers.UsersById(tree.users, tree.children)
        snapshot = model.Snapshot(
            revision=revision,
            users_by_id=users,
            users_by_key_hash=customers.UsersByKeyHash(
                tree.users, tree.children, users
            ),
            services_by_id=dict(_services(tree)),
            endpoints_by_id=dict(_endpoints(tree)),
        )
        _check_pools(snapshot, tree)
        return snapshot

    def read(self, texts_by_part: Mapping[str, str]) -> Tree:
        """Reads all parts; otherwise as `resolve`."""
        tree = Tree(schema.RootPart(), {}, {}, {})
        # Users come before their child users: these need the bucket count.
        for name in sorted(texts_by_part, key=_reading_order):
            self._read_part(tree, name, texts_by_part[name])
        for name in self._read_by_part.keys() - texts_by_part.keys():
            del self._read_by_part[name]
        return dataclasses.replace(tree, root=self._root(texts_by_part))

    def _root(self, texts_by_part: Mapping[str, str]) -> schema.RootPart:
        if "root" not in texts_by_part:
            raise errors.SettingsError("part 'root' is missing")
        return schema.parse(schema.RootPart, texts_by_part["root"])

    def _read_part(self, tree: Tree, part: str, text: str) -> None:
        match part.split("/"):
            case ["root"]:
                pass
            case ["user", name] if schema.is_name(name):
                tree.users[name] = self._remember(
                    part, text, f"users.{name}", schema.UserPart
                )
            case ["pool", name] if schema.is_name(name):
                tree.pools[name] = self._remember(
                    part, text, f"pools.{name}", schema.PoolNode
                )
            case ["children", name, bucket] if bucket.isdecimal():
                buckets = _buckets(tree, part, name, int(bucket))
                tree.children[part] = self._children(part, text, buckets)
            case _:
                raise errors.SettingsError(f"unknown part {part!r}")

    def _remember(self, part: str, text: str, where: str, kind: Any) -> Any:
        key = parts.hash_of(text)
        remembered = self._read_by_part.get(part)
        if remembered is None or remembered[0] != key:
            remembered = (key, schema.parse(kind, text, where))
            self._read_by_part[part] = remembered
        return remembered[1]

    def _children(
        self, part: str, text: str, buckets: int
    ) -> customers.ChildrenPart:
        key = (parts.hash_of(text), buckets)
        remembered = self._read_by_part.get(part)
        if remembered is None or remembered[0] != key:
            found = customers.read_children(part, text, buckets)
            remembered = (key, found)
            self._read_by_part[part] = remembered
        return remembered[1]


def _reading_order(part: str) -> tuple[bool, str]:
    return (part.startswith("children/"), part)


def _buckets(tree: Tree, part: str, parent: str, bucket: int) -> int:
    user = tree.users.get(parent)
    if user is None or bucket >= user.buckets:
        raise errors.SettingsError(f"part {part!r} belongs to no user")
    return user.buckets


def _services(tree: Tree) -> Iterator[tuple[str, model.Service]]:
    for name, user in tree.users.items():
        path = f"users.{name}"
        for service in user.services:
            yield _service(tree, name, [(path, user)], service)
    for part in tree.children.values():
        yield from _child_services(tree, part)


def _child_services(
    tree: Tree, part: customers.ChildrenPart
) -> Iterator[tuple[str, model.Service]]:
    parent = tree.users[part.parent]
    path = f"users.{part.parent}"
    for child, node in part.overriding.items():
        names = set(node.services)
        if node.service_defaults.model_fields_set:
            # What a child user states for all services holds for those that
            # it inherits too.
            names |= set(parent.services)
        nodes = [(path, parent), (f"{path}.users.{child}", node)]
        for service in sorted(names):
            yield _service(tree, f"{part.parent}/{child}", nodes, service)


def _service(
    tree: Tree,
    user_id: str,
    nodes: list[tuple[str, schema.ChildUserNode]],
    name: str,
) -> tuple[str, model.Service]:
    merged = layers.merge(layers.service_layers(tree.root, nodes, name))
    where = f"{nodes[-1][0]}.services.{name}"
    _require(where, merged.fields, _SERVICE_REQUIRED)
    fields = dict(merged.fields)
    if "retries" in fields:
        fields["retries"] = model.RetryRules(**fields["retries"])
    service = model.Service(
        id=f"{user_id}/{name}", user=user_id, name=name, **fields
    )
    return service.id, service


def _endpoints(tree: Tree) -> Iterator[tuple[str, model.Endpoint]]:
    pools_by_endpoint: dict[str, str] = {}
    for pool_name, pool in tree.pools.items():
        for name in pool.endpoints:
            other = pools_by_endpoint.setdefault(name, pool_name)
            if other != pool_name:
                raise errors.SettingsError(
                    f"pools.{pool_name}.endpoints.{name}: stands in pool "
                    f"{other!r} as well"
                )
            yield name, _endpoint(tree, pool_name, pool, name)


def _endpoint(
    tree: Tree, pool_name: str, pool: schema.PoolNode, name: str
) -> model.Endpoint:
    merged = layers.merge(
        layers.endpoint_layers(tree.root, pool_name, pool, name)
    )
    fields = dict(merged.fields)
    where = f"pools.{pool_name}.endpoints.{name}"
    _require(where, fields, _ENDPOINT_REQUIRED)
    _require(where, fields, _SPEED_REQUIRED[fields["kind"]])
    target = fields.pop("target", None)
    if target is not None:
        target = {"role": fields["kind"], "model": "", **target}
        fields["target"] = model.EngineTarget(**target)
    return model.Endpoint(id=name, pool=pool_name, **fields)


def _require(
    where: str, fields: dict[str, Any], required: tuple[str, ...]
) -> None:
    for name in required:
        if name not in fields:
            raise errors.SettingsError(
                f"{where}: {name!r} is stated neither here nor by a parent"
            )


def _check_pools(snapshot: model.Snapshot, tree: Tree) -> None:
    kinds_by_pool: dict[str, set[model.EndpointKind]] = {
        name: set() for name in tree.pools
    }
    for endpoint in snapshot.endpoints_by_id.values():
        kinds_by_pool[endpoint.pool].add(endpoint.kind)
    for service in snapshot.services_by_id.values():
        _check_pool(service, kinds_by_pool)


def _check_pool(
    service: model.Service, kinds_by_pool: dict[str, set[model.EndpointKind]]
) -> None:
    kinds = kinds_by_pool.get(service.pool)
    if kinds is None:
        known = ", ".join(sorted(kinds_by_pool)) or "none"
        raise errors.SettingsError(
            f"service {service.id}: no pool {service.pool!r}; known: {known}",
            code="unknown_name",
        )
    needed = {model.EndpointKind.PLAIN}
    if service.kind is model.ServiceKind.MODEL:
        needed = {model.EndpointKind.PREFILL, model.EndpointKind.DECODE}
    missing = sorted(needed - kinds)
    if kinds and missing:
        raise errors.SettingsError(
            f"service {service.id}: pool {service.pool!r} has no "
            f"{missing[0]} endpoint"
        )


def document_of(snapshot_texts: Mapping[str, str]) -> str:
    """Puts parts together to the part of a document below its head.

    Args:
      snapshot_texts: Text by part name.

    Returns:
      JSON with the tree, without revision and publisher.
    """
    tree: dict[str, Any] = {**json.loads(snapshot_texts["root"])}
    for part in sorted(snapshot_texts, key=_reading_order):
        value = json.loads(snapshot_texts[part])
        match part.split("/"):
            case ["user", name]:
                value.pop("buckets", None)
                tree.setdefault("users", {})[name] = value
            case ["pool", name]:
                tree.setdefault("pools", {})[name] = value
            case ["children", name, _]:
                tree["users"][name].setdefault("users", {}).update(value)
    return json.dumps(tree)
