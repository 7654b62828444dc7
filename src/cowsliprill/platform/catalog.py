"""Parses entries of the metadata store into settings and endpoints."""

import asyncio
import ipaddress
import re
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
_BITS_PER_MEGABIT = 1_000_000

# Routes parsed before yielding to the event loop. A configuration may have tens
# of thousands; parsing all in one step would block every stream for a second.
_ROUTES_PER_YIELD = 200

# Initial estimates of engine speeds, which no entry states: prefill at 33.3
# tokens per ms, and decode steps of 5 to 8 ms at full load.
_PREFILL_TOKENS_PER_S = 33_333.0
_SECONDS_PER_TOKEN = 0.008

# Speed of a decode engine's local prefill, relative to a prefill engine's.
_LOCAL_PREFILL_SPEED_FRACTION = 0.5

# Concurrent prefills per prefill engine. The engine interleaves chunks of all
# prompts, so more would delay each of them; fewer would leave the engine idle
# between prompts.
_MAX_CONCURRENT_PREFILLS = 3

# Fraction of the customers' retry budgets that is used. The rest is left to
# processes that this VM doesn't know of.
_RETRY_BUDGET_FRACTION = 0.8

# Engines allocate KV cache in blocks of this many tokens.
_KV_BLOCK_TOKENS = 16

_KIND_BY_STAGE = {
    None: model.EndpointKind.PLAIN,
    "prefill": model.EndpointKind.PREFILL,
    "decode": model.EndpointKind.DECODE,
}

# Quotas in this unit count tokens; quotas in any other unit count requests.
_TOKEN_QUOTA_UNIT = "generation"

# Fraction of a response's value that is proportional to its size.
_VALUE_FRACTION_BY_SIZE = 0.7

# Clients abandon a stream that has sent no event for the longest of: a fixed
# minimum, a multiple of the TTFT target, a multiple of the ITL target.
_MIN_ABANDONMENT_TIMEOUT_S = 2.0
_ABANDONMENT_TIMEOUT_TTFT_TARGETS = 4.0
_ABANDONMENT_TIMEOUT_ITL_TARGETS = 8.0

# Bounds for entries of other writers. Larger numbers make sums and messages
# overflow; no server has as many slots.
_MAX_SLOTS = 65_536
_MAX_PORT = 65_535
_MAX_WHOLE_NUMBER = 2**53
_MAX_VERSION_LENGTH = 256

# Endpoint ids are sent in headers, where other characters are malformed.
_ENDPOINT_ID = re.compile(r"[!-~]{1,256}")

# Faults of an entry that its log line names.
_MAX_NAMED_FAULTS = 3

# The operator's numbers. Larger ones overflow where they are calculated with.
_MAX_NUMBER = 2**63 - 1

NonNegativeNumber = Annotated[
    float, pydantic.Field(allow_inf_nan=False, ge=0, le=_MAX_NUMBER)
]
_Integer = Annotated[int, pydantic.Field(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]


class _Model(pydantic.BaseModel):
    """Base of the store's JSON objects, whose keys are in camel case."""

    model_config = pydantic.ConfigDict(
        alias_generator=alias_generators.to_camel, extra="ignore", frozen=True
    )


class _Split(_Model):
    service: str
    weight: NonNegativeNumber


class _Route(_Model):
    """A route.

    `slo_ms` is the target for a stream's first event, or for the whole response
    of a plain service. A lower `priority` is more urgent.
    """

    name: str
    host: str
    path_prefix: str
    type: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: NonNegativeNumber
    slo_ms: NonNegativeNumber = 1_000
    priority: _Integer = 5
    service: str = ""
    split: tuple[_Split, ...] = ()
    max_attempts: _Integer = 1
    resumable: bool = False
    itl_target_ms: NonNegativeNumber = 0
    public: bool = False


class _Engine(_Model):
    """Properties of a service's engines; `stride` is tokens per event."""

    slots: _Integer = 1
    kv_capacity: _Integer = 0
    kv_token_bytes: _Integer = 0
    link_mbps: NonNegativeNumber = 0
    stride: _Integer = 1
    kv_hold_s: NonNegativeNumber = 0.5
    switch_s: NonNegativeNumber = 6.0


class _Service(_Model):
    """A service; `max_conns` limits the connections of all callers."""

    name: str
    max_conns: _Integer = 0
    engine: _Engine | None = None


class _Limits(_Model):
    max_header_bytes: _Integer = 16_384
    max_body_bytes: _Integer = 8_388_608
    header_timeout_ms: NonNegativeNumber = 3_000
    idle_timeout_ms: NonNegativeNumber = 15_000


class _Tenant(_Model):
    """A customer; rate 0 means no limit, priority 0 is the most urgent."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: _Integer | None = None
    unit: str = ""
    uncached_tokens: NonNegativeNumber = 1
    rate_per_s: NonNegativeNumber = 0
    burst: NonNegativeNumber = 0


class _Config(_Model):
    version: int = pydantic.Field(le=_MAX_WHOLE_NUMBER)
    routes: list[Any]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


class _Server(_Model):
    """An endpoint's entry; `born` is its start time in Unix milliseconds.

    `version` is that of its software.
    """

    service: str
    address: str
    zone: str
    slots: int = pydantic.Field(ge=1, le=_MAX_SLOTS)
    state: Literal["ready", "draining"]
    stage: Literal["prefill", "decode"] | None = None
    born: int | None = pydantic.Field(default=None, ge=0, le=_MAX_WHOLE_NUMBER)
    version: Any = None


_ROUTE = pydantic.TypeAdapter(_Route)


class Catalog:
    """Implements `registry.source.EntryParser` for the platform's entries.

    Args:
      budget_ratio: Retries per request that the customers allow.
      budget_slack: Further retries that they allow, for all VMs together.
    """

    settings_key = _SETTINGS_KEY
    endpoints_prefix = _ENDPOINTS_PREFIX

    def __init__(self, budget_ratio: float, budget_slack: float) -> None:
        self._retry_ratio = budget_ratio * _RETRY_BUDGET_FRACTION
        self._total_retry_burst = budget_slack * _RETRY_BUDGET_FRACTION

    async def settings(self, value: bytes, members: int) -> source.Settings:
        """Parses the operator's configuration.

        Args:
          value: JSON text of the entry.
          members: Number of processes that share the retry budgets.

        Returns:
          The settings.

        Raises:
          ValueError: The entry is malformed.
        """
        try:
            return await self._parse_settings(value, members)
        except ArithmeticError as error:
            # Rates near the limits of floating point overflow in their mean.
            raise ValueError(f"numbers out of range: {error}") from error

    async def _parse_settings(
        self, value: bytes, members: int
    ) -> source.Settings:
        config = _Config.model_validate_json(value)
        services_by_name = {item.name: item for item in config.services}
        services_by_id: dict[str, model.Service] = {}
        routes: list[model.Route] = []
        for number, fields in enumerate(config.routes):
            if number % _ROUTES_PER_YIELD == _ROUTES_PER_YIELD - 1:
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
        """Parses the entry of an endpoint.

        Args:
          key: Key of the entry; the part after the prefix is the endpoint's id.
          value: JSON text of the entry.

        Returns:
          The endpoint, its start time and whether it is draining.

        Raises:
          ValueError: The entry is malformed.
        """
        endpoint_id = key.removeprefix(_ENDPOINTS_PREFIX)
        if not _ENDPOINT_ID.fullmatch(endpoint_id):
            raise ValueError("malformed id")
        try:
            server = _Server.model_validate_json(value, strict=True)
        except pydantic.ValidationError as error:
            raise ValueError(_describe_faults(error)) from error
        host, port = _parse_address(server.address)
        endpoint = model.Endpoint(
            id=endpoint_id,
            kind=_KIND_BY_STAGE[server.stage],
            host=host,
            port=port,
            availability_zone=server.zone,
            pool=server.service,
            slots=server.slots,
            life=str(server.born or ""),
            software_version=_software_version(server.version),
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
            ratio=self._retry_ratio,
            burst=max(int(self._total_retry_burst / members), 1),
            attempts=route.max_attempts,
            failed_answers=True,
        )
        return [
            _service(route, services_by_name[name], retries)
            for name, _ in _weighted_services(route)
            if name in services_by_name
        ]


def _parse_address(text: str) -> tuple[str, int]:
    """Returns the IP address and port of an endpoint.

    Raises:
      ValueError: The text isn't of the form IP:PORT, or no machine of the
        fleet can be reached at that address.
    """
    host, _, port_text = text.rpartition(":")
    # Longer texts may be numbers that take long to parse.
    if not re.fullmatch(r"[0-9]{1,5}", port_text):
        raise ValueError("malformed address")
    port = int(port_text)
    if not 0 < port <= _MAX_PORT:
        raise ValueError("malformed address: port out of range")
    try:
        ip = ipaddress.ip_address(host)
    except ValueError as error:
        raise ValueError("malformed address: no IP address") from error
    # A scope, which link-local IPv6 addresses need, names an interface of one
    # machine. Connections to an unspecified address reach the machine itself.
    if ip.version == 6 and (ip.scope_id is not None or ip.is_link_local):
        raise ValueError("malformed address: valid on one machine only")
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError("malformed address: not that of one machine")
    return host, port


def _describe_faults(error: pydantic.ValidationError) -> str:
    """Describes faults without the values, which may be large or changing."""
    faults = error.errors(
        include_url=False, include_input=False, include_context=False
    )
    return "; ".join(
        ": ".join(filter(None, (".".join(map(str, item["loc"])), item["msg"])))
        for item in faults[:_MAX_NAMED_FAULTS]
    )


def _software_version(value: Any) -> str:
    """Returns an entry's version as text, empty if it is of another type."""
    match value:
        case bool():
            return ""
        case str() | int() | float() if len(str(value)) <= _MAX_VERSION_LENGTH:
            return str(value)
        case _:
            return ""


def _weighted_services(route: _Route) -> tuple[tuple[str, float], ...]:
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
            for name, weight in _weighted_services(route)
        ),
        public=route.public,
    )


def _customers(tenants: Iterable[_Tenant]) -> list[model.Customer]:
    """Returns the customers; fair shares are proportional to their rates."""
    rates = [tenant.rate_per_s for tenant in tenants if tenant.rate_per_s]
    mean_rate = statistics.fmean(rates) if rates else 1.0
    return [
        model.Customer(
            id=tenant.name,
            key_hashes=frozenset(map(api_keys.digest, tenant.api_keys)),
            share=(tenant.rate_per_s or mean_rate) / mean_rate,
            # In the store 0 is the most urgent; in the router, the largest.
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
        by_tokens=tenant.unit == _TOKEN_QUOTA_UNIT,
        plain_cost=tenant.uncached_tokens,
    )


def _service(
    route: _Route, service: _Service, retries: model.RetryPolicy
) -> model.Service:
    is_stream = route.type == "streaming"
    idempotent = route.resumable if is_stream else route.type == "idempotent"
    stride = service.engine.stride if service.engine else 1
    target_s = route.slo_ms / _MS_PER_S
    return model.Service(
        id=_service_id(route, service.name),
        customer="",
        name=service.name,
        kind=model.ServiceKind.MODEL if is_stream else model.ServiceKind.PLAIN,
        pool=service.name,
        ttft_target_s=target_s,
        tpot_target_s=route.itl_target_ms / _MS_PER_S / stride,
        # In the store 0 is the most urgent; in the router, the largest.
        priority=-route.priority,
        idempotency=(
            model.Idempotency.IDEMPOTENT
            if idempotent
            else model.Idempotency.NON_IDEMPOTENT
        ),
        retries=retries,
        may_wait_s=target_s,
        timeout_s=route.timeout_ms / _MS_PER_S,
        resume=is_stream and route.resumable,
        worth_by_size=_VALUE_FRACTION_BY_SIZE if is_stream else 0.0,
        tokens_per_event=stride,
        patience_s=_abandonment_timeout_s(route) if is_stream else 0.0,
        retry_group=service.name,
    )


def _abandonment_timeout_s(route: _Route) -> float:
    """Returns the seconds that clients wait for a stream's first event."""
    return max(
        _MIN_ABANDONMENT_TIMEOUT_S,
        _ABANDONMENT_TIMEOUT_TTFT_TARGETS * route.slo_ms / _MS_PER_S,
        _ABANDONMENT_TIMEOUT_ITL_TARGETS * route.itl_target_ms / _MS_PER_S,
    )


def _engine_spec(engine: _Engine) -> model.EngineSpec:
    return model.EngineSpec(
        places=engine.slots,
        kv_cache_tokens=engine.kv_capacity,
        block_tokens=_KV_BLOCK_TOKENS,
        max_concurrent_prefills=_MAX_CONCURRENT_PREFILLS,
        prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
        own_prefill_tokens_per_s=_PREFILL_TOKENS_PER_S
        * _LOCAL_PREFILL_SPEED_FRACTION,
        seconds_per_token=_SECONDS_PER_TOKEN,
        link_bytes_per_s=engine.link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE,
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
