"""Polls load reports and cache events of the coordinated engines."""

import asyncio

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.dispatch import context as context_lib
from cowsliprill.dispatch import coordinated_endpoints as coordinated_lib
from cowsliprill.dispatch import polling
from cowsliprill.engines import errors as engine_errors

_MAX_BYTES_PER_S = 1_000
_LOAD_REPORT_BYTES = 900
_CACHE_EVENT_BYTES = 60
_MIN_INTERVAL_S = 1.0
_MAX_INTERVAL_S = 30.0


class LoadPoller:
    """Refreshes load report and prefix cache state of coordinated engines.

    Args:
      context: Shared state and clients of the process.
    """

    def __init__(self, context: context_lib.DispatchContext) -> None:
        self._context = context
        self._round_bytes = 0

    async def run(self) -> None:
        """Polls all engines in rounds, until cancelled."""
        while True:
            self._round_bytes = 0
            states = list(self._context.coordinated.by_id.values())
            await asyncio.gather(*(self._poll(each) for each in states))
            self._update_slot_gauges(states)
            await asyncio.sleep(
                polling.poll_interval_s(
                    self._round_bytes,
                    bytes_per_s=_MAX_BYTES_PER_S,
                    min_interval_s=_MIN_INTERVAL_S,
                    max_interval_s=_MAX_INTERVAL_S,
                )
            )

    async def _poll(self, state: coordinated_lib.CoordinatedEndpoint) -> None:
        self._round_bytes += _LOAD_REPORT_BYTES
        requested_at = clock.now()
        try:
            state.load_report = await self._context.engines.load(state.endpoint)
            state.load_read_at = requested_at
            if state.endpoint.kind is model.EndpointKind.PREFILL:
                await self._poll_cache_events(state)
        except engine_errors.CallError as error:
            self._context.count("report_failed")
            await self._context.report_if_draining(state.endpoint, error)

    async def _poll_cache_events(
        self, state: coordinated_lib.CoordinatedEndpoint
    ) -> None:
        prefix_changes = state.prefix_changes
        events = await self._context.engines.cache_events(
            state.endpoint, prefix_changes.last_seq
        )
        self._round_bytes += _CACHE_EVENT_BYTES * len(events.events)
        if events.gap:
            self._context.count("cache_events_gap")
        prefix_changes.apply(events)

    def _update_slot_gauges(
        self, states: list[coordinated_lib.CoordinatedEndpoint]
    ) -> None:
        gauge = self._context.metrics.slots
        for state in states:
            endpoint_id = state.endpoint.id
            granted = {"endpoint": endpoint_id, "state": "granted"}
            gauge.set(granted, state.ledger.leased())
            in_use = {"endpoint": endpoint_id, "state": "in_use"}
            gauge.set(in_use, state.ledger.used())
