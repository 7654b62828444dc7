"""Users by id and by API key, in little memory.

At the size we design for there are 42,000 users. As data classes in dicts they
would take about as much memory as the rest of an entry process; a process that
outgrows its limit is killed and cuts its streams. So child users stay as the
compressed text of their part, with eight bytes of each API key's hash to find
the part by, and the few in use are built when asked for.
"""

import array
import bisect
import collections
import dataclasses
import json
import zlib
from collections.abc import Iterator
from collections.abc import Mapping

from cowsliprill.decisions import model
from cowsliprill.settings import errors
from cowsliprill.settings import parts
from cowsliprill.settings import schema

_PREFIX_DIGITS = 16
_USERS_KEPT = 512


@dataclasses.dataclass(frozen=True, slots=True)
class ChildrenPart:
    """One `children/NAME/BUCKET` part after its checks.

    Attributes:
      parent: Name of the parent user.
      packed: The text, compressed.
      count: Number of users in it.
      prefixes: First 64 bits of each API key's hash.
      overriding: Users that state services or service defaults, by name.
    """

    parent: str
    packed: bytes
    count: int
    prefixes: array.array
    overriding: dict[str, schema.ChildUserNode]

    def nodes(self) -> dict[str, dict]:
        """Returns the users' JSON objects by name."""
        return json.loads(zlib.decompress(self.packed))


def prefix_of(key_hash: str) -> int:
    """Returns the first 64 bits of an API key's hash."""
    return int(key_hash[:_PREFIX_DIGITS], 16)


def read_children(part: str, text: str, buckets: int) -> ChildrenPart:
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
    tree = json.loads(text)
    if not isinstance(tree, dict):
        raise errors.SettingsError(f"{where}: not an object")
    prefixes = array.array("Q")
    overriding = {}
    for name, value in tree.items():
        path = f"{where}.{name}"
        node = schema.check(schema.ChildUserNode, value, path)
        if not schema.is_name(name):
            raise errors.SettingsError(f"{path}: not a name")
        # The bucket is found from the name. A user elsewhere would be listed
        # but never found, and its calls refused.
        if parts.bucket_of(name, buckets) != int(bucket):
            raise errors.SettingsError(f"{path}: in the wrong part {part}")
        prefixes.extend(prefix_of(key) for key in node.key_hashes)
        if node.services or node.service_defaults.model_fields_set:
            overriding[name] = node
    packed = zlib.compress(text.encode())
    return ChildrenPart(parent, packed, len(tree), prefixes, overriding)


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
      children: Checked parts of child users, by part name.
      users: All users.

    Raises:
      SettingsError: One API key stands at two users. Told apart are the first
        64 bits of the hashes; that two different keys agree in them has a
        chance of about one in 10^10 at 42,000 keys.
    """

    def __init__(
        self,
        top: Mapping[str, schema.UserPart],
        children: Mapping[str, ChildrenPart],
        users: UsersById,
    ) -> None:
        self._users = users
        self._top = {
            key: users[name]
            for name, node in top.items()
            for key in node.key_hashes
        }
        self._part_names = sorted(children)
        numbered = sorted(
            (prefix, number)
            for number, part in enumerate(self._part_names)
            for prefix in children[part].prefixes
        )
        self._prefixes = array.array("Q", (pair[0] for pair in numbered))
        self._numbers = array.array("I", (pair[1] for pair in numbered))
        self._refuse_repeats(top)

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
        return len(self._top) + len(self._prefixes)

    def _candidates(self, key_hash: str) -> list[model.User]:
        try:
            prefix = prefix_of(key_hash)
        except ValueError:
            return []
        place = bisect.bisect_left(self._prefixes, prefix)
        if place == len(self._prefixes) or self._prefixes[place] != prefix:
            return []
        return self._users.in_part(self._part_names[self._numbers[place]])

    def _refuse_repeats(self, top: Mapping[str, schema.UserPart]) -> None:
        # A key at two users would give one firm the other's answers, depending
        # on which of the two happened to be found first.
        keys = [key for node in top.values() for key in node.key_hashes]
        prefixes = [*self._prefixes, *(prefix_of(key) for key in keys)]
        prefixes.sort()
        for left, right in zip(prefixes, prefixes[1:], strict=False):
            if left == right:
                digits = f"{left:016x}"
                raise errors.SettingsError(
                    f"users: the API key hash {digits}... stands twice"
                )
