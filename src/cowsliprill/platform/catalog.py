"""Entries of the store as the product's settings and endpoints."""

import asyncio
import json
import statistics
from collections.abc import Iterable
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
from pydantic import alias_generators

from cowsliprill import api_keys
from cowsliprill.decisions import model
from cowsliprill.decisions import routing
from cowsliprill.registry import endpoints
from cowsliprill.registry import source

_SETTINGS_KEY = "op/config"
_ENDPOINTS_PREFIX = "servers/"
_MS_PER_S = 1_000
_BITS_PER_BYTE = 8
_MEGA = 1_000_000

# Routes that are read in one go. A configuration may have tens of thousands,
# and reading them all at once would hold up every stream for a second.
_ROUTES_A_STEP = 200

# First guesses at engines' speeds, which no entry states: 33.3 tokens of a
# prompt in a millisecond; a step of 5 to 8 ms when full.
_PREFILL_TOKENS_PER_S = 33_333.0
_SECONDS_PER_TOKEN = 0.008

# Of the speed of a prefill engine, what a decode engine has.
_OWN_PREFILL_PART = 0.5

# Prompts that a prefill engine is sent at once. It reads them in pieces by
# turns, so more would make all late; fewer would leave it idle between two.
_MAX_CONCURRENT_PREFILLS = 3

# Part of the customers' bounds on repeats that is used. Processes that are not
# known of use up the rest.
_BUDGET_CAUTION = 0.8

# Memory goes by blocks of so many tokens.
_BLOCK_TOKENS = 16

_KIND_BY_STAGE = {
    None: model.EndpointKind.PLAIN,
    "prefill": model.EndpointKind.PREFILL,
    "decode": model.EndpointKind.DECODE,
}

# Unit of quotas that counts tokens; any other counts requests.
_UNIT_TOKENS = "generation"

# Of the worth of an answer, the part that goes by its size.
_WORTH_BY_SIZE = 0.7

# Clients leave a stream that shows nothing for the longest of these.
_PATIENCE_MIN_S = 2.0
_PATIENCE_TARGETS = 4.0
_PATIENCE_PAUSES = 8.0

Number = Annotated[float, pydantic.Field(allow_inf_nan=False, ge=0)]


class _Model(pydantic.BaseModel):
    """Fields as on the wire, where their names are in camel case."""

    model_config = pydantic.ConfigDict(
        alias_generator=alias_generators.to_camel, extra="ignore", frozen=True
    )


class _Split(_Model):
    service: str
    weight: Number


class _Route(_Model):
    """A route; `slo_ms` counts to a stream's first event, else to the end."""

    name: str
    host: str
    path_prefix: str
    type: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: Number
    slo_ms: Number = 1_000
    priority: int = 5
    service: str = ""
    split: tuple[_Split, ...] = ()
    max_attempts: int = 1
    resumable: bool = False
    itl_target_ms: Number = 0
    public: bool = False


class _Engine(_Model):
    """Of a service's engines; `stride` is tokens in one event."""

    slots: int = 1
    kv_capacity: int = 0
    kv_token_bytes: int = 0
    link_mbps: Number = 0
    stride: int = 1
    kv_hold_s: Number = 0.5
    switch_s: Number = 6.0


class _Service(_Model):
    """A service; `max_conns` counts connections from all callers."""

    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 8_388_608
    header_timeout_ms: Number = 3_000
    idle_timeout_ms: Number = 15_000


class _Tenant(_Model):
    """A customer; a rate of 0 is no limit, priority 0 the most urgent."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = ""
    uncached_tokens: Number = 1
    rate_per_s: Number = 0
    burst: Number = 0


class _Config(_Model):
    version: int
    routes: list[Any]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


class _Server(_Model):
    """An engine's own entry; `born` is when it started, Unix milliseconds."""

    service: str
    address: str
    zone: str
    slots: pydantic.PositiveInt
    state: Literal["ready", "draining"]
    stage: Literal["prefill", "decode"] | None = None
    born: int | None = None


_ROUTE = pydantic.TypeAdapter(_Route)


class Catalog:
    """`registry.source.EntryParser` of the platform.

    Args:
      budget_ratio: Repeats that the customers allow for each request.
      budget_slack: Repeats that they allow beyond, for all VMs together.
    """

    settings_key = _SETTINGS_KEY
    endpoints_prefix = _ENDPOINTS_PREFIX

    def __init__(self, budget_ratio: float, budget_slack: float) -> None:
        self._ratio = budget_ratio * _BUDGET_CAUTION
        self._slack = budget_slack * _BUDGET_CAUTION

    async def settings(self, value: bytes, members: int) -> source.Settings:
        """Reads the operator's entry.

        Args:
          value: Its bytes.
          members: Processes that share the budgets of repeats.

        Returns:
          The settings.

        Raises:
          ValueError: It can't be read.
        """
        config = _Config.model_validate_json(value)
        services_by_name = {item.name: item for item in config.services}
        services_by_id: dict[str, model.Service] = {}
        routes: list[model.Route] = []
        for number, fields in enumerate(config.routes):
            if number % _ROUTES_A_STEP == _ROUTES_A_STEP - 1:
                await asyncio.sleep(0)
            route = _ROUTE.validate_python(fields)
            for service in self._services(route, services_by_name, members):
                services_by_id[service.id] = service
            routes.append(_route(route))
        customers = _customers(config.tenants)
        return source.Settings(
            version=config.version,
            customers_by_id={customer.id: customer for customer in customers},
            customers_by_key_hash={
                key_hash: customer
                for customer in customers
                for key_hash in customer.key_hashes
            },
            services_by_id=services_by_id,
            routes_by_prefix_by_host=routing.index_routes(routes),
            engines_by_pool={
                item.name: _engine_spec(item.engine)
                for item in config.services
                if item.engine is not None
            },
            connections_by_pool={
                item.name: item.max_conns for item in config.services
            },
            limits=_limits(config.limits),
        )

    def parse_endpoint(
        self, key: str, value: bytes
    ) -> endpoints.ListedEndpoint:
        """Reads an endpoint's entry.

        Args:
          key: Its key.
          value: Its bytes.

        Returns:
          The endpoint.

        Raises:
          ValueError: It can't be read.
        """
        server = _Server.model_validate(json.loads(value), strict=True)
        host, _, port = server.address.rpartition(":")
        if not (host and port.isdigit()):
            raise ValueError(f"address {server.address!r}")
        endpoint = model.Endpoint(
            id=key.removeprefix(_ENDPOINTS_PREFIX),
            kind=_KIND_BY_STAGE[server.stage],
            host=host,
            port=int(port),
            availability_zone=server.zone,
            pool=server.service,
            slots=server.slots,
            life=str(server.born or ""),
        )
        return endpoints.ListedEndpoint(
            endpoint=endpoint,
            leaving=server.state == "draining",
            started_at_ms=server.born or 0,
        )

    def _services(
        self,
        route: _Route,
        services_by_name: dict[str, _Service],
        members: int,
    ) -> list[model.Service]:
        retries = model.RetryPolicy(
            ratio=self._ratio,
            burst=max(int(self._slack / members), 1),
            attempts=route.max_attempts,
            failed_answers=True,
        )
        return [
            _service(route, services_by_name[name], retries)
            for name, _ in _choices(route)
            if name in services_by_name
        ]


def _choices(route: _Route) -> tuple[tuple[str, float], ...]:
    if route.service:
        return ((route.service, 1.0),)
    return tuple((item.service, item.weight) for item in route.split)


def _service_id(route: _Route, name: str) -> str:
    return f"{route.name}/{name}"


def _route(route: _Route) -> model.Route:
    return model.Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        services=tuple(
            (_service_id(route, name), weight)
            for name, weight in _choices(route)
        ),
        public=route.public,
    )


def _customers(tenants: Iterable[_Tenant]) -> list[model.Customer]:
    """Reads the customers; what they may ask for is their share under load."""
    rates = [tenant.rate_per_s for tenant in tenants if tenant.rate_per_s]
    mean_rate = statistics.fmean(rates) if rates else 1.0
    return [
        model.Customer(
            id=tenant.name,
            key_hashes=frozenset(map(api_keys.digest, tenant.api_keys)),
            share=(tenant.rate_per_s or mean_rate) / mean_rate,
            # Theirs counts from 0, the most urgent; ours is larger for those.
            priority=None if tenant.priority is None else -tenant.priority,
            quota=_quota(tenant),
        )
        for tenant in tenants
    ]


def _quota(tenant: _Tenant) -> model.Quota | None:
    if not tenant.rate_per_s:
        return None
    return model.Quota(
        per_s=tenant.rate_per_s,
        burst=tenant.burst,
        by_tokens=tenant.unit == _UNIT_TOKENS,
        plain_cost=tenant.uncached_tokens,
    )


def _service(
    route: _Route, service: _Service, retries: model.RetryPolicy
) -> model.Service:
    streams = route.type == "streaming"
    repeatable = route.resumable if streams else route.type == "idempotent"
    stride = service.engine.stride if service.engine else 1
    target_s = route.slo_ms / _MS_PER_S
    return model.Service(
        id=_service_id(route, service.name),
        customer="",
        name=service.name,
        kind=model.ServiceKind.MODEL if streams else model.ServiceKind.PLAIN,
        pool=service.name,
        ttft_target_s=target_s,
        tpot_target_s=route.itl_target_ms / _MS_PER_S / stride,
        # Theirs counts from 0, the most urgent; ours is larger for those.
        priority=-route.priority,
        idempotency=(
            model.Idempotency.IDEMPOTENT
            if repeatable
            else model.Idempotency.NON_IDEMPOTENT
        ),
        retries=retries,
        may_wait_s=target_s,
        timeout_s=route.timeout_ms / _MS_PER_S,
        resume=streams and route.resumable,
        worth_by_size=_WORTH_BY_SIZE if streams else 0.0,
        tokens_per_event=stride,
        patience_s=_patience_s(route) if streams else 0.0,
        retry_group=service.name,
    )


def _patience_s(route: _Route) -> float:
    """Returns how long clients wait for a stream's first event."""
    return max(
        _PATIENCE_MIN_S,
        _PATIENCE_TARGETS * route.slo_ms / _MS_PER_S,
        _PATIENCE_PAUSES * route.itl_target_ms / _MS_PER_S,
    )


def _engine_spec(engine: _Engine) -> model.EngineSpec:
    return model.EngineSpec(
        places=engine.slots,
        kv_cache_tokens=engine.kv_capacity,
        block_tokens=_BLOCK_TOKENS,
        max_concurrent_prefills=_MAX_CONCURRENT_PREFILLS,
        prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
        own_prefill_tokens_per_s=_PREFILL_TOKENS_PER_S * _OWN_PREFILL_PART,
        seconds_per_token=_SECONDS_PER_TOKEN,
        link_bytes_per_s=engine.link_mbps * _MEGA / _BITS_PER_BYTE,
        kv_bytes_per_token=engine.kv_token_bytes,
        export_ttl_s=engine.kv_hold_s,
        role_change_s=engine.switch_s,
    )


def _limits(limits: _Limits) -> model.HttpLimits:
    return model.HttpLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / _MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / _MS_PER_S,
    )
