"""Users by id and by API key, in little memory.

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
      parent: Name of the parent user.
      text: The text.
      count: Number of users in it.
      prefixes: First 64 bits of each API key's hash.
      overriding: Users that state services or service defaults, by name.
    """

    parent: str
    text: packed.PackedText
    count: int
    prefixes: array.array
    overriding: dict[str, schema.ChildUserNode]

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
      SettingsError: A user isn't valid or stands in the wrong bucket.
    """
    _, parent, bucket = part.split("/")
    where = f"users.{parent}.users"
    tree = parts.read_members(str(text), where)
    prefixes = array.array("Q")
    overriding = {}
    for name, value in tree.items():
        path = f"{where}.{name}"
        node = schema.check(schema.ChildUserNode, value, path)
        parts.check_bucket(name, buckets, int(bucket), where)
        prefixes.extend(key_table.prefix_of(key) for key in node.key_hashes)
        if node.services or node.service_defaults.model_fields_set:
            overriding[name] = node
    return ChildrenPart(parent, text, len(tree), prefixes, overriding)


def _user(user_id: str, parent: str, node: schema.ChildUserNode) -> model.User:
    return model.User(
        id=user_id,
        parent=parent,
        key_hashes=frozenset(node.key_hashes),
        share=node.share,
    )


class UsersById(Mapping[str, model.User]):
    """All users by id; child users are built when asked for.

    Args:
      top: Checked parts of the users at the top, by name.
      children: Checked parts of child users, by part name.
    """

    def __init__(
        self,
        top: Mapping[str, schema.UserPart],
        children: Mapping[str, ChildrenPart],
    ) -> None:
        self._top = {name: _user(name, "", node) for name, node in top.items()}
        self._buckets = {name: node.buckets for name, node in top.items()}
        self._children = children
        self._kept: collections.OrderedDict[str, model.User] = (
            collections.OrderedDict()
        )

    def __getitem__(self, user_id: str) -> model.User:
        if user_id in self._top:
            return self._top[user_id]
        if user_id in self._kept:
            self._kept.move_to_end(user_id)
            return self._kept[user_id]
        user = self._build(user_id)
        self._kept[user_id] = user
        if len(self._kept) > _USERS_KEPT:
            self._kept.popitem(last=False)
        return user

    def __iter__(self) -> Iterator[str]:
        yield from self._top
        for part in self._children.values():
            for name in part.nodes():
                yield f"{part.parent}/{name}"

    def __len__(self) -> int:
        count = sum(part.count for part in self._children.values())
        return len(self._top) + count

    def in_part(self, part: str) -> list[model.User]:
        """Returns the users of one part of child users."""
        found = self._children[part]
        return [self[f"{found.parent}/{name}"] for name in found.nodes()]

    def _build(self, user_id: str) -> model.User:
        parent, _, name = user_id.partition("/")
        buckets = self._buckets.get(parent, 0)
        if not buckets:
            raise KeyError(user_id)
        bucket = parts.bucket_of(name, buckets)
        part = self._children.get(f"children/{parent}/{bucket}")
        nodes = part.nodes() if part else {}
        if name not in nodes:
            raise KeyError(user_id)
        node = schema.ChildUserNode.model_validate(nodes[name])
        return _user(user_id, parent, node)


class UsersByKeyHash(Mapping[str, model.User]):
    """The user of each API key's hash.

    Args:
      top: Checked parts of the users at the top, by name.
      keys: Where the child users' keys stand.
      users: All users.

    Raises:
      SettingsError: One API key stands at two users.
    """

    def __init__(
        self,
        top: Mapping[str, schema.UserPart],
        keys: key_table.KeyTable,
        users: UsersById,
    ) -> None:
        self._users = users
        self._keys = keys
        self._top: dict[str, model.User] = {}
        for name, node in top.items():
            for key in node.key_hashes:
                self._add_top(key, users[name])

    def __getitem__(self, key_hash: str) -> model.User:
        if key_hash in self._top:
            return self._top[key_hash]
        for user in self._candidates(key_hash):
            if key_hash in user.key_hashes:
                return user
        raise KeyError(key_hash)

    def __iter__(self) -> Iterator[str]:
        for user in self._users.values():
            yield from user.key_hashes

    def __len__(self) -> int:
        return len(self._top) + len(self._keys)

    def _add_top(self, key_hash: str, user: model.User) -> None:
        taken = self._keys.part_of(key_table.prefix_of(key_hash)) is not None
        if taken or key_hash in self._top:
            raise errors.SettingsError(
                f"users.{user.id}: the API key hash {key_hash[:16]}... "
                "stands twice"
            )
        self._top[key_hash] = user

    def _candidates(self, key_hash: str) -> list[model.User]:
        try:
            part = self._keys.part_of(key_table.prefix_of(key_hash))
        except ValueError:
            return []
        return [] if part is None else self._users.in_part(part)
