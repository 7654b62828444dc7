"""Behave steps for a rolling restart of all VMs under load."""

import signal

import behave
from tools import local_fleet
from tools import small_site
from tools import traffic
from tools import truth

_VMS = 3
_CALLERS = 8
_REQUESTS_PER_CALLER = 100_000
_MIN_NEW_REQUESTS = 10
_PROGRESS_TIMEOUT_S = 30.0
_DRAIN_NOTICE_S = 0.5
_PROCESSES = ("e0", "dispatch", "settings")


@behave.given("3 VMs under both customers' traffic")
def step_start(context) -> None:
    context.fleet = local_fleet.LocalFleet(
        small_site.document(),
        drain_notice_s=_DRAIN_NOTICE_S,
        plain_call_s=0.1,
    )
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.start(vms=_VMS)
    context.traffic = traffic.Traffic(
        context.fleet, 1, callers=_CALLERS, requests=_REQUESTS_PER_CALLER
    )
    context.traffic.start()
    _wait_for_more(context)


def _wait_for_more(context) -> None:
    target_count = context.traffic.ended + _MIN_NEW_REQUESTS
    context.traffic.wait_for(target_count, _PROGRESS_TIMEOUT_S)
    assert context.traffic.ended >= target_count, (
        "the traffic makes no progress"
    )


@behave.when("each VM in turn is drained, replaced and listed again")
def step_roll(context) -> None:
    context.exit_codes = {}
    for number, vm_id in enumerate(sorted(context.fleet.vms_by_id)):
        if number == 1:
            context.fleet.platform(
                "POST", "/standin/mode", {"mode": "down", "how": "503"}
            )
        _drain(context, vm_id)
        if number == 1:
            context.fleet.platform("POST", "/standin/mode", {"mode": "up"})
        _restart(context, vm_id)
        _wait_for_more(context)
    context.traffic.stop()
    context.requests = context.traffic.finish()


def _drain(context, vm_id: str) -> None:
    fleet = context.fleet
    fleet.vms_by_id[vm_id].state = "leaving"
    fleet.publish_vms()
    for name in _PROCESSES:
        process = fleet.children_by_name[f"{vm_id}.{name}"]
        process.send_signal(signal.SIGTERM)
        process.wait_for_event("draining")
        process.send_signal(signal.SIGTERM)
        context.exit_codes[process.name] = process.wait()


def _restart(context, vm_id: str) -> None:
    fleet = context.fleet
    for name in reversed(_PROCESSES):
        fleet.restart_process(vm_id, name)
    fleet.wait_until_ready(vm_id)
    fleet.vms_by_id[vm_id].state = "live"
    fleet.publish_vms()


@behave.then("every request not dropped by its caller got a complete response")
def step_complete_responses(context) -> None:
    accepted_ends = {traffic.CallEnd.COMPLETE, traffic.CallEnd.DISCONNECTED}
    # A caller that sends one ticket twice concurrently gets the error
    # `in_progress`, which is correct and not an interrupted response.
    failed = [
        (request.body, outcome)
        for request in context.requests
        for outcome in request.outcomes
        if outcome.end not in accepted_ends and outcome.code != "in_progress"
    ]
    assert not failed, f"{len(failed)} of {len(context.requests)}: {failed[:5]}"
    runs = truth.plain_executions(context.fleet)
    violations = [
        violation
        for request in context.requests
        for violation in truth.invariant_violations(request, runs)
    ]
    assert not violations, violations[:5]


@behave.then("each process exited with code 0")
def step_exit_codes(context) -> None:
    assert set(context.exit_codes.values()) == {0}, context.exit_codes
