"""The crash records of this process, with log, metrics and subscribers."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from cowsliprill import clock
from cowsliprill.decisions import crash_records
from cowsliprill.decisions import model
from cowsliprill.decisions import quarantine as quarantine_lib
from cowsliprill.decisions import survived_requests
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_Records = Sequence[crash_records.CrashRecord]


class CrashLedger:
    """Changes the crash records and reports what follows from each change.

    Args:
      quarantine: Decides which requests are restricted.
      log: Log of the process.
      metrics: Metrics of the process.
    """

    def __init__(
        self,
        quarantine: quarantine_lib.Quarantine,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._quarantine = quarantine
        self._log = log
        self._metrics = metrics
        self._survived = survived_requests.SurvivedRequests()
        self._callbacks: list[Callable[[_Records], None]] = []
        self._restrictions_by_fingerprint: dict[
            str, quarantine_lib.Restriction
        ] = {}

    def subscribe(self, callback: Callable[[_Records], None]) -> None:
        """Registers a callback that gets the records of each change."""
        self._callbacks.append(callback)

    @property
    def table(self) -> crash_records.CrashTable:
        """The crash records, to read."""
        return self._quarantine.table

    def restriction(
        self, fingerprint: str
    ) -> quarantine_lib.Restriction | None:
        """Returns why a request must not be sent now, None if it may be."""
        if not len(self.table):
            return None
        return self._quarantine.restriction(fingerprint, clock.now())

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request may have ended an engine."""
        return any(record.is_suspect(fingerprint) for record in self.table)

    def set_limits(self, limits: quarantine_lib.Limits) -> None:
        """Applies new limits."""
        self._quarantine.limits = limits
        self._apply([])

    def observe(
        self,
        endpoint: model.Endpoint,
        fingerprint: str,
        sent_at: float,
        lost_at: float,
    ) -> None:
        """Records that an engine seems to have ended with a request.

        Args:
          endpoint: The engine.
          fingerprint: Fingerprint of the request.
          sent_at: When the request was sent to the engine, in seconds.
          lost_at: When the engine closed its connection, in seconds.
        """
        record = self.table.observe(endpoint, fingerprint, sent_at, lost_at)
        if record is None:
            return
        self._metrics.engine_crashes.inc({"state": "suspected"})
        self._log.event(
            "engine_crash_suspected",
            endpoint=endpoint.id,
            number=record.number,
            fingerprint=fingerprint,
            suspects=len(record.suspects),
        )
        self._apply([record])
        self._clear_survived([record])

    def confirm(self, record: crash_records.CrashRecord) -> None:
        """Records that an engine has ended for certain."""
        confirmed = self.table.confirm(record.key)
        if confirmed is None:
            return
        self._metrics.engine_crashes.inc({"state": "confirmed"})
        self._log.event(
            "engine_crash_confirmed",
            endpoint=confirmed.endpoint_id,
            number=confirmed.number,
            suspects=len(confirmed.suspects),
            after_s=round(clock.now() - confirmed.observed_at, 3),
        )
        self._apply([confirmed])

    def record_survived(self, fingerprint: str, pool: str) -> None:
        """Clears a request that an engine of a pool has given output for."""
        self._survived.add(fingerprint, pool, clock.now())
        if len(self.table):
            self._acquit(fingerprint, pool)

    def merge(self, records: Iterable[crash_records.CrashRecord]) -> None:
        """Adds records of other processes."""
        now = clock.now()
        merged = [self.table.merge(record, now) for record in records]
        changed = [record for record in merged if record is not None]
        if changed:
            self._apply(changed)
            self._clear_survived(changed)

    def expire(self) -> None:
        """Drops records that no longer count and logs what that changes."""
        if not len(self.table) and not self._restrictions_by_fingerprint:
            return
        expired = self.table.expire(clock.now())
        for record in expired:
            self._log.event(
                "engine_crash_dropped",
                endpoint=record.endpoint_id,
                number=record.number,
                confirmed=record.confirmed,
            )
        if expired:
            self._quarantine.refresh(clock.now())
        self._report_restrictions()

    def _acquit(self, fingerprint: str, pool: str) -> None:
        changed = self.table.acquit(fingerprint, pool)
        if not changed:
            return
        self._log.event(
            "request_acquitted",
            fingerprint=fingerprint,
            endpoints=crash_records.endpoint_ids(changed),
        )
        self._apply(changed)

    def _clear_survived(self, records: _Records) -> None:
        """Clears suspects that engines of the same pool have survived."""
        now = clock.now()
        for record in records:
            for fingerprint in record.remaining_suspects:
                if self._survived.contains(fingerprint, record.pool, now):
                    self._acquit(fingerprint, record.pool)

    def _apply(self, changed: _Records) -> None:
        self._quarantine.refresh(clock.now())
        self._report_restrictions()
        for callback in self._callbacks:
            callback(changed)

    def _report_restrictions(self) -> None:
        restrictions = self._quarantine.restricted(clock.now())
        self._log_changes(restrictions)
        self._restrictions_by_fingerprint = restrictions
        for kind in quarantine_lib.RestrictionKind:
            count = sum(item.kind is kind for item in restrictions.values())
            self._metrics.restricted_requests.set({"kind": kind.value}, count)

    def _log_changes(
        self, restrictions: dict[str, quarantine_lib.Restriction]
    ) -> None:
        previous = self._restrictions_by_fingerprint
        for fingerprint, restriction in restrictions.items():
            known = previous.get(fingerprint)
            if known is None or known.kind is not restriction.kind:
                self._log.warning(
                    f"request_{restriction.kind.value}",
                    fingerprint=fingerprint,
                    crashes=len(restriction.records),
                    endpoints=crash_records.endpoint_ids(restriction.records),
                    left_s=round(restriction.left_s, 3),
                )
        for fingerprint in previous.keys() - restrictions.keys():
            self._log.event("request_released", fingerprint=fingerprint)
