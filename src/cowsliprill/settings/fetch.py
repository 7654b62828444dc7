"""Fetching what is missing of a version, from peers and the platform."""

import asyncio
import dataclasses
import json
import random
from collections.abc import Callable
from typing import Protocol

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import leaving_notices
from cowsliprill.decisions import pacing
from cowsliprill.settings import errors
from cowsliprill.settings import parts
from cowsliprill.settings import platform_client
from cowsliprill.settings import store as store_lib

_STATUS_OK = 200
_BULK_HASHES = 4_000
_PEERS_ASKED = 2
_BULK_TIMEOUT_S = 5.0

# So long without any part, other sources are tried.
_PLATFORM_PATIENCE_S = 1.5

# So many parts are read from the platform before peers are asked again. When
# all VMs start at once, each reads a few and gets the rest from the others;
# were each to read all, the platform's rate would make it take half an hour.
_PLATFORM_BATCH = 32

# Up to so many parts are read from the platform without asking peers first;
# above it the reader is far behind, and the platform's calls are for all.
_FEW = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PartsRequest:
    """Asks a peer for texts."""

    hashes: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PartsReply:
    """The texts that the peer holds, by hash."""

    texts: dict[str, str]


class Source(Protocol):
    """Something that gives the texts of hashes."""

    async def fetch(self, hashes: list[str]) -> list[str]:
        """Returns the texts it could get, each checked against its hash."""


class PeerSource:
    """A settings process, on this VM or another.

    Args:
      client: HTTP client.
      url: The process's URL.
    """

    def __init__(self, client: peer_client.PeerClient, url: str) -> None:
        self._client = client
        self._url = url

    async def fetch(self, hashes: list[str]) -> list[str]:
        """Returns the texts it could get, each checked against its hash."""
        texts = []
        left = list(hashes)
        while left:
            try:
                found = await self._bulk(left[:_BULK_HASHES])
            except (
                peer_client.PeerError,
                codec.CodecError,
                errors.SettingsError,
                UnicodeError,
            ):
                break
            if not found:
                break
            texts += found.values()
            # A peer bounds its answer, so the rest of a bulk is asked again.
            left = [each for each in left if each not in found]
        return texts

    async def _bulk(self, hashes: list[str]) -> dict[str, str]:
        reply = await self._client.call(
            "POST",
            self._url + peers.PARTS_PATH,
            codec.encode(PartsRequest(hashes)),
            timeout_s=_BULK_TIMEOUT_S,
        )
        if reply.status != _STATUS_OK:
            return {}
        texts = codec.decode(PartsReply, reply.body).texts
        return {
            each: parts.checked_text(texts[each].encode(), each)
            for each in hashes
            if each in texts
        }


class PlatformSource:
    """The platform, one call a part.

    Args:
      client: The platform's client.
      random_source: Mixes the order, so that VMs which all start at once read
        different parts first and get the others' from each other.
    """

    def __init__(
        self,
        client: platform_client.PlatformClient,
        random_source: random.Random,
    ) -> None:
        self._client = client
        self._random = random_source

    async def fetch(self, hashes: list[str]) -> list[str]:
        """Returns some of the texts, each checked against its hash."""
        texts: list[str] = []
        count = min(len(hashes), _PLATFORM_BATCH)
        left = self._random.sample(hashes, count)
        backoff = pacing.Backoff(self._random)
        gives_up_at = clock.now() + _PLATFORM_PATIENCE_S
        while left and clock.now() < gives_up_at:
            try:
                texts.append(await self._client.part(left[-1]))
            except errors.PlatformError:
                # Without another try, a platform that cuts most calls would
                # have to answer for the head and each part in a row.
                await asyncio.sleep(backoff.next_delay_s())
                continue
            left.pop()
            backoff.reset()
            gives_up_at = clock.now() + _PLATFORM_PATIENCE_S
        return texts


class Fetcher:
    """Completes a version's texts in a store.

    Args:
      store: Where texts are kept.
      sources_for: Returns the sources to try for a number of missing texts,
        in order; first comes where the version was heard of.
    """

    def __init__(
        self,
        store: store_lib.PartStore,
        sources_for: Callable[[str, int], list[Source]],
    ) -> None:
        self._store = store
        self._sources_for = sources_for

    async def complete(self, head: parts.Head, heard_at: str) -> dict[str, str]:
        """Fetches what is missing.

        Args:
          head: The version's head.
          heard_at: Where it was heard of: a URL, or empty for the platform.

        Returns:
          The version's index, hash by part name; the store has all texts.

        Raises:
          SettingsError: Something is still missing, or the index isn't valid.
        """
        index = parts.derive_index(
            head, self._store.index_hash, self._store.hashes_by_part
        )
        if index is None:
            await self._fetch([head.index], heard_at)
            index = parts.read_index(self._store.text(head.index) or "")
        await self._fetch(list(index.values()), heard_at)
        return index

    async def _fetch(self, hashes: list[str], heard_at: str) -> None:
        missing = self._store.missing(hashes)
        before = len(missing) + 1
        while 0 < len(missing) < before:
            before = len(missing)
            missing = await self._round(hashes, heard_at)
        if missing:
            raise errors.SettingsError(
                f"{len(missing)} parts can't be read, {missing[0]} among them",
                code="part_missing",
            )

    async def _round(self, hashes: list[str], heard_at: str) -> list[str]:
        missing = self._store.missing(hashes)
        for source in self._sources_for(heard_at, len(missing)):
            if not missing:
                break
            for text in await source.fetch(missing):
                self._store.add(text)
            missing = self._store.missing(hashes)
        return missing


def order_sources(
    heard_at: str,
    missing: int,
    peer_urls: list[str],
    random_source: random.Random,
) -> list[str]:
    """Orders where to look for missing parts.

    Args:
      heard_at: Where the version was heard of: a URL, or empty for the
        platform.
      missing: How many parts are missing.
      peer_urls: URLs of the other VMs' settings processes.
      random_source: Draws among them.

    Returns:
      URLs of peers; an empty one stands for the platform.
    """
    drawn = leaving_notices.sample_peers(peer_urls, _PEERS_ASKED, random_source)
    if heard_at:
        order = [heard_at, "", *drawn]
    elif missing <= _FEW:
        order = ["", *drawn]
    else:
        order = [*drawn, ""]
    return list(dict.fromkeys(order))


def reply(store: store_lib.PartStore, body: bytes, max_bytes: int) -> bytes:
    """Answers a peer's request for texts.

    Args:
      store: The texts held.
      body: JSON of `PartsRequest`.
      max_bytes: Bound of the answer.

    Returns:
      JSON of `PartsReply`.

    Raises:
      CodecError: The body isn't a request.
    """
    texts: dict[str, str] = {}
    size = 0
    for each in codec.decode(PartsRequest, body).hashes[:_BULK_HASHES]:
        text = store.text(each)
        size += len(text or "")
        if text is None or (texts and size > max_bytes):
            continue
        texts[each] = text
    return json.dumps({"texts": texts}).encode()
