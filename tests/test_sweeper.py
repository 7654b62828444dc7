"""Tests of `dispatch.sweeper` with engines that misbehave."""

import asyncio
import types
from typing import Any

from cowsliprill.decisions import cancel_queue
from cowsliprill.decisions import model
from cowsliprill.decisions import orphans
from cowsliprill.dispatch import homes as homes_lib
from cowsliprill.dispatch import sweeper as sweeper_lib
from cowsliprill.dispatch import world as world_lib
from cowsliprill.engines import model as engine_model
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_TURNS = 20


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
    """One engine hangs; each other one holds one very old request."""

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


class _Zone:
    def has_majority(self) -> bool:
        return True

    async def ask_if_older(self) -> None:
        return None


def _sweep(age_s: float) -> list[cancel_queue.Cancellation]:
    """Sweeps a few turns and returns what was cancelled."""
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
    homes = homes_lib.Homes(own.id)
    homes.update(snapshot, fleet, 0.0)
    unused: Any = None
    world = world_lib.World(
        environment=unused,
        follower=types.SimpleNamespace(snapshot=snapshot, fleet=fleet),
        homes=homes,
        engines=_Engines(age_s),
        peers=unused,
        auth=unused,
        log=log_lib.open_log("test"),
        metrics=metrics_lib.Metrics(),
    )
    cancelled: list[cancel_queue.Cancellation] = []

    async def scenario() -> None:
        sweeper = sweeper_lib.Sweeper(world, _Zone(), cancelled.extend)
        sweeper.update()
        for _ in range(_TURNS):
            await asyncio.wait_for(
                sweeper.turn(), orphans.MAX_OBSERVATION_GAP_S
            )
            await asyncio.sleep(0)

    asyncio.run(scenario())
    return cancelled


class TestSweeper:
    """The sweep of all engines while one of them misbehaves."""

    def test_a_hanging_engine_keeps_no_other_from_being_swept(self) -> None:
        """One engine takes the connection and never answers.

        If the sweep waited for it, orphans at healthy engines would hold
        their slots for as long as it hangs.
        """
        orders = _sweep(age_s=10_000.0)
        assert [order.endpoint_id for order in orders] == ["answers"]

    def test_a_home_that_just_started_doesnt_trust_the_present_limit(
        self,
    ) -> None:
        """An operator has lowered a service's time; then a home restarts.

        Requests that began before may run on for the time they were given.
        The new home knows only the new limit, and must not cut them.
        """
        assert _sweep(age_s=300.0) == []
