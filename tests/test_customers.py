"""Tests of customers' API keys on the platform."""

import asyncio
import json
from typing import Any

import pytest
from tests import platform_site

from cowsliprill.decisions import model
from cowsliprill.platform import catalog

_SAFE = platform_site.SAFE_PATH
_MODEL = platform_site.MODEL_PATH
_BOUND_MS = 1_500


def _tenant(name: str, *keys: str, **more: Any) -> dict[str, Any]:
    return {"name": name, "apiKeys": list(keys), "priority": 1, **more}


def _config(version: int, *tenants: dict, public: bool = False) -> dict:
    config = platform_site.config(version, tenants=list(tenants))
    for route in config["routes"]:
        route["public"] = public
    return config


def _on_site(scenario, *tenants: dict, public: bool = False, **fields):
    async def run():
        async with platform_site.running(**fields) as site:
            await _publish(site, _config(2, *tenants, public=public))
            return await scenario(site)

    return asyncio.run(run())


async def _publish(site: platform_site.Site, config: dict) -> None:
    await site.store.put("op/config", config)
    line = f"event=settings_in_force version={config['version']} "
    await platform_site.until(
        lambda: all(line in log.getvalue() for log in site.logs)
    )


def _key(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}


def _arrived(site: platform_site.Site) -> list:
    return [
        item for engine in site.engines.values() for item in engine.requests
    ]


class TestKeys:
    """A key names the customer; nothing but its name goes on."""

    @pytest.mark.parametrize("path", [_SAFE, _MODEL])
    def test_engines_get_the_customers_name_and_no_key(self, path):
        """Guards against an engine that learns a key, or a forged name."""

        async def scenario(site):
            headers = {**_key("k1"), "Tenant": "rival"}
            status, _, _ = await site.call(path, headers=headers)
            return status, _arrived(site)

        status, requests = _on_site(scenario, _tenant("firm", "k1"))
        assert status == 200
        for request in requests:
            assert request.headers.get_list("Tenant") == ["firm"]
            assert "Authorization" not in request.headers

    @pytest.mark.parametrize("headers", [{}, _key("other"), _key("")])
    def test_without_a_known_key(self, headers):
        async def scenario(site):
            status, _, _ = await site.call(_SAFE, headers=headers)
            return status, site.runs()

        assert _on_site(scenario, _tenant("firm", "k1")) == (401, [])

    def test_a_public_route_needs_no_key(self):
        async def scenario(site):
            status, _, _ = await site.call(_SAFE, headers={"Tenant": "firm"})
            return status, _arrived(site)

        status, (request,) = _on_site(
            scenario, _tenant("firm", "k1"), public=True
        )
        assert status == 200
        assert "Tenant" not in request.headers

    def test_without_customers_headers_pass(self):
        async def scenario(site):
            status, _, _ = await site.call(_SAFE, headers=_key("own"))
            return status, _arrived(site)

        status, (request,) = _on_site(scenario)
        assert status == 200
        assert request.headers["Authorization"] == "Bearer own"

    def test_a_new_key_is_known_and_an_old_one_forgotten(self):
        async def scenario(site):
            await _publish(site, _config(3, _tenant("firm", "k2")))
            old = await site.call(_SAFE, headers=_key("k1"))
            new = await site.call(_SAFE, headers=_key("k2"))
            return old[0], new[0]

        assert _on_site(scenario, _tenant("firm", "k1")) == (401, 200)

    def test_a_key_is_never_logged(self):
        async def scenario(site):
            await site.call(_SAFE, headers=_key("secret-key"))
            await site.call(_SAFE, headers=_key("other-secret"))
            return "".join(log.getvalue() for log in site.logs)

        logged = _on_site(scenario, _tenant("firm", "secret-key"))
        assert "secret" not in logged


class TestRevocation:
    """A VM that can't reach the store stops honouring keys in time."""

    def test_keys_are_refused_while_the_store_is_away(self):
        """Guards against a revoked key that works at a VM out of touch."""

        async def scenario(site):
            before = await site.call(_SAFE, headers=_key("k1"))
            await site.store.fail(503)
            router = site.routers[0]
            await platform_site.until(lambda: not router.accepts_api_keys())
            refused = await site.call(_SAFE, headers=_key("k1"))
            runs = site.runs()
            site.store.status = 0
            await platform_site.until(router.accepts_api_keys)
            after = await site.call(_SAFE, headers=_key("k1"))
            return before[0], refused, runs, after[0]

        before, refused, runs, after = _on_site(
            scenario, _tenant("firm", "k1"), key_revocation_ms=_BOUND_MS
        )
        assert (before, refused[0], after) == (200, 503, 200)
        assert float(refused[1]["Retry-After"]) > 0
        assert runs == ["a1"]

    def test_public_routes_go_on(self):
        async def scenario(site):
            await site.store.fail(503)
            router = site.routers[0]
            await platform_site.until(lambda: not router.accepts_api_keys())
            status, _, _ = await site.call(_SAFE)
            site.store.status = 0
            return status

        status = _on_site(
            scenario,
            _tenant("firm", "k1"),
            public=True,
            key_revocation_ms=_BOUND_MS,
        )
        assert status == 200

    def test_a_vm_that_the_store_turns_away_hears_from_the_others(self):
        """Guards against refusals where a peer can show that keys hold."""

        async def scenario(site):
            door = platform_site.Door(site.store)
            cut = site.add_router(store=door.site.address)
            await platform_site.until(lambda: site.ready(cut))
            door.status = 503
            # Twice the bound: what was known before has long expired.
            await asyncio.sleep(2 * _BOUND_MS / 1_000)
            status, _, _ = await site.call(
                _SAFE, headers=_key("k1"), router=cut
            )
            await door.site.close()
            return status

        status = _on_site(
            scenario,
            _tenant("firm", "k1"),
            routers=2,
            key_revocation_ms=_BOUND_MS,
        )
        assert status == 200


class TestQuotas:
    """A customer above its quota is told when to come back."""

    def test_what_is_over_is_refused_at_every_vm(self):
        """Guards against a quota for each VM instead of for all."""

        async def scenario(site):
            refused = None
            admitted = 0
            while refused is None:
                status, headers, _ = await site.call(
                    _SAFE, headers=_key("k1"), router=admitted % 2
                )
                if status == 429:
                    refused = headers
                else:
                    admitted += 1
                    await asyncio.sleep(0.05)
            return refused, admitted, len(site.runs())

        refused, admitted, runs = _on_site(
            scenario,
            _tenant(
                "firm",
                "k1",
                unit="generation",
                uncachedTokens=4_000,
                ratePerS=100,
                burst=8_000,
            ),
            routers=2,
        )
        assert float(refused["Retry-After"]) > 0
        assert runs == admitted
        # Two VMs with a bucket each would admit at least four.
        assert 2 <= admitted <= 20

    def test_tokens_count_as_stated(self):
        async def scenario(site):
            statuses = []
            while 429 not in statuses and len(statuses) < 50:
                answer = await site.call(_MODEL, headers=_key("k1"))
                statuses.append(answer[0])
            return statuses

        tenant = _tenant(
            "firm", "k1", unit="generation", ratePerS=1, burst=8_000
        )
        assert 429 in _on_site(scenario, tenant)


class TestConfiguration:
    """What the operator says of customers, in the project's own types."""

    def test_customers_with_quotas(self):
        config = _config(
            2,
            _tenant(
                "large",
                "k1",
                unit="generation",
                uncachedTokens=200,
                ratePerS=3_000,
                burst=500,
            ),
            _tenant("small", "k2", "k3", ratePerS=1_000, burst=10),
            _tenant("free", "k4"),
        )
        settings = _settings(config)
        large, small, free = settings.customers_by_id.values()
        assert large.quota == model.Quota(
            per_s=3_000, burst=500, by_tokens=True, plain_cost=200
        )
        assert not small.quota.by_tokens
        assert free.quota is None
        assert (large.share, small.share, free.share) == (1.5, 0.5, 1.0)
        assert large.priority == -1
        assert len(settings.customers_by_key_hash) == 4

    def test_no_customers(self):
        assert not _settings(platform_site.config()).customers_by_id


def _settings(config: dict):
    translator = catalog.Catalog(0.2, 10.0)
    return asyncio.run(translator.settings(json.dumps(config).encode(), 1))
