"""Customers by id and by API key, in little memory.

At the size we design for there are 42,000 users. As data classes in dicts they
would take about as much memory as the rest of an entry process; a process that
outgrows its limit is killed and cuts its streams. So child users stay as the
compressed text of their part, with eight bytes of each API key's hash to find
the part by, and the few in use are built when asked for.
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
from cowsliprill.settings import errors
from cowsliprill.settings import key_table
from cowsliprill.settings import packed
from cowsliprill.settings import parts
from cowsliprill.settings import schema

_USERS_KEPT = 512


@dataclasses.dataclass(frozen=True, slots=True)
class ChildrenPart:
    """One `children/NAME/BUCKET` part after its checks.

    Attributes:
      parent: Name of the parent customer.
      text: The text.
      count: Number of users in it.
      prefixes: First 64 bits of each API key's hash.
      overriding: Customers that state services or service defaults, by name.
    """

    parent: str
    text: packed.PackedText
    count: int
    prefixes: array.array
    overriding: dict[str, schema.ChildCustomerNode]

    def nodes(self) -> dict[str, dict]:
        """Returns the users' JSON objects by name."""
        return json.loads(str(self.text))


def read_children(
    part: str, text: packed.PackedText, buckets: int
) -> ChildrenPart:
    """Checks a part of child users.

    Args:
      part: The part's name.
      text: Its text.
      buckets: Number of buckets that the parent states.

    Returns:
      The part.

    Raises:
      SettingsError: A customer isn't valid or stands in the wrong bucket.
    """
    _, parent, bucket = part.split("/")
    where = f"users.{parent}.users"
    tree = parts.parse_members(str(text), where)
    prefixes = array.array("Q")
    overriding = {}
    for name, value in tree.items():
        path = f"{where}.{name}"
        node = schema.check(schema.ChildCustomerNode, value, path)
        parts.check_bucket(name, buckets, int(bucket), where)
        prefixes.extend(key_table.prefix_of(key) for key in node.key_hashes)
        if node.services or node.service_defaults.model_fields_set:
            overriding[name] = node
    return ChildrenPart(parent, text, len(tree), prefixes, overriding)


class _Recent:
    """The users asked for lately, by id or by key; the oldest ones go."""

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[str, model.Customer] = (
            collections.OrderedDict()
        )

    def get(self, key: str) -> model.Customer | None:
        customer = self._kept.get(key)
        if customer is not None:
            self._kept.move_to_end(key)
        return customer

    def put(self, key: str, customer: model.Customer) -> None:
        self._kept[key] = customer
        if len(self._kept) > _USERS_KEPT:
            self._kept.popitem(last=False)


def _top_customer(name: str, node: schema.CustomerPart) -> model.Customer:
    return model.Customer(
        id=name, key_hashes=frozenset(node.key_hashes), share=node.share
    )


def _child_customer(
    parent: str, name: str, node: dict[str, Any]
) -> model.Customer:
    # The node was checked when its part was read.
    return model.Customer(
        id=f"{parent}/{name}",
        parent=parent,
        key_hashes=frozenset(node.get("key_hashes", ())),
        share=float(node.get("share", 1.0)),
    )


class _Values(ValuesView[model.Customer]):
    """All users, with each part opened once and not once a customer."""

    def __iter__(self) -> Iterator[model.Customer]:
        return self._mapping.each()


class CustomersById(Mapping[str, model.Customer]):
    """All users by id; child users are built when asked for.

    Args:
      top: Checked parts of the users at the top, by name.
      children: Checked parts of child users, by part name.
    """

    def __init__(
        self,
        top: Mapping[str, schema.CustomerPart],
        children: Mapping[str, ChildrenPart],
    ) -> None:
        self._top = {
            name: _top_customer(name, node) for name, node in top.items()
        }
        self._buckets = {name: node.buckets for name, node in top.items()}
        self._children = children
        self._recent = _Recent()

    def __getitem__(self, customer_id: str) -> model.Customer:
        if customer_id in self._top:
            return self._top[customer_id]
        customer = self._recent.get(customer_id)
        if customer is None:
            customer = self._build(customer_id)
            self._recent.put(customer_id, customer)
        return customer

    def __iter__(self) -> Iterator[str]:
        yield from self._top
        for part in self._children.values():
            for name in part.nodes():
                yield f"{part.parent}/{name}"

    def __len__(self) -> int:
        count = sum(part.count for part in self._children.values())
        return len(self._top) + count

    def values(self) -> ValuesView[model.Customer]:
        """Returns all users."""
        return _Values(self)

    def each(self) -> Iterator[model.Customer]:
        """Yields all users, the top ones first."""
        yield from self._top.values()
        for part in self._children.values():
            for name, node in part.nodes().items():
                yield _child_customer(part.parent, name, node)

    def with_key(self, part: str, key_hash: str) -> model.Customer | None:
        """Finds the customer of an API key in one part of child users.

        Args:
          part: Name of the part.
          key_hash: Hash of the key.

        Returns:
          The customer, None if it isn't there.
        """
        found = self._children[part]
        for name, node in found.nodes().items():
            if key_hash in node.get("key_hashes", ()):
                return self[f"{found.parent}/{name}"]
        return None

    def _build(self, customer_id: str) -> model.Customer:
        parent, _, name = customer_id.partition("/")
        buckets = self._buckets.get(parent, 0)
        if not buckets:
            raise KeyError(customer_id)
        bucket = parts.bucket_of(name, buckets)
        part = self._children.get(f"children/{parent}/{bucket}")
        nodes = part.nodes() if part else {}
        if name not in nodes:
            raise KeyError(customer_id)
        return _child_customer(parent, name, nodes[name])


class CustomersByKeyHash(Mapping[str, model.Customer]):
    """The customer of each API key's hash.

    Args:
      top: Checked parts of the users at the top, by name.
      keys: Where the child users' keys stand.
      users: All users.

    Raises:
      SettingsError: One API key stands at two users.
    """

    def __init__(
        self,
        top: Mapping[str, schema.CustomerPart],
        keys: key_table.KeyTable,
        users: CustomersById,
    ) -> None:
        self._users = users
        self._keys = keys
        self._recent = _Recent()
        self._top: dict[str, model.Customer] = {}
        for name, node in top.items():
            for key in node.key_hashes:
                self._add_top(key, users[name])

    def __getitem__(self, key_hash: str) -> model.Customer:
        if key_hash in self._top:
            return self._top[key_hash]
        customer = self._recent.get(key_hash)
        if customer is None:
            customer = self._find(key_hash)
            self._recent.put(key_hash, customer)
        return customer

    def __iter__(self) -> Iterator[str]:
        for customer in self._users.values():
            yield from customer.key_hashes

    def __len__(self) -> int:
        return len(self._top) + len(self._keys)

    def _add_top(self, key_hash: str, customer: model.Customer) -> None:
        taken = self._keys.part_of(key_table.prefix_of(key_hash)) is not None
        if taken or key_hash in self._top:
            raise errors.SettingsError(
                f"users.{customer.id}: the API key hash {key_hash[:16]}... "
                "stands twice"
            )
        self._top[key_hash] = customer

    def _find(self, key_hash: str) -> model.Customer:
        try:
            part = self._keys.part_of(key_table.prefix_of(key_hash))
        except ValueError:
            part = None
        customer = self._users.with_key(part, key_hash) if part else None
        if customer is None:
            raise KeyError(key_hash)
        return customer
