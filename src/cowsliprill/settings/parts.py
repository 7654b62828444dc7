"""Content-addressed parts of the settings tree, for incremental updates.

The platform stores values of up to a megabyte. One value, the head, has the
revision and the hash of the index; the index maps each part to its hash; index
and parts are stored under their hashes. A part read from any source (a stale
replica, a peer) therefore either matches its hash or is rejected.

Parts are `root`, `user/NAME`, `children/NAME/BUCKET` (the child users of NAME
whose names hash to BUCKET), `pool/NAME` and `endpoints/NAME/BUCKET`.
"""

import dataclasses
import hashlib
import json
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import xxhash

from cowsliprill import codec
from cowsliprill.settings import compressed_text
from cowsliprill.settings import errors
from cowsliprill.settings import schema

HEAD_NAME = "settings.head"
PART_PREFIX = "settings.part."
MAX_VALUE_BYTES = 1_000_000

_HASH_HEX_DIGITS = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IndexChange:
    """Difference between the indexes of two successive revisions.

    Attributes:
      revision: The later revision.
      previous: Hash of the index before the change.
      parts: New hash by part name; None for a removed part.
    """

    revision: int
    previous: str
    parts: dict[str, str | None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Small value that identifies the latest version; VMs watch it.

    Attributes:
      revision: Revision number.
      index: Hash of the index.
      published_by: Operator who published the revision.
      published_at: Time of publication, as written by the operator's tool.
      changes: Index changes of the last revisions, oldest first.
    """

    revision: int
    index: str
    published_by: str
    published_at: str = ""
    changes: tuple[IndexChange, ...] = ()


def content_hash(text: str) -> str:
    """Returns the hash under which a text is stored."""
    return hashlib.sha256(text.encode()).hexdigest()[:_HASH_HEX_DIGITS]


def canonical_json(value: Any) -> str:
    """Encodes a value as canonical JSON: equal values give equal texts."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def bucket_of(name: str, buckets: int) -> int:
    """Returns the hash bucket of the name of a child customer or endpoint."""
    return xxhash.xxh3_64_intdigest(name.encode()) % buckets


def encode_head(head: Head) -> str:
    """Encodes a head as JSON."""
    return codec.encode(head).decode()


def parse_head(text: bytes) -> Head:
    """Parses a head.

    Args:
      text: JSON of `Head`.

    Returns:
      The head.

    Raises:
      SettingsError: The text is too large or not a valid head.
    """
    check_size(text)
    try:
        head = codec.decode(Head, text)
    except codec.CodecError as error:
        raise errors.SettingsError(f"head: {error}") from error
    if not 1 <= head.revision <= schema.MAX_REVISION:
        raise errors.SettingsError(
            f"head: revision {head.revision} out of range"
        )
    return head


def parse_members(text: str, tree_path: str) -> dict[str, Any]:
    """Parses a part that contains child users or endpoints.

    Args:
      text: Text of the part.
      tree_path: Path in the tree, for error messages.

    Returns:
      JSON values by name.

    Raises:
      SettingsError: The text isn't a JSON object.
    """
    try:
        members = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(
            f"{tree_path}: not JSON: {error}", code="settings_not_json"
        ) from error
    if not isinstance(members, dict):
        raise errors.SettingsError(f"{tree_path}: not an object")
    return members


def check_bucket(name: str, buckets: int, bucket: int, tree_path: str) -> None:
    """Checks that an entry is in the bucket that its name hashes to.

    Lookups compute the bucket from the name. A customer in another bucket
    would be listed but never found, and its calls rejected; a name could also
    occur twice.

    Args:
      name: Name of the child customer or endpoint.
      buckets: Number of buckets.
      bucket: Bucket that contains the entry.
      tree_path: Path in the tree, for error messages.

    Raises:
      SettingsError: The bucket is wrong, or the name is invalid.
    """
    if not schema.is_valid_name(name):
        raise errors.SettingsError(f"{tree_path}: {name!r} is not a name")
    if bucket_of(name, buckets) != bucket:
        raise errors.SettingsError(
            f"{tree_path}.{name}: stands in the wrong part"
        )


def build_index(
    texts_by_part: Mapping[str, str],
) -> tuple[dict[str, str], Callable[[str], compressed_text.CompressedText]]:
    """Returns the index of the texts, and a lookup of texts by hash."""
    index = {part: content_hash(text) for part, text in texts_by_part.items()}
    texts = {
        index[part]: compressed_text.CompressedText(text)
        for part, text in texts_by_part.items()
    }
    return index, texts.__getitem__


def encode_index(hashes_by_part: Mapping[str, str]) -> str:
    """Encodes an index as canonical JSON."""
    return canonical_json(dict(hashes_by_part))


def derive_index(
    head: Head, index_hash: str, hashes_by_part: Mapping[str, str]
) -> dict[str, str] | None:
    """Derives the index of a head from an older index and the head's changes.

    Args:
      head: The head.
      index_hash: Hash of the older index.
      hashes_by_part: The older index.

    Returns:
      The index of the head, or None if the changes don't lead to its hash;
      then the whole index must be fetched.
    """
    current_hash = index_hash
    derived_index = dict(hashes_by_part)
    for change in head.changes:
        if change.previous != current_hash:
            continue
        for part, new_hash in change.parts.items():
            if new_hash is None:
                derived_index.pop(part, None)
            else:
                derived_index[part] = new_hash
        current_hash = content_hash(encode_index(derived_index))
    return derived_index if current_hash == head.index else None


def verified_text(content: bytes, text_hash: str) -> str:
    """Decodes content and verifies it against its hash.

    Args:
      content: Bytes received for the hash.
      text_hash: Hash that was requested.

    Returns:
      The decoded text.

    Raises:
      SettingsError: The content is too large, or doesn't match the hash
        because it is truncated or belongs to another value.
    """
    check_size(content)
    try:
        text = content.decode()
    except UnicodeDecodeError:
        text = ""
    if content_hash(text) != text_hash:
        raise errors.SettingsError(
            f"part {text_hash}: content doesn't match the hash",
            code="part_mismatch",
        )
    return text


def parse_index(text: str) -> dict[str, str]:
    """Parses an index.

    Args:
      text: JSON object of hash by part name.

    Returns:
      The index.

    Raises:
      SettingsError: The text isn't a valid index.
    """
    try:
        return codec.decode(dict[str, str], text)
    except codec.CodecError as error:
        raise errors.SettingsError(f"index: {error}") from error


def check_size(value: bytes) -> None:
    """Checks a value against the size limit of the platform.

    Args:
      value: Bytes of the value.

    Raises:
      SettingsError: The value is larger than `MAX_VALUE_BYTES`.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise errors.SettingsError(
            f"value of {len(value)} bytes, allowed are {MAX_VALUE_BYTES}",
            code="value_too_large",
        )
