"""Tests of customers' API keys and quotas on the platform."""

import asyncio
import json
from typing import Any

import pytest
from tests import platform_site

from cowsliprill.decisions import model
from cowsliprill.platform import catalog

_SAFE = platform_site.SAFE_PATH
_MODEL = platform_site.MODEL_PATH
_REVOCATION_LIMIT_MS = 1_500


def _tenant(name: str, *keys: str, **more: Any) -> dict[str, Any]:
    return {"name": name, "apiKeys": list(keys), "priority": 1, **more}


def _config(version: int, *tenants: dict, public: bool = False) -> dict:
    config = platform_site.config(version, tenants=list(tenants))
    for route in config["routes"]:
        route["public"] = public
    return config


def _run_on_site(scenario, *tenants: dict, public: bool = False, **fields):
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


def _auth_header(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}


def _received_requests(site: platform_site.Site) -> list:
    return [
        item for engine in site.engines.values() for item in engine.requests
    ]


class TestKeys:
    """A key identifies the customer; engines receive only the name."""

    @pytest.mark.parametrize("path", [_SAFE, _MODEL])
    def test_engines_get_customer_name_and_no_key(self, path):
        """Guards against keys sent to engines, and forged customer names."""

        async def scenario(site):
            headers = {**_auth_header("k1"), "Tenant": "rival"}
            status, _, _ = await site.call(path, headers=headers)
            return status, _received_requests(site)

        status, requests = _run_on_site(scenario, _tenant("firm", "k1"))
        assert status == 200
        for request in requests:
            assert request.headers.get_list("Tenant") == ["firm"]
            assert "Authorization" not in request.headers

    @pytest.mark.parametrize(
        "headers", [{}, _auth_header("other"), _auth_header("")]
    )
    def test_unknown_key_is_rejected(self, headers):
        async def scenario(site):
            status, _, _ = await site.call(_SAFE, headers=headers)
            return status, site.runs()

        assert _run_on_site(scenario, _tenant("firm", "k1")) == (401, [])

    def test_a_public_route_needs_no_key(self):
        async def scenario(site):
            status, _, _ = await site.call(_SAFE, headers={"Tenant": "firm"})
            return status, _received_requests(site)

        status, (request,) = _run_on_site(
            scenario, _tenant("firm", "k1"), public=True
        )
        assert status == 200
        assert "Tenant" not in request.headers

    def test_headers_pass_if_there_are_no_customers(self):
        async def scenario(site):
            status, _, _ = await site.call(_SAFE, headers=_auth_header("own"))
            return status, _received_requests(site)

        status, (request,) = _run_on_site(scenario)
        assert status == 200
        assert request.headers["Authorization"] == "Bearer own"

    def test_settings_change_replaces_keys(self):
        async def scenario(site):
            await _publish(site, _config(3, _tenant("firm", "k2")))
            with_old_key = await site.call(_SAFE, headers=_auth_header("k1"))
            with_new_key = await site.call(_SAFE, headers=_auth_header("k2"))
            return with_old_key[0], with_new_key[0]

        assert _run_on_site(scenario, _tenant("firm", "k1")) == (401, 200)

    def test_a_key_is_never_logged(self):
        async def scenario(site):
            await site.call(_SAFE, headers=_auth_header("secret-key"))
            await site.call(_SAFE, headers=_auth_header("other-secret"))
            return "".join(log.getvalue() for log in site.logs)

        logged = _run_on_site(scenario, _tenant("firm", "secret-key"))
        assert "secret" not in logged


class TestRevocation:
    """A VM that can't reach the store stops accepting keys in time."""

    def test_keys_are_refused_during_a_store_outage(self):
        """Guards against revoked keys accepted by a VM without the store."""

        async def scenario(site):
            before = await site.call(_SAFE, headers=_auth_header("k1"))
            await site.store.fail(503)
            router = site.routers[0]
            await platform_site.until(lambda: not router.accepts_api_keys())
            refused = await site.call(_SAFE, headers=_auth_header("k1"))
            runs = site.runs()
            site.store.status = 0
            await platform_site.until(router.accepts_api_keys)
            after = await site.call(_SAFE, headers=_auth_header("k1"))
            return before[0], refused, runs, after[0]

        before, refused, runs, after = _run_on_site(
            scenario,
            _tenant("firm", "k1"),
            key_revocation_ms=_REVOCATION_LIMIT_MS,
        )
        assert (before, refused[0], after) == (200, 503, 200)
        assert float(refused[1]["Retry-After"]) > 0
        assert runs == ["a1"]

    def test_public_routes_work_during_a_store_outage(self):
        async def scenario(site):
            await site.store.fail(503)
            router = site.routers[0]
            await platform_site.until(lambda: not router.accepts_api_keys())
            status, _, _ = await site.call(_SAFE)
            site.store.status = 0
            return status

        status = _run_on_site(
            scenario,
            _tenant("firm", "k1"),
            public=True,
            key_revocation_ms=_REVOCATION_LIMIT_MS,
        )
        assert status == 200

    def test_keys_work_at_a_partitioned_vm_with_peers(self):
        """Guards against refusals while a peer can confirm the keys."""

        async def scenario(site):
            proxy = platform_site.StoreAddress(site.store)
            partitioned = site.add_router(store=proxy.site.address)
            await platform_site.until(lambda: site.ready(partitioned))
            proxy.status = 503
            # Twice the revocation limit: the last confirmation by the store
            # itself has expired.
            await asyncio.sleep(2 * _REVOCATION_LIMIT_MS / 1_000)
            status, _, _ = await site.call(
                _SAFE, headers=_auth_header("k1"), router=partitioned
            )
            await proxy.site.close()
            return status

        status = _run_on_site(
            scenario,
            _tenant("firm", "k1"),
            routers=2,
            key_revocation_ms=_REVOCATION_LIMIT_MS,
        )
        assert status == 200


class TestQuotas:
    """A customer above its quota is refused with a time to retry after."""

    def test_quota_is_shared_by_all_vms(self):
        """Guards against a quota that is applied per VM."""

        async def scenario(site):
            refused = None
            admitted = 0
            while refused is None:
                status, headers, _ = await site.call(
                    _SAFE, headers=_auth_header("k1"), router=admitted % 2
                )
                if status == 429:
                    refused = headers
                else:
                    admitted += 1
                    await asyncio.sleep(0.05)
            return refused, admitted, len(site.runs())

        refused, admitted, runs = _run_on_site(
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
        # Two VMs with separate token buckets would admit at least four
        # requests.
        assert 2 <= admitted <= 20

    def test_quota_counts_tokens(self):
        async def scenario(site):
            statuses = []
            while 429 not in statuses and len(statuses) < 50:
                response = await site.call(_MODEL, headers=_auth_header("k1"))
                statuses.append(response[0])
            return statuses

        tenant = _tenant(
            "firm", "k1", unit="generation", ratePerS=1, burst=8_000
        )
        assert 429 in _run_on_site(scenario, tenant)


class TestConfiguration:
    """Translation of the operator's customer settings to internal types."""

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
