"""The homes of the engines in a replay: slot ledgers and cache news."""

import dataclasses
import random
from collections.abc import Callable

from cowsliprill.decisions import messages
from cowsliprill.decisions import slot_ledger
from cowsliprill.replay import engines
from cowsliprill.replay import timeline

_EVENT_DELAY_S = (0.2, 1.5)
_REPORT_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine said of its load some time ago, for the baselines."""

    endpoint_id: str
    held: int


class Home:
    """Home of one engine.

    Args:
      engine: The engine.
      clock: The virtual time.
      rng: Random numbers of this home.
      event_gap: Share of cache events that are lost.
      report_lag_s: Age of load reports on arrival.
    """

    def __init__(
        self,
        engine: engines.Engine,
        clock: timeline.Timeline,
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
        self._event_gap = event_gap
        self._report_lag_s = report_lag_s
        self._blocks: list[int] = []
        self._told_by_entry: dict[str, int] = {}
        self._latency_by_entry: dict[str, float] = {}
        self._senders: dict[str, Callable[[messages.SlotGrant], None]] = {}
        self.report_to: list[Callable[[LoadReport], None]] = []
        if isinstance(engine, engines.PrefillEngine):
            engine.on_stored = self._stored
        self._report()

    def receive(
        self,
        entry: str,
        ask: messages.SlotDemand,
        sent_at: float,
        send: Callable[[messages.SlotGrant], None],
    ) -> None:
        """Answers an ask and tells other entries what it changed for them."""
        now = self._clock.now
        self._latency_by_entry[entry] = now - sent_at
        self._senders[entry] = send
        self._send(entry, self.ledger.ask(entry, ask, now))
        for name, grant in self.ledger.regrant(now):
            self._send(name, grant)

    def _send(self, entry: str, grant: messages.SlotGrant) -> None:
        told = self._told_by_entry.get(entry, 0)
        self._told_by_entry[entry] = len(self._blocks)
        self._senders[entry](
            dataclasses.replace(
                grant,
                expires_at=grant.expires_at - self._latency_by_entry[entry],
                report_age_s=self._report_lag_s,
                prefix_hashes=tuple(self._blocks[told:]),
            )
        )

    def _stored(self, blocks: list[int]) -> None:
        seen = [
            block
            for block in blocks
            if self._random.random() >= self._event_gap
        ]
        self._clock.after(
            self._random.uniform(*_EVENT_DELAY_S),
            lambda: self._blocks.extend(seen),
        )

    def _report(self) -> None:
        if not self._engine.lost:
            report = LoadReport(
                self._engine.endpoint.id, len(self._engine.held)
            )
            self._clock.after(self._report_lag_s, lambda: self._tell(report))
        self._clock.after(_REPORT_INTERVAL_S, self._report)

    def _tell(self, report: LoadReport) -> None:
        for tell in self.report_to:
            tell(report)
