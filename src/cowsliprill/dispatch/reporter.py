"""Reads the homed engines' load reports and cache events."""

import asyncio

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.dispatch import homes as homes_lib
from cowsliprill.dispatch import pace
from cowsliprill.dispatch import world as world_lib
from cowsliprill.engines import errors as engine_errors

_BYTES_PER_S = 1_000
_ENGINE_BYTES = 900
_EVENT_BYTES = 60
_SHORTEST_S = 1.0
_LONGEST_S = 30.0


class Reporter:
    """Keeps what the home knows of its engines fresh.

    Args:
      world: What the tasks share.
    """

    def __init__(self, world: world_lib.World) -> None:
        self._world = world
        self._round_bytes = 0

    async def run(self) -> None:
        """Reads until cancelled."""
        while True:
            self._round_bytes = 0
            homes = list(self._world.homes.by_endpoint.values())
            await asyncio.gather(*(self._read(home) for home in homes))
            self._note_slots(homes)
            await asyncio.sleep(
                pace.interval_s(
                    self._round_bytes,
                    bytes_per_s=_BYTES_PER_S,
                    shortest_s=_SHORTEST_S,
                    longest_s=_LONGEST_S,
                )
            )

    async def _read(self, home: homes_lib.Home) -> None:
        self._round_bytes += _ENGINE_BYTES
        asked_at = clock.now()
        try:
            home.load = await self._world.engines.load(home.endpoint)
            home.reported_at = asked_at
            if home.endpoint.kind is model.EndpointKind.PREFILL:
                await self._read_cache_events(home)
        except engine_errors.CallError as error:
            self._world.count("report_failed")
            await self._world.note_failure(home.endpoint, error)

    async def _read_cache_events(self, home: homes_lib.Home) -> None:
        feed = home.prefixes
        events = await self._world.engines.cache_events(
            home.endpoint, feed.last_seq
        )
        self._round_bytes += _EVENT_BYTES * len(events.events)
        if events.gap:
            self._world.count("cache_events_gap")
        feed.take(events)

    def _note_slots(self, homes: list[homes_lib.Home]) -> None:
        gauge = self._world.metrics.slots
        for home in homes:
            name = home.endpoint.id
            granted = {"endpoint": name, "state": "granted"}
            gauge.set(granted, home.ledger.leased())
            in_use = {"endpoint": name, "state": "in_use"}
            gauge.set(in_use, home.ledger.used())
