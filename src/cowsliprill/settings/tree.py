"""Parses and validates the parts of one settings revision.

A part that is unchanged between revisions keeps its object, so that callers
can find what changed by comparing identities.
"""

import dataclasses
import json
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from cowsliprill.settings import compressed_text
from cowsliprill.settings import customers
from cowsliprill.settings import errors
from cowsliprill.settings import parts
from cowsliprill.settings import schema

# Read after customers and pools, whose bucket counts these parts need.
_PREFIXES_READ_LAST = ("children", "endpoints")


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsPart:
    """One `endpoints/NAME/BUCKET` part.

    The endpoint nodes are parsed on each access and not cached: with 5,900
    endpoints they would take more memory than the rest of the tree.

    Attributes:
      pool: Name of the pool.
      bucket: Number of this part's bucket.
      buckets: Number of buckets of the pool.
      text: JSON text of the part, compressed.
    """

    pool: str
    bucket: int
    buckets: int
    text: compressed_text.CompressedText

    def nodes(self) -> dict[str, schema.EndpointNode]:
        """Parses and validates the endpoints of this part.

        Returns:
          The endpoint nodes by name.

        Raises:
          SettingsError: The part is invalid.
        """
        node_path = f"pools.{self.pool}.endpoints"
        nodes = {}
        for name, value in parts.parse_members(
            str(self.text), node_path
        ).items():
            parts.check_bucket(name, self.buckets, self.bucket, node_path)
            nodes[name] = schema.validate_node(
                schema.EndpointNode, value, f"{node_path}.{name}"
            )
        return nodes


@dataclasses.dataclass(frozen=True, slots=True)
class Tree:
    """The validated parts of one revision.

    Attributes:
      root: Defaults for all services and endpoints.
      users: Top-level customers by name.
      children: Parts with child customers by part name.
      pools: Pools by name.
      endpoints: Parts with endpoints by part name.
    """

    root: schema.RootPart
    users: dict[str, schema.CustomerPart]
    children: dict[str, customers.ChildrenPart]
    pools: dict[str, schema.PoolPart]
    endpoints: dict[str, EndpointsPart]


class TreeReader:
    """Reads successive revisions and parses only the parts that changed."""

    def __init__(self) -> None:
        self._cache_by_part: dict[str, tuple[Any, Any]] = {}

    def read(
        self,
        index: Mapping[str, str],
        get_text: Callable[[str], compressed_text.CompressedText],
    ) -> Tree:
        """Reads and validates the parts of a revision.

        Args:
          index: Hash of each part by part name.
          get_text: Returns the text that has a given hash.

        Returns:
          The tree.

        Raises:
          SettingsError: A part is missing, invalid or unknown, or its parent
            doesn't exist or has fewer buckets.
        """
        if "root" not in index:
            raise errors.SettingsError("part 'root' is missing")
        root = self._get_or_parse(
            "root",
            index["root"],
            lambda: schema.parse(schema.RootPart, str(get_text(index["root"]))),
        )
        tree = Tree(root, {}, {}, {}, {})
        for name in sorted(index, key=_read_order_key):
            self._add(tree, name, index[name], get_text)
        for name in self._cache_by_part.keys() - index.keys():
            del self._cache_by_part[name]
        return tree

    def _add(
        self,
        tree: Tree,
        part: str,
        text_hash: str,
        get_text: Callable[[str], compressed_text.CompressedText],
    ) -> None:
        match part.split("/"):
            case ["root"]:
                pass
            case ["user", name] if schema.is_valid_name(name):
                tree.users[name] = self._get_or_parse(
                    part,
                    text_hash,
                    lambda: schema.parse(
                        schema.CustomerPart,
                        str(get_text(text_hash)),
                        f"users.{name}",
                    ),
                )
            case ["pool", name] if schema.is_valid_name(name):
                tree.pools[name] = self._get_or_parse(
                    part,
                    text_hash,
                    lambda: schema.parse(
                        schema.PoolPart,
                        str(get_text(text_hash)),
                        f"pools.{name}",
                    ),
                )
            case ["children", name, bucket] if bucket.isdecimal():
                buckets = _bucket_count(part, tree.users.get(name), int(bucket))
                tree.children[part] = self._get_or_parse(
                    part,
                    (text_hash, buckets),
                    lambda: customers.read_children(
                        part, get_text(text_hash), buckets
                    ),
                )
            case ["endpoints", name, bucket] if bucket.isdecimal():
                buckets = _bucket_count(part, tree.pools.get(name), int(bucket))
                tree.endpoints[part] = self._get_or_parse(
                    part,
                    (text_hash, buckets),
                    lambda: EndpointsPart(
                        name, int(bucket), buckets, get_text(text_hash)
                    ),
                )
            case _:
                raise errors.SettingsError(f"unknown part {part!r}")

    def _get_or_parse(
        self, part: str, key: Any, parse: Callable[[], Any]
    ) -> Any:
        cached = self._cache_by_part.get(part)
        if cached is None or cached[0] != key:
            cached = (key, parse())
            self._cache_by_part[part] = cached
        return cached[1]


def _read_order_key(part: str) -> tuple[bool, str]:
    return (part.startswith(_PREFIXES_READ_LAST), part)


def _bucket_count(
    part: str, parent: schema.CustomerPart | schema.PoolPart | None, bucket: int
) -> int:
    if parent is None or bucket >= parent.buckets:
        raise errors.SettingsError(f"part {part!r} belongs to nothing")
    return parent.buckets


def assemble_document(texts_by_part: Mapping[str, str]) -> str:
    """Assembles the parts into one settings document.

    Args:
      texts_by_part: Text of each part by part name.

    Returns:
      JSON of the document without the fields of the head: revision, publisher
      and time of publication.
    """
    tree: dict[str, Any] = {**json.loads(texts_by_part["root"])}
    for part in sorted(texts_by_part, key=_read_order_key):
        value = json.loads(texts_by_part[part])
        match part.split("/"):
            case ["user", name]:
                value.pop("buckets", None)
                tree.setdefault("users", {})[name] = value
            case ["pool", name]:
                value.pop("buckets", None)
                tree.setdefault("pools", {})[name] = value
            case ["children", name, _]:
                tree["users"][name].setdefault("users", {}).update(value)
            case ["endpoints", name, _]:
                tree["pools"][name].setdefault("endpoints", {}).update(value)
    return json.dumps(tree)
