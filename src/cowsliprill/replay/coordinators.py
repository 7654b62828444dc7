"""Simulated coordinators of the engines in a replay.

A coordinator leases the slots of one engine, forwards its prefix cache events
and publishes its load reports.
"""

import dataclasses
import random
from collections.abc import Callable

from cowsliprill.decisions import messages
from cowsliprill.decisions import slot_ledger
from cowsliprill.replay import engines
from cowsliprill.replay import virtual_clock

_EVENT_DELAY_RANGE_S = (0.2, 1.5)
_REPORT_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an engine as the baselines receive it, with a delay.

    Attributes:
      endpoint_id: Id of the engine.
      running_jobs: Number of jobs that held a slot at the time of the report.
    """

    endpoint_id: str
    running_jobs: int


class EndpointCoordinator:
    """Coordinator of one engine.

    Args:
      engine: The engine.
      clock: Virtual clock.
      rng: Random number generator of this coordinator.
      event_gap: Fraction of cache events that are lost.
      report_lag_s: Age of load reports on arrival, in seconds.
    """

    def __init__(
        self,
        engine: engines.Engine,
        clock: virtual_clock.VirtualClock,
        rng: random.Random,
        event_gap: float,
        report_lag_s: float,
    ) -> None:
        self.ledger = slot_ledger.SlotLedger(
            engine.endpoint.id, engine.endpoint.slots
        )
        self._engine = engine
        self._clock = clock
        self._random = rng
        self._event_loss_fraction = event_gap
        self._report_lag_s = report_lag_s
        self._stored_blocks: list[int] = []
        self._published_count_by_entry: dict[str, int] = {}
        self._latency_by_entry: dict[str, float] = {}
        self._sender_by_entry: dict[
            str, Callable[[messages.SlotGrant], None]
        ] = {}
        self.report_listeners: list[Callable[[LoadReport], None]] = []
        if isinstance(engine, engines.PrefillEngine):
            engine.on_blocks_stored = self._publish_stored_blocks
        self._schedule_report()

    def handle_slot_demand(
        self,
        entry: str,
        slot_demand: messages.SlotDemand,
        sent_at: float,
        send: Callable[[messages.SlotGrant], None],
    ) -> None:
        """Handles a slot demand of an entry process.

        Grants go to that entry process and to all others whose share of the
        slots changes.

        Args:
          entry: Name of the entry process.
          slot_demand: The slot demand.
          sent_at: Virtual time at which the demand was sent, in seconds.
          send: Sends a grant to the entry process.
        """
        now = self._clock.now
        self._latency_by_entry[entry] = now - sent_at
        self._sender_by_entry[entry] = send
        self._send(entry, self.ledger.ask(entry, slot_demand, now))
        for name, grant in self.ledger.regrant(now):
            self._send(name, grant)

    def _send(self, entry: str, grant: messages.SlotGrant) -> None:
        published_count = self._published_count_by_entry.get(entry, 0)
        self._published_count_by_entry[entry] = len(self._stored_blocks)
        self._sender_by_entry[entry](
            dataclasses.replace(
                grant,
                expires_at=grant.expires_at - self._latency_by_entry[entry],
                report_age_s=self._report_lag_s,
                prefix_hashes=tuple(self._stored_blocks[published_count:]),
            )
        )

    def _publish_stored_blocks(self, blocks: list[int]) -> None:
        received = [
            block
            for block in blocks
            if self._random.random() >= self._event_loss_fraction
        ]
        self._clock.call_after(
            self._random.uniform(*_EVENT_DELAY_RANGE_S),
            lambda: self._stored_blocks.extend(received),
        )

    def _schedule_report(self) -> None:
        if not self._engine.is_down:
            report = LoadReport(
                self._engine.endpoint.id, len(self._engine.jobs_by_key)
            )
            self._clock.call_after(
                self._report_lag_s, lambda: self._publish_report(report)
            )
        self._clock.call_after(_REPORT_INTERVAL_S, self._schedule_report)

    def _publish_report(self, report: LoadReport) -> None:
        for listener in self.report_listeners:
            listener(report)
