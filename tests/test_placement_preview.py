"""Tests of `cowsliprill where` and of the preview that it shows."""

import asyncio
import dataclasses
import io
import pickle
import random

import pytest
from tornado import httpserver
from tornado import testing
from tornado import web

from cowsliprill import errors
from cowsliprill import peers
from cowsliprill.cli import commands
from cowsliprill.cli import runner
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import placement_preview
from cowsliprill.decisions import scheduler
from cowsliprill.observability import log as log_lib
from cowsliprill.pool_scheduling import placement_handler
from cowsliprill.pool_scheduling import server

_SERVICE = model.Service(
    id="u/s", customer="u", name="s", kind=model.ServiceKind.MODEL, pool="g"
)


def _endpoint(kind: model.EndpointKind, number: int) -> model.Endpoint:
    return model.Endpoint(
        id=f"{kind}-{number}",
        kind=kind,
        host="127.0.0.1",
        port=1,
        availability_zone="gasabo",
        pool="g",
        slots=2,
        prefill_tokens_per_s=1_000.0,
        seconds_per_token=0.01,
        link_bytes_per_s=1e9,
        kv_bytes_per_token=1_000,
    )


_KINDS = (model.EndpointKind.PREFILL, model.EndpointKind.DECODE)
_ENDPOINTS = [_endpoint(kind, n) for kind in _KINDS for n in range(2)]
_SNAPSHOT = model.Snapshot(
    revision=1,
    endpoints_by_id={item.id: item for item in _ENDPOINTS},
    services_by_id={_SERVICE.id: _SERVICE},
)


def _scheduler(*, overload_control: bool) -> scheduler.Scheduler:
    subject = scheduler.Scheduler(
        "gasabo", 1, owns_slots=True, overload_control=overload_control
    )
    subject.handle(messages.ClusterStateChanged(_SNAPSHOT, model.Fleet()), 0.0)
    return subject


def _submit(number: int, now: float, rng: random.Random) -> messages.Submit:
    return messages.Submit(
        request_id=number,
        service=_SERVICE,
        customer=rng.choice("uvw"),
        prompt_tokens=rng.randint(50, 300),
        output_tokens=rng.randint(20, 200),
        priority=rng.randint(0, 2),
        deadline=now + 1.0,
        useful_until=now + rng.choice((0.0, 3.0)),
    )


def _event(number: int, now: float, rng: random.Random) -> messages.Event:
    target = rng.randint(max(number - 12, 0), number)
    match rng.randint(0, 7):
        case 0 | 1:
            return messages.PrefillFinished(target)
        case 2 | 3:
            return messages.FirstToken(target)
        case 4:
            return messages.Finished(target, 50)
        case 5:
            return messages.Cancel(target)
        case 6:
            return messages.AttemptFailed(
                request_id=target,
                endpoint_id=rng.choice(_ENDPOINTS).id,
                stage=messages.Stage.PREFILL,
            )
        case _:
            return messages.Tick()


def _fate(number: int, actions: list[messages.Action]) -> tuple:
    """Returns what became of a request, as the fields of a preview."""
    for action in actions:
        match action:
            case messages.Start(request_id=request_id) if request_id == number:
                return "start", action.prefill_id, action.decode_id, ""
            case messages.Refuse(request_id=request_id) if request_id == number:
                return "refuse", "", "", action.code
    return "wait", "", "", ""


class TestPreview:
    """The preview is what placement would do, and changes nothing."""

    @pytest.mark.parametrize("overload_control", [False, True])
    def test_previews_change_nothing_and_are_true(
        self, overload_control: bool
    ) -> None:
        """Guards against a question of an operator that moves requests."""
        asked = _scheduler(overload_control=overload_control)
        unasked = _scheduler(overload_control=overload_control)
        rng = random.Random(3)
        verdicts = set()
        now = 0.0
        for number in range(1, 500):
            now += rng.expovariate(12.0)
            submit = _submit(number, now, rng)
            pool = asked._pools.pools_by_name["g"]
            state = pickle.dumps(pool)
            asked.preview(submit, now)
            assert pickle.dumps(pool) == state
            # A preview doesn't start what waits and could start by now, as a
            # probe is due. A coordinator's timers do, within 0.5 s.
            tick = messages.Tick()
            assert asked.handle(tick, now) == unasked.handle(tick, now)
            preview = asked.preview(submit, now)
            actions = asked.handle(submit, now)
            assert actions == unasked.handle(submit, now)
            assert _fate(number, actions) == (
                preview.verdict,
                preview.prefill_id,
                preview.decode_id,
                preview.code,
            )
            verdicts.add(preview.verdict)
            for _ in range(4):
                now += rng.expovariate(100.0)
                event = _event(number, now, rng)
                assert asked.handle(event, now) == unasked.handle(event, now)
        assert verdicts == set(placement_preview.Verdict)


def _server(vm_id: str) -> server.PoolSchedulerServer:
    vm = model.Vm(
        id="vm-1",
        host="10.0.0.1",
        availability_zone="gasabo",
        role=model.VmRole.ENTRY,
        entry_ports=(7000,),
    )
    log = log_lib.open_log("test", io.StringIO())
    subject = server.PoolSchedulerServer(vm_id, "gasabo", random.Random(1), log)
    subject.update(_SNAPSHOT, model.Fleet(version=1, vms_by_id={vm.id: vm}))
    return subject


def _where(vm_id: str, **options: object) -> tuple[int, str, str]:
    """Runs the command against a process on a VM."""

    async def run() -> tuple[int, str, str]:
        arguments = {"preview": _server(vm_id).preview}
        handler = placement_handler.PlacementHandler
        application = web.Application(
            [(peers.PLACEMENT_PATH, handler, arguments)]
        )
        socket, port = testing.bind_unused_port()
        http = httpserver.HTTPServer(application)
        http.add_socket(socket)
        fields = {"url": f"http://127.0.0.1:{port}", "pool": "g"} | options
        terminal = runner.Terminal(io.StringIO(), io.StringIO(), io.StringIO())
        code = await asyncio.to_thread(
            runner.run, commands.WhereCommand(**fields), terminal
        )
        http.stop()
        return code, terminal.stdout.getvalue(), terminal.stderr.getvalue()

    return asyncio.run(run())


class TestVerdicts:
    """One request at a pool whose state is known."""

    def test_wait_behind_those_that_fill_the_engines(self) -> None:
        """Guards against a start that is promised at full engines."""
        subject = _scheduler(overload_control=True)
        submit = messages.Submit(
            request_id=0,
            service=_SERVICE,
            customer="u",
            prompt_tokens=50,
            output_tokens=50,
            deadline=1.0,
        )
        for number in range(5):
            arrival = dataclasses.replace(submit, request_id=number)
            subject.handle(arrival, 0.0)
        preview = subject.preview(submit, 0.0)
        assert preview.verdict is placement_preview.Verdict.WAIT
        assert (preview.requests_ahead, preview.slots_ahead) == (1, 1)
        assert 0.0 < preview.wait_s < 1.0
        decodes = [item for item in preview.engines if item.role == "decode"]
        assert [item.free_slots for item in decodes] == [0, 0]
        assert [item.cost_s for item in decodes] == [None, None]


class TestWhere:
    """`cowsliprill where`."""

    def test_start_and_candidates(self) -> None:
        code, out, _ = _where("vm-1", prompt_tokens=100, zone="kicukiro")
        assert code == errors.ExitCode.OK
        assert out.startswith("Starts now at prefill-0 (prefill) and decode-0")
        assert "cross_zone=0.0200" in out
        assert out.count("\n") == 2 + 1 + len(_ENDPOINTS)

    @pytest.mark.parametrize(
        ("vm_id", "options", "message"),
        [
            (
                "vm-2",
                {},
                "not_coordinator: vm-2 isn't the coordinator of g; it "
                "is vm-1 (10.0.0.1)",
            ),
            ("vm-1", {"pool": "h"}, "unknown_pool: "),
            ("vm-1", {"prompt_tokens": 0}, "value_invalid: prompt_tokens"),
        ],
    )
    def test_errors(self, vm_id: str, options: dict, message: str) -> None:
        """Guards against a preview by a process that doesn't place."""
        code, _, err = _where(vm_id, **options)
        assert code == errors.ExitCode.ERROR
        assert err.startswith(message)
