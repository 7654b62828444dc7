"""What the accepted settings and the VM list say, as plain data classes.

Everything here is immutable. `settings.resolve` builds these from validated
JSON; the decisions and the processes only read them. Times are seconds, sizes
are bytes unless a name says otherwise.
"""

import dataclasses
import enum
from collections.abc import Mapping


class EndpointKind(enum.StrEnum):
    """What an endpoint does."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class ServiceKind(enum.StrEnum):
    """Whether a service generates tokens or relays one plain HTTP call."""

    MODEL = "model"
    PLAIN = "plain"


class Idempotency(enum.StrEnum):
    """Whether a request of a service may run more than once."""

    REPEATABLE = "repeatable"
    UNREPEATABLE = "unrepeatable"


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.StrEnum):
    """Whether a VM runs our processes or an endpoint."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineTarget:
    """What an engine should be, a function of the revision alone.

    Attributes:
      role: Role that the engine should have.
      model: Model it should have loaded.
      adapter: Adapter it should have loaded, empty for none.
      version: Version of the weights.
    """

    role: EndpointKind
    model: str
    adapter: str = ""
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An engine or a plain service's server.

    Attributes:
      id: Unique id.
      kind: What it does.
      host: IP number.
      port: TCP port.
      availability_zone: Where it is.
      pool: Name of the pool that services refer to.
      slots: Requests it holds at once.
      prefill_tokens_per_s: Speed of a prefill, prefill engines only.
      own_prefill_tokens_per_s: Speed at which a decode engine reads a prompt
        itself, between the tokens of its streams. 0 where it can't.
      seconds_per_token: Time between tokens of one stream, decode only.
      link_bytes_per_s: Rate of its link for KV cache.
      kv_bytes_per_token: Size of the KV cache of one prompt token.
      export_ttl_s: How long a finished prefill is kept for its transfer.
      role_change_s: How long it takes to change between prompts and answers
        once its work has ended.
      checks_fencing: Whether it refuses orders with an old fencing number.
      checks_idempotency_keys: Whether it runs a key at most once by itself.
      block_tokens: Tokens of one slot, where an engine's memory runs out
        before its places do: `slots` then counts blocks of KV cache, and a
        request takes as many as it is expected to fill. 0 where each request
        takes one slot.
      connections_max: Connections that it takes from all VMs together; it
        resets those beyond. 0 where no bound is known.
      places: Requests that a decode engine runs at once, whatever memory they
        take. 0 where its slots are places.
      speeds_guessed: Whether the speeds are guesses, to be replaced by what
        its work shows.
      life: Tells apart lives of an engine that started again under its id.
      target: What it should be, None for plain services.
      vm: Id of the VM in the platform's list, empty if not listed.
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
    target: EngineTarget | None = None
    vm: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineFacts:
    """What the settings say of all engines of one pool.

    Speeds are guesses, to be replaced by what the engines' work shows.

    Attributes:
      places: Requests that a decode engine runs at once.
      memory_tokens: Tokens of KV cache that a decode engine holds.
      block_tokens: Tokens of one block of it.
      prefills_at_once: Prompts that a prefill engine is sent at once.
      prefill_tokens_per_s: Speed of a prefill.
      own_prefill_tokens_per_s: Speed at which a decode engine reads a prompt
        itself, 0 where it can't.
      seconds_per_token: Time between tokens of one stream.
      link_bytes_per_s: Rate of an engine's link for KV cache.
      kv_bytes_per_token: Size of the KV cache of one token.
      export_ttl_s: How long a finished prefill is kept for its transfer.
      role_change_s: How long an engine takes to change between prompts and
        answers once its work has ended.
    """

    places: int
    memory_tokens: int
    block_tokens: int
    prefills_at_once: int
    prefill_tokens_per_s: float
    own_prefill_tokens_per_s: float
    seconds_per_token: float
    link_bytes_per_s: float
    kv_bytes_per_token: int
    export_ttl_s: float
    role_change_s: float

    def describe(self, endpoint: Endpoint, connections_max: int) -> Endpoint:
        """Returns an engine with what the settings say of it.

        Args:
          endpoint: The engine.
          connections_max: Connections that it takes from all VMs, 0 if unknown.
        """
        slots = {
            EndpointKind.PREFILL: self.prefills_at_once,
            EndpointKind.DECODE: self.memory_tokens // self.block_tokens,
        }
        blocks = endpoint.kind is EndpointKind.DECODE
        return dataclasses.replace(
            endpoint,
            connections_max=connections_max,
            slots=slots.get(endpoint.kind, endpoint.slots),
            block_tokens=self.block_tokens if blocks else 0,
            places=self.places if blocks else 0,
            speeds_guessed=True,
            prefill_tokens_per_s=self.prefill_tokens_per_s,
            own_prefill_tokens_per_s=(
                self.own_prefill_tokens_per_s if blocks else 0.0
            ),
            seconds_per_token=self.seconds_per_token,
            link_bytes_per_s=self.link_bytes_per_s,
            kv_bytes_per_token=self.kv_bytes_per_token,
            export_ttl_s=self.export_ttl_s,
            role_change_s=self.role_change_s,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryRules:
    """Budget of retries of one service.

    Attributes:
      ratio: Retries earned by each request.
      burst: Retries that may be saved up.
      attempts: Attempts at most for one request, the first included.
      failed_answers: Whether a plain service's own failure (a 5xx answer to a
        repeatable request) is tried again elsewhere.
    """

    ratio: float = 0.1
    burst: int = 10
    attempts: int = 3
    failed_answers: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service after inheritance.

    Attributes:
      id: `<customer>/<name>`, the customer being the one that declares it.
      customer: Id of the customer that declares it; its child customers may
        call it.
      name: Name callers use as model name or path.
      kind: Whether it generates tokens.
      model: Model name at the engines.
      pool: Pool of prefill and decode engines, or of plain servers.
      ttft_target_s: Target for the time to first token (plain: whole answer).
      tpot_target_s: Target for the time between tokens.
      priority: Larger goes first.
      idempotency: Whether a request may run more than once.
      retries: Its budget of retries.
      may_wait_s: Longest time in a queue, at most.
      timeout_s: Longest time for a whole request.
      resume: Whether a cut stream may be resumed.
      max_prompt_tokens: Limit of the prompt.
      max_output_tokens: Limit of the answer.
      max_body_bytes: Limit of a request's body.
      goodput_weight: How much a request within its targets is worth.
      wasted_prefill_weight: How much an unused prefill costs.
      methods: HTTP methods of a plain service.
      echoes_request_id: Whether a plain service returns `X-Request-Id`.
      worth_by_size: Part of a request's worth that goes by its tokens; the
        rest is the same for all of the service.
      tokens_per_event: Tokens in one event of a stream.
      patience_s: How long callers wait for the first event of a stream before
        they leave; 0 where none is known to.
      retry_group: Services that name the same group share one budget of
        retries; empty for a budget of its own.
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
    idempotency: Idempotency = Idempotency.REPEATABLE
    retries: RetryRules = RetryRules()
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
    """What a customer may ask for, at all VMs together: a token bucket.

    Attributes:
      per_s: Cost units that are added each second.
      burst: Cost units that the bucket holds beyond one second's.
      by_tokens: Whether a request costs the tokens of its prompt and of its
        longest answer; else each costs one unit.
      plain_cost: Cost units of a request that states no tokens, where those
        are counted.
    """

    per_s: float
    burst: float
    by_tokens: bool = False
    plain_cost: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Which service answers the calls below one path of one host.

    Attributes:
      name: The operator's name for it.
      host: Host that callers name.
      path_prefix: Start of the paths; begins and ends with a slash.
      services: Ids of services and their weights; a call goes to one of them.
      public: Whether its calls need no API key.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[tuple[str, float], ...]
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallLimits:
    """What a caller may send, and how long its connection may rest.

    Attributes:
      header_bytes: Bytes of all headers.
      body_bytes: Bytes of a body.
      header_timeout_s: Time for the headers of one call.
      idle_timeout_s: Time that a connection may be kept between two calls.
    """

    header_bytes: int = 16_384
    body_bytes: int = 8_388_608
    header_timeout_s: float = 75.0
    idle_timeout_s: float = 75.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Customer:
    """A customer or one of its child customers (a firm of a consortium).

    Attributes:
      id: Path from the root, for example `umurongo/firm-1`.
      parent: Id of the parent customer, empty at the top.
      key_hashes: Hex SHA-256 digests of its API keys.
      share: Weight in the fair sharing of slots.
      priority: Goes before the priority of a service, None to keep that.
      quota: What it may ask for, None for no limit.
    """

    id: str
    parent: str = ""
    key_hashes: frozenset[str] = frozenset()
    share: float = 1.0
    priority: int | None = None
    quota: Quota | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """A VM of the platform's list.

    Attributes:
      id: Unique id.
      host: IP number.
      availability_zone: Where it is.
      role: Whether it runs our processes.
      state: Whether it is leaving.
      settings_port: Port of its settings process, entry VMs only.
      dispatch_port: Port of its dispatch process, entry VMs only.
      entry_ports: Peer ports of its entry processes, entry VMs only.
      cores: Processor cores that it may use, 0 if it isn't known.
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
    """One accepted revision of the settings, resolved.

    Attributes:
      revision: Number that only rises; 0 means none accepted yet.
      customers_by_id: Every customer.
      customers_by_key_hash: The customer of each API key.
      services_by_id: Every service.
      endpoints_by_id: Every endpoint.
      routes_by_prefix_by_host: Routes of callers that name no service, by
        host and then by path prefix.
      limits: What callers may send.
      keys_required: Whether callers of routes need an API key, but for the
        public ones.
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
    limits: CallLimits = CallLimits()
    keys_required: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """The VM list as this VM knows it, with news that the list lacks.

    Attributes:
      version: Rises with each change seen by this VM.
      vms_by_id: VMs of the list.
      leaving_endpoint_ids: Endpoints known to be leaving, from the list (by
        their VM) or from their own draining answers.
      changing_endpoint_ids: Engines that were ordered to change between
        prompts and answers, and aren't listed as changed yet.
    """

    version: int = 0
    vms_by_id: dict[str, Vm] = dataclasses.field(default_factory=dict)
    leaving_endpoint_ids: frozenset[str] = frozenset()
    changing_endpoint_ids: frozenset[str] = frozenset()
