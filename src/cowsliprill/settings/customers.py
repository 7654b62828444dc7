"""Memory-efficient lookup of customers by id and by API key.

The design size is 42,000 customers. As data classes in dicts they would take
about as much memory as the rest of an entry process, and a process above its
memory limit is killed and cuts its streams. Child customers therefore stay in
the compressed text of their part. Eight bytes of each API key's hash identify
the part, and `model.Customer` objects are built on access.
"""

import array
import collections
import dataclasses
import json
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import ValuesView
from typing import Any

from cowsliprill.decisions import model
from cowsliprill.settings import compressed_text
from cowsliprill.settings import errors
from cowsliprill.settings import key_table
from cowsliprill.settings import parts
from cowsliprill.settings import schema

_MAX_CACHED_CUSTOMERS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class ChildrenPart:
    """One validated `children/NAME/BUCKET` part.

    Attributes:
      parent: Name of the parent customer.
      text: JSON text of the part, compressed.
      count: Number of child customers in the part.
      prefixes: First 64 bits of each API key's hash.
      overriding: Child customers that set services or service defaults, by
        name.
    """

    parent: str
    text: compressed_text.CompressedText
    count: int
    prefixes: array.array
    overriding: dict[str, schema.ChildCustomerNode]

    def nodes(self) -> dict[str, dict]:
        """Parses the part into the child customers' JSON objects by name."""
        return json.loads(str(self.text))


def read_children(
    part: str, text: compressed_text.CompressedText, buckets: int
) -> ChildrenPart:
    """Validates a part with child customers.

    Args:
      part: Name of the part.
      text: JSON text of the part, compressed.
      buckets: Number of buckets that the parent customer sets.

    Returns:
      The validated part.

    Raises:
      SettingsError: A customer is invalid or in the wrong bucket.
    """
    _, parent, bucket = part.split("/")
    node_path = f"users.{parent}.users"
    tree = parts.parse_members(str(text), node_path)
    prefixes = array.array("Q")
    overriding = {}
    for name, value in tree.items():
        path = f"{node_path}.{name}"
        node = schema.validate_node(schema.ChildCustomerNode, value, path)
        parts.check_bucket(name, buckets, int(bucket), node_path)
        prefixes.extend(key_table.hash_prefix(key) for key in node.key_hashes)
        if node.services or node.service_defaults.model_fields_set:
            overriding[name] = node
    return ChildrenPart(parent, text, len(tree), prefixes, overriding)


class _CustomerCache:
    """LRU cache of child customers, by id or by API key hash."""

    def __init__(self) -> None:
        self._customers_by_key: collections.OrderedDict[str, model.Customer] = (
            collections.OrderedDict()
        )

    def get(self, key: str) -> model.Customer | None:
        customer = self._customers_by_key.get(key)
        if customer is not None:
            self._customers_by_key.move_to_end(key)
        return customer

    def put(self, key: str, customer: model.Customer) -> None:
        self._customers_by_key[key] = customer
        if len(self._customers_by_key) > _MAX_CACHED_CUSTOMERS:
            self._customers_by_key.popitem(last=False)


def _top_level_customer(name: str, node: schema.CustomerPart) -> model.Customer:
    return model.Customer(
        id=name, key_hashes=frozenset(node.key_hashes), share=node.share
    )


def _child_customer(
    parent: str, name: str, node: dict[str, Any]
) -> model.Customer:
    # `read_children` has already validated the node.
    return model.Customer(
        id=f"{parent}/{name}",
        parent=parent,
        key_hashes=frozenset(node.get("key_hashes", ())),
        share=float(node.get("share", 1.0)),
    )


class _CustomersView(ValuesView[model.Customer]):
    """Values view that decompresses each part once, not once per customer."""

    def __iter__(self) -> Iterator[model.Customer]:
        return self._mapping.iter_customers()


class CustomersById(Mapping[str, model.Customer]):
    """All customers by id; child customers are built on access.

    Args:
      top_level: Validated parts of the top-level customers, by name.
      children: Validated parts with child customers, by part name.
    """

    def __init__(
        self,
        top_level: Mapping[str, schema.CustomerPart],
        children: Mapping[str, ChildrenPart],
    ) -> None:
        self._top_level = {
            name: _top_level_customer(name, node)
            for name, node in top_level.items()
        }
        self._bucket_counts = {
            name: node.buckets for name, node in top_level.items()
        }
        self._children = children
        self._cache = _CustomerCache()

    def __getitem__(self, customer_id: str) -> model.Customer:
        if customer_id in self._top_level:
            return self._top_level[customer_id]
        customer = self._cache.get(customer_id)
        if customer is None:
            customer = self._build_child_customer(customer_id)
            self._cache.put(customer_id, customer)
        return customer

    def __iter__(self) -> Iterator[str]:
        yield from self._top_level
        for part in self._children.values():
            for name in part.nodes():
                yield f"{part.parent}/{name}"

    def __len__(self) -> int:
        count = sum(part.count for part in self._children.values())
        return len(self._top_level) + count

    def values(self) -> ValuesView[model.Customer]:
        """Returns a view of all customers."""
        return _CustomersView(self)

    def iter_customers(self) -> Iterator[model.Customer]:
        """Yields all customers, top-level customers first."""
        yield from self._top_level.values()
        for part in self._children.values():
            for name, node in part.nodes().items():
                yield _child_customer(part.parent, name, node)

    def find_by_key(self, part: str, key_hash: str) -> model.Customer | None:
        """Finds the child customer of an API key in one part.

        Args:
          part: Name of the part.
          key_hash: Hash of the API key.

        Returns:
          The customer, or None if no customer of the part has the key.
        """
        children = self._children[part]
        for name, node in children.nodes().items():
            if key_hash in node.get("key_hashes", ()):
                return self[f"{children.parent}/{name}"]
        return None

    def _build_child_customer(self, customer_id: str) -> model.Customer:
        parent, _, name = customer_id.partition("/")
        buckets = self._bucket_counts.get(parent, 0)
        if not buckets:
            raise KeyError(customer_id)
        bucket = parts.bucket_of(name, buckets)
        part = self._children.get(f"children/{parent}/{bucket}")
        nodes = part.nodes() if part else {}
        if name not in nodes:
            raise KeyError(customer_id)
        return _child_customer(parent, name, nodes[name])


class CustomersByKeyHash(Mapping[str, model.Customer]):
    """All customers by API key hash.

    Args:
      top_level: Validated parts of the top-level customers, by name.
      child_keys: Table of the parts that hold the child customers' keys.
      users: All customers by id.

    Raises:
      SettingsError: Two customers have the same API key.
    """

    def __init__(
        self,
        top_level: Mapping[str, schema.CustomerPart],
        child_keys: key_table.KeyTable,
        users: CustomersById,
    ) -> None:
        self._users = users
        self._child_keys = child_keys
        self._cache = _CustomerCache()
        self._top_level: dict[str, model.Customer] = {}
        for name, node in top_level.items():
            for key in node.key_hashes:
                self._add_top_level(key, users[name])

    def __getitem__(self, key_hash: str) -> model.Customer:
        if key_hash in self._top_level:
            return self._top_level[key_hash]
        customer = self._cache.get(key_hash)
        if customer is None:
            customer = self._find_child_customer(key_hash)
            self._cache.put(key_hash, customer)
        return customer

    def __iter__(self) -> Iterator[str]:
        for customer in self._users.values():
            yield from customer.key_hashes

    def __len__(self) -> int:
        return len(self._top_level) + len(self._child_keys)

    def _add_top_level(self, key_hash: str, customer: model.Customer) -> None:
        in_use = (
            self._child_keys.find_part(key_table.hash_prefix(key_hash))
            is not None
        )
        if in_use or key_hash in self._top_level:
            raise errors.SettingsError(
                f"users.{customer.id}: the API key hash {key_hash[:16]}... "
                "stands twice"
            )
        self._top_level[key_hash] = customer

    def _find_child_customer(self, key_hash: str) -> model.Customer:
        try:
            part = self._child_keys.find_part(key_table.hash_prefix(key_hash))
        except ValueError:
            part = None
        customer = self._users.find_by_key(part, key_hash) if part else None
        if customer is None:
            raise KeyError(key_hash)
        return customer
