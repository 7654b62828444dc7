"""Reference implementation of the scheduler, for comparison and tests.

Requests are served first come, first served, each on the engines with the most
free leased slots, and are refused when they have been queued for the service's
maximum wait. The code favors simplicity over speed.
"""

import collections
import dataclasses

from cowsliprill.decisions import messages
from cowsliprill.decisions import model

_RETRY_AFTER_S = 1.0
_IDLE_WAKEUP_S = 0.5


@dataclasses.dataclass(slots=True)
class _Request:
    submit: messages.Submit
    arrived_at: float
    stage: messages.Stage = messages.Stage.QUEUED
    attempt: int = -1
    prefill_id: str = ""
    decode_id: str = ""


class NaiveScheduler:
    """Schedules the model requests of one entry process.

    Args:
      availability_zone: Availability zone of the entry process.
      seed: Random seed; unused, since every choice is deterministic.
    """

    def __init__(self, availability_zone: str, seed: int) -> None:
        self._availability_zone = availability_zone
        self._seed = seed
        self._snapshot = model.Snapshot()
        self._fleet = model.Fleet()
        self._requests_by_id: dict[int, _Request] = {}
        self._grants_by_endpoint: dict[str, messages.SlotGrant] = {}

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Action]:
        """Handles one event.

        Args:
          event: The event.
          now: Current time in seconds.

        Returns:
          The actions that the I/O layer must perform, in order.
        """
        match event:
            case messages.Submit():
                request = _Request(event, now)
                self._requests_by_id[event.request_id] = request
                return self._place_queued(now) + self.asks(now)
            case messages.Cancel(request_id):
                return self._cancel(request_id)
            case messages.PrefillFinished(request_id):
                self._set_stage(request_id, messages.Stage.TRANSFER)
            case messages.FirstToken(request_id):
                self._set_stage(request_id, messages.Stage.DECODE)
            case messages.Finished(request_id, _):
                self._requests_by_id.pop(request_id, None)
                return self._place_queued(now) + self.asks(now)
            case messages.AttemptFailed():
                return self._handle_failure(event)
            case messages.SlotGrant():
                self._grants_by_endpoint[event.endpoint_id] = event
            case messages.ClusterStateChanged(snapshot, fleet):
                self._snapshot = snapshot
                self._fleet = fleet
            case messages.HomeUnreachable() | messages.Tick():
                pass
        return self._refuse_timed_out(now) + self._place_queued(now)

    def asks(self, now: float) -> list[messages.SlotDemand]:
        """Returns the current slot demands of this entry process.

        Args:
          now: Current time in seconds.

        Returns:
          One slot demand per usable endpoint. The I/O layer sends the demands
          to the coordinators at each lease renewal and whenever `handle`
          returns some.
        """
        del now
        queued_by_customer = collections.Counter(
            request.submit.customer
            for request in self._requests_by_id.values()
            if request.stage is messages.Stage.QUEUED
        )
        usage = self._slots_in_use()
        return [
            messages.SlotDemand(
                endpoint_id=endpoint.id,
                in_use=usage[endpoint.id],
                want=usage[endpoint.id] + queued_by_customer.total(),
                customer_wants=tuple(sorted(queued_by_customer.items())),
            )
            for endpoint in self._usable_endpoints()
        ]

    def next_wakeup(self, now: float) -> float:
        """Returns the time at which the I/O layer must deliver `Tick`."""
        return now + _IDLE_WAKEUP_S

    def _usable_endpoints(self) -> list[model.Endpoint]:
        return [
            endpoint
            for endpoint in self._snapshot.endpoints_by_id.values()
            if endpoint.kind is not model.EndpointKind.PLAIN
            and endpoint.id not in self._fleet.leaving_endpoint_ids
        ]

    def _slots_in_use(self) -> collections.Counter[str]:
        used: collections.Counter[str] = collections.Counter()
        for request in self._requests_by_id.values():
            if request.stage is messages.Stage.QUEUED:
                continue
            used[request.decode_id] += 1
            if request.stage is messages.Stage.PREFILL:
                used[request.prefill_id] += 1
        return used

    def _select_engine(
        self,
        kind: model.EndpointKind,
        pool: str,
        usage: collections.Counter[str],
        now: float,
    ) -> str | None:
        candidates = []
        for endpoint in self._usable_endpoints():
            grant = self._grants_by_endpoint.get(endpoint.id)
            if grant is None or grant.expires_at <= now:
                continue
            if endpoint.kind is kind and endpoint.pool == pool:
                free = grant.slots - usage[endpoint.id]
                candidates.append((free, endpoint.id))
        free, endpoint_id = max(candidates, default=(0, ""))
        return endpoint_id if free > 0 else None

    def _place_queued(self, now: float) -> list[messages.Action]:
        actions: list[messages.Action] = []
        usage = self._slots_in_use()
        for request_id, request in self._requests_by_id.items():
            if request.stage is not messages.Stage.QUEUED:
                continue
            pool = request.submit.service.pool
            decode = self._select_engine(
                model.EndpointKind.DECODE, pool, usage, now
            )
            prefill = self._select_engine(
                model.EndpointKind.PREFILL, pool, usage, now
            )
            if decode is None or prefill is None:
                continue
            request.stage = messages.Stage.PREFILL
            request.attempt += 1
            request.prefill_id = prefill
            request.decode_id = decode
            usage.update((prefill, decode))
            actions.append(
                messages.Start(
                    request_id=request_id,
                    attempt=request.attempt,
                    prefill_id=prefill,
                    decode_id=decode,
                )
            )
        return actions

    def _set_stage(self, request_id: int, stage: messages.Stage) -> None:
        request = self._requests_by_id.get(request_id)
        if request is not None:
            request.stage = stage

    def _cancel(self, request_id: int) -> list[messages.Action]:
        request = self._requests_by_id.pop(request_id, None)
        if request is None or request.stage is messages.Stage.QUEUED:
            return []
        return [
            messages.CancelAttempt(
                request_id=request_id,
                attempt=request.attempt,
                endpoint_ids=(request.prefill_id, request.decode_id),
            )
        ]

    def _handle_failure(
        self, event: messages.AttemptFailed
    ) -> list[messages.Action]:
        request = self._requests_by_id.get(event.request_id)
        actions = self._cancel(event.request_id)
        if request is not None and request.stage is messages.Stage.DECODE:
            return actions
        actions.append(
            messages.Refuse(
                request_id=event.request_id,
                code=messages.RefusalCode.ENDPOINT_FAILED,
                retry_after_s=_RETRY_AFTER_S,
            )
        )
        return actions

    def _refuse_timed_out(self, now: float) -> list[messages.Action]:
        timed_out_ids = [
            request_id
            for request_id, request in self._requests_by_id.items()
            if request.stage is messages.Stage.QUEUED
            and now - request.arrived_at > request.submit.service.may_wait_s
        ]
        for request_id in timed_out_ids:
            del self._requests_by_id[request_id]
        return [
            messages.Refuse(
                request_id=request_id,
                code=messages.RefusalCode.WAITED_TOO_LONG,
                retry_after_s=_RETRY_AFTER_S,
            )
            for request_id in timed_out_ids
        ]
