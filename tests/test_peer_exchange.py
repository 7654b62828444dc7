"""Tests of `registry.peer_exchange`: transfer of large settings between VMs."""

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
from cowsliprill.registry import peer_exchange

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
    update = registry_view.RegistryUpdate(changes=(entry,), position=7)
    body = codec.encode_without_defaults(peer_exchange._update_to_wire(update))
    return len(body), peer_exchange._update_from_wire(
        codec.decode(peer_exchange.WireUpdate, body)
    )


class TestWireFormat:
    """Settings with thousands of routes must not saturate a slow link."""

    def test_large_settings_are_compressed(self):
        """Guards against requests between peers timing out on slow links."""
        value = _large_config()
        size, update = _round_trip(value)
        assert size < len(value) / 5
        assert update.changes[0].value == value

    def test_small_entries_arrive_unchanged(self):
        _, update = _round_trip(b"{}")
        assert update.changes[0].value == b"{}"

    def test_oversized_decompressed_value_is_rejected(self, monkeypatch):
        """Guards against decompression bombs that exhaust the memory."""
        monkeypatch.setattr(peer_exchange, "_VALUE_MAX_BYTES", 100_000)
        packed = base64.b64encode(zlib.compress(b"x" * 200_000)).decode()
        change = peer_exchange.WireChange(
            key=_KEY, revision=1, value=packed, compressed=True
        )
        with pytest.raises(ValueError, match="over 100000 bytes"):
            peer_exchange._update_from_wire(
                peer_exchange.WireUpdate(changes=(change,))
            )


class TestNotification:
    """New settings are announced to peers before they are parsed."""

    def test_peers_are_notified_before_the_settings_are_in_force(self):
        """Guards against a delay by the parsing time at each hop."""

        async def scenario():
            source = lone_source.make()
            notified = []
            source.subscribe_revisions(lambda: notified.append(source.newest()))
            entry = registry_view.Entry(
                key=_KEY, value=_large_config(), revision=7
            )
            view = source.views_by_prefix[_KEY]
            source._apply_settings_changes(view.apply_watch([entry], 7))
            return notified, source.snapshot.revision

        assert asyncio.run(scenario()) == ([(7, 0)], 0)
