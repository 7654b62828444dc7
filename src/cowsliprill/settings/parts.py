"""The tree split into parts, so that a change moves only what changed.

The platform holds values of up to a megabyte. One value, the head, names the
revision and the hash of the index; the index names the hash of each part;
index and parts are stored under their hash. A part read from anywhere (a stale
replica, a peer) is therefore either exactly the one meant or refused.

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
from cowsliprill.settings import errors
from cowsliprill.settings import packed
from cowsliprill.settings import schema

HEAD_NAME = "settings.head"
PART_PREFIX = "settings.part."
MAX_VALUE_BYTES = 1_000_000

_HASH_DIGITS = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """What one revision changed in the index.

    Attributes:
      revision: The revision.
      previous: Hash of the index that it changed.
      parts: New hash by part name; None for a part that went.
    """

    revision: int
    previous: str
    parts: dict[str, str | None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The small value that readers watch.

    Attributes:
      revision: Number of the revision.
      index: Hash of the index.
      published_by: Operator who published it.
      published_at: When, as the operator's tool wrote it.
      changes: The last revisions' changes, oldest first.
    """

    revision: int
    index: str
    published_by: str
    published_at: str = ""
    changes: tuple[Change, ...] = ()


def hash_of(text: str) -> str:
    """Returns the hash under which a text is stored."""
    return hashlib.sha256(text.encode()).hexdigest()[:_HASH_DIGITS]


def canonical(value: Any) -> str:
    """Writes JSON of which equal values give equal texts."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def bucket_of(name: str, buckets: int) -> int:
    """Returns the bucket of a child customer's or endpoint's name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % buckets


def head_text(head: Head) -> str:
    """Writes a head as JSON."""
    return codec.encode(head).decode()


def read_head(text: bytes) -> Head:
    """Reads a head.

    Args:
      text: JSON of `Head`.

    Returns:
      The head.

    Raises:
      SettingsError: The text isn't a head.
    """
    check_size(text)
    try:
        head = codec.decode(Head, text)
    except codec.CodecError as error:
        raise errors.SettingsError(f"head: {error}") from error
    if not 1 <= head.revision <= schema.MAX_REVISION:
        raise errors.SettingsError(f"head: revision {head.revision}")
    return head


def read_members(text: str, where: str) -> dict[str, Any]:
    """Reads a part of child users or endpoints.

    Args:
      text: Its text.
      where: Path in the tree, for the message.

    Returns:
      JSON values by name.

    Raises:
      SettingsError: It isn't a JSON object.
    """
    try:
        members = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(
            f"{where}: not JSON: {error}", code="settings_not_json"
        ) from error
    if not isinstance(members, dict):
        raise errors.SettingsError(f"{where}: not an object")
    return members


def check_bucket(name: str, buckets: int, bucket: int, where: str) -> None:
    """Refuses what stands in a bucket that its name doesn't hash to.

    The bucket is found from the name. A customer elsewhere would be listed but
    never found, and its calls refused; and one name could stand twice.

    Args:
      name: Name of the child customer or endpoint.
      buckets: Number of buckets.
      bucket: Where it stands.
      where: Path in the tree, for the message.

    Raises:
      SettingsError: It stands in the wrong bucket, or the name isn't one.
    """
    if not schema.is_name(name):
        raise errors.SettingsError(f"{where}: {name!r} is not a name")
    if bucket_of(name, buckets) != bucket:
        raise errors.SettingsError(f"{where}.{name}: stands in the wrong part")


def index_of(
    texts_by_part: Mapping[str, str],
) -> tuple[dict[str, str], Callable[[str], packed.PackedText]]:
    """Returns the index of texts at hand, and what gives the text of a hash."""
    index = {part: hash_of(text) for part, text in texts_by_part.items()}
    texts = {
        index[part]: packed.PackedText(text)
        for part, text in texts_by_part.items()
    }
    return index, texts.__getitem__


def index_text(hashes_by_part: Mapping[str, str]) -> str:
    """Writes an index."""
    return canonical(dict(hashes_by_part))


def derive_index(
    head: Head, index_hash: str, hashes_by_part: Mapping[str, str]
) -> dict[str, str] | None:
    """Works out the head's index from an older one and the head's changes.

    Args:
      head: The head.
      index_hash: Hash of the older index.
      hashes_by_part: The older index.

    Returns:
      The head's index, or None if the changes don't lead to it; then the whole
      index has to be read.
    """
    current = index_hash
    derived = dict(hashes_by_part)
    for change in head.changes:
        if change.previous != current:
            continue
        for part, new_hash in change.parts.items():
            if new_hash is None:
                derived.pop(part, None)
            else:
                derived[part] = new_hash
        current = hash_of(index_text(derived))
    return derived if current == head.index else None


def checked_text(content: bytes, text_hash: str) -> str:
    """Checks the bytes that came for a hash.

    Args:
      content: The bytes.
      text_hash: Hash that was asked for.

    Returns:
      The text.

    Raises:
      SettingsError: They are too many, or not the ones of the hash: a reader
        got half a value, or another's.
    """
    check_size(content)
    try:
        text = content.decode()
    except UnicodeDecodeError:
        text = ""
    if hash_of(text) != text_hash:
        raise errors.SettingsError(
            f"part {text_hash}: the content has another hash",
            code="part_mismatch",
        )
    return text


def read_index(text: str) -> dict[str, str]:
    """Reads an index.

    Args:
      text: JSON object of hash by part name.

    Returns:
      The index.

    Raises:
      SettingsError: It isn't one.
    """
    try:
        return codec.decode(dict[str, str], text)
    except codec.CodecError as error:
        raise errors.SettingsError(f"index: {error}") from error


def check_size(value: bytes) -> None:
    """Refuses a value that the platform couldn't hold.

    Args:
      value: The bytes.

    Raises:
      SettingsError: There are too many.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise errors.SettingsError(
            f"value of {len(value)} bytes, allowed are {MAX_VALUE_BYTES}",
            code="value_too_large",
        )
