"""Behave steps for endpoints that limit their requests."""

import concurrent.futures
import time

import behave
from features.support import dispatch_site
from features.support import entry_site
from tools import fleet_document
from tools import http_calls
from tools import local_fleet

_REQUESTS_BY_KIND = {
    "plain": ("/services/booking/slots", {"name": "a booking"}),
    "decode": (
        "/v1/completions",
        {"model": "brief", "prompt": "a case", "max_tokens": 2},
    ),
}
_JOURNAL_FIELD_BY_KIND = {"plain": "ran", "decode": "requests"}
_CALLERS_PER_VM = 4
_PAUSE_S = 0.05
_CALLS_SERVED_IN_A_ROW = 10


def _call(context, vm_id: str) -> http_calls.HttpResponse:
    key = fleet_document.api_key_of(entry_site.USER)
    path, body = _REQUESTS_BY_KIND[context.kind]
    return http_calls.call(
        "POST",
        context.fleet.url(vm_id) + path,
        body,
        {"Authorization": f"Bearer {key}"},
    )


def _set_limit(context, per_s: str) -> None:
    for endpoint_id in context.fleet.endpoint_ids(context.kind):
        context.fleet.standin(
            endpoint_id, "POST", "/standin/misbehave", {"rate_limit": per_s}
        )


def _executed(context) -> dict[str, int]:
    """Returns the number of calls that each endpoint has executed."""
    field = _JOURNAL_FIELD_BY_KIND[context.kind]
    return {
        endpoint_id: len(
            context.fleet.standin(endpoint_id, "GET", "/standin/journal")[field]
        )
        for endpoint_id in context.fleet.endpoint_ids(context.kind)
    }


def _limited_endpoints(context, vm_id: str) -> set[str]:
    """Returns the endpoints whose limits a VM has logged."""
    lines = context.fleet.children_by_name[f"{vm_id}.e0"].lines
    return {
        endpoint_id
        for endpoint_id in context.fleet.endpoint_ids(context.kind)
        for line in lines
        if "event=endpoint_rate_limit_named" in line
        and f"endpoint={endpoint_id}" in line
    }


def _send_for(context, vm_id: str, seconds: float) -> list:
    responses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        responses.append(_call(context, vm_id))
        time.sleep(_PAUSE_S)
    return responses


@behave.given("{vms:d} VMs before engines and plain services")
def step_start(context, vms) -> None:
    context.fleet = local_fleet.LocalFleet(
        entry_site.document(), plain_call_s=0.01
    )
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.start(vms=vms)


@behave.when(
    "all servers of a service name a limit of {per_s:d} requests a second"
)
def step_name(context, per_s) -> None:
    context.kind = "plain"
    context.per_s = per_s
    _set_limit(context, str(per_s))


@behave.when("all decode engines name a limit of {per_s:d} requests a second")
def step_name_engines(context, per_s) -> None:
    context.kind = "decode"
    context.per_s = per_s
    _set_limit(context, str(per_s))


@behave.when("both VMs know the limits")
def step_known(context) -> None:
    names = set(context.fleet.endpoint_ids(context.kind))

    def all_know() -> bool:
        for vm_id in context.fleet.vms_by_id:
            _call(context, vm_id)
        return all(
            _limited_endpoints(context, vm_id) == names
            for vm_id in context.fleet.vms_by_id
        )

    dispatch_site.wait_until(all_know, "both VMs know the limits")


@behave.when("callers send requests to both VMs for {seconds:d} seconds")
def step_send(context, seconds) -> None:
    before = _executed(context)
    began_at = time.monotonic()
    vm_ids = sorted(context.fleet.vms_by_id) * _CALLERS_PER_VM
    with concurrent.futures.ThreadPoolExecutor(len(vm_ids)) as executor:
        futures = [
            executor.submit(_send_for, context, vm_id, seconds)
            for vm_id in vm_ids
        ]
        context.responses = [
            response for future in futures for response in future.result()
        ]
    context.elapsed_s = time.monotonic() - began_at
    context.executed = {
        name: count - before[name] for name, count in _executed(context).items()
    }


@behave.then("the servers got no more requests than their limits allow")
def step_kept(context) -> None:
    # A request that was permitted before the first second counts as well.
    allowed = context.per_s * context.elapsed_s + 2
    assert max(context.executed.values()) <= allowed, context.executed
    assert sum(context.executed.values()) > 0, context.executed


@behave.then("the other callers were refused with a time to come back")
def step_refused(context) -> None:
    refused = [item for item in context.responses if item.status != 200]
    assert refused
    for response in refused:
        error = response.json()["error"]
        assert response.status == 503, response
        assert error["code"] == "rate_limited", error
        assert error["run"] == "no", error
        assert error["retry_after_s"] > 0, error


@behave.when("the servers name no limit any more")
def step_end(context) -> None:
    _set_limit(context, "")


@behave.then("both VMs serve all callers again")
def step_served(context) -> None:
    served_in_a_row = 0

    def all_served() -> bool:
        nonlocal served_in_a_row
        for vm_id in context.fleet.vms_by_id:
            ok = _call(context, vm_id).status == 200
            served_in_a_row = served_in_a_row + 1 if ok else 0
        return served_in_a_row >= _CALLS_SERVED_IN_A_ROW

    dispatch_site.wait_until(all_served, "all calls are served again")
