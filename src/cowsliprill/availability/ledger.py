"""Which endpoints want no requests, with log, metrics and subscribers."""

import collections
import enum
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from cowsliprill import change_notifier
from cowsliprill import clock
from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import endpoint_pauses
from cowsliprill.decisions import leaving_endpoints
from cowsliprill.decisions import model
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.observability import repeated_warning

_LeavingRecords = Sequence[leaving_endpoints.LeavingEndpoint]


class Reason(enum.StrEnum):
    """Why an endpoint wants no requests."""

    LEAVING = "leaving"
    PAUSED = "paused"


class AvailabilityLedger:
    """Keeps which endpoints leave or are paused, and reports each change.

    Args:
      log: Log of the process.
      metrics: Metrics of the process.

    Attributes:
      leaving: Endpoints that are leaving, to read.
      pauses: Pauses that endpoints have asked this VM for, to read.
    """

    def __init__(self, log: log_lib.Log, metrics: metrics_lib.Metrics) -> None:
        self.leaving = leaving_endpoints.LeavingEndpoints()
        self.pauses = endpoint_pauses.EndpointPauses()
        self._log = log
        self._metrics = metrics
        self._changes = change_notifier.ChangeNotifier()
        self._callbacks: list[Callable[[], None]] = []
        self._leaving_callbacks: list[Callable[[_LeavingRecords], None]] = []
        self._sends_in_pause: collections.Counter[endpoint_pauses.Key] = (
            collections.Counter()
        )
        self._gauge_labels: set[tuple[str, Reason]] = set()
        self._invalid = repeated_warning.RepeatedWarning(
            log, "endpoint_pause_invalid"
        )

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs after each change."""
        self._callbacks.append(callback)

    def subscribe_leaving(
        self, callback: Callable[[_LeavingRecords], None]
    ) -> None:
        """Registers a callback that gets new records of leaving endpoints."""
        self._leaving_callbacks.append(callback)

    def observe(self, answer: endpoint_answers.Answer) -> None:
        """Applies what an answer says about its endpoint."""
        changed = answer.leaving and self._observe_leaving(answer.endpoint)
        if answer.retry_after is not None:
            changed = self._observe_pause(answer) or changed
        elif answer.accepted:
            changed = self._observe_accepted(answer) or changed
        if changed:
            self._notify()

    def merge_leaving(
        self,
        records: Iterable[leaving_endpoints.LeavingEndpoint],
        snapshot: model.Snapshot,
    ) -> None:
        """Adds leaving endpoints that other processes know.

        Args:
          records: Their records.
          snapshot: Settings in force.
        """
        now = clock.now()
        added = [
            record
            for record in records
            if self.leaving.merge(record, snapshot.endpoints_by_id, now)
        ]
        if added:
            self._report_leaving(added, source="peer")
            self._notify()

    def record_sent(self, endpoint: model.Endpoint) -> None:
        """Records that a request is sent to an endpoint now."""
        key, now = endpoint.incarnation, clock.now()
        reason = self.reason(endpoint)
        if reason is not None:
            self._metrics.unwanted_sends.inc(_labels(endpoint, reason))
        if reason is Reason.PAUSED:
            self._sends_in_pause[key] += 1
        elif self.pauses.record_sent(key, now):
            self._notify()

    def reason(self, endpoint: model.Endpoint) -> Reason | None:
        """Returns why an endpoint wants no requests, None if it takes any."""
        if endpoint in self.leaving:
            return Reason.LEAVING
        if self.paused_until(endpoint):
            return Reason.PAUSED
        return None

    def paused_until(self, endpoint: model.Endpoint) -> float:
        """Returns when an endpoint may get a request, 0 if it may now."""
        return self.pauses.until(endpoint.incarnation, clock.now())

    def pause_left_s(self, endpoint: model.Endpoint) -> float:
        """Returns for how long an endpoint's pause lasts, in seconds."""
        now = clock.now()
        return max(self.pauses.asked_until(endpoint.incarnation) - now, 0.0)

    def paused_until_by_id(
        self, endpoints_by_id: Mapping[str, model.Endpoint]
    ) -> dict[str, float]:
        """Returns until when listed endpoints are paused, in seconds.

        Args:
          endpoints_by_id: The listed endpoints.
        """
        listed = [
            endpoints_by_id[endpoint_id]
            for endpoint_id, life in self.pauses
            if endpoint_id in endpoints_by_id
            and endpoints_by_id[endpoint_id].life == life
        ]
        return {
            endpoint.id: until
            for endpoint in listed
            if (until := self.paused_until(endpoint))
        }

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits until an endpoint's state changes, for a time at most.

        Args:
          timeout_s: Longest wait in seconds.
        """
        await self._changes.wait(timeout_s)

    def record_withheld(self, endpoint: model.Endpoint, reason: Reason) -> None:
        """Counts a request that isn't sent to an endpoint that wants none."""
        self._metrics.withheld_sends.inc(_labels(endpoint, reason))

    def expire(self, snapshot: model.Snapshot) -> None:
        """Drops what no longer tells anything, and sets the gauges.

        Args:
          snapshot: Settings in force.
        """
        now = clock.now()
        expired = self.leaving.expire(snapshot.endpoints_by_id, now)
        for endpoint_id, life in self.pauses.expire(now):
            self._report_pause_ended(endpoint_id, life, accepted=False)
        if expired:
            self._notify()
        self._set_gauges(snapshot)

    def _observe_leaving(self, endpoint: model.Endpoint) -> bool:
        record = self.leaving.observe(endpoint, clock.now())
        if record is None:
            return False
        self._report_leaving([record], source="answer")
        return True

    def _report_leaving(self, records: _LeavingRecords, source: str) -> None:
        for record in records:
            self._log.event(
                "endpoint_leaving",
                endpoint=record.endpoint_id,
                source=source,
                age_s=round(clock.now() - record.said_at, 3),
            )
        for callback in self._leaving_callbacks:
            callback(records)

    def _observe_pause(self, answer: endpoint_answers.Answer) -> bool:
        try:
            pause_s = endpoint_answers.parse_retry_after(
                answer.retry_after or "", answer.date
            )
        except endpoint_answers.InvalidRetryAfterError as error:
            self._invalid.report(answer.endpoint.id, error.message)
            return False
        key = answer.endpoint.incarnation
        if not self.pauses.ask(key, pause_s, clock.now()):
            return False
        self._log.event(
            "endpoint_paused",
            endpoint=answer.endpoint.id,
            pool=answer.endpoint.pool,
            pause_s=pause_s,
        )
        return True

    def _observe_accepted(self, answer: endpoint_answers.Answer) -> bool:
        key = answer.endpoint.incarnation
        if not self.pauses.record_accepted(key, answer.sent_at):
            return False
        self._report_pause_ended(*key, accepted=True)
        return True

    def _report_pause_ended(
        self, endpoint_id: str, life: str, *, accepted: bool
    ) -> None:
        self._log.event(
            "endpoint_pause_ended",
            endpoint=endpoint_id,
            accepted=accepted,
            sends=self._sends_in_pause.pop((endpoint_id, life), 0),
        )

    def _set_gauges(self, snapshot: model.Snapshot) -> None:
        counts: collections.Counter[tuple[str, Reason]] = collections.Counter()
        if len(self.leaving) or len(self.pauses):
            for endpoint in snapshot.endpoints_by_id.values():
                reason = self.reason(endpoint)
                if reason is not None:
                    counts[endpoint.pool, reason] += 1
        # A pool without such endpoints keeps its series, with the value 0.
        self._gauge_labels |= counts.keys()
        for pool, reason in self._gauge_labels:
            self._metrics.unavailable_endpoints.set(
                {"pool": pool, "reason": reason.value}, counts[pool, reason]
            )

    def _notify(self) -> None:
        self._changes.notify()
        for callback in self._callbacks:
            callback()


def _labels(endpoint: model.Endpoint, reason: Reason) -> dict[str, str]:
    return {"pool": endpoint.pool, "reason": reason.value}
