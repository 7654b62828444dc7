"""Behave steps for engines and services that crash or are suspended."""

import asyncio

import behave
from features.support import endpoint_processes

from cowsliprill.decisions import messages
from cowsliprill.engines import errors

_IDS_BY_NAME = {
    "decode engine": "decode",
    "booking service": "desk",
}
_LONG_TIMEOUT_S = 600.0
_MAX_POLLS = 1_000
_POLL_INTERVAL_S = 0.01


async def _read_to_end(events) -> tuple[bytes, errors.StreamBroken | None]:
    received = b""
    try:
        async for data in events:
            received += data
    except errors.StreamBroken as stream_error:
        return received, stream_error
    return received, None


async def _error_of(call) -> errors.CallError | None:
    try:
        await call
    except errors.CallError as error:
        return error
    return None


def _wait_until(context, condition) -> None:
    # The clients' event loop only runs while a step drives it.
    for _ in range(_MAX_POLLS):
        if condition():
            return
        context.site.runner.run(asyncio.sleep(_POLL_INTERVAL_S))
    raise AssertionError("condition not met within the maximum number of polls")


def _booking_count(context) -> int:
    journal = context.site.call_test_api("desk", "GET", "/standin/journal")
    return len(journal["ran"])


@behave.given("a prefill engine, a decode engine and a booking service")
def step_processes(context) -> None:
    context.site = endpoint_processes.EndpointProcesses()
    context.add_cleanup(context.site.close)


@behave.given("a streamed response that has begun")
def step_stream(context) -> None:
    site = context.site
    context.stream, context.events = site.runner.run(site.start_stream())


@behave.given("a slow booking in progress")
def step_long_booking(context) -> None:
    site = context.site
    site.call_test_api(
        "desk", "POST", "/standin/misbehave", {"slow_factor": 1e9}
    )
    loop = site.runner.get_loop()
    context.booking = loop.create_task(site.book(_LONG_TIMEOUT_S))
    _wait_until(context, lambda: _booking_count(context) == 1)


@behave.when("the {name} is killed")
def step_kill(context, name: str) -> None:
    context.site.kill(_IDS_BY_NAME[name])


@behave.when("the {name} is suspended")
def step_suspend(context, name: str) -> None:
    context.site.suspend(_IDS_BY_NAME[name])


@behave.when("the booking service resumes")
def step_desk_resumes(context) -> None:
    context.site.resume("desk")


@behave.when("the decode engine resumes and receives the cancel")
def step_decode_resumes(context) -> None:
    site = context.site
    site.resume("decode")
    endpoint = site.endpoints_by_id["decode"]
    cancel = site.client.cancel(endpoint, endpoint_processes.REQUEST_ID)
    assert site.runner.run(cancel)


@behave.then("the stream breaks off without its end marker")
def step_broken(context) -> None:
    parse_call = _read_to_end(context.events)
    received, stream_error = context.site.runner.run(parse_call)
    assert stream_error is not None
    assert b"[DONE]" not in received
    assert stream_error.resumable


@behave.then("resuming the stream fails before anything is executed")
def step_not_resumed(context) -> None:
    site = context.site
    endpoint = site.endpoints_by_id["decode"]
    resume_call = _error_of(site.client.resume(endpoint, context.stream))
    error = site.runner.run(resume_call)
    assert error is not None
    assert error.run is messages.Executed.NO


@behave.then("the decode engine holds no slot and no KV cache")
def step_nothing_held(context) -> None:
    held = context.site.call_test_api("decode", "GET", "/standin/held")
    assert held == {"slots": 0, "kv_blocks": 0, "exports": 0}, held


@behave.then('a booking fails with run status "{run}"')
def step_booking_fails(context, run: str) -> None:
    error = context.site.runner.run(_error_of(context.site.book()))
    assert error is not None
    assert error.run.value == run


@behave.then('that booking fails with run status "{run}"')
def step_that_booking_fails(context, run: str) -> None:
    error = context.site.runner.run(_error_of(context.booking))
    assert error is not None
    assert error.run.value == run


@behave.then("the booking service has made {count:d} booking")
def step_bookings_made(context, count: int) -> None:
    _wait_until(context, lambda: _booking_count(context) == count)
