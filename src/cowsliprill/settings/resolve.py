"""Resolves the settings tree into the `model.Snapshot` that processes use.

The result depends only on the settings' text, so that all processes either
accept or reject a revision. `Resolver` caches the result of each part: the cost
of a revision depends on what it changes, not on the size of the tree. Caching
doesn't change the result.
"""

import json
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from cowsliprill.decisions import model
from cowsliprill.settings import compressed_text
from cowsliprill.settings import customers
from cowsliprill.settings import errors
from cowsliprill.settings import key_table
from cowsliprill.settings import layers
from cowsliprill.settings import parts
from cowsliprill.settings import publish
from cowsliprill.settings import schema
from cowsliprill.settings import tree as tree_lib

_REQUIRED_ENDPOINT_FIELDS = (
    "kind",
    "host",
    "port",
    "availability_zone",
    "slots",
)
_REQUIRED_SERVICE_FIELDS = ("kind", "pool")

# Needed to estimate the time of a prefill, a KV cache transfer and a token;
# without the estimates no request could be placed within its targets.
_REQUIRED_ENGINE_FIELDS = ("link_bytes_per_s", "kv_bytes_per_token")
_REQUIRED_FIELDS_BY_KIND = {
    model.EndpointKind.PREFILL: (
        "prefill_tokens_per_s",
        *_REQUIRED_ENGINE_FIELDS,
    ),
    model.EndpointKind.DECODE: ("seconds_per_token", *_REQUIRED_ENGINE_FIELDS),
    model.EndpointKind.PLAIN: (),
}


def resolve(document: str) -> model.Snapshot:
    """Resolves a settings document.

    Args:
      document: JSON of `schema.Document`.

    Returns:
      The snapshot.

    Raises:
      SettingsError: The document is invalid.
    """
    texts_by_part = publish.split(document)
    revision = json.loads(document)["revision"]
    return Resolver().resolve_texts(revision, texts_by_part)


def read_tree(document: str) -> tree_lib.Tree:
    """Parses a settings document without resolving inheritance.

    Args:
      document: JSON of `schema.Document`.

    Returns:
      The tree, for tools that display it.

    Raises:
      SettingsError: The document is invalid.
    """
    texts_by_part = publish.split(document)
    index, get_text = parts.build_index(texts_by_part)
    return tree_lib.TreeReader().read(index, get_text)


class _PartCache:
    """Caches one result per part until any of its inputs is another object."""

    def __init__(self) -> None:
        self._entries: dict[str, tuple[tuple, Any]] = {}

    def get_or_compute(
        self, part: str, inputs: tuple, compute: Callable[[], Any]
    ) -> Any:
        cached = self._entries.get(part)
        if cached is None or any(
            old is not new for old, new in zip(cached[0], inputs, strict=True)
        ):
            cached = (inputs, compute())
            self._entries[part] = cached
        return cached[1]

    def retain(self, part_names: set[str]) -> None:
        for part in self._entries.keys() - part_names:
            del self._entries[part]


class Resolver:
    """Resolves successive revisions, with a cache of unchanged parts."""

    def __init__(self) -> None:
        self._reader = tree_lib.TreeReader()
        self._service_cache = _PartCache()
        self._endpoint_cache = _PartCache()
        self._key_table = key_table.KeyTable()
        self._key_parts: dict[str, customers.ChildrenPart] = {}

    def resolve_texts(
        self, revision: int, texts_by_part: Mapping[str, str]
    ) -> model.Snapshot:
        """Resolves a revision from the text of each part; see `resolve`."""
        return self.resolve(revision, *parts.build_index(texts_by_part))

    def resolve(
        self,
        revision: int,
        index: Mapping[str, str],
        get_text: Callable[[str], compressed_text.CompressedText],
    ) -> model.Snapshot:
        """Resolves one revision.

        Args:
          revision: Number of the revision.
          index: Hash of each part by part name.
          get_text: Returns the text that has a given hash.

        Returns:
          The snapshot.

        Raises:
          SettingsError: The settings are invalid.
        """
        tree = self._reader.read(index, get_text)
        users = customers.CustomersById(tree.users, tree.children)
        snapshot = model.Snapshot(
            revision=revision,
            customers_by_id=users,
            customers_by_key_hash=customers.CustomersByKeyHash(
                tree.users, self._update_key_table(tree), users
            ),
            services_by_id=self._resolve_services(tree),
            endpoints_by_id=self._resolve_endpoints(tree),
        )
        _check_service_pools(snapshot, tree)
        return snapshot

    def _update_key_table(self, tree: tree_lib.Tree) -> key_table.KeyTable:
        old, new = self._key_parts, tree.children
        changed = [
            part
            for part in old.keys() | new.keys()
            if old.get(part) is not new.get(part)
        ]
        if changed:
            self._key_table = self._key_table.with_parts_replaced(
                {part: old[part].prefixes for part in changed if part in old},
                {part: new[part].prefixes for part in changed if part in new},
            )
            self._key_parts = dict(new)
        return self._key_table

    def _resolve_services(
        self, tree: tree_lib.Tree
    ) -> dict[str, model.Service]:
        services_by_id: dict[str, model.Service] = {}
        for name, customer in tree.users.items():
            services_by_id |= self._service_cache.get_or_compute(
                f"user/{name}",
                (tree.root, customer),
                lambda name=name: dict(_customer_services(tree, name)),
            )
        for part, children in tree.children.items():
            if not children.overriding:
                continue
            services_by_id |= self._service_cache.get_or_compute(
                part,
                (tree.root, tree.users[children.parent], children),
                lambda part=part: dict(_child_services(tree, part)),
            )
        users = {f"user/{name}" for name in tree.users}
        self._service_cache.retain(users | tree.children.keys())
        return services_by_id

    def _resolve_endpoints(
        self, tree: tree_lib.Tree
    ) -> dict[str, model.Endpoint]:
        endpoints_by_id: dict[str, model.Endpoint] = {}
        for part, endpoints in tree.endpoints.items():
            part_endpoints = self._endpoint_cache.get_or_compute(
                part,
                (tree.root, tree.pools[endpoints.pool], endpoints),
                lambda part=part: dict(_endpoints(tree, part)),
            )
            _check_duplicates(endpoints_by_id, part_endpoints)
            endpoints_by_id |= part_endpoints
        self._endpoint_cache.retain(set(tree.endpoints))
        return endpoints_by_id


def _customer_services(
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
            # A child customer's service defaults also apply to the services
            # that it inherits from its parent.
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
    node_path = f"{nodes[-1][0]}.services.{name}"
    _check_required_fields(node_path, merged.fields, _REQUIRED_SERVICE_FIELDS)
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
    node_path = f"pools.{pool_name}.endpoints.{name}"
    _check_required_fields(node_path, fields, _REQUIRED_ENDPOINT_FIELDS)
    _check_required_fields(
        node_path, fields, _REQUIRED_FIELDS_BY_KIND[fields["kind"]]
    )
    target = fields.pop("target", None)
    if target is not None:
        target = {"role": fields["kind"], "model": "", **target}
        fields["target"] = model.EngineTarget(**target)
    return model.Endpoint(id=name, pool=pool_name, **fields)


def _check_duplicates(
    endpoints_by_id: dict[str, model.Endpoint],
    part_endpoints: dict[str, model.Endpoint],
) -> None:
    for name in endpoints_by_id.keys() & part_endpoints.keys():
        raise errors.SettingsError(
            f"pools.{part_endpoints[name].pool}.endpoints.{name}: stands in "
            f"pool {endpoints_by_id[name].pool!r} as well"
        )


def _check_required_fields(
    node_path: str, fields: dict[str, Any], required: tuple[str, ...]
) -> None:
    for name in required:
        if name not in fields:
            raise errors.SettingsError(
                f"{node_path}: {name!r} is stated neither here nor by a parent"
            )


def _check_service_pools(snapshot: model.Snapshot, tree: tree_lib.Tree) -> None:
    kinds_by_pool: dict[str, set[model.EndpointKind]] = {
        name: set() for name in tree.pools
    }
    for endpoint in snapshot.endpoints_by_id.values():
        kinds_by_pool[endpoint.pool].add(endpoint.kind)
    for service in snapshot.services_by_id.values():
        _check_service_pool(service, kinds_by_pool)


def _check_service_pool(
    service: model.Service, kinds_by_pool: dict[str, set[model.EndpointKind]]
) -> None:
    kinds = kinds_by_pool.get(service.pool)
    if kinds is None:
        known_pools = ", ".join(sorted(kinds_by_pool)) or "none"
        raise errors.SettingsError(
            f"service {service.id}: no pool {service.pool!r}; "
            f"known: {known_pools}",
            code="unknown_name",
        )
    required_kinds = {model.EndpointKind.PLAIN}
    if service.kind is model.ServiceKind.MODEL:
        required_kinds = {model.EndpointKind.PREFILL, model.EndpointKind.DECODE}
    missing_kinds = sorted(required_kinds - kinds)
    if kinds and missing_kinds:
        raise errors.SettingsError(
            f"service {service.id}: pool {service.pool!r} has no "
            f"{missing_kinds[0]} endpoint"
        )
