"""Behave steps for requests that end engines."""

import behave
from features.support import dispatch_site
from tools import child
from tools import fleet_document
from tools import http_calls
from tools import local_fleet
from tools import small_site

_ENDS_ON = "end-the-engine"
_CUSTOMER = "umurongo/firm-1"
_MAX_SENDS = 20
_REFUSALS = 4


def _send(context, vm_id: str, prompt: str) -> http_calls.HttpResponse:
    key = fleet_document.api_key_of(_CUSTOMER)
    return http_calls.call(
        "POST",
        f"{context.fleet.url(vm_id)}/v1/completions",
        {"model": "brief", "prompt": prompt, "max_tokens": 4},
        {"Authorization": f"Bearer {key}"},
    )


def _ended_engines(context) -> list[str]:
    """Returns the ids of the engines that have ended."""
    return [
        endpoint_id
        for endpoint_id in context.fleet.endpoint_ids("decode")
        if not context.fleet.children_by_name[endpoint_id].running
    ]


def _logged_ends(context, event: str) -> int:
    """Returns how many ends any VM has logged with an event."""
    lines = [
        child.parse_line(line)
        for vm_id in context.fleet.vms_by_id
        for line in context.fleet.children_by_name[f"{vm_id}.e0"].lines
        if f"event={event} " in line
    ]
    return len({(line["endpoint"], line["number"]) for line in lines})


@behave.given(
    "{vms:d} VMs and engines that end when they begin to run one request"
)
def step_start(context, vms) -> None:
    context.fleet = local_fleet.LocalFleet(
        small_site.document(), ends_on=_ENDS_ON
    )
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.start(vms=vms)
    context.ended = 0
    context.chats = 0


def _chat(context, vm_id: str, message: str) -> http_calls.HttpResponse:
    """Sends a new chat with a message before the last one."""
    key = fleet_document.api_key_of(_CUSTOMER)
    context.chats += 1
    messages = [
        {"role": "system", "content": message},
        {"role": "user", "content": f"question {context.chats}"},
    ]
    return http_calls.call(
        "POST",
        f"{context.fleet.url(vm_id)}/v1/chat/completions",
        {"model": "brief", "messages": messages, "max_tokens": 4},
        {"Authorization": f"Bearer {key}"},
    )


def _send_until_ended(context, ends: int, send) -> None:
    vm_ids = sorted(context.fleet.vms_by_id)
    for number in range(_MAX_SENDS):
        send(context, vm_ids[number % len(vm_ids)], _ENDS_ON)
        ended = _ended_engines(context)
        context.ended += len(ended)
        # Engines take longer to start than stand-ins. One that listens again
        # before a VM has tried its port has not ended for that VM, and one that
        # ends again before its first end is confirmed counts once.
        dispatch_site.wait_until(
            lambda: (
                _logged_ends(context, "engine_crash_suspected") >= context.ended
            ),
            "all ends are suspected",
        )
        for endpoint_id in ended:
            context.fleet.restart_endpoint(endpoint_id)
        dispatch_site.wait_until(
            lambda: (
                _logged_ends(context, "engine_crash_confirmed") >= context.ended
            ),
            "all ends are confirmed",
        )
        if context.ended >= ends:
            return
    raise AssertionError(f"{context.ended} engines have ended")


@behave.when(
    "that request is sent to the VMs in turn until {ends:d} engines have ended"
)
def step_send(context, ends) -> None:
    _send_until_ended(context, ends, _send)


@behave.when(
    "different chats with one message are sent in turn until {ends:d} engines"
    " have ended"
)
def step_send_chats(context, ends) -> None:
    _send_until_ended(context, ends, _chat)


@behave.when("both VMs have quarantined it")
def step_quarantined(context) -> None:
    for vm_id in context.fleet.vms_by_id:
        entry = context.fleet.children_by_name[f"{vm_id}.e0"]
        entry.wait_for_event("request_quarantined")


@behave.when("both VMs have quarantined the message")
def step_part_quarantined(context) -> None:
    for vm_id in context.fleet.vms_by_id:
        entry = context.fleet.children_by_name[f"{vm_id}.e0"]
        entry.wait_for_event("prompt_part_quarantined")


def _check_refusals(context, send) -> None:
    for vm_id in context.fleet.vms_by_id:
        for _ in range(_REFUSALS):
            response = send(context, vm_id, _ENDS_ON)
            error = response.json()["error"]
            assert response.status == 503, response
            assert error["code"] == "request_quarantined", error
            assert error["run"] == "no", error
            assert error["retry_after_s"] > 0, error
    assert not _ended_engines(context)


@behave.then("both VMs refuse it without another engine ending")
def step_refused(context) -> None:
    _check_refusals(context, _send)


@behave.then(
    "both VMs refuse other chats with it without another engine ending"
)
def step_chats_refused(context) -> None:
    _check_refusals(context, _chat)


@behave.given("a chat of the same customer without it has been completed")
@behave.then("a chat of the same customer without it is completed")
def step_chat_completed(context) -> None:
    response = _chat(context, "vm-0", "a proper message")
    assert response.status == 200, response


@behave.then("another request of the same customer is completed")
def step_completed(context) -> None:
    response = _send(context, "vm-0", "a proper request")
    assert response.status == 200, response
