"""Steps about the dispatch process."""

import http.client
import json
import signal

import behave
from features.support import dispatch_site
from tools import http_calls

_PROMPT = " ".join(f"word{number}" for number in range(200))


@behave.given("a VM with a prefill and a decode engine")
def step_site(context) -> None:
    site = dispatch_site.Site()
    context.site = site
    context.add_cleanup(site.close)
    context.streams = []
    site.add_engine("p0", "prefill", "--export-ttl-s=600")
    # Prefills of this one take longer than any step waits.
    site.add_engine("p1", "prefill", "--prefill-tokens-per-s=0.01")
    site.add_engine("d0", "decode", "--seconds-per-token=0.2")
    site.publish()
    site.add_vm("vm-a")


def _call(context, engine: str, request_id: str, **fields) -> dict:
    url = f"{context.site.engine_url(engine)}/v1/completions"
    body = {"model": "standin", "prompt": _PROMPT, **fields}
    headers = {"X-Request-Id": request_id}
    return http_calls.call("POST", url, body, headers).json()


def _open(context, engine: str, request_id: str, **fields) -> None:
    url = f"{context.site.engine_url(engine)}/v1/completions"
    body = {"model": "standin", "prompt": _PROMPT, **fields}
    stream = http_calls.open_stream(url, body, {"X-Request-Id": request_id})
    context.add_cleanup(stream.drop)


def _prefill(context, request_id: str) -> dict:
    transfer = {"do_remote_decode": True}
    answer = _call(
        context, "p0", request_id, max_tokens=1, kv_transfer_params=transfer
    )
    return answer["kv_transfer_params"]


def _hold_decode(context, request_id: str) -> None:
    transfer = {"do_remote_prefill": True, **_prefill(context, request_id)}
    _open(
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
        context.site.add_vm(vm_name)
    context.site.add_entry(vm_name, process, nonce)
    context.site.list_vms()
    context.site.wait_ready()


@behave.given('an entry "{incarnation}" that holds a request in each stage')
def step_entry_holds_all(context, incarnation: str) -> None:
    _add_entry(context, incarnation)
    _hold_decode(context, f"{incarnation}.1.0")
    _prefill(context, f"{incarnation}.2.0")
    _start_prefill(context, f"{incarnation}.3.0")
    assert context.site.held("d0")["slots"] > 0
    assert context.site.held("p0")["exports"] == 1
    dispatch_site.wait_until(
        lambda: context.site.held("p1")["slots"] == 1, "the prefill runs"
    )


def _start_prefill(context, request_id: str) -> None:
    # The answer would come only when the prefill is done, so nobody reads it.
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
    'an entry "{incarnation}" on its own VM that holds a request in decode'
)
def step_entry_holds_decode(context, incarnation: str) -> None:
    _add_entry(context, incarnation)
    _hold_decode(context, f"{incarnation}.1.0")


@behave.given(
    'a second VM "{vm_name}" whose entry "{incarnation}" holds a request in'
    " decode"
)
def step_second_vm(context, vm_name: str, incarnation: str) -> None:
    _add_entry(context, incarnation)
    _hold_decode(context, f"{incarnation}.1.0")
    assert vm_name in context.site.vms_by_name


@behave.when('entry "{incarnation}" is killed')
def step_kill_entry(context, incarnation: str) -> None:
    context.site.entries_by_incarnation[incarnation].end()


@behave.when('entry "{incarnation}" is paused')
def step_pause_entry(context, incarnation: str) -> None:
    entry = context.site.entries_by_incarnation[incarnation]
    entry.send_signal(signal.SIGSTOP)


@behave.when('the dispatch process of "{vm_name}" is killed and started again')
def step_restart_dispatch(context, vm_name: str) -> None:
    vm = context.site.vms_by_name[vm_name]
    vm.dispatch.end()
    vm.start_dispatch()


@behave.when('the dispatch process of "{vm_name}" is told to stop')
def step_stop_dispatch(context, vm_name: str) -> None:
    vm = context.site.vms_by_name[vm_name]
    vm.dispatch.send_signal(signal.SIGTERM)
    context.exit_code = vm.dispatch.wait()


@behave.then('the dispatch process of "{vm_name}" has ended with code 0')
def step_ended(context, vm_name: str) -> None:
    assert context.exit_code == 0
    dispatch = context.site.vms_by_name[vm_name].dispatch
    dispatch.wait_for_event("cancels_handed_over")


@behave.when("one engine refuses 3 cancels, one loses 3, one answers late")
def step_bad_cancels(context) -> None:
    context.site.misbehave("p0", cancel="refuse", times=3)
    context.site.misbehave("p1", cancel="lose", times=3)
    context.site.misbehave("d0", cancel="late", cancel_delay_s=1.5, times=1)


@behave.when("the engines lose all cancels")
def step_lose_cancels(context) -> None:
    for engine in context.site.engines_by_id:
        context.site.misbehave(engine, cancel="lose")


@behave.when("the engines behave again")
def step_behave(context) -> None:
    for engine in context.site.engines_by_id:
        context.site.misbehave(engine)


@behave.when(
    'cancels for all requests of "{incarnation}" are given to "{vm_name}"'
)
def step_give_cancels(context, incarnation: str, vm_name: str) -> None:
    orders = [
        {"endpoint_id": engine, "request_id": request_id}
        for engine in context.site.engines_by_id
        for request_id in context.site.running_ids(engine)
        if request_id.startswith(incarnation)
    ]
    assert orders
    url = f"{context.site.vms_by_name[vm_name].url}/v1/cancels"
    answer = http_calls.call("POST", url, {"cancels": orders})
    assert answer.json() == {"taken": len(orders)}


@behave.then('the engines free everything of "{incarnation}"')
def step_freed(context, incarnation: str) -> None:
    def freed() -> bool:
        ids = set()
        for engine in context.site.engines_by_id:
            ids |= context.site.running_ids(engine)
        return not any(each.startswith(incarnation) for each in ids)

    dispatch_site.wait_until(freed, f"nothing held for {incarnation}")


@behave.then('the decode engine still holds the request of "{incarnation}"')
def step_still_held(context, incarnation: str) -> None:
    assert f"{incarnation}.1.0" in context.site.running_ids("d0")
