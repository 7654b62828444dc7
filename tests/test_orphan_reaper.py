"""Tests of orphan detection in the dispatch process with faulty engines."""

import asyncio
import types
from typing import Any

from cowsliprill.decisions import cancel_queue
from cowsliprill.decisions import model
from cowsliprill.decisions import orphans
from cowsliprill.dispatch import context as context_lib
from cowsliprill.dispatch import coordinated_endpoints as coordinated_lib
from cowsliprill.dispatch import orphan_reaper as reaper_lib
from cowsliprill.engines import model as engine_model
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_CYCLES = 20


def _engine(name: str) -> model.Endpoint:
    return model.Endpoint(
        id=name,
        kind=model.EndpointKind.DECODE,
        host="127.0.0.1",
        port=1,
        availability_zone="gasabo",
        pool="briefs",
        slots=20,
    )


class _Engines:
    """Engines of which one hangs; the others run one request of a given age."""

    def __init__(self, age_s: float) -> None:
        self._age_s = age_s

    async def running(
        self, endpoint: model.Endpoint
    ) -> list[engine_model.RunningRequest]:
        if endpoint.id == "hangs":
            await asyncio.Event().wait()
        request_id = "vm-gone.e0.one.1.0"
        return [
            engine_model.RunningRequest(
                request_id=request_id, age_s=self._age_s
            )
        ]


class _ZoneMonitor:
    def has_majority(self) -> bool:
        return True

    async def query_if_stale(self) -> None:
        return None


def _reap(age_s: float) -> list[cancel_queue.Cancellation]:
    """Runs some detection cycles and returns the cancellations."""
    own = model.Vm(
        id="vm-a",
        host="127.0.0.1",
        availability_zone="gasabo",
        role=model.VmRole.ENTRY,
    )
    engines = [_engine("hangs"), _engine("answers")]
    service = model.Service(
        id="u/s",
        customer="u",
        name="s",
        kind=model.ServiceKind.MODEL,
        pool="briefs",
        timeout_s=60.0,
    )
    snapshot = model.Snapshot(
        revision=1,
        services_by_id={service.id: service},
        endpoints_by_id={each.id: each for each in engines},
    )
    fleet = model.Fleet(version=1, vms_by_id={own.id: own})
    coordinated = coordinated_lib.CoordinatedEndpoints(own.id)
    coordinated.update(snapshot, fleet, 0.0)
    unused: Any = None
    context = context_lib.DispatchContext(
        environment=unused,
        follower=types.SimpleNamespace(snapshot=snapshot, fleet=fleet),
        coordinated=coordinated,
        engines=_Engines(age_s),
        peers=unused,
        auth=unused,
        log=log_lib.open_log("test"),
        metrics=metrics_lib.Metrics(),
    )
    cancelled: list[cancel_queue.Cancellation] = []

    async def scenario() -> None:
        reaper = reaper_lib.OrphanReaper(
            context, _ZoneMonitor(), cancelled.extend
        )
        reaper.update()
        for _ in range(_CYCLES):
            await asyncio.wait_for(
                reaper.run_cycle(), orphans.MAX_OBSERVATION_GAP_S
            )
            await asyncio.sleep(0)

    asyncio.run(scenario())
    return cancelled


class TestOrphanReaper:
    """Detection cycles over all engines while one of them is faulty."""

    def test_a_hanging_engine_does_not_block_detection_on_others(self) -> None:
        """Guards against a cycle that waits for an unresponsive engine.

        One engine accepts the connection and never responds. If the cycle
        waited for that engine, orphans on healthy engines would hold their
        slots for as long as it hangs.
        """
        cancellations = _reap(age_s=10_000.0)
        assert [each.endpoint_id for each in cancellations] == ["answers"]

    def test_a_restarted_coordinator_allows_for_earlier_timeouts(
        self,
    ) -> None:
        """Guards against the cancellation of requests with a longer timeout.

        An operator lowers a service's timeout, then the coordinator restarts.
        Requests that began before the change keep their longer timeout, but
        the restarted coordinator knows only the new one.
        """
        assert _reap(age_s=300.0) == []
