"""Steps of the rolling restart."""

import signal

import behave
from tools import local_fleet
from tools import small_site
from tools import traffic
from tools import truth

_VMS = 3
_CALLERS = 8
_MANY = 100_000
_SOME = 10
_PATIENCE_S = 30.0
_DRAIN_NOTICE_S = 0.5
_PROCESSES = ("e0", "dispatch", "settings")


@behave.given("3 VMs under both users' traffic")
def step_start(context) -> None:
    context.fleet = local_fleet.LocalFleet(
        small_site.document(),
        drain_notice_s=_DRAIN_NOTICE_S,
        plain_call_s=0.1,
    )
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.start(vms=_VMS)
    context.load = traffic.Traffic(
        context.fleet, 1, callers=_CALLERS, requests=_MANY
    )
    context.load.start()
    _wait_for_more(context)


def _wait_for_more(context) -> None:
    wanted = context.load.ended + _SOME
    context.load.wait_for(wanted, _PATIENCE_S)
    assert context.load.ended >= wanted, "the traffic stands still"


@behave.when("each VM in turn is drained, replaced and listed again")
def step_roll(context) -> None:
    context.codes = {}
    for number, vm_id in enumerate(sorted(context.fleet.vms_by_id)):
        if number == 1:
            context.fleet.platform(
                "POST", "/standin/mode", {"mode": "down", "how": "503"}
            )
        _leave(context, vm_id)
        if number == 1:
            context.fleet.platform("POST", "/standin/mode", {"mode": "up"})
        _come_back(context, vm_id)
        _wait_for_more(context)
    context.load.stop()
    context.asked = context.load.finish()


def _leave(context, vm_id: str) -> None:
    fleet = context.fleet
    fleet.vms_by_id[vm_id].state = "leaving"
    fleet.publish_vms()
    for name in _PROCESSES:
        process = fleet.children_by_name[f"{vm_id}.{name}"]
        process.send_signal(signal.SIGTERM)
        process.wait_for_event("draining")
        process.send_signal(signal.SIGTERM)
        context.codes[process.name] = process.wait()


def _come_back(context, vm_id: str) -> None:
    fleet = context.fleet
    for name in reversed(_PROCESSES):
        fleet.restart_process(vm_id, name)
    fleet.wait_until_ready(vm_id)
    fleet.vms_by_id[vm_id].state = "live"
    fleet.publish_vms()


@behave.then("every request that its caller didn't leave got its whole answer")
def step_whole(context) -> None:
    good = {traffic.CallEnd.COMPLETE, traffic.CallEnd.DISCONNECTED}
    # A caller that sends its ticket twice at once is told so; that is no cut.
    bad = [
        (asked.body, outcome)
        for asked in context.asked
        for outcome in asked.outcomes
        if outcome.end not in good and outcome.code != "in_progress"
    ]
    assert not bad, f"{len(bad)} of {len(context.asked)}: {bad[:5]}"
    executions = truth.plain_executions(context.fleet)
    invariant_violations = [
        violation
        for asked in context.asked
        for violation in truth.invariant_violations(asked, executions)
    ]
    assert not invariant_violations, invariant_violations[:5]


@behave.then("each process ended with exit code 0")
def step_codes(context) -> None:
    assert set(context.codes.values()) == {0}, context.codes
