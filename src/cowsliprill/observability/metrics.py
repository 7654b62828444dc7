"""Prometheus metrics of one process."""

import aioprometheus
from aioprometheus import renderer

_TTFT_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0)
_TPOT_BUCKETS = (0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.2, 0.5)


class Metrics:
    """Collectors of one process, all in one registry.

    Attributes:
      registry: Registry that holds all collectors below.
      requests: Completed requests by `service` and `outcome`.
      ttft_s: Time to first token in seconds by `service`.
      tpot_s: Time per output token in seconds by `service`.
      goodput: Requests that met both latency targets, by `service`.
      wasted_prefills: Prefills whose result was not used, by `service`.
      slots: Slots by `endpoint` and `state` (granted, in_use).
      revision: Revision of the settings in force.
      pending_cancels: Cancellations that are not yet acknowledged.
      events: Other counted events by `event`.
      members: Reachable VMs, including this one.
      registry_position: Revision of the newest known change, by `prefix`.
      registry_outage_s: Seconds since the store stopped responding, 0 while the
        store responds, by `prefix`.
      registry_view_age_s: Seconds since the store last confirmed that this VM's
        view is up to date, by `prefix`; set at VMs that watch the store.
      registry_reads: Calls to the store by `prefix` and `result` (answered,
        failed).
      caller_connections_closed: Connections of callers that this process has
        closed, or whose caller left during a request, by `reason` (see
        `entry.caller_stream.End`).
      log_lines_dropped: Log lines dropped because the reader was too slow.
      engine_crashes: Ends of engines that lost a started request, by `state`
        (suspected, confirmed), as seen by this process.
      restricted_requests: Requests that are refused because they end engines,
        by `kind` (held, quarantined).
      restricted_prompt_parts: Parts of prompts for which requests are refused,
        by `kind` (held, quarantined).
      endpoint_rate_limit: Requests a second that an endpoint takes from all VMs
        together, 0 without a limit, by `endpoint`.
      rate_permits: Permits to send a request to a limited endpoint that this
        process has handed out, by `endpoint`.
      rate_permits_denied: Requests for such a permit that it has denied, by
        `pool`.
      plain_refusals: Plain calls refused under overload, by `pool` and
        `customer_class` (over_share, any: no server had room).
      plain_pool_capacity: Calls a second that may be admitted to an overloaded
        plain pool coordinated here, 0 without overload, by `pool`.
      unavailable_endpoints: Endpoints that say that they leave, or want no
        requests from this VM, by `pool` and `reason` (leaving, paused).
      unwanted_sends: Requests sent to such endpoints, by `pool` and `reason`.
      withheld_sends: Requests not sent to them, by `pool` and `reason`.
      relayed_requests: Requests that this process has sent to other VMs because
        it is cut off from the endpoints, by `service` and `outcome` (answered,
        refused, declined, failed).
      helped_requests: Requests that this process has served for other VMs, by
        `service` and `outcome`; `requests` doesn't include them.
      path_lost: 1 while this process can't open connections to endpoints, by
        `pool` (all: of any pool).
      engine_silences: Times that an engine was silent to all calls of this VM
        for 0.7 s, by `pool` and `liveness`, as a probe has found (unreachable,
        stands_still, answers).
      resumed_streams: Requests of callers that resume a stream, by `service`
        and `outcome`; `requests` includes them.
      engines: Listed engines by `pool`, `version` of their software and `state`
        (ready, leaving).
      pool_slots: Decode slots of the pools that this VM coordinates, by `pool`
        and `state` (promised: reserved; all: total).
      pool_waiting: Requests queued for a decode slot, by `pool`, at the pool's
        coordinator.
      overload_displaced: Requests that the overload ranking put behind others
        or whose wait it ended, by `pool` and `reason` (demoted, overloaded,
        waited_too_long), at the pool's coordinator.
      quota_accounts_opened: Accounts of customers' quotas that this process has
        begun to keep, by `basis` of their level (reported, assumed).
    """

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        prefix = "cowsliprill_"
        self.requests = aioprometheus.Counter(
            prefix + "requests_total",
            "Requests by service and outcome.",
            registry=self.registry,
        )
        self.ttft_s = aioprometheus.Histogram(
            prefix + "time_to_first_token_seconds",
            "Time from arrival to the first token.",
            buckets=_TTFT_BUCKETS,
            registry=self.registry,
        )
        self.tpot_s = aioprometheus.Histogram(
            prefix + "time_per_output_token_seconds",
            "Mean time between a request's tokens.",
            buckets=_TPOT_BUCKETS,
            registry=self.registry,
        )
        self.goodput = aioprometheus.Counter(
            prefix + "goodput_requests_total",
            "Requests completed within both targets.",
            registry=self.registry,
        )
        self.wasted_prefills = aioprometheus.Counter(
            prefix + "wasted_prefills_total",
            "Prefills whose result was never used.",
            registry=self.registry,
        )
        self.slots = aioprometheus.Gauge(
            prefix + "slots",
            "Slots by endpoint and state.",
            registry=self.registry,
        )
        self.revision = aioprometheus.Gauge(
            prefix + "settings_revision",
            "Revision of the settings in force.",
            registry=self.registry,
        )
        self.pending_cancels = aioprometheus.Gauge(
            prefix + "pending_cancels",
            "Cancel orders that are not yet acknowledged.",
            registry=self.registry,
        )
        self.events = aioprometheus.Counter(
            prefix + "events_total",
            "Other events by name.",
            registry=self.registry,
        )

        self.engine_crashes = aioprometheus.Counter(
            prefix + "engine_crashes_total",
            "Ends of engines that lost a started request.",
            registry=self.registry,
        )
        self.restricted_requests = self._gauge(
            "restricted_requests", "Requests refused because they end engines."
        )
        self.restricted_prompt_parts = self._gauge(
            "restricted_prompt_parts",
            "Parts of prompts whose requests are refused for the same reason.",
        )

        self.endpoint_rate_limit = self._gauge(
            "endpoint_rate_limit_per_second",
            "Requests a second that an endpoint takes from all VMs.",
        )
        self.rate_permits = aioprometheus.Counter(
            prefix + "rate_permits_total",
            "Permits handed out for requests to limited endpoints.",
            registry=self.registry,
        )
        self.rate_permits_denied = aioprometheus.Counter(
            prefix + "rate_permits_denied_total",
            "Denied permits for requests to limited endpoints.",
            registry=self.registry,
        )

        self.plain_refusals = aioprometheus.Counter(
            prefix + "plain_refusals_total",
            "Plain calls refused under overload.",
            registry=self.registry,
        )
        self.plain_pool_capacity = self._gauge(
            "plain_pool_capacity_per_second",
            "Calls a second that may be admitted to an overloaded pool.",
        )

        self.unavailable_endpoints = self._gauge(
            "unavailable_endpoints", "Endpoints that want no requests."
        )
        self.unwanted_sends = aioprometheus.Counter(
            prefix + "unwanted_sends_total",
            "Requests sent to endpoints that want none.",
            registry=self.registry,
        )
        self.withheld_sends = aioprometheus.Counter(
            prefix + "withheld_sends_total",
            "Requests not sent to endpoints that want none.",
            registry=self.registry,
        )

        self.relayed_requests = aioprometheus.Counter(
            prefix + "relayed_requests_total",
            "Requests sent to other VMs for lack of a path to endpoints.",
            registry=self.registry,
        )
        self.helped_requests = aioprometheus.Counter(
            prefix + "helped_requests_total",
            "Requests served for VMs without a path to endpoints.",
            registry=self.registry,
        )
        self.path_lost = self._gauge(
            "path_lost", "Whether no endpoint of a pool can be reached."
        )

        self.caller_connections_closed = aioprometheus.Counter(
            prefix + "caller_connections_closed_total",
            "Connections of callers that ended other than between requests.",
            registry=self.registry,
        )

        self.engine_silences = aioprometheus.Counter(
            prefix + "engine_silences_total",
            "Times that an engine was silent to all calls.",
            registry=self.registry,
        )

        self.members = self._gauge("members", "VMs that are heard.")
        self.registry_position = self._gauge(
            "registry_position", "Newest change known of the registry."
        )
        self.registry_outage_s = self._gauge(
            "registry_away_seconds", "Time without an answer of the store."
        )
        self.registry_view_age_s = self._gauge(
            "registry_view_age_seconds",
            "Time since the store was known to hold nothing newer.",
        )
        self.registry_reads = self._gauge(
            "registry_reads", "Calls to the store since the start."
        )
        self.log_lines_dropped = self._gauge(
            "log_lines_dropped", "Log lines lost since the start."
        )
        self.resumed_streams = aioprometheus.Counter(
            prefix + "resumed_streams_total",
            "Requests that resume a stream.",
            registry=self.registry,
        )
        self.engines = self._gauge(
            "engines", "Listed engines by software version."
        )
        self.pool_slots = self._gauge(
            "pool_slots", "Decode slots of a pool that is homed here."
        )
        self.pool_waiting = self._gauge(
            "pool_waiting", "Requests that wait for a pool homed here."
        )
        self.overload_displaced = aioprometheus.Counter(
            prefix + "overload_displaced_total",
            "Waiting requests put behind others or refused by pool and reason.",
            registry=self.registry,
        )
        self.quota_accounts_opened = aioprometheus.Counter(
            prefix + "quota_accounts_opened_total",
            "Accounts of quotas opened, by what their level rests on.",
            registry=self.registry,
        )

    def _gauge(self, name: str, text: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            "cowsliprill_" + name, text, registry=self.registry
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the exposition text and its HTTP headers."""
        content, headers = renderer.render(self.registry, [])
        return content, headers
