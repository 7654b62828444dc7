"""Which requests at an engine belong to an entry process that is gone.

Pure state machine of an engine's home. Observations go in (the VM list, what
entries and their ports answered, what engines run), cancel orders come out.

The hard part is not to cancel for a live owner that only this home can't
reach. Silence therefore never counts as an end; these do:

* For `ENDED_S` without a break, each port that the list gives for the VM's
  entry processes either answered as another incarnation or refused the
  connection, and the owner itself was not heard. A refusal comes from the VM's
  own kernel; a partition is silent.
* The VM was dropped from the platform's list for `ABSENT_S`, none of its ports
  answered in that time, and this home reaches most of its own zone, so that it
  isn't the one cut off.
* The request is older at the engine than any request may become: a live owner
  has given it up by itself. (The shell knows how old that is.)

What remains: a VM that is dropped from the list, alive, and cut off from this
home but not from the engine for `ABSENT_S` loses its running streams there;
and so does an entry that no longer asks for its slots while the list gives
wrong ports for its VM, after `ENDED_S`. Their callers get an error event, never
a wrong answer.
"""

import dataclasses
import enum
import functools
from collections.abc import Iterable

from cowsliprill.decisions import identity
from cowsliprill.decisions import model

SUSPECT_S = 2.5
ENDED_S = 4.0
ABSENT_S = 60.0
OVERAGE_MARGIN_S = 30.0
# Observations further apart than this don't count as one unbroken time: the
# home itself may have been paused between them and seen nothing.
MAX_GAP_S = 4.0
_SILENT_PROBE_S = 5.0
_FORGET_S = 3_600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A port answered with the incarnation behind it."""

    incarnation: identity.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The VM's kernel answered that nothing listens on the port."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """No usable answer: a timeout, an unreachable host, something else."""


PortReply = Answered | Refused | Silent


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Running:
    """One request as an engine reports it.

    Attributes:
      endpoint_id: The engine.
      request_id: Attempt id, or a foreign id.
      age_s: How long the engine has held it, seconds.
    """

    endpoint_id: str
    request_id: str
    age_s: float


class Reason(enum.StrEnum):
    """Why a request's owner counts as gone."""

    ENDED = "ended"
    ABSENT = "absent"
    OVERAGE = "overage"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Orphan:
    """A request to cancel.

    Attributes:
      endpoint_id: The engine that holds it.
      request_id: Its id there.
      reason: Why its owner counts as gone.
    """

    endpoint_id: str
    request_id: str
    reason: Reason


@dataclasses.dataclass(slots=True)
class _VmRecord:
    vm: model.Vm
    absent_since: float | None = None
    probed_at: float = float("-inf")
    no_silence_since: float | None = None
    answered_at: float = float("-inf")


class OrphanSweep:
    """Judges the owners of running requests.

    Args:
      now: Time at which this home started to listen, seconds.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._list_seen_at = float("-inf")
        self._records_by_vm: dict[str, _VmRecord] = {}
        self._heard_by_incarnation: dict[identity.Incarnation, float] = {}

    def see_list(self, vms: Iterable[model.Vm], now: float) -> None:
        """Takes the VM list; called at least each `MAX_GAP_S`.

        Args:
          vms: VMs of the list.
          now: Time, seconds.
        """
        unbroken = now - self._list_seen_at <= MAX_GAP_S
        self._list_seen_at = now
        listed = {vm.id: vm for vm in vms if vm.role is model.VmRole.ENTRY}
        for vm in listed.values():
            self._note_listed(vm)
        for vm_id, record in self._records_by_vm.items():
            if vm_id in listed:
                continue
            if record.absent_since is None or not unbroken:
                record.absent_since = now
        self._forget(now)

    def hear(self, incarnation: identity.Incarnation, now: float) -> None:
        """Takes a sign of life: an ask for slots or a port's answer.

        Args:
          incarnation: Who gave it.
          now: Time, seconds.
        """
        self._heard_by_incarnation[incarnation] = now

    def see_ports(
        self, vm_id: str, replies: Iterable[PortReply], now: float
    ) -> None:
        """Takes one round of questions to all entry ports of a VM.

        Args:
          vm_id: The VM.
          replies: What each of its listed ports answered.
          now: Time, seconds.
        """
        record = self._records_by_vm.get(vm_id)
        if record is None:
            return
        silent = False
        for reply in replies:
            match reply:
                case Answered(incarnation):
                    self.hear(incarnation, now)
                    record.answered_at = now
                case Silent():
                    silent = True
                case Refused():
                    pass
        unbroken = now - record.probed_at <= MAX_GAP_S
        record.probed_at = now
        if silent:
            record.no_silence_since = None
        elif record.no_silence_since is None or not unbroken:
            record.no_silence_since = now

    def suspects(
        self, running: Iterable[Running], now: float
    ) -> list[model.Vm]:
        """Finds the VMs whose entry ports should be asked now.

        Args:
          running: What the engines run.
          now: Time, seconds.

        Returns:
          VMs with an owner that has been quiet for a while, the ones asked
          longest ago first.
        """
        records_by_vm = {}
        for request in running:
            owner = _owner(request)
            if owner is None or self._quiet_s(owner, now) < SUSPECT_S:
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
        running: Iterable[Running],
        *,
        longest_request_s: float,
        reaches_zone: bool,
        now: float,
    ) -> list[Orphan]:
        """Finds the requests whose owner is gone.

        Args:
          running: What the engines run.
          longest_request_s: Largest `timeout_s` of any service in any
            revision that may still be in use.
          reaches_zone: Whether this home reached most of its zone lately.
          now: Time, seconds.

        Returns:
          The requests to cancel.
        """
        found = []
        overage_s = longest_request_s + OVERAGE_MARGIN_S
        for request in running:
            owner = _owner(request)
            if owner is None:
                continue
            if request.age_s > overage_s:
                reason = Reason.OVERAGE
            else:
                reason = self._gone(owner, reaches_zone, now)
            if reason is not None:
                found.append(
                    Orphan(
                        endpoint_id=request.endpoint_id,
                        request_id=request.request_id,
                        reason=reason,
                    )
                )
        return found

    def _gone(
        self, owner: identity.Incarnation, reaches_zone: bool, now: float
    ) -> Reason | None:
        record = self._records_by_vm.get(owner.vm)
        if record is None:
            # A VM that this home's list has never shown may be a new one.
            return None
        if self._has_ended(record, owner):
            return Reason.ENDED
        if reaches_zone and self._is_absent(record, owner, now):
            return Reason.ABSENT
        return None

    def _has_ended(
        self, record: _VmRecord, owner: identity.Incarnation
    ) -> bool:
        since = record.no_silence_since
        if since is None:
            return False
        return record.probed_at - max(since, self._heard_at(owner)) >= ENDED_S

    def _is_absent(
        self, record: _VmRecord, owner: identity.Incarnation, now: float
    ) -> bool:
        since = record.absent_since
        if since is None:
            return False
        signs = (self._heard_at(owner), record.answered_at, since)
        probed = record.probed_at > since
        return probed and now - max(signs) >= ABSENT_S

    def _should_probe(self, record: _VmRecord, now: float) -> bool:
        if record.no_silence_since is not None:
            return True
        return now - record.probed_at >= _SILENT_PROBE_S

    def _heard_at(self, owner: identity.Incarnation) -> float:
        return self._heard_by_incarnation.get(owner, self._started_at)

    def _quiet_s(self, owner: identity.Incarnation, now: float) -> float:
        return now - self._heard_at(owner)

    def _note_listed(self, vm: model.Vm) -> None:
        record = self._records_by_vm.get(vm.id)
        if record is None:
            self._records_by_vm[vm.id] = _VmRecord(vm)
            return
        record.absent_since = None
        moved = record.vm.host != vm.host
        if moved or record.vm.entry_ports != vm.entry_ports:
            # What the old ports answered says nothing about the new ones.
            record.no_silence_since = None
        record.vm = vm

    def _forget(self, now: float) -> None:
        old = now - _FORGET_S
        self._heard_by_incarnation = {
            incarnation: heard_at
            for incarnation, heard_at in self._heard_by_incarnation.items()
            if heard_at > old
        }
        self._records_by_vm = {
            vm_id: record
            for vm_id, record in self._records_by_vm.items()
            if record.absent_since is None or record.absent_since > old
        }


def _owner(request: Running) -> identity.Incarnation | None:
    return _owner_of(request.request_id)


# Each request is judged every second of its life.
@functools.lru_cache(maxsize=4_096)
def _owner_of(request_id: str) -> identity.Incarnation | None:
    try:
        return identity.AttemptId.parse(request_id).incarnation
    except identity.IdentityError:
        # Not one of ours, for example an operator's own request to the engine.
        return None
