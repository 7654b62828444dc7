"""Benchmark of the CPU time of scheduling decisions.

`python -m cowsliprill.replay.cost` prints a table by fleet size.
"""

import dataclasses
import time

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import scheduler

FLEET_SIZES = (13, 130, 5_900)

_REQUEST_COUNT = 2_000
_LEASE_EXPIRES_AT_S = 1e9
_PREFILL_FRACTION = 0.3
_SERVICE = model.Service(
    id="u/s", customer="u", name="s", kind=model.ServiceKind.MODEL, pool="g"
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """CPU time at one fleet size.

    Attributes:
      engines: Number of engines in the settings.
      placed_us: Microseconds per request that is placed at once, over all its
        events.
      queued_us: Microseconds per request that is queued because all slots are
        taken.
      cluster_state_ms: Milliseconds per change of the settings or of the VM
        list.
    """

    engines: int
    placed_us: float
    queued_us: float
    cluster_state_ms: float


def _snapshot(count: int) -> model.Snapshot:
    prefills = int(count * _PREFILL_FRACTION)
    endpoints = {}
    for number in range(count):
        is_prefill = number < prefills
        kind = (
            model.EndpointKind.PREFILL
            if is_prefill
            else model.EndpointKind.DECODE
        )
        endpoints[f"e{number}"] = model.Endpoint(
            id=f"e{number}",
            kind=kind,
            host="127.0.0.1",
            port=1,
            availability_zone=f"z{number % 4}",
            pool="g",
            slots=20,
            prefill_tokens_per_s=24_000.0,
            seconds_per_token=0.025,
            link_bytes_per_s=4e9,
            kv_bytes_per_token=100_000,
        )
    return model.Snapshot(revision=1, endpoints_by_id=endpoints)


def _grant_all(subject: scheduler.Scheduler, slots: int, waiting: int) -> None:
    for slot_demand in subject.asks(0.0):
        subject.handle(
            messages.SlotGrant(
                endpoint_id=slot_demand.endpoint_id,
                slots=slots,
                expires_at=_LEASE_EXPIRES_AT_S,
                waiting=waiting,
                used=20 if waiting else 0,
                sequence=slot_demand.sequence,
            ),
            0.0,
        )


def _submit(number: int, now: float) -> messages.Submit:
    return messages.Submit(
        request_id=number,
        service=_SERVICE,
        customer=f"u/firm-{number % 4}",
        prompt_tokens=3_000,
        output_tokens=256,
        prefix_hashes=tuple(range(number, number + 12)),
        deadline=now + 2.0,
    )


def measure(engines: int) -> Cost:
    """Measures the CPU time at one fleet size.

    Args:
      engines: Number of engines in the settings.

    Returns:
      The measured CPU times.
    """
    subject = scheduler.Scheduler("z0", 1)
    started_at = time.process_time()
    subject.handle(
        messages.ClusterStateChanged(_snapshot(engines), model.Fleet()), 0.0
    )
    cluster_state_s = time.process_time() - started_at
    _grant_all(subject, 4, 0)
    started_at = time.process_time()
    for number in range(_REQUEST_COUNT):
        now = number / 10
        subject.handle(_submit(number, now), now)
        subject.handle(messages.PrefillFinished(number), now + 0.02)
        subject.handle(messages.FirstToken(number), now + 0.03)
        subject.handle(messages.Finished(number, 200), now + 0.09)
    placed_s = time.process_time() - started_at
    _grant_all(subject, 0, 5)
    started_at = time.process_time()
    for number in range(_REQUEST_COUNT, 2 * _REQUEST_COUNT):
        now = number / 10
        subject.handle(_submit(number, now), now)
    queued_s = time.process_time() - started_at
    return Cost(
        engines=engines,
        placed_us=placed_s / _REQUEST_COUNT * 1e6,
        queued_us=queued_s / _REQUEST_COUNT * 1e6,
        cluster_state_ms=cluster_state_s * 1e3,
    )


def main() -> None:
    """Prints the CPU times at each fleet size."""
    print("engines  free us/request  scarce us/request  change ms")
    for size in FLEET_SIZES:
        cost = measure(size)
        print(
            f"{cost.engines:7} {cost.placed_us:16.0f} {cost.queued_us:18.0f}"
            f" {cost.cluster_state_ms:10.1f}"
        )


if __name__ == "__main__":
    main()
