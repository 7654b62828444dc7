"""Steps about the dispatch process."""

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
    # Prefills of this one take longer than any step waits.
    site.add_engine("p1", "prefill", "--prefill-tokens-per-s=0.01")
    site.add_engine("d0", "decode", "--seconds-per-token=0.2")
    site.add_vms("vm-a")
    site.publish()


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
        context.site.add_vms(vm_name)
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
    vm.wait_for_dispatch()


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


_ENGINES = ("checks", "trusts")


def _version(version: str) -> dict:
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
    aims = {name: _version(version) for name in _ENGINES}
    aims["checks"]["checks_fencing"] = True
    site.add_vms("vm-a", "vm-b")
    site.publish(**aims)
    # While only this one is listed, it is the home of both engines.
    site.list_vms("vm-a")
    site.wait_ready()
    _wait_for_version(context, version)


def _order_in_force(context, engine: str) -> dict:
    url = f"{context.site.engine_url(engine)}/v1/orders"
    return http_calls.call("GET", url).json()


def _wait_for_version(context, version: str) -> None:
    for engine in _ENGINES:
        dispatch_site.wait_until(
            lambda engine=engine: (
                _order_in_force(context, engine)["version"] == version
            ),
            f"{engine} is ordered to {version}",
        )


@behave.when("the home of the engines is paused")
def step_pause_home(context) -> None:
    context.site.vms_by_name["vm-a"].send(signal.SIGSTOP)


@behave.when(
    'the platform\'s list drops it and version "{version}" is published'
)
def step_replace_home(context, version: str) -> None:
    context.site.list_vms("vm-b")
    context.revision = context.site.publish(
        **{name: _version(version) for name in _ENGINES}
    )


@behave.then('both engines are ordered to version "{version}" by the other VM')
def step_ordered(context, version: str) -> None:
    _wait_for_version(context, version)
    for engine in _ENGINES:
        order = _order_in_force(context, engine)
        assert order["fencing"] == context.revision, order


@behave.when("the old home wakes, its settings process still paused")
def step_wake_home(context) -> None:
    context.site.vms_by_name["vm-a"].dispatch.send_signal(signal.SIGCONT)


@behave.then('the old home holds its orders back because it is "{reason}"')
def step_held_back(context, reason: str) -> None:
    dispatch = context.site.vms_by_name["vm-a"].dispatch
    for engine in _ENGINES:
        dispatch.wait_for_event("order_held", endpoint=engine, reason=reason)


@behave.then("the old home has sent no order since its pause")
def step_no_order(context) -> None:
    lines = context.site.vms_by_name["vm-a"].dispatch.lines
    events = [child.parse_line(line)["event"] for line in lines]
    woke = events.index("woke_from_pause")
    assert "order_sent" in events[:woke]
    assert "order_sent" not in events[woke:]


@behave.when("an order of the old home that was delayed on the way arrives")
def step_late_order(context) -> None:
    fields = {"fencing": context.revision - 1, **_version("v1")["target"]}
    context.statuses_by_engine = {
        engine: http_calls.call(
            "POST", f"{context.site.engine_url(engine)}/v1/orders", fields
        ).status
        for engine in _ENGINES
    }


@behave.then('only the engine "trusts" takes it')
def step_only_trusts(context) -> None:
    assert context.statuses_by_engine == {"checks": 409, "trusts": 200}


@behave.then("every order stands in the audit trail with its revision")
def step_audited(context) -> None:
    vm = context.site.vms_by_name["vm-b"]
    url = f"http://127.0.0.1:{vm.settings_port}/v1/audit"
    entries = http_calls.call("GET", url).json()
    audited = {
        (entry["endpoint"], entry["fencing"], entry["version"])
        for entry in entries
        if entry["audit"] == "order_sent"
    }
    assert audited >= {(name, context.revision, "v2") for name in _ENGINES}
