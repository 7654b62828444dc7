"""Metrics of one process, by aioprometheus, under standard names."""

import aioprometheus
from aioprometheus import renderer

_TTFT_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0)
_TPOT_BUCKETS = (0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.2, 0.5)


class Metrics:
    """The metrics of one process.

    Attributes:
      registry: aioprometheus's registry.
      requests: Requests by `service` and `outcome`.
      ttft_s: Time to first token by `service`.
      tpot_s: Time per output token by `service`.
      goodput: Requests within both targets, by `service`.
      wasted_prefills: Prefills whose result was not used, by `service`.
      slots: Slots by `endpoint` and `state` (granted, in_use).
      revision: Revision of the settings in force.
      pending_cancels: Cancel orders that are not yet acknowledged.
      events: Other counted events by `event`.
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

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the Prometheus text and its HTTP headers."""
        content, headers = renderer.render(self.registry, [])
        return content, headers
