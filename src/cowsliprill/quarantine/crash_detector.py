"""Detects that an engine has ended, as opposed to a connection to it.

A lost connection proves nothing: networks reset and cut connections, engines
break off answers, and engines that leave close theirs. An engine is suspected
to have ended if, besides, nothing listens at its address right after; this is
confirmed once its entry disappears from the settings without an announcement.
Where settings keep engines that have ended, it is confirmed once its port is
open again: a process has started in place of the one that ended.
"""

import asyncio

from cowsliprill import clock
from cowsliprill.decisions import crash_records
from cowsliprill.decisions import endpoint_ends
from cowsliprill.decisions import model
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import http_client
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.quarantine import ledger as ledger_lib

# A refusal takes one round trip. A host that doesn't answer is cut off, or has
# lost power; the request that waits for the probe must not wait for long.
_PROBE_TIMEOUT_S = 0.15

_EXPIRY_INTERVAL_S = 1.0

_RESTART_PROBE_INTERVAL_S = 0.5


class CrashDetector:
    """Probes engines that lost a request and confirms their ends.

    Args:
      ledger: Receives suspected and confirmed ends.
      cluster_state: Current settings and VM list.
      http: HTTP client for endpoints.
      log: Log of the process.
      lists_ends: Whether endpoints that have ended disappear from the settings.
    """

    def __init__(
        self,
        ledger: ledger_lib.CrashLedger,
        cluster_state: cluster_state_lib.ClusterState,
        http: http_client.HttpClient,
        log: log_lib.Log,
        *,
        lists_ends: bool = True,
    ) -> None:
        self._lists_ends = lists_ends
        self._ledger = ledger
        self._cluster_state = cluster_state
        self._http = http
        self._log = log
        self._ends = endpoint_ends.EndpointEnds()
        self._probes_by_endpoint: dict[str, asyncio.Task[bool]] = {}
        self._restarts_by_key: dict[
            crash_records.CrashKey, asyncio.Task[None]
        ] = {}
        ledger.subscribe(self._confirm_records)

    async def run(self) -> None:
        """Drops expired records until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self._ledger.expire()

    def cluster_state_changed(self) -> None:
        """Confirms ends that the new settings show."""
        now = clock.now()
        self._ends.update(
            self._cluster_state.snapshot.endpoints_by_id,
            self._cluster_state.fleet_at(now).leaving_endpoint_ids,
            now,
        )
        self._confirm_records([])

    async def report_lost(
        self, endpoint_id: str, fingerprint: str, sent_at: float
    ) -> None:
        """Reports that an engine closed the connection of a started request.

        Returns once it is known whether the engine seems to have ended, so that
        the next attempt can take it into account.

        Args:
          endpoint_id: Id of the engine.
          fingerprint: Fingerprint of the request, for which the engine had not
            given any output.
          sent_at: When the request was sent to the engine, in seconds.
        """
        endpoint = self._cluster_state.snapshot.endpoints_by_id.get(endpoint_id)
        if endpoint is None or self._cluster_state.is_leaving(
            endpoint_id, clock.now()
        ):
            return
        if await self._has_closed_port(endpoint):
            self._ledger.observe(endpoint, fingerprint, sent_at)
            if not self._lists_ends:
                self._await_restarts(endpoint)

    def can_be_ended(self, record: crash_records.CrashRecord) -> bool:
        """Returns whether the settings admit that an engine has ended."""
        if not self._lists_ends:
            return True
        return not self._ends.is_listed(record.endpoint_id, record.life)

    async def _has_closed_port(self, endpoint: model.Endpoint) -> bool:
        # All requests that an engine loses at the same time share one probe.
        task = self._probes_by_endpoint.get(endpoint.id)
        if task is None:
            task = asyncio.create_task(self._probe(endpoint))
            self._probes_by_endpoint[endpoint.id] = task
            task.add_done_callback(
                lambda _: self._probes_by_endpoint.pop(endpoint.id, None)
            )
        return await asyncio.shield(task)

    async def _probe(self, endpoint: model.Endpoint) -> bool:
        try:
            connection = await self._http.connect(
                endpoint.host, endpoint.port, _PROBE_TIMEOUT_S
            )
        except engine_errors.ConnectFailed as error:
            if error.refused:
                return True
            self._log.event(
                "engine_crash_dismissed",
                endpoint=endpoint.id,
                reason=error.message,
            )
            return False
        connection.close()
        self._log.event(
            "engine_crash_dismissed",
            endpoint=endpoint.id,
            reason="it accepts connections",
        )
        return False

    def _await_restarts(self, endpoint: model.Endpoint) -> None:
        for record in self._ledger.table.unconfirmed():
            is_watched = record.key in self._restarts_by_key
            if record.endpoint_id != endpoint.id or is_watched:
                continue
            task = asyncio.create_task(self._await_restart(endpoint, record))
            self._restarts_by_key[record.key] = task
            task.add_done_callback(
                lambda _, key=record.key: self._restarts_by_key.pop(key, None)
            )

    async def _await_restart(
        self, endpoint: model.Endpoint, record: crash_records.CrashRecord
    ) -> None:
        while not record.is_expired(clock.now()):
            await asyncio.sleep(_RESTART_PROBE_INTERVAL_S)
            if await self._is_port_open(endpoint):
                self._ledger.confirm(record)
                return

    async def _is_port_open(self, endpoint: model.Endpoint) -> bool:
        try:
            connection = await self._http.connect(
                endpoint.host, endpoint.port, _PROBE_TIMEOUT_S
            )
        except engine_errors.ConnectFailed:
            return False
        connection.close()
        return True

    def _confirm_records(self, changed: object) -> None:
        del changed
        for record in self._ledger.table.unconfirmed():
            if self._ends.has_ended(record.endpoint_id, record.life):
                self._ledger.confirm(record)
