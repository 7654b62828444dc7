"""Detects requests at engines whose owning entry process no longer exists.

State machine without I/O, run by an engine's coordinator. Inputs are the VM
list, heartbeats of entry processes, results of probing their ports, and the
requests that engines run; the output is the list of orphaned requests to
cancel.

A request of a live owner that is only unreachable from this coordinator must
not be canceled. Missing responses alone are therefore no evidence of a failure.
The owner of a request is considered terminated in these cases:

* For an uninterrupted `ENDED_AFTER_S`, each of the VM's listed entry ports
  either answered with another incarnation or refused the connection, and the
  owner sent no heartbeat. A refusal is sent by the VM's kernel, whereas a
  network partition causes timeouts.
* The VM has been missing from the platform's list for `ABSENT_AFTER_S`, none of
  its ports answered in that time, and this coordinator reaches a majority of
  its own availability zone, so that the coordinator itself isn't partitioned.
* The request has been at the engine for longer than any request may take, so a
  live owner has already abandoned it. The caller supplies that limit.

Known limitations: running streams are canceled although their owner is alive if
its VM is missing from the list and partitioned from this coordinator, but not
from the engine, for `ABSENT_AFTER_S`; or if the entry process sends no more
slot demands while the list has wrong ports for its VM for `ENDED_AFTER_S`.
Clients receive an error event in these cases, never a wrong answer.
"""

import dataclasses
import enum
import functools
from collections.abc import Iterable

from cowsliprill.decisions import identity
from cowsliprill.decisions import model

SUSPECT_AFTER_S = 2.5
ENDED_AFTER_S = 4.0
ABSENT_AFTER_S = 60.0
MAX_AGE_MARGIN_S = 30.0
# Observations further apart than this don't count as uninterrupted, because the
# coordinator itself may have been paused in between.
MAX_OBSERVATION_GAP_S = 4.0
_UNANSWERED_PROBE_INTERVAL_S = 5.0
_RECORD_TTL_S = 3_600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A process answered on the port.

    Attributes:
      incarnation: Incarnation of the process.
    """

    incarnation: identity.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The VM's kernel refused the connection; no process listens."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No usable answer, for example a timeout or an unreachable host."""


ProbeResult = Answered | Refused | NoAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObservedRequest:
    """A request reported by an engine.

    Attributes:
      endpoint_id: The engine.
      request_id: Attempt id, or an id that wasn't issued by this router.
      age_s: Time since the engine received the request, seconds.
    """

    endpoint_id: str
    request_id: str
    age_s: float


class OrphanReason(enum.StrEnum):
    """Why the owner of a request is considered terminated.

    Attributes:
      ENDED: No entry port of the owner's VM belongs to the owner any more.
      ABSENT: The owner's VM is missing from the VM list and unreachable.
      OVERAGE: The request is older than any request may become.
    """

    ENDED = "ended"
    ABSENT = "absent"
    OVERAGE = "overage"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Orphan:
    """A request whose owner has terminated and that is to be canceled.

    Attributes:
      endpoint_id: The engine that runs the request.
      request_id: Id of the request at the engine.
      reason: Why the owner is considered terminated.
    """

    endpoint_id: str
    request_id: str
    reason: OrphanReason


@dataclasses.dataclass(slots=True)
class _VmRecord:
    """Observations of one VM.

    Attributes:
      vm: The newest entry of the VM list.
      absent_since: When the VM was first missing from the list, None while it
        is listed.
      probed_at: When its entry ports were last probed.
      all_responding_since: Since when each port answered or refused every
        probe, None after a probe without an answer.
      answered_at: When a process last answered on one of its ports.
    """

    vm: model.Vm
    absent_since: float | None = None
    probed_at: float = float("-inf")
    all_responding_since: float | None = None
    answered_at: float = float("-inf")


class OrphanDetector:
    """Tracks the owners of running requests and finds orphaned requests.

    Args:
      now: When this coordinator started to receive heartbeats, seconds.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._list_updated_at = float("-inf")
        self._records_by_vm: dict[str, _VmRecord] = {}
        self._last_seen_by_incarnation: dict[identity.Incarnation, float] = {}

    def update_vms(self, vms: Iterable[model.Vm], now: float) -> None:
        """Records the VM list.

        To be called at intervals of at most `MAX_OBSERVATION_GAP_S`.

        Args:
          vms: The listed VMs.
          now: Current time in seconds.
        """
        uninterrupted = now - self._list_updated_at <= MAX_OBSERVATION_GAP_S
        self._list_updated_at = now
        listed = {vm.id: vm for vm in vms if vm.role is model.VmRole.ENTRY}
        for vm in listed.values():
            self._update_listed_vm(vm)
        for vm_id, record in self._records_by_vm.items():
            if vm_id in listed:
                continue
            if record.absent_since is None or not uninterrupted:
                record.absent_since = now
        self._drop_old_records(now)

    def record_heartbeat(
        self, incarnation: identity.Incarnation, now: float
    ) -> None:
        """Records a heartbeat: a slot demand or an answer to a port probe.

        Args:
          incarnation: The entry process that sent it.
          now: Current time in seconds.
        """
        self._last_seen_by_incarnation[incarnation] = now

    def record_probe(
        self, vm_id: str, replies: Iterable[ProbeResult], now: float
    ) -> None:
        """Records the results of probing all entry ports of a VM.

        Args:
          vm_id: The VM.
          replies: The result for each of its listed ports.
          now: Current time in seconds.
        """
        record = self._records_by_vm.get(vm_id)
        if record is None:
            return
        any_unanswered = False
        for reply in replies:
            match reply:
                case Answered(incarnation):
                    self.record_heartbeat(incarnation, now)
                    record.answered_at = now
                case NoAnswer():
                    any_unanswered = True
                case Refused():
                    pass
        uninterrupted = now - record.probed_at <= MAX_OBSERVATION_GAP_S
        record.probed_at = now
        if any_unanswered:
            record.all_responding_since = None
        elif record.all_responding_since is None or not uninterrupted:
            record.all_responding_since = now

    def vms_to_probe(
        self, running: Iterable[ObservedRequest], now: float
    ) -> list[model.Vm]:
        """Returns the VMs whose entry ports should be probed now.

        Args:
          running: The requests that the engines run.
          now: Current time in seconds.

        Returns:
          VMs of owners without a heartbeat for `SUSPECT_AFTER_S`, sorted by the
          time of their last probe, oldest first.
        """
        records_by_vm = {}
        for request in running:
            owner = _owner(request)
            if (
                owner is None
                or self._time_since_heartbeat_s(owner, now) < SUSPECT_AFTER_S
            ):
                continue
            record = self._records_by_vm.get(owner.vm)
            if record is not None and self._should_probe(record, now):
                records_by_vm[owner.vm] = record
        ordered = sorted(
            records_by_vm.values(), key=lambda record: record.probed_at
        )
        return [record.vm for record in ordered if record.vm.entry_ports]

    def orphans(
        self,
        running: Iterable[ObservedRequest],
        *,
        longest_request_s: float,
        has_zone_majority: bool,
        now: float,
    ) -> list[Orphan]:
        """Returns the requests whose owner has terminated.

        Args:
          running: The requests that the engines run.
          longest_request_s: Largest `timeout_s` of any service in any
            revision that may still be in use.
          has_zone_majority: Whether this coordinator recently reached a
            majority of its availability zone.
          now: Current time in seconds.

        Returns:
          The requests to cancel.
        """
        found = []
        max_age_s = longest_request_s + MAX_AGE_MARGIN_S
        for request in running:
            owner = _owner(request)
            if owner is None:
                continue
            if request.age_s > max_age_s:
                reason = OrphanReason.OVERAGE
            else:
                reason = self._orphan_reason(owner, has_zone_majority, now)
            if reason is not None:
                found.append(
                    Orphan(
                        endpoint_id=request.endpoint_id,
                        request_id=request.request_id,
                        reason=reason,
                    )
                )
        return found

    def _orphan_reason(
        self, owner: identity.Incarnation, has_zone_majority: bool, now: float
    ) -> OrphanReason | None:
        record = self._records_by_vm.get(owner.vm)
        if record is None:
            # A VM that was never in this coordinator's list may have just
            # started.
            return None
        if self._has_ended(record, owner):
            return OrphanReason.ENDED
        if has_zone_majority and self._is_absent(record, owner, now):
            return OrphanReason.ABSENT
        return None

    def _has_ended(
        self, record: _VmRecord, owner: identity.Incarnation
    ) -> bool:
        since = record.all_responding_since
        if since is None:
            return False
        return (
            record.probed_at - max(since, self._last_seen_at(owner))
            >= ENDED_AFTER_S
        )

    def _is_absent(
        self, record: _VmRecord, owner: identity.Incarnation, now: float
    ) -> bool:
        since = record.absent_since
        if since is None:
            return False
        last_contacts = (
            self._last_seen_at(owner),
            record.answered_at,
            since,
        )
        probed = record.probed_at > since
        return probed and now - max(last_contacts) >= ABSENT_AFTER_S

    def _should_probe(self, record: _VmRecord, now: float) -> bool:
        if record.all_responding_since is not None:
            return True
        return now - record.probed_at >= _UNANSWERED_PROBE_INTERVAL_S

    def _last_seen_at(self, owner: identity.Incarnation) -> float:
        return self._last_seen_by_incarnation.get(owner, self._started_at)

    def _time_since_heartbeat_s(
        self, owner: identity.Incarnation, now: float
    ) -> float:
        return now - self._last_seen_at(owner)

    def _update_listed_vm(self, vm: model.Vm) -> None:
        record = self._records_by_vm.get(vm.id)
        if record is None:
            self._records_by_vm[vm.id] = _VmRecord(vm)
            return
        record.absent_since = None
        host_changed = record.vm.host != vm.host
        if host_changed or record.vm.entry_ports != vm.entry_ports:
            # Probe results of the old ports don't apply to the new ones.
            record.all_responding_since = None
        record.vm = vm

    def _drop_old_records(self, now: float) -> None:
        expired_at = now - _RECORD_TTL_S
        self._last_seen_by_incarnation = {
            incarnation: seen_at
            for incarnation, seen_at in self._last_seen_by_incarnation.items()
            if seen_at > expired_at
        }
        self._records_by_vm = {
            vm_id: record
            for vm_id, record in self._records_by_vm.items()
            if record.absent_since is None or record.absent_since > expired_at
        }


def _owner(request: ObservedRequest) -> identity.Incarnation | None:
    return _owner_of(request.request_id)


# Cached because each running request is checked every second.
@functools.lru_cache(maxsize=4_096)
def _owner_of(request_id: str) -> identity.Incarnation | None:
    try:
        return identity.AttemptId.parse(request_id).incarnation
    except identity.IdentityError:
        # Not issued by this router, for example an operator's direct request
        # to the engine.
        return None
