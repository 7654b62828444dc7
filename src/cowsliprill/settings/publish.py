"""Conversion of a settings document to the values published on the platform.

Parts and index are written first and the head last, so that a reader of the
head finds everything that the head references.
"""

import dataclasses
import json
from typing import Any

from cowsliprill.settings import parts
from cowsliprill.settings import schema

# 32 child users or endpoints make a part of about 4 KB. At 25,000 changes a
# day, one part per change stays below the limit of 4 KB/s per VM.
_TARGET_NAMES_PER_BUCKET = 32

# Changes repeated in the head, so that a VM a few revisions behind needn't
# fetch the whole index.
_MAX_CHANGES_IN_HEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """Values of one revision; the head must be written last.

    Attributes:
      head: Head of the revision.
      texts_by_hash: Texts of the index and of all parts, by hash.
    """

    head: parts.Head
    texts_by_hash: dict[str, str]


def split(document: str) -> dict[str, str]:
    """Splits a settings document into parts.

    Args:
      document: JSON of `schema.Document`.

    Returns:
      Text by part name.

    Raises:
      SettingsError: The document is invalid.
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
        values.update(_split_node("user", "children", "users", name, customer))
    for name, pool in tree.get("pools", {}).items():
        values.update(_split_node("pool", "endpoints", "endpoints", name, pool))
    return {name: parts.canonical_json(value) for name, value in values.items()}


def _split_node(
    kind: str, children_prefix: str, key: str, name: str, node: dict[str, Any]
) -> dict[str, Any]:
    """Splits a node into a part of its own fields and buckets of children."""
    members = node.get(key, {})
    buckets = 0
    if members:
        min_buckets = -(-len(members) // _TARGET_NAMES_PER_BUCKET)
        # Powers of two keep the bucket count stable under most growth.
        buckets = 1 << (min_buckets - 1).bit_length()
    own_fields = {field: value for field, value in node.items() if field != key}
    values: dict[str, Any] = {
        f"{kind}/{name}": {**own_fields, "buckets": buckets}
    }
    for member, value in members.items():
        part = f"{children_prefix}/{name}/{parts.bucket_of(member, buckets)}"
        values.setdefault(part, {})[member] = value
    return values


def publish(document: str, previous: Publication | None = None) -> Publication:
    """Converts a document to the values to publish.

    Args:
      document: JSON of `schema.Document`.
      previous: Publication of the previous revision, if known.

    Returns:
      The publication.

    Raises:
      SettingsError: The document is invalid, or a part is too large.
    """
    texts = split(document)
    hashes = {part: parts.content_hash(text) for part, text in texts.items()}
    index = parts.encode_index(hashes)
    texts_by_hash = {parts.content_hash(text): text for text in texts.values()}
    texts_by_hash[parts.content_hash(index)] = index
    for text in texts_by_hash.values():
        parts.check_size(text.encode())
    fields = json.loads(document)
    head = parts.Head(
        revision=fields["revision"],
        index=parts.content_hash(index),
        published_by=fields["published_by"],
        published_at=fields.get("published_at", ""),
        changes=_recent_changes(previous, fields["revision"], hashes),
    )
    return Publication(head, texts_by_hash)


def _recent_changes(
    previous: Publication | None, revision: int, hashes: dict[str, str]
) -> tuple[parts.IndexChange, ...]:
    if previous is None:
        return ()
    old_index = json.loads(previous.texts_by_hash[previous.head.index])
    change = parts.IndexChange(
        revision=revision,
        previous=previous.head.index,
        parts=_index_diff(old_index, hashes),
    )
    return (*previous.head.changes, change)[-_MAX_CHANGES_IN_HEAD:]


def _index_diff(
    old_index: dict[str, str], new_index: dict[str, str]
) -> dict[str, str | None]:
    names = old_index.keys() | new_index.keys()
    return {
        name: new_index.get(name)
        for name in sorted(names)
        if old_index.get(name) != new_index.get(name)
    }
