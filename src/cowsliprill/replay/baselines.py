"""Baseline load-balancing policies to compare the scheduler with.

The baselines behave like common proxies: they use no slot leases and no queue,
start every request at once, retry on another engine when one is full or fails,
and refuse the request after the service's maximum number of attempts.
"""

import collections
import random

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.replay import coordinators

_RETRY_AFTER_S = 1.0
_NO_WAKEUP_S = 3600.0
_HASHED_PREFIX_BLOCKS = 8


class Baseline:
    """Starts each request at once on engines that a subclass selects.

    Args:
      availability_zone: Unused; part of the interface of a policy.
      seed: Seed of the policy's random numbers.
    """

    def __init__(self, availability_zone: str, seed: int) -> None:
        del availability_zone
        self.random = random.Random(seed)
        self.in_flight_by_engine: collections.Counter[str] = (
            collections.Counter()
        )
        self._endpoint_ids_by_kind: dict[model.EndpointKind, list[str]] = {}
        self._submits_by_id: dict[int, messages.Submit] = {}
        self._starts_by_id: dict[int, messages.Start] = {}
        self._streaming_ids: set[int] = set()

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Action]:
        """Handles one event and returns the actions to perform."""
        del now
        match event:
            case messages.ClusterStateChanged(snapshot, _):
                for endpoint in snapshot.endpoints_by_id.values():
                    self._endpoint_ids_by_kind.setdefault(
                        endpoint.kind, []
                    ).append(endpoint.id)
            case messages.Submit():
                self._submits_by_id[event.request_id] = event
                return [self._start(event, 0)]
            case messages.PrefillFinished(request_id):
                self.in_flight_by_engine[
                    self._starts_by_id[request_id].prefill_id
                ] -= 1
            case messages.FirstToken(request_id):
                self._streaming_ids.add(request_id)
            case messages.Finished(request_id):
                self._streaming_ids.discard(request_id)
                start = self._starts_by_id.pop(request_id)
                del self._submits_by_id[request_id]
                self.in_flight_by_engine[start.decode_id] -= 1
            case messages.Cancel(request_id):
                return self._cancel(request_id)
            case messages.AttemptFailed():
                return self._handle_failure(event)
        return []

    def asks(self, now: float) -> list[messages.SlotDemand]:
        """Returns an empty list: a baseline leases no slots."""
        del now
        return []

    def next_wakeup(self, now: float) -> float:
        """Returns a time after the end of every trace: no tick is needed."""
        return now + _NO_WAKEUP_S

    def select_engine(
        self,
        submit: messages.Submit,
        kind: model.EndpointKind,
        endpoint_ids: list[str],
        attempt: int,
    ) -> str:
        """Returns the id of the engine for an attempt of a request."""
        raise NotImplementedError

    def _start(self, submit: messages.Submit, attempt: int) -> messages.Start:
        selected_by_kind = {
            kind: self.select_engine(submit, kind, endpoint_ids, attempt)
            for kind, endpoint_ids in self._endpoint_ids_by_kind.items()
        }
        start = messages.Start(
            request_id=submit.request_id,
            attempt=attempt,
            prefill_id=selected_by_kind[model.EndpointKind.PREFILL],
            decode_id=selected_by_kind[model.EndpointKind.DECODE],
        )
        self._starts_by_id[submit.request_id] = start
        self.in_flight_by_engine.update(selected_by_kind.values())
        return start

    def _cancel(self, request_id: int) -> list[messages.Action]:
        start = self._starts_by_id.pop(request_id, None)
        self._submits_by_id.pop(request_id, None)
        self._streaming_ids.discard(request_id)
        if start is None:
            return []
        self.in_flight_by_engine[start.decode_id] -= 1
        return [
            messages.CancelAttempt(
                request_id=request_id,
                attempt=start.attempt,
                endpoint_ids=(start.prefill_id, start.decode_id),
            )
        ]

    def _handle_failure(
        self, event: messages.AttemptFailed
    ) -> list[messages.Action]:
        start = self._starts_by_id.pop(event.request_id)
        submit = self._submits_by_id[event.request_id]
        self.in_flight_by_engine[start.decode_id] -= 1
        if event.stage is messages.Stage.PREFILL:
            self.in_flight_by_engine[start.prefill_id] -= 1
        if event.request_id in self._streaming_ids:
            del self._submits_by_id[event.request_id]
            return []
        if start.attempt + 1 < submit.service.retries.attempts:
            return [self._start(submit, start.attempt + 1)]
        del self._submits_by_id[event.request_id]
        return [
            messages.Refuse(
                request_id=event.request_id,
                code=messages.RefusalCode.ENDPOINT_FAILED,
                retry_after_s=_RETRY_AFTER_S,
            )
        ]


class RoundRobin(Baseline):
    """Round-robin over the engines of each kind, from a random start."""

    def __init__(self, availability_zone: str, seed: int) -> None:
        super().__init__(availability_zone, seed)
        first_index = self.random.randrange(1000)
        self._next_index_by_kind = dict.fromkeys(
            model.EndpointKind, first_index
        )

    def select_engine(
        self,
        submit: messages.Submit,
        kind: model.EndpointKind,
        endpoint_ids: list[str],
        attempt: int,
    ) -> str:
        """Returns the next engine in turn."""
        del submit, attempt
        self._next_index_by_kind[kind] += 1
        return endpoint_ids[self._next_index_by_kind[kind] % len(endpoint_ids)]


class LeastOutstanding(Baseline):
    """Selects the engine with the fewest outstanding requests.

    The load of an engine is its last reported load plus the change since then
    in the requests that this policy has in flight there.
    """

    def __init__(self, availability_zone: str, seed: int) -> None:
        super().__init__(availability_zone, seed)
        self._reported_load: collections.Counter[str] = collections.Counter()
        self._in_flight_at_report: collections.Counter[str] = (
            collections.Counter()
        )

    def report(self, report: coordinators.LoadReport) -> None:
        """Records a load report, which arrives with a delay."""
        self._reported_load[report.endpoint_id] = report.running_jobs
        self._in_flight_at_report[report.endpoint_id] = (
            self.in_flight_by_engine[report.endpoint_id]
        )

    def select_engine(
        self,
        submit: messages.Submit,
        kind: model.EndpointKind,
        endpoint_ids: list[str],
        attempt: int,
    ) -> str:
        """Returns the least loaded engine; ties are broken at random."""
        del submit, kind, attempt
        return min(
            endpoint_ids,
            key=lambda name: (
                self._reported_load[name]
                + self.in_flight_by_engine[name]
                - self._in_flight_at_report[name],
                self.random.random(),
            ),
        )


class PrefixAffinity(Baseline):
    """Selects prefill engines by prefix hash, decode engines round-robin."""

    def __init__(self, availability_zone: str, seed: int) -> None:
        super().__init__(availability_zone, seed)
        self._next_index = self.random.randrange(1000)

    def select_engine(
        self,
        submit: messages.Submit,
        kind: model.EndpointKind,
        endpoint_ids: list[str],
        attempt: int,
    ) -> str:
        """Returns an engine by prefix hash, or the next one in turn.

        Only prefill attempts of prompts with prefix blocks use the hash. Each
        retry moves on to the next engine.
        """
        self._next_index += 1
        if kind is model.EndpointKind.PREFILL and submit.prefix_hashes:
            prefix_hash = hash(submit.prefix_hashes[:_HASHED_PREFIX_BLOCKS])
            return endpoint_ids[(prefix_hash + attempt) % len(endpoint_ids)]
        return endpoint_ids[self._next_index % len(endpoint_ids)]
