"""Immutable data classes for the resolved settings and the VM list.

`settings.resolve` builds them from validated JSON; all other code only reads
them. Times are in seconds and sizes in bytes unless a name says otherwise.
"""

import dataclasses
import enum
from collections.abc import Mapping


class EndpointKind(enum.StrEnum):
    """Type of an endpoint: the role of an engine, or a plain server."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class ServiceKind(enum.StrEnum):
    """Whether a service generates tokens or proxies plain HTTP calls."""

    MODEL = "model"
    PLAIN = "plain"


class Idempotency(enum.StrEnum):
    """Whether a request of a service may be executed more than once."""

    IDEMPOTENT = "repeatable"
    NON_IDEMPOTENT = "unrepeatable"


class VmState(enum.StrEnum):
    """Lifecycle state of a VM in the platform's VM list."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.StrEnum):
    """Whether a VM runs the router's processes or an endpoint."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineTarget:
    """Desired state of an engine, a function of the settings revision alone.

    Attributes:
      role: Role of the engine.
      model: Model to load.
      adapter: Adapter to load, empty for none.
      version: Version of the weights.
    """

    role: EndpointKind
    model: str
    adapter: str = ""
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An engine or a server of a plain service.

    Attributes:
      id: Unique id.
      kind: Role of an engine, or plain server.
      host: IP address.
      port: TCP port.
      availability_zone: Its availability zone.
      pool: Name of the pool that services refer to.
      slots: Capacity in slots: concurrent requests, or KV cache blocks where
        `block_tokens` is set.
      prefill_tokens_per_s: Prefill speed, prefill engines only.
      own_prefill_tokens_per_s: Speed of local prefills on a decode engine,
        interleaved with its decodes. 0 where it can't run any.
      seconds_per_token: Time between tokens of one stream, decode only.
      link_bytes_per_s: Bandwidth of its link for KV cache transfers.
      kv_bytes_per_token: Size of the KV cache of one prompt token.
      export_ttl_s: Time for which the exported KV cache of a finished prefill
        is kept for its transfer.
      role_change_s: Duration of a change between prefill and decode role,
        after the engine has drained.
      checks_fencing: Whether it rejects commands with an old fencing token.
      checks_idempotency_keys: Whether it executes a request at most once per
        idempotency key.
      block_tokens: Tokens per slot where KV cache memory limits an engine
        before its concurrency does: `slots` then counts blocks of KV cache, and
        a request takes as many as it is expected to fill. 0 where each request
        takes one slot.
      connections_max: Maximum number of connections from all VMs together; it
        resets those beyond. 0 where no limit is known.
      places: Maximum number of concurrent requests of a decode engine,
        regardless of their memory. 0 where `slots` is that limit.
      speeds_guessed: Whether the speeds are configured defaults, to be replaced
        by measured ones.
      life: Distinguishes incarnations of an engine that restarts under its id.
      software_version: Version of its software, empty if it names none.
      target: Its desired state, None for plain services.
      vm: Id of the VM in the platform's VM list, empty if not listed.
    """

    id: str
    kind: EndpointKind
    host: str
    port: int
    availability_zone: str
    pool: str
    slots: int
    prefill_tokens_per_s: float = 0.0
    own_prefill_tokens_per_s: float = 0.0
    seconds_per_token: float = 0.0
    link_bytes_per_s: float = 0.0
    kv_bytes_per_token: int = 0
    export_ttl_s: float = 0.8
    role_change_s: float = 6.0
    checks_fencing: bool = False
    checks_idempotency_keys: bool = False
    block_tokens: int = 0
    connections_max: int = 0
    places: int = 0
    speeds_guessed: bool = False
    life: str = ""
    software_version: str = ""
    target: EngineTarget | None = None
    vm: str = ""

    @property
    def incarnation(self) -> tuple[str, str]:
        """Identifies it among all that have been started under its id."""
        return (self.id, self.life)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpec:
    """Configured properties shared by all engines of one pool.

    Speeds are defaults, replaced by measured ones at run time.

    Attributes:
      places: Maximum number of concurrent requests of a decode engine.
      kv_cache_tokens: KV cache capacity of a decode engine, in tokens.
      block_tokens: Tokens per KV cache block.
      max_concurrent_prefills: Maximum number of concurrent requests of a
        prefill engine.
      prefill_tokens_per_s: Prefill speed.
      own_prefill_tokens_per_s: Speed of local prefills on a decode engine,
        0 where it can't run any.
      seconds_per_token: Time between tokens of one stream.
      link_bytes_per_s: Bandwidth of an engine's link for KV cache transfers.
      kv_bytes_per_token: Size of the KV cache of one token.
      export_ttl_s: Time for which the exported KV cache of a finished prefill
        is kept for its transfer.
      role_change_s: Duration of a change between prefill and decode role,
        after the engine has drained.
    """

    places: int
    kv_cache_tokens: int
    block_tokens: int
    max_concurrent_prefills: int
    prefill_tokens_per_s: float
    own_prefill_tokens_per_s: float
    seconds_per_token: float
    link_bytes_per_s: float
    kv_bytes_per_token: int
    export_ttl_s: float
    role_change_s: float

    def apply_to(self, endpoint: Endpoint, connections_max: int) -> Endpoint:
        """Returns an engine with the configured properties set.

        Args:
          endpoint: The engine.
          connections_max: Maximum number of connections from all VMs together,
            0 if unknown.
        """
        slots_by_kind = {
            EndpointKind.PREFILL: self.max_concurrent_prefills,
            EndpointKind.DECODE: self.kv_cache_tokens // self.block_tokens,
        }
        is_decode = endpoint.kind is EndpointKind.DECODE
        return dataclasses.replace(
            endpoint,
            connections_max=connections_max,
            slots=slots_by_kind.get(endpoint.kind, endpoint.slots),
            block_tokens=self.block_tokens if is_decode else 0,
            places=self.places if is_decode else 0,
            speeds_guessed=True,
            prefill_tokens_per_s=self.prefill_tokens_per_s,
            own_prefill_tokens_per_s=(
                self.own_prefill_tokens_per_s if is_decode else 0.0
            ),
            seconds_per_token=self.seconds_per_token,
            link_bytes_per_s=self.link_bytes_per_s,
            kv_bytes_per_token=self.kv_bytes_per_token,
            export_ttl_s=self.export_ttl_s,
            role_change_s=self.role_change_s,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryPolicy:
    """Retry budget of one service, a token bucket filled by its requests.

    Attributes:
      ratio: Retries added to the budget by each request.
      burst: Maximum size of the budget.
      attempts: Maximum number of attempts per request, the first included.
      failed_answers: Whether a 5xx response of a plain service to an idempotent
        request is retried on another server.
    """

    ratio: float = 0.1
    burst: int = 10
    attempts: int = 3
    failed_answers: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service with inherited settings resolved.

    Attributes:
      id: `<customer>/<name>`, with the customer that declares it.
      customer: Id of the customer that declares it; its child customers may
        call it.
      name: Name by which callers address it, as model name or path.
      kind: Whether it generates tokens.
      model: Name of the model at the engines.
      pool: Pool of prefill and decode engines, or of plain servers.
      ttft_target_s: Target for the time to first token; for plain services,
        for the whole response.
      tpot_target_s: Target for the time per output token.
      priority: Requests of higher priority are scheduled first.
      idempotency: Whether a request may be executed more than once.
      retries: Its retry budget.
      may_wait_s: Maximum time in the queue.
      timeout_s: Maximum time for a whole request.
      resume: Whether a truncated stream may be resumed.
      max_prompt_tokens: Maximum length of the prompt.
      max_output_tokens: Maximum length of the output.
      max_body_bytes: Maximum size of a request body.
      goodput_weight: Value of a request that meets its targets.
      wasted_prefill_weight: Cost of a prefill whose result isn't used.
      methods: HTTP methods of a plain service.
      echoes_request_id: Whether a plain service returns `X-Request-Id`.
      worth_by_size: Fraction of a request's value that is proportional to its
        tokens; the rest is the same for all requests of the service.
      tokens_per_event: Tokens in one event of a stream.
      patience_s: Time after which callers disconnect if no event of a stream
        has arrived; 0 where none is known to.
      retry_group: Services that name the same group share one retry budget;
        empty for a budget of its own.
    """

    id: str
    customer: str
    name: str
    kind: ServiceKind
    pool: str
    model: str = ""
    ttft_target_s: float = 1.0
    tpot_target_s: float = 0.05
    priority: int = 0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    retries: RetryPolicy = RetryPolicy()
    may_wait_s: float = 2.0
    timeout_s: float = 120.0
    resume: bool = True
    max_prompt_tokens: int = 32_768
    max_output_tokens: int = 2_048
    max_body_bytes: int = 1_048_576
    goodput_weight: float = 1.0
    wasted_prefill_weight: float = 1.0
    methods: tuple[str, ...] = ("POST",)
    echoes_request_id: bool = True
    worth_by_size: float = 0.0
    tokens_per_event: int = 1
    patience_s: float = 0.0
    retry_group: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Quota:
    """Rate limit of a customer over all VMs, a token bucket of cost units.

    Attributes:
      per_s: Cost units added per second.
      burst: Capacity of the bucket beyond one second's worth of cost units.
      by_tokens: Whether a request costs its prompt tokens plus its maximum
        output tokens; otherwise each costs one unit.
      plain_cost: Cost units of a request that states no tokens, where
        `by_tokens` is set.
    """

    per_s: float
    burst: float
    by_tokens: bool = False
    plain_cost: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Maps the paths below a prefix on one host to services.

    Attributes:
      name: Name given by the operator.
      host: Host name in the request.
      path_prefix: Prefix of the paths; begins and ends with a slash.
      services: Ids and weights of services; each request goes to one of them.
      public: Whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[tuple[str, float], ...]
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """HTTP limits for callers.

    Attributes:
      header_bytes: Maximum size of all headers.
      body_bytes: Maximum size of a request body.
      header_timeout_s: Timeout for receiving the headers of a request.
      idle_timeout_s: Keep-alive timeout between two requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 8_388_608
    header_timeout_s: float = 75.0
    idle_timeout_s: float = 75.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Customer:
    """A customer or a child customer, such as a firm of a consortium.

    Attributes:
      id: Path from the root, for example `umurongo/firm-1`.
      parent: Id of the parent customer, empty at the top.
      key_hashes: Hex SHA-256 digests of its API keys.
      share: Weight in the fair sharing of slots.
      priority: Overrides the priority of a service unless None.
      quota: Its rate limit, None for no limit.
    """

    id: str
    parent: str = ""
    key_hashes: frozenset[str] = frozenset()
    share: float = 1.0
    priority: int | None = None
    quota: Quota | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """A VM of the platform's VM list.

    Attributes:
      id: Unique id.
      host: IP address.
      availability_zone: Its availability zone.
      role: Whether it runs the router's processes or an endpoint.
      state: Its lifecycle state.
      settings_port: Port of its settings process, entry VMs only.
      dispatch_port: Port of its dispatch process, entry VMs only.
      entry_ports: Peer ports of its entry processes, entry VMs only.
      cores: Processor cores that it may use, 0 if unknown.
    """

    id: str
    host: str
    availability_zone: str
    role: VmRole
    state: VmState = VmState.LIVE
    settings_port: int = 0
    dispatch_port: int = 0
    entry_ports: tuple[int, ...] = ()
    cores: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """One accepted and resolved revision of the settings.

    Attributes:
      revision: Increasing revision number; 0 before any was accepted.
      customers_by_id: All customers.
      customers_by_key_hash: The customer of each API key.
      services_by_id: All services.
      endpoints_by_id: All endpoints.
      routes_by_prefix_by_host: Routes for requests that name no service, by
        host and then by path prefix.
      limits: HTTP limits for callers.
      keys_required: Whether requests need an API key on routes that aren't
        public.
    """

    revision: int = 0
    customers_by_id: Mapping[str, Customer] = dataclasses.field(
        default_factory=dict
    )
    customers_by_key_hash: Mapping[str, Customer] = dataclasses.field(
        default_factory=dict
    )
    services_by_id: dict[str, Service] = dataclasses.field(default_factory=dict)
    endpoints_by_id: dict[str, Endpoint] = dataclasses.field(
        default_factory=dict
    )
    routes_by_prefix_by_host: Mapping[str, Mapping[str, Route]] = (
        dataclasses.field(default_factory=dict)
    )
    limits: HttpLimits = HttpLimits()
    keys_required: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """This VM's view of the VM list, with updates that the list lacks.

    Attributes:
      version: Increases with each change seen by this VM.
      vms_by_id: VMs of the list.
      leaving_endpoint_ids: Endpoints known to be draining, from the state of
        their VM in the list or from their own responses.
      changing_endpoint_ids: Engines with a role change in progress, still
        listed in their old role.
    """

    version: int = 0
    vms_by_id: dict[str, Vm] = dataclasses.field(default_factory=dict)
    leaving_endpoint_ids: frozenset[str] = frozenset()
    changing_endpoint_ids: frozenset[str] = frozenset()
