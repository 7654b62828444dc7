"""The crash records of this process, with log, metrics and subscribers."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
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
        # A flood of different requests must not push out the parts they share.
        self._survived = survived_requests.SurvivedRequests()
        self._survived_parts = survived_requests.SurvivedRequests()
        self._output_at_by_pool: dict[str, float] = {}
        self._callbacks: list[Callable[[_Records], None]] = []
        self._restrictions_by_feature: dict[
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
        self, fingerprint: str, parts: Collection[str] = ()
    ) -> quarantine_lib.Restriction | None:
        """Returns why a request must not be sent now, None if it may be.

        Args:
          fingerprint: Fingerprint of the request.
          parts: Digests of the parts of its prompt.
        """
        if not len(self.table):
            return None
        return self._quarantine.restriction(fingerprint, clock.now(), parts)

    def is_suspect(self, fingerprint: str, parts: Collection[str] = ()) -> bool:
        """Returns whether a request or a part of it may have ended an engine.

        Args:
          fingerprint: Fingerprint of the request.
          parts: Digests of the parts of its prompt.
        """
        features = {fingerprint, *parts}
        return any(
            not features.isdisjoint(record.remaining_features)
            for record in self.table
        )

    def unproven_parts(
        self, parts: Iterable[str], pool: str
    ) -> tuple[str, ...]:
        """Returns the parts that no engine of a pool lately gave output on.

        Args:
          parts: Digests of parts of a prompt.
          pool: The pool.
        """
        now = clock.now()
        return tuple(
            part
            for part in parts
            if not self._survived_parts.contains(part, pool, now)
        )

    def set_limits(self, limits: quarantine_lib.Limits) -> None:
        """Applies new limits."""
        self._quarantine.limits = limits
        self._apply([])

    def set_versions(
        self, versions_by_pool: Mapping[str, frozenset[str]]
    ) -> None:
        """Applies which software versions the engines of each pool have.

        Args:
          versions_by_pool: The versions by pool.
        """
        if versions_by_pool != self._quarantine.versions_by_pool:
            self._quarantine.versions_by_pool = versions_by_pool
            if len(self.table):
                self._report_restrictions()

    def observe(
        self,
        endpoint: model.Endpoint,
        fingerprint: str,
        sent_at: float,
        lost_at: float,
        parts: Iterable[str] = (),
    ) -> None:
        """Records that an engine seems to have ended with a request.

        Args:
          endpoint: The engine.
          fingerprint: Fingerprint of the request.
          sent_at: When the request was sent to the engine, in seconds.
          lost_at: When the engine closed its connection, in seconds.
          parts: Digests of the parts of its prompt.
        """
        unproven = self.unproven_parts(parts, endpoint.pool)
        record = self.table.observe(
            endpoint, fingerprint, sent_at, lost_at, unproven
        )
        if record is None:
            return
        self._metrics.engine_crashes.inc({"state": "suspected"})
        self._log.event(
            "engine_crash_suspected",
            endpoint=endpoint.id,
            number=record.number,
            fingerprint=fingerprint,
            prompt_parts=",".join(unproven),
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

    def record_survived(
        self, fingerprint: str, pool: str, parts: Collection[str] = ()
    ) -> None:
        """Clears a request that an engine has given output for, and its parts.

        Args:
          fingerprint: Fingerprint of the request.
          pool: Pool of the engine.
          parts: Digests of the parts of its prompt.
        """
        now = clock.now()
        self._survived.add(fingerprint, pool, now)
        for part in parts:
            self._survived_parts.add(part, pool, now)
        self._output_at_by_pool[pool] = now
        if len(self.table):
            self._acquit(fingerprint, pool, parts)
            self._record_output(pool, now)

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
        if not len(self.table) and not self._restrictions_by_feature:
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

    def _acquit(
        self, fingerprint: str, pool: str, parts: Collection[str] = ()
    ) -> None:
        changed = self.table.acquit(fingerprint, pool, parts)
        if not changed:
            return
        self._log.event(
            "request_acquitted",
            fingerprint=fingerprint,
            prompt_parts=",".join(parts),
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
            self._clear_survived_parts(record)
        for pool in {record.pool for record in records}:
            if pool in self._output_at_by_pool:
                self._record_output(pool, self._output_at_by_pool[pool])

    def _record_output(self, pool: str, output_at: float) -> None:
        changed = self.table.record_output(pool, output_at)
        if changed:
            self._apply(changed)

    def _clear_survived_parts(self, record: crash_records.CrashRecord) -> None:
        parts = record.parts - record.acquitted_parts
        survived = parts.difference(self.unproven_parts(parts, record.pool))
        if survived:
            self._acquit("", record.pool, sorted(survived))

    def _apply(self, changed: _Records) -> None:
        self._quarantine.refresh(clock.now())
        self._report_restrictions()
        for callback in self._callbacks:
            callback(changed)

    def _report_restrictions(self) -> None:
        restrictions = self._quarantine.restricted(clock.now())
        self._log_changes(restrictions)
        self._restrictions_by_feature = restrictions
        for kind in quarantine_lib.RestrictionKind:
            of_kind = [
                item for item in restrictions.values() if item.kind is kind
            ]
            parts = sum(item.is_part for item in of_kind)
            labels = {"kind": kind.value}
            self._metrics.restricted_requests.set(labels, len(of_kind) - parts)
            self._metrics.restricted_prompt_parts.set(labels, parts)

    def _log_changes(
        self, restrictions: dict[str, quarantine_lib.Restriction]
    ) -> None:
        previous = self._restrictions_by_feature
        for feature, restriction in restrictions.items():
            known = previous.get(feature)
            if known is None or known.kind is not restriction.kind:
                self._log_restriction(restriction)
        for feature in previous.keys() - restrictions.keys():
            if previous[feature].is_part:
                self._log.event("prompt_part_released", part=feature)
            else:
                self._log.event("request_released", fingerprint=feature)

    def _log_restriction(self, restriction: quarantine_lib.Restriction) -> None:
        records = restriction.records
        common = {
            "crashes": len(records),
            "endpoints": crash_records.endpoint_ids(records),
            "left_s": round(restriction.left_s, 3),
        }
        if not restriction.is_part:
            self._log.warning(
                f"request_{restriction.kind.value}",
                fingerprint=restriction.feature,
                **common,
            )
            return
        self._log.warning(
            f"prompt_part_{restriction.kind.value}",
            part=restriction.feature,
            fingerprints=_fingerprints(restriction),
            **common,
        )


def _fingerprints(restriction: quarantine_lib.Restriction) -> str:
    """Returns the requests by which a part is blamed."""
    fingerprints = {
        fingerprint
        for record in restriction.records
        for fingerprint in record.holders(restriction.feature)
    }
    return ",".join(sorted(fingerprints))
