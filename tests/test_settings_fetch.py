"""Tests of `settings.fetch`."""

import asyncio
import json
import random

from cowsliprill.settings import fetch
from cowsliprill.settings import measure
from cowsliprill.settings import publish
from cowsliprill.settings import store as store_lib

_VMS = 6


class _Platform:
    """Platform that returns one part per call and counts the calls."""

    def __init__(self, texts_by_hash: dict[str, str]) -> None:
        self._texts_by_hash = texts_by_hash
        self.calls = 0

    async def part(self, part_hash: str) -> str:
        self.calls += 1
        await asyncio.sleep(0)
        return self._texts_by_hash[part_hash]


class _Peer:
    """Peer that reads from another VM's store without a network."""

    def __init__(self, store: store_lib.PartStore) -> None:
        self._store = store

    async def fetch(self, hashes: list[str]) -> list[str]:
        await asyncio.sleep(0)
        texts = [self._store.text(each) for each in hashes]
        return [text for text in texts if text is not None]


def _fetcher(
    own_index: int, stores: list[store_lib.PartStore], platform: _Platform
) -> fetch.Fetcher:
    random_source = random.Random(own_index)
    names = [str(each) for each in range(_VMS) if each != own_index]

    def sources(source_url: str, missing: int) -> list[fetch.Source]:
        order = fetch.order_sources(source_url, missing, names, random_source)
        return [
            _Peer(stores[int(name)])
            if name
            else fetch.PlatformSource(platform, random_source)
            for name in order
        ]

    return fetch.Fetcher(stores[own_index], sources)


async def _start_all() -> tuple[int, int]:
    tree = measure.tree_of_size(6_000, 30)
    publication = publish.publish(json.dumps(tree))
    platform = _Platform(publication.texts_by_hash)
    stores = [store_lib.PartStore() for _ in range(_VMS)]
    await asyncio.gather(
        *(
            _fetcher(own_index, stores, platform).complete(publication.head, "")
            for own_index in range(_VMS)
        )
    )
    for store in stores:
        assert not store.missing(publication.texts_by_hash)
    return platform.calls, len(publication.texts_by_hash)


class TestColdStart:
    """All VMs start at once without any settings."""

    def test_vms_share_the_platform_reads(self) -> None:
        """The platform limits the total call rate of all VMs.

        Guards against each VM reading every part from the platform: a large
        fleet would need half an hour to restart after an outage.
        """
        calls, texts = asyncio.run(_start_all())
        assert calls < texts * _VMS / 2


class TestOrderSources:
    """Order of the sources for missing parts."""

    def test_the_announcing_peer_comes_first(self) -> None:
        order = fetch.order_sources("b", 1, ["a", "b"], random.Random(1))
        assert order[:2] == ["b", ""]

    def test_with_many_missing_parts_peers_come_first(self) -> None:
        order = fetch.order_sources("", 500, ["a", "b"], random.Random(1))
        assert order[-1] == ""
        assert fetch.order_sources("", 1, ["a"], random.Random(1)) == ["", "a"]
