"""The checked parts of one revision.

A part that is as it was keeps its object, so that whoever works from a tree
can tell by identity what changed.
"""

import dataclasses
import json
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from cowsliprill.settings import customers
from cowsliprill.settings import errors
from cowsliprill.settings import packed
from cowsliprill.settings import parts
from cowsliprill.settings import schema

# Customers and pools are read first: what is below them needs the bucket count.
_READ_LAST = ("children", "endpoints")


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsPart:
    """One `endpoints/NAME/BUCKET` part.

    Its nodes are checked when they are asked for, and not kept: at 5,900
    endpoints they would take more memory than all else here.

    Attributes:
      pool: Name of the pool.
      bucket: Number of the bucket.
      buckets: Number of buckets of the pool.
      text: The text.
    """

    pool: str
    bucket: int
    buckets: int
    text: packed.PackedText

    def nodes(self) -> dict[str, schema.EndpointNode]:
        """Returns the endpoints' nodes by name.

        Raises:
          SettingsError: The part isn't valid.
        """
        where = f"pools.{self.pool}.endpoints"
        nodes = {}
        for name, value in parts.parse_members(str(self.text), where).items():
            parts.check_bucket(name, self.buckets, self.bucket, where)
            nodes[name] = schema.check(
                schema.EndpointNode, value, f"{where}.{name}"
            )
        return nodes


@dataclasses.dataclass(frozen=True, slots=True)
class Tree:
    """The checked parts of one revision.

    Attributes:
      root: Defaults of the whole tree.
      users: Customers at the top by name.
      children: Parts of child users by part name.
      pools: Pools by name.
      endpoints: Parts of endpoints by part name.
    """

    root: schema.RootPart
    users: dict[str, schema.CustomerPart]
    children: dict[str, customers.ChildrenPart]
    pools: dict[str, schema.PoolPart]
    endpoints: dict[str, EndpointsPart]


class TreeReader:
    """Reads revisions, one after the other; only changed parts are read."""

    def __init__(self) -> None:
        self._read_by_part: dict[str, tuple[Any, Any]] = {}

    def read(
        self,
        index: Mapping[str, str],
        text_of: Callable[[str], packed.PackedText],
    ) -> Tree:
        """Reads and checks the parts of a revision.

        Args:
          index: Hash by part name.
          text_of: Returns the text of a hash.

        Returns:
          The tree.

        Raises:
          SettingsError: A part isn't valid, or belongs to nothing.
        """
        if "root" not in index:
            raise errors.SettingsError("part 'root' is missing")
        root = self._read(
            "root",
            index["root"],
            lambda: schema.parse(schema.RootPart, str(text_of(index["root"]))),
        )
        tree = Tree(root, {}, {}, {}, {})
        for name in sorted(index, key=_reading_order):
            self._add(tree, name, index[name], text_of)
        for name in self._read_by_part.keys() - index.keys():
            del self._read_by_part[name]
        return tree

    def _add(
        self,
        tree: Tree,
        part: str,
        text_hash: str,
        text_of: Callable[[str], packed.PackedText],
    ) -> None:
        match part.split("/"):
            case ["root"]:
                pass
            case ["user", name] if schema.is_name(name):
                tree.users[name] = self._read(
                    part,
                    text_hash,
                    lambda: schema.parse(
                        schema.CustomerPart,
                        str(text_of(text_hash)),
                        f"users.{name}",
                    ),
                )
            case ["pool", name] if schema.is_name(name):
                tree.pools[name] = self._read(
                    part,
                    text_hash,
                    lambda: schema.parse(
                        schema.PoolPart,
                        str(text_of(text_hash)),
                        f"pools.{name}",
                    ),
                )
            case ["children", name, bucket] if bucket.isdecimal():
                buckets = _buckets(part, tree.users.get(name), int(bucket))
                tree.children[part] = self._read(
                    part,
                    (text_hash, buckets),
                    lambda: customers.read_children(
                        part, text_of(text_hash), buckets
                    ),
                )
            case ["endpoints", name, bucket] if bucket.isdecimal():
                buckets = _buckets(part, tree.pools.get(name), int(bucket))
                tree.endpoints[part] = self._read(
                    part,
                    (text_hash, buckets),
                    lambda: EndpointsPart(
                        name, int(bucket), buckets, text_of(text_hash)
                    ),
                )
            case _:
                raise errors.SettingsError(f"unknown part {part!r}")

    def _read(self, part: str, key: Any, read: Callable[[], Any]) -> Any:
        remembered = self._read_by_part.get(part)
        if remembered is None or remembered[0] != key:
            remembered = (key, read())
            self._read_by_part[part] = remembered
        return remembered[1]


def _reading_order(part: str) -> tuple[bool, str]:
    return (part.startswith(_READ_LAST), part)


def _buckets(
    part: str, above: schema.CustomerPart | schema.PoolPart | None, bucket: int
) -> int:
    if above is None or bucket >= above.buckets:
        raise errors.SettingsError(f"part {part!r} belongs to nothing")
    return above.buckets


def document_of(texts_by_part: Mapping[str, str]) -> str:
    """Puts parts together to a document again, without its head's fields.

    Args:
      texts_by_part: Text by part name.

    Returns:
      JSON of the tree, without revision and publisher.
    """
    tree: dict[str, Any] = {**json.loads(texts_by_part["root"])}
    for part in sorted(texts_by_part, key=_reading_order):
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
