"""Tests of how large settings go from VM to VM."""

import asyncio
import base64
import json
import random
import zlib

import pytest
from tests import lone_source
from tests import platform_site

from cowsliprill import codec
from cowsliprill.decisions import registry_view
from cowsliprill.registry import peers

_KEY = "op/config"


def _large_config(routes: int = 2_000) -> bytes:
    rng = random.Random(1)
    config = platform_site.config()
    first = config["routes"][0]
    config["routes"] = [
        {**first, "name": f"r-{rng.getrandbits(32):x}", "pathPrefix": f"/{n}/"}
        for n in range(routes)
    ]
    return json.dumps(config).encode()


def _round_trip(value: bytes) -> tuple[int, registry_view.RegistryUpdate]:
    entry = registry_view.Entry(key=_KEY, value=value, revision=7)
    news = registry_view.RegistryUpdate(changes=(entry,), position=7)
    body = codec.encode_short(peers._on_wire(news))
    return len(body), peers._from_wire(codec.decode(peers.WireNews, body))


class TestWire:
    """Settings of thousands of routes must not fill a slow link."""

    def test_large_settings_are_compressed(self):
        """Guards against peers that give up on each other on slow links."""
        value = _large_config()
        size, news = _round_trip(value)
        assert size < len(value) / 5
        assert news.changes[0].value == value

    def test_small_entries_go_as_they_are(self):
        _, news = _round_trip(b"{}")
        assert news.changes[0].value == b"{}"

    def test_a_peer_that_sends_too_much_is_refused(self, monkeypatch):
        """Guards against a few bytes that unpack to all of the memory."""
        monkeypatch.setattr(peers, "_VALUE_MAX_BYTES", 100_000)
        packed = base64.b64encode(zlib.compress(b"x" * 200_000)).decode()
        change = peers.WireChange(
            key=_KEY, revision=1, value=packed, compressed=True
        )
        with pytest.raises(ValueError, match="over 100000 bytes"):
            peers._from_wire(peers.WireNews(changes=(change,)))


class TestNotification:
    """Peers hear of settings before these have been read here."""

    def test_peers_are_notified_before_the_settings_are_in_force(self):
        """Guards against a delay of a whole reading at each hop."""

        async def scenario():
            source = lone_source.make()
            notified = []
            source.subscribe_newest(lambda: notified.append(source.newest()))
            entry = registry_view.Entry(
                key=_KEY, value=_large_config(), revision=7
            )
            view = source.views_by_prefix[_KEY]
            source._take_settings(view.apply_watch([entry], 7))
            return notified, source.snapshot.revision

        assert asyncio.run(scenario()) == ([(7, 0)], 0)
