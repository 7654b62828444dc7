"""From a whole document to the values that operators publish.

The parts and the index go first and the head last, so that whoever reads the
head finds what it names.
"""

import dataclasses
import json
from typing import Any

from cowsliprill.settings import parts
from cowsliprill.settings import schema

# About 32 child users or endpoints make a part of some 4 KB: at 25,000 changes
# a day one part a change stays below the 4 KB/s that a node may spend.
_NAMES_PER_BUCKET = 32

# Changes that the head repeats, so that a reader a few revisions behind needs
# no whole index.
_CHANGES_IN_HEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """What an operator publishes: parts and index first, the head last.

    Attributes:
      head: The head.
      texts_by_hash: Text of the index and of each part.
    """

    head: parts.Head
    texts_by_hash: dict[str, str]


def split(document: str) -> dict[str, str]:
    """Splits a whole document.

    Args:
      document: JSON of `schema.Document`.

    Returns:
      Text by part name.

    Raises:
      SettingsError: The document isn't valid.
    """
    schema.parse(schema.Document, document)
    tree = json.loads(document)
    root = {
        key: tree[key]
        for key in ("service_defaults", "endpoint_defaults")
        if key in tree
    }
    values: dict[str, Any] = {"root": root}
    for name, customer in tree.get("users", {}).items():
        values.update(_bucketed("user", "children", "users", name, customer))
    for name, pool in tree.get("pools", {}).items():
        values.update(_bucketed("pool", "endpoints", "endpoints", name, pool))
    return {name: parts.canonical(value) for name, value in values.items()}


def _bucketed(
    kind: str, below: str, key: str, name: str, node: dict[str, Any]
) -> dict[str, Any]:
    """Splits a node: what it says itself, and buckets of what is below."""
    members = node.get(key, {})
    buckets = 0
    if members:
        wanted = -(-len(members) // _NAMES_PER_BUCKET)
        # A power of two, so that most growth leaves the buckets alone.
        buckets = 1 << (wanted - 1).bit_length()
    own = {field: value for field, value in node.items() if field != key}
    values: dict[str, Any] = {f"{kind}/{name}": {**own, "buckets": buckets}}
    for member, value in members.items():
        part = f"{below}/{name}/{parts.bucket_of(member, buckets)}"
        values.setdefault(part, {})[member] = value
    return values


def publish(document: str, previous: Publication | None = None) -> Publication:
    """Makes the values that an operator publishes for a document.

    Args:
      document: JSON of `schema.Document`.
      previous: What was published before, if known.

    Returns:
      The publication.

    Raises:
      SettingsError: The document isn't valid, or a part is too large.
    """
    texts = split(document)
    hashes = {part: parts.hash_of(text) for part, text in texts.items()}
    index = parts.index_text(hashes)
    texts_by_hash = {parts.hash_of(text): text for text in texts.values()}
    texts_by_hash[parts.hash_of(index)] = index
    for text in texts_by_hash.values():
        parts.check_size(text.encode())
    fields = json.loads(document)
    head = parts.Head(
        revision=fields["revision"],
        index=parts.hash_of(index),
        published_by=fields["published_by"],
        published_at=fields.get("published_at", ""),
        changes=_changes(previous, fields["revision"], hashes),
    )
    return Publication(head, texts_by_hash)


def _changes(
    previous: Publication | None, revision: int, hashes: dict[str, str]
) -> tuple[parts.Change, ...]:
    if previous is None:
        return ()
    old = json.loads(previous.texts_by_hash[previous.head.index])
    change = parts.Change(
        revision=revision,
        previous=previous.head.index,
        parts=_index_change(old, hashes),
    )
    return (*previous.head.changes, change)[-_CHANGES_IN_HEAD:]


def _index_change(
    old: dict[str, str], new: dict[str, str]
) -> dict[str, str | None]:
    names = old.keys() | new.keys()
    return {
        name: new.get(name)
        for name in sorted(names)
        if old.get(name) != new.get(name)
    }
