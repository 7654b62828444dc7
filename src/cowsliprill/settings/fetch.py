"""Fetches missing parts of a settings version from peers or the platform."""

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
_MAX_HASHES_PER_REQUEST = 4_000
_MAX_PEERS_QUERIED = 2
_PARTS_REQUEST_TIMEOUT_S = 5.0

# Other sources are tried after this time without a part from the platform.
_PLATFORM_NO_PROGRESS_TIMEOUT_S = 1.5

# Parts read from the platform before peers are queried again. If all VMs start
# at once, each reads a few parts and gets the rest from its peers; if each read
# all parts, the platform's rate limit would stretch the start to half an hour.
_MAX_PLATFORM_PARTS_PER_ROUND = 32

# Up to this many missing parts, the platform is queried before peers. A VM that
# lacks more is far behind, and would use up the call rate that all VMs share.
_MAX_MISSING_FOR_PLATFORM_FIRST = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PartsRequest:
    """Request to a peer for parts, by hash."""

    hashes: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PartsReply:
    """Reply with the texts that the peer has, by hash."""

    texts: dict[str, str]


class Source(Protocol):
    """Source of parts, addressed by hash."""

    async def fetch(self, hashes: list[str]) -> list[str]:
        """Returns the texts found, each verified against its hash."""


class PeerSource:
    """Source that fetches parts from a settings process on any VM.

    Args:
      client: HTTP client.
      url: URL of the settings process.
    """

    def __init__(self, client: peer_client.PeerClient, url: str) -> None:
        self._client = client
        self._url = url

    async def fetch(self, hashes: list[str]) -> list[str]:
        """Returns the texts found, each verified against its hash."""
        texts = []
        remaining = list(hashes)
        while remaining:
            try:
                received = await self._request_parts(
                    remaining[:_MAX_HASHES_PER_REQUEST]
                )
            except (
                peer_client.PeerError,
                codec.CodecError,
                errors.SettingsError,
                UnicodeError,
            ):
                break
            if not received:
                break
            texts += received.values()
            # A peer limits the reply size; request the remaining parts again.
            remaining = [
                text_hash
                for text_hash in remaining
                if text_hash not in received
            ]
        return texts

    async def _request_parts(self, hashes: list[str]) -> dict[str, str]:
        reply = await self._client.call(
            "POST",
            self._url + peers.PARTS_PATH,
            codec.encode(PartsRequest(hashes)),
            timeout_s=_PARTS_REQUEST_TIMEOUT_S,
        )
        if reply.status != _STATUS_OK:
            return {}
        texts = codec.decode(PartsReply, reply.body).texts
        return {
            text_hash: parts.verified_text(texts[text_hash].encode(), text_hash)
            for text_hash in hashes
            if text_hash in texts
        }


class PlatformSource:
    """Source that fetches parts from the platform, one call per part.

    Args:
      client: Client of the platform.
      random_source: Shuffles the parts, so that VMs starting at the same time
        read different parts first and get the others from each other.
    """

    def __init__(
        self,
        client: platform_client.PlatformClient,
        random_source: random.Random,
    ) -> None:
        self._client = client
        self._random = random_source

    async def fetch(self, hashes: list[str]) -> list[str]:
        """Returns some of the texts, each verified against its hash."""
        texts: list[str] = []
        count = min(len(hashes), _MAX_PLATFORM_PARTS_PER_ROUND)
        remaining = self._random.sample(hashes, count)
        backoff = pacing.Backoff(self._random)
        no_progress_deadline = clock.now() + _PLATFORM_NO_PROGRESS_TIMEOUT_S
        while remaining and clock.now() < no_progress_deadline:
            try:
                texts.append(await self._client.part(remaining[-1]))
            except errors.PlatformError:
                # Without a retry, a platform that drops most calls would have
                # to answer for the head and every part without a failure.
                await asyncio.sleep(backoff.next_delay_s())
                continue
            remaining.pop()
            backoff.reset()
            no_progress_deadline = clock.now() + _PLATFORM_NO_PROGRESS_TIMEOUT_S
        return texts


class Fetcher:
    """Fetches the missing parts of a version into a store.

    Args:
      store: Store of the parts.
      sources_for: Returns the sources to try, in order, for the URL that
        announced the version and the number of missing parts.
    """

    def __init__(
        self,
        store: store_lib.PartStore,
        sources_for: Callable[[str, int], list[Source]],
    ) -> None:
        self._store = store
        self._sources_for = sources_for

    async def complete(
        self, head: parts.Head, source_url: str
    ) -> dict[str, str]:
        """Fetches the missing index and parts of a version.

        Args:
          head: Head of the version.
          source_url: URL of the settings process that announced the version,
            or empty for the platform.

        Returns:
          Index of the version, hash by part name; the store has all its parts.

        Raises:
          SettingsError: Parts are missing at all sources (`part_missing`), or
            the index is invalid.
        """
        index = parts.derive_index(
            head, self._store.index_hash, self._store.hashes_by_part
        )
        if index is None:
            await self._fetch([head.index], source_url)
            index = parts.parse_index(self._store.text(head.index) or "")
        await self._fetch(list(index.values()), source_url)
        return index

    async def _fetch(self, hashes: list[str], source_url: str) -> None:
        missing = self._store.missing(hashes)
        previous_count = len(missing) + 1
        while 0 < len(missing) < previous_count:
            previous_count = len(missing)
            missing = await self._fetch_round(hashes, source_url)
        if missing:
            raise errors.SettingsError(
                f"{len(missing)} parts not found, for example {missing[0]}",
                code="part_missing",
            )

    async def _fetch_round(
        self, hashes: list[str], source_url: str
    ) -> list[str]:
        missing = self._store.missing(hashes)
        for source in self._sources_for(source_url, len(missing)):
            if not missing:
                break
            for text in await source.fetch(missing):
                self._store.add(text)
            missing = self._store.missing(hashes)
        return missing


def order_sources(
    source_url: str,
    missing: int,
    peer_urls: list[str],
    random_source: random.Random,
) -> list[str]:
    """Returns the sources to query for missing parts, in order.

    Args:
      source_url: URL of the settings process that announced the version, or
        empty for the platform.
      missing: Number of missing parts.
      peer_urls: URLs of the other VMs' settings processes.
      random_source: Source for the selection of peers.

    Returns:
      URLs of peers; an empty URL stands for the platform.
    """
    chosen = leaving_notices.sample_peers(
        peer_urls, _MAX_PEERS_QUERIED, random_source
    )
    if source_url:
        order = [source_url, "", *chosen]
    elif missing <= _MAX_MISSING_FOR_PLATFORM_FIRST:
        order = ["", *chosen]
    else:
        order = [*chosen, ""]
    return list(dict.fromkeys(order))


def answer_parts_request(
    store: store_lib.PartStore, body: bytes, max_bytes: int
) -> bytes:
    """Returns the reply to a peer's request for parts.

    Args:
      store: Store of the parts.
      body: JSON of `PartsRequest`.
      max_bytes: Limit of the texts' total length, counted in characters; one
        text is included whatever its size.

    Returns:
      JSON of `PartsReply`.

    Raises:
      CodecError: The body isn't a valid request.
    """
    texts: dict[str, str] = {}
    size = 0
    for text_hash in codec.decode(PartsRequest, body).hashes[
        :_MAX_HASHES_PER_REQUEST
    ]:
        text = store.text(text_hash)
        size += len(text or "")
        if text is None or (texts and size > max_bytes):
            continue
        texts[text_hash] = text
    return json.dumps({"texts": texts}).encode()
