"""Behave steps for the dispatch process: cancellation and engine orders."""

import http.client
import json
import signal

import behave
from features.support import dispatch_site
from tools import child
from tools import http_calls

_PROMPT = " ".join(f"word{number}" for number in range(200))


@behave.given("a VM with a prefill and a decode engine")
def step_site(context) -> None:
    site = dispatch_site.Site()
    context.site = site
    context.add_cleanup(site.close)
    context.streams = []
    site.add_engine("p0", "prefill", "--export-ttl-s=600")
    # Slow enough that a prefill here outlasts the timeout of every step.
    site.add_engine("p1", "prefill", "--prefill-tokens-per-s=0.01")
    site.add_engine("d0", "decode", "--seconds-per-token=0.2")
    site.add_vms("vm-a")
    site.publish()


def _call(context, engine: str, request_id: str, **fields) -> dict:
    url = f"{context.site.engine_url(engine)}/v1/completions"
    body = {"model": "standin", "prompt": _PROMPT, **fields}
    headers = {"X-Request-Id": request_id}
    return http_calls.call("POST", url, body, headers).json()


def _open_stream(context, engine: str, request_id: str, **fields) -> None:
    url = f"{context.site.engine_url(engine)}/v1/completions"
    body = {"model": "standin", "prompt": _PROMPT, **fields}
    stream = http_calls.open_stream(url, body, {"X-Request-Id": request_id})
    context.add_cleanup(stream.disconnect)


def _prefill(context, request_id: str) -> dict:
    transfer = {"do_remote_decode": True}
    response = _call(
        context, "p0", request_id, max_tokens=1, kv_transfer_params=transfer
    )
    return response["kv_transfer_params"]


def _start_decode(context, request_id: str) -> None:
    transfer = {"do_remote_prefill": True, **_prefill(context, request_id)}
    _open_stream(
        context,
        "d0",
        request_id,
        max_tokens=5_000,
        stream=True,
        kv_transfer_params=transfer,
    )


def _add_entry(context, incarnation: str) -> None:
    vm_name, process, nonce = incarnation.split(".")
    if vm_name not in context.site.vms_by_name:
        context.site.add_vms(vm_name)
    context.site.add_entry(vm_name, process, nonce)
    context.site.publish_vm_list()
    context.site.wait_until_ready()


@behave.given('an entry process "{incarnation}" with a request in each stage')
def step_entry_in_each_stage(context, incarnation: str) -> None:
    _add_entry(context, incarnation)
    _start_decode(context, f"{incarnation}.1.0")
    _prefill(context, f"{incarnation}.2.0")
    _start_prefill(context, f"{incarnation}.3.0")
    assert context.site.held_resources("d0")["slots"] > 0
    assert context.site.held_resources("p0")["exports"] == 1
    dispatch_site.wait_until(
        lambda: context.site.held_resources("p1")["slots"] == 1,
        "the prefill is running",
    )


def _start_prefill(context, request_id: str) -> None:
    # The response arrives only after the prefill, so it is not read.
    host, port = (
        context.site.engine_url("p1").removeprefix("http://").split(":")
    )
    connection = http.client.HTTPConnection(host, int(port))
    transfer = {"do_remote_decode": True}
    body = {"prompt": _PROMPT, "kv_transfer_params": transfer}
    headers = {"X-Request-Id": request_id}
    connection.request(
        "POST", "/v1/completions", json.dumps(body).encode(), headers
    )
    context.add_cleanup(connection.close)


@behave.given(
    'an entry process "{incarnation}" on its own VM with a request in decode'
)
def step_entry_in_decode(context, incarnation: str) -> None:
    _add_entry(context, incarnation)
    _start_decode(context, f"{incarnation}.1.0")


@behave.given(
    'a second VM "{vm_name}" with a decode request of entry process'
    ' "{incarnation}"'
)
def step_second_vm(context, vm_name: str, incarnation: str) -> None:
    _add_entry(context, incarnation)
    _start_decode(context, f"{incarnation}.1.0")
    assert vm_name in context.site.vms_by_name


@behave.when('entry process "{incarnation}" is killed')
def step_kill_entry(context, incarnation: str) -> None:
    context.site.entries_by_incarnation[incarnation].end()


@behave.when('entry process "{incarnation}" is paused')
def step_pause_entry(context, incarnation: str) -> None:
    entry = context.site.entries_by_incarnation[incarnation]
    entry.send_signal(signal.SIGSTOP)


@behave.when('the dispatch process of "{vm_name}" is killed and started again')
def step_restart_dispatch(context, vm_name: str) -> None:
    vm = context.site.vms_by_name[vm_name]
    vm.dispatch.end()
    vm.start_dispatch()
    vm.wait_for_dispatch()


@behave.when('the dispatch process of "{vm_name}" receives SIGTERM')
def step_stop_dispatch(context, vm_name: str) -> None:
    vm = context.site.vms_by_name[vm_name]
    vm.dispatch.send_signal(signal.SIGTERM)
    context.exit_code = vm.dispatch.wait()


@behave.then('the dispatch process of "{vm_name}" has exited with code 0')
def step_exited(context, vm_name: str) -> None:
    assert context.exit_code == 0
    dispatch = context.site.vms_by_name[vm_name].dispatch
    dispatch.wait_for_event("cancels_handed_over")


@behave.when("one engine rejects 3 cancels, one drops 3, one responds late")
def step_disturb_cancels(context) -> None:
    context.site.set_faults("p0", cancel="refuse", times=3)
    context.site.set_faults("p1", cancel="lose", times=3)
    context.site.set_faults("d0", cancel="late", cancel_delay_s=1.5, times=1)


@behave.when("the engines drop all cancels")
def step_drop_cancels(context) -> None:
    for engine in context.site.engines_by_id:
        context.site.set_faults(engine, cancel="lose")


@behave.when("the engines work normally again")
def step_clear_faults(context) -> None:
    for engine in context.site.engines_by_id:
        context.site.set_faults(engine)


@behave.when(
    'cancels for all requests of "{incarnation}" are sent to "{vm_name}"'
)
def step_send_cancels(context, incarnation: str, vm_name: str) -> None:
    cancels = [
        {"endpoint_id": engine, "request_id": request_id}
        for engine in context.site.engines_by_id
        for request_id in context.site.running_ids(engine)
        if request_id.startswith(incarnation)
    ]
    assert cancels
    url = f"{context.site.vms_by_name[vm_name].url}/v1/cancels"
    response = http_calls.call("POST", url, {"cancels": cancels})
    assert response.json() == {"taken": len(cancels)}


@behave.then('the engines release all resources of "{incarnation}"')
def step_released(context, incarnation: str) -> None:
    def is_released() -> bool:
        ids = set()
        for engine in context.site.engines_by_id:
            ids |= context.site.running_ids(engine)
        return not any(each.startswith(incarnation) for each in ids)

    try:
        dispatch_site.wait_until(
            is_released, f"the engines hold no request of {incarnation}"
        )
    except AssertionError:
        context.site.print_logs()
        raise


@behave.then('the decode engine still holds the request of "{incarnation}"')
def step_still_held(context, incarnation: str) -> None:
    assert f"{incarnation}.1.0" in context.site.running_ids("d0")


_ORDERED_ENGINES = ("checks", "trusts")


def _target_fields(version: str) -> dict:
    target = {"role": "decode", "model": "standin", "version": version}
    return {"target": target}


@behave.given(
    'two VMs and the engines "checks" and "trusts" at version "{version}"'
)
def step_two_vms(context, version: str) -> None:
    site = dispatch_site.Site()
    context.site = site
    context.add_cleanup(site.close)
    site.add_engine("checks", "decode", "--checks-fencing")
    site.add_engine("trusts", "decode")
    fields_by_engine = {
        name: _target_fields(version) for name in _ORDERED_ENGINES
    }
    fields_by_engine["checks"]["checks_fencing"] = True
    site.add_vms("vm-a", "vm-b")
    site.publish(**fields_by_engine)
    # As the only listed VM, vm-a is the coordinator of both engines.
    site.publish_vm_list("vm-a")
    site.wait_until_ready()
    _wait_for_version(context, version)


def _current_order(context, engine: str) -> dict:
    url = f"{context.site.engine_url(engine)}/v1/orders"
    return http_calls.call("GET", url).json()


def _wait_for_version(context, version: str) -> None:
    for engine in _ORDERED_ENGINES:
        dispatch_site.wait_until(
            lambda engine=engine: (
                _current_order(context, engine)["version"] == version
            ),
            f"{engine} is ordered to {version}",
        )


@behave.when("the coordinator of the engines is paused")
def step_pause_coordinator(context) -> None:
    context.site.vms_by_name["vm-a"].send_signal(signal.SIGSTOP)


@behave.when(
    'the platform unlists that VM and version "{version}" is published'
)
def step_replace_coordinator(context, version: str) -> None:
    context.site.publish_vm_list("vm-b")
    context.revision = context.site.publish(
        **{name: _target_fields(version) for name in _ORDERED_ENGINES}
    )


@behave.then('the other VM orders both engines to version "{version}"')
def step_ordered(context, version: str) -> None:
    _wait_for_version(context, version)
    for engine in _ORDERED_ENGINES:
        order = _current_order(context, engine)
        assert order["fencing"] == context.revision, order


@behave.when(
    "the old coordinator resumes but its settings process is still paused"
)
def step_resume_coordinator(context) -> None:
    context.site.vms_by_name["vm-a"].dispatch.send_signal(signal.SIGCONT)


@behave.then('the old coordinator withholds its orders with reason "{reason}"')
def step_orders_withheld(context, reason: str) -> None:
    dispatch = context.site.vms_by_name["vm-a"].dispatch
    for engine in _ORDERED_ENGINES:
        dispatch.wait_for_event("order_held", endpoint=engine, reason=reason)


@behave.then("the old coordinator has sent no order since its pause")
def step_no_order(context) -> None:
    lines = context.site.vms_by_name["vm-a"].dispatch.lines
    events = [child.parse_line(line)["event"] for line in lines]
    resume_index = events.index("woke_from_pause")
    assert "order_sent" in events[:resume_index]
    assert "order_sent" not in events[resume_index:]


@behave.when("a delayed order of the old coordinator arrives")
def step_delayed_order(context) -> None:
    fields = {"fencing": context.revision - 1, **_target_fields("v1")["target"]}
    context.statuses_by_engine = {
        engine: http_calls.call(
            "POST", f"{context.site.engine_url(engine)}/v1/orders", fields
        ).status
        for engine in _ORDERED_ENGINES
    }


@behave.then('only the engine "trusts" accepts that order')
def step_accepted_without_fencing(context) -> None:
    assert context.statuses_by_engine == {"checks": 409, "trusts": 200}


@behave.then("the audit trail contains every order with its revision")
def step_audited(context) -> None:
    vm = context.site.vms_by_name["vm-b"]
    url = f"http://127.0.0.1:{vm.settings_port}/v1/audit"
    entries = http_calls.call("GET", url).json()
    audited_orders = {
        (entry["endpoint"], entry["fencing"], entry["version"])
        for entry in entries
        if entry["audit"] == "order_sent"
    }
    assert audited_orders >= {
        (name, context.revision, "v2") for name in _ORDERED_ENGINES
    }
