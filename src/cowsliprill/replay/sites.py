"""Fleets and workloads of the simulated sites.

The requirements fix the numbers of engines, availability zones and slots, the
network delays, and that a prefill costs as much as many tens of output tokens.
Engine speeds, prompt and output lengths and link rates are assumptions that
agree with these requirements, not figures of real engines.
"""

import dataclasses

from cowsliprill.decisions import model

POOL = "generate"
BLOCK_TOKENS = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """The fleet of one customer and the workload of its callers.

    Attributes:
      name: Name of the site.
      availability_zones: Availability zones.
      cross_zone_delay_s: One-way network delay between availability zones.
      entry_processes: Number of entry processes.
      prefill_engines: Number of prefill engines.
      decode_engines: Number of decode engines.
      prefill_tokens_per_s: Prompt tokens per second of a prefill engine.
      seconds_per_token: Time per output token of one stream.
      prompt_median: Median length of a prompt, tokens.
      prompt_sigma: Sigma of the log-normal distribution of prompt lengths.
      output_median: Median length of an output, tokens.
      output_sigma: Sigma of the log-normal distribution of output lengths.
      ttft_target_s: Target time to first token (TTFT).
      tpot_target_s: Target time per output token (TPOT).
      user: Id of the customer that declares the services.
      child_customers: Ids of its child customers, which call the services.
      wasted_prefill_weight: Cost of a wasted prefill in the services' settings.
      services: Names of the default and the high-priority service.
    """

    name: str
    availability_zones: tuple[str, ...]
    cross_zone_delay_s: float
    entry_processes: int = 8
    prefill_engines: int
    decode_engines: int
    prefill_tokens_per_s: float
    seconds_per_token: float = 0.025
    prompt_median: float
    prompt_sigma: float = 0.6
    output_median: float
    output_sigma: float = 0.35
    ttft_target_s: float
    tpot_target_s: float = 0.04
    user: str
    child_customers: tuple[str, ...]
    wasted_prefill_weight: float
    services: tuple[str, str]

    def endpoints(self) -> dict[str, model.Endpoint]:
        """Returns the engines by id."""
        engines = [
            self._endpoint(model.EndpointKind.PREFILL, number)
            for number in range(self.prefill_engines)
        ]
        engines += [
            self._endpoint(model.EndpointKind.DECODE, number)
            for number in range(self.decode_engines)
        ]
        return {engine.id: engine for engine in engines}

    def service_models(self) -> dict[str, model.Service]:
        """Returns the services by id, the high-priority one last."""
        default_name, high_priority_name = self.services
        services = [
            self._service(default_name, 0),
            self._service(high_priority_name, 1),
        ]
        return {service.id: service for service in services}

    def snapshot(self) -> model.Snapshot:
        """Returns the settings snapshot that the policies receive."""
        users = {
            child: model.Customer(id=child, parent=self.user)
            for child in self.child_customers
        }
        users[self.user] = model.Customer(id=self.user)
        return model.Snapshot(
            revision=1,
            customers_by_id=users,
            services_by_id=self.service_models(),
            endpoints_by_id=self.endpoints(),
        )

    def _endpoint(
        self, kind: model.EndpointKind, number: int
    ) -> model.Endpoint:
        is_prefill = kind is model.EndpointKind.PREFILL
        offset = 0 if is_prefill else 1
        return model.Endpoint(
            id=f"{kind}-{number}",
            kind=kind,
            host="127.0.0.1",
            port=1,
            availability_zone=self.availability_zones[
                (number + offset) % len(self.availability_zones)
            ],
            pool=POOL,
            slots=4 if is_prefill else 20,
            prefill_tokens_per_s=self.prefill_tokens_per_s,
            seconds_per_token=self.seconds_per_token,
            link_bytes_per_s=4e9,
            kv_bytes_per_token=100_000,
            export_ttl_s=0.8,
        )

    def _service(self, name: str, priority: int) -> model.Service:
        return model.Service(
            id=f"{self.user}/{name}",
            customer=self.user,
            name=name,
            kind=model.ServiceKind.MODEL,
            pool=POOL,
            ttft_target_s=self.ttft_target_s,
            tpot_target_s=self.tpot_target_s,
            priority=priority,
            may_wait_s=self.ttft_target_s,
            wasted_prefill_weight=self.wasted_prefill_weight,
        )


SITES_BY_NAME = {
    "umurongo": Site(
        name="umurongo",
        availability_zones=("nyarugenge", "gasabo", "kicukiro", "remera"),
        cross_zone_delay_s=0.001,
        prefill_engines=2,
        decode_engines=3,
        prefill_tokens_per_s=24_000.0,
        prompt_median=3_000.0,
        output_median=200.0,
        ttft_target_s=2.0,
        user="umurongo",
        wasted_prefill_weight=0.2,
        child_customers=tuple(f"umurongo/firm-{name}" for name in "abcd"),
        services=("brief", "brief-now"),
    ),
    "zarqa": Site(
        name="zarqa",
        availability_zones=("abdoun", "shmeisani", "marka", "tabarbour"),
        cross_zone_delay_s=0.0015,
        prefill_engines=4,
        decode_engines=5,
        prefill_tokens_per_s=28_000.0,
        prompt_median=3_400.0,
        output_median=160.0,
        output_sigma=0.4,
        ttft_target_s=4.0,
        user="zarqa",
        wasted_prefill_weight=1.0,
        child_customers=("zarqa/bagroute", "zarqa/handover"),
        services=("summary", "summary-express"),
    ),
}
