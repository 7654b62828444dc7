"""From the settings' text to the `model.Snapshot` that processes use.

A pure function of the text, so that all processes accept or all refuse a
revision. `Resolver` remembers what it made of each part, so that a change
costs what it touches and not the whole tree; the result is the same.
"""

import json
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from cowsliprill.decisions import model
from cowsliprill.settings import customers
from cowsliprill.settings import errors
from cowsliprill.settings import key_table
from cowsliprill.settings import layers
from cowsliprill.settings import packed
from cowsliprill.settings import parts
from cowsliprill.settings import publish
from cowsliprill.settings import schema
from cowsliprill.settings import tree as tree_lib

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


def resolve(document: str) -> model.Snapshot:
    """Resolves a whole document.

    Args:
      document: JSON of `schema.Document`.

    Returns:
      The snapshot.

    Raises:
      SettingsError: The document isn't valid.
    """
    texts_by_part = publish.split(document)
    revision = json.loads(document)["revision"]
    return Resolver().resolve_texts(revision, texts_by_part)


def read_tree(document: str) -> tree_lib.Tree:
    """Reads a whole document as a tree, for tools that show it.

    Args:
      document: JSON of `schema.Document`.

    Returns:
      The tree.

    Raises:
      SettingsError: The document isn't valid.
    """
    texts_by_part = publish.split(document)
    index, text_of = parts.build_index(texts_by_part)
    return tree_lib.TreeReader().read(index, text_of)


class _Memory:
    """Results by part, kept while what they were made from is the same."""

    def __init__(self) -> None:
        self._kept: dict[str, tuple[tuple, Any]] = {}

    def get(self, part: str, made_from: tuple, make: Callable[[], Any]) -> Any:
        kept = self._kept.get(part)
        if kept is None or any(
            old is not new for old, new in zip(kept[0], made_from, strict=True)
        ):
            kept = (made_from, make())
            self._kept[part] = kept
        return kept[1]

    def keep_only(self, part_names: set[str]) -> None:
        for part in self._kept.keys() - part_names:
            del self._kept[part]


class Resolver:
    """Resolves revisions, one after the other."""

    def __init__(self) -> None:
        self._reader = tree_lib.TreeReader()
        self._services = _Memory()
        self._endpoints = _Memory()
        self._keys = key_table.KeyTable()
        self._keys_made_from: dict[str, customers.ChildrenPart] = {}

    def resolve_texts(
        self, revision: int, texts_by_part: Mapping[str, str]
    ) -> model.Snapshot:
        """Resolves a revision whose texts are all at hand; as `resolve`."""
        return self.resolve(revision, *parts.build_index(texts_by_part))

    def resolve(
        self,
        revision: int,
        index: Mapping[str, str],
        text_of: Callable[[str], packed.PackedText],
    ) -> model.Snapshot:
        """Resolves one revision.

        Args:
          revision: Its number.
          index: Hash by part name.
          text_of: Returns the text of a hash.

        Returns:
          The snapshot.

        Raises:
          SettingsError: The settings aren't valid.
        """
        tree = self._reader.read(index, text_of)
        users = customers.CustomersById(tree.users, tree.children)
        snapshot = model.Snapshot(
            revision=revision,
            customers_by_id=users,
            customers_by_key_hash=customers.CustomersByKeyHash(
                tree.users, self._updated_keys(tree), users
            ),
            services_by_id=self._all_services(tree),
            endpoints_by_id=self._all_endpoints(tree),
        )
        _check_pools(snapshot, tree)
        return snapshot

    def _updated_keys(self, tree: tree_lib.Tree) -> key_table.KeyTable:
        old, new = self._keys_made_from, tree.children
        changed = [
            part
            for part in old.keys() | new.keys()
            if old.get(part) is not new.get(part)
        ]
        if changed:
            self._keys = self._keys.replaced(
                {part: old[part].prefixes for part in changed if part in old},
                {part: new[part].prefixes for part in changed if part in new},
            )
            self._keys_made_from = dict(new)
        return self._keys

    def _all_services(self, tree: tree_lib.Tree) -> dict[str, model.Service]:
        found: dict[str, model.Service] = {}
        for name, customer in tree.users.items():
            found |= self._services.get(
                f"user/{name}",
                (tree.root, customer),
                lambda name=name: dict(_services(tree, name)),
            )
        for part, children in tree.children.items():
            if not children.overriding:
                continue
            found |= self._services.get(
                part,
                (tree.root, tree.users[children.parent], children),
                lambda part=part: dict(_child_services(tree, part)),
            )
        users = {f"user/{name}" for name in tree.users}
        self._services.keep_only(users | tree.children.keys())
        return found

    def _all_endpoints(self, tree: tree_lib.Tree) -> dict[str, model.Endpoint]:
        found: dict[str, model.Endpoint] = {}
        for part, endpoints in tree.endpoints.items():
            made = self._endpoints.get(
                part,
                (tree.root, tree.pools[endpoints.pool], endpoints),
                lambda part=part: dict(_endpoints(tree, part)),
            )
            _refuse_repeats(found, made)
            found |= made
        self._endpoints.keep_only(set(tree.endpoints))
        return found


def _services(
    tree: tree_lib.Tree, name: str
) -> Iterator[tuple[str, model.Service]]:
    customer = tree.users[name]
    for service in customer.services:
        yield _service(tree, name, [(f"users.{name}", customer)], service)


def _child_services(
    tree: tree_lib.Tree, part: str
) -> Iterator[tuple[str, model.Service]]:
    children = tree.children[part]
    parent = tree.users[children.parent]
    path = f"users.{children.parent}"
    for child, node in children.overriding.items():
        names = set(node.services)
        if node.service_defaults.model_fields_set:
            # What a child customer states for all services holds for those that
            # it inherits too.
            names |= set(parent.services)
        nodes = [(path, parent), (f"{path}.users.{child}", node)]
        for service in sorted(names):
            yield _service(tree, f"{children.parent}/{child}", nodes, service)


def _service(
    tree: tree_lib.Tree,
    customer_id: str,
    nodes: list[tuple[str, schema.ChildCustomerNode]],
    name: str,
) -> tuple[str, model.Service]:
    merged = layers.merge(layers.service_layers(tree.root, nodes, name))
    where = f"{nodes[-1][0]}.services.{name}"
    _require(where, merged.fields, _SERVICE_REQUIRED)
    fields = dict(merged.fields)
    if "retries" in fields:
        fields["retries"] = model.RetryPolicy(**fields["retries"])
    service = model.Service(
        id=f"{customer_id}/{name}", customer=customer_id, name=name, **fields
    )
    return service.id, service


def _endpoints(
    tree: tree_lib.Tree, part: str
) -> Iterator[tuple[str, model.Endpoint]]:
    endpoints = tree.endpoints[part]
    for name, node in endpoints.nodes().items():
        yield name, _endpoint(tree, endpoints.pool, name, node)


def _endpoint(
    tree: tree_lib.Tree, pool_name: str, name: str, node: schema.EndpointNode
) -> model.Endpoint:
    merged = layers.merge(
        layers.endpoint_layers(
            tree.root, pool_name, tree.pools[pool_name], name, node
        )
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


def _refuse_repeats(
    found: dict[str, model.Endpoint], made: dict[str, model.Endpoint]
) -> None:
    for name in found.keys() & made.keys():
        raise errors.SettingsError(
            f"pools.{made[name].pool}.endpoints.{name}: stands in pool "
            f"{found[name].pool!r} as well"
        )


def _require(
    where: str, fields: dict[str, Any], required: tuple[str, ...]
) -> None:
    for name in required:
        if name not in fields:
            raise errors.SettingsError(
                f"{where}: {name!r} is stated neither here nor by a parent"
            )


def _check_pools(snapshot: model.Snapshot, tree: tree_lib.Tree) -> None:
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
