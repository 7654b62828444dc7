"""Detects that an engine has ended, as opposed to a connection to it.

A lost connection proves nothing: networks reset and cut connections, engines
break off answers, and engines that leave close theirs. An engine is suspected
to have ended if, besides, nothing listens at its address right after; this is
confirmed once its entry disappears from the settings without an announcement.
Where settings keep engines that have ended, it is confirmed once its port is
open again: a process has started in place of the one that ended.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

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

_SECOND_PROBE_DELAY_S = 0.05


class _PortState(enum.Enum):
    """Result of an attempt to connect to an engine."""

    CLOSED = enum.auto()
    OPEN = enum.auto()
    UNREACHABLE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class _Loss:
    endpoint_id: str
    fingerprint: str
    parts: tuple[str, ...]
    sent_at: float
    lost_at: float


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
        self._probes_by_endpoint: dict[str, asyncio.Task[_PortState]] = {}
        self._watched_keys: set[crash_records.CrashKey] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        ledger.subscribe(self._confirm_records)

    async def run(self) -> None:
        """Drops expired records until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self._ledger.expire()

    def cluster_state_changed(self) -> None:
        """Confirms ends that the new settings show."""
        now = clock.now()
        endpoints_by_id = self._cluster_state.snapshot.endpoints_by_id
        leaving_ids = self._cluster_state.fleet_at(now).leaving_endpoint_ids
        self._ends.update(endpoints_by_id, leaving_ids, now)
        self._confirm_records([])
        self._ledger.set_versions(
            _versions_by_pool(
                endpoint
                for endpoint in endpoints_by_id.values()
                if endpoint.id not in leaving_ids
            )
        )

    def report_lost(
        self,
        endpoint_id: str,
        fingerprint: str,
        sent_at: float,
        parts: tuple[str, ...] = (),
    ) -> asyncio.Task[None]:
        """Reports that an engine closed the connection of a started request.

        Args:
          endpoint_id: Id of the engine.
          fingerprint: Fingerprint of the request, for which the engine had not
            given any output.
          sent_at: When the request was sent to the engine, in seconds.
          parts: Digests of the parts of its prompt.

        Returns:
          Ends once the engine's port has been probed.
        """
        loss = _Loss(endpoint_id, fingerprint, parts, sent_at, clock.now())
        return self._start(self._examine(loss))

    def can_be_ended(self, record: crash_records.CrashRecord) -> bool:
        """Returns whether the settings admit that an engine has ended."""
        if not self._lists_ends:
            return True
        return not self._ends.is_listed(record.endpoint_id, record.life)

    async def _examine(self, loss: _Loss) -> None:
        endpoint = self._cluster_state.snapshot.endpoints_by_id.get(
            loss.endpoint_id
        )
        if endpoint is None or self._cluster_state.is_leaving(
            endpoint.id, loss.lost_at
        ):
            return
        match await self._port_state(endpoint):
            case _PortState.CLOSED:
                self._record(loss, endpoint)
            case _PortState.OPEN:
                self._start(self._probe_again(loss, endpoint))
            case _PortState.UNREACHABLE:
                self._dismiss(loss, "its host doesn't answer")

    async def _probe_again(self, loss: _Loss, endpoint: model.Endpoint) -> None:
        # A process that is being killed may lose its connections before its
        # port.
        await asyncio.sleep(_SECOND_PROBE_DELAY_S)
        if await self._port_state(endpoint) is _PortState.CLOSED:
            self._record(loss, endpoint)
        else:
            self._dismiss(loss, "its port is open")

    def _record(self, loss: _Loss, endpoint: model.Endpoint) -> None:
        self._ledger.observe(
            endpoint, loss.fingerprint, loss.sent_at, loss.lost_at, loss.parts
        )
        if not self._lists_ends:
            self._await_restarts(endpoint)

    def _dismiss(self, loss: _Loss, reason: str) -> None:
        self._log.event(
            "engine_crash_dismissed",
            endpoint=loss.endpoint_id,
            fingerprint=loss.fingerprint,
            reason=reason,
        )

    async def _port_state(self, endpoint: model.Endpoint) -> _PortState:
        # All requests that an engine loses at the same time share one probe.
        task = self._probes_by_endpoint.get(endpoint.id)
        if task is None:
            task = asyncio.create_task(self._probe(endpoint))
            self._probes_by_endpoint[endpoint.id] = task
            task.add_done_callback(
                lambda _: self._probes_by_endpoint.pop(endpoint.id, None)
            )
        return await asyncio.shield(task)

    async def _probe(self, endpoint: model.Endpoint) -> _PortState:
        try:
            connection = await self._http.connect(
                endpoint.host, endpoint.port, _PROBE_TIMEOUT_S
            )
        except engine_errors.ConnectFailed as error:
            if error.refused:
                return _PortState.CLOSED
            return _PortState.UNREACHABLE
        except engine_errors.EndpointUnavailable:
            return _PortState.UNREACHABLE
        connection.close()
        return _PortState.OPEN

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _await_restarts(self, endpoint: model.Endpoint) -> None:
        for record in self._ledger.table.unconfirmed():
            is_watched = record.key in self._watched_keys
            if record.endpoint_id == endpoint.id and not is_watched:
                self._watched_keys.add(record.key)
                self._start(self._await_restart(endpoint, record))

    async def _await_restart(
        self, endpoint: model.Endpoint, record: crash_records.CrashRecord
    ) -> None:
        while not record.is_expired(clock.now()):
            await asyncio.sleep(_RESTART_PROBE_INTERVAL_S)
            if await self._port_state(endpoint) is _PortState.OPEN:
                self._ledger.confirm(record)
                break
        self._watched_keys.discard(record.key)

    def _confirm_records(self, changed: object) -> None:
        del changed
        for record in self._ledger.table.unconfirmed():
            if self._ends.has_ended(record.endpoint_id, record.life):
                self._ledger.confirm(record)


def _versions_by_pool(
    endpoints: Iterable[model.Endpoint],
) -> dict[str, frozenset[str]]:
    versions_by_pool: dict[str, set[str]] = {}
    for endpoint in endpoints:
        versions = versions_by_pool.setdefault(endpoint.pool, set())
        versions.add(endpoint.software_version)
    return {
        pool: frozenset(versions) for pool, versions in versions_by_pool.items()
    }
