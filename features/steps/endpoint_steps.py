"""Steps about engines and services that die or stand still."""

import asyncio

import behave
from features.support import endpoint_processes

from cowsliprill.decisions import messages
from cowsliprill.engines import errors

_NAMES = {
    "decode engine": "decode",
    "booking desk": "desk",
}
_PATIENT_S = 600.0
_TURNS = 1_000
_TURN_S = 0.01


async def _read_to_end(events) -> tuple[bytes, errors.StreamBroken | None]:
    delivered = b""
    try:
        async for data in events:
            delivered += data
    except errors.StreamBroken as broken:
        return delivered, broken
    return delivered, None


async def _error_of(call) -> errors.CallError | None:
    try:
        await call
    except errors.CallError as error:
        return error
    return None


def _wait_until(context, condition) -> None:
    # The clients' loop runs only while a step runs it.
    for _ in range(_TURNS):
        if condition():
            return
        context.site.runner.run(asyncio.sleep(_TURN_S))
    raise AssertionError("it never came about")


def _bookings(context) -> int:
    journal = context.site.admin("desk", "GET", "/standin/journal")
    return len(journal["ran"])


@behave.given("a prefill engine, a decode engine and a booking desk")
def step_processes(context) -> None:
    context.site = endpoint_processes.EndpointProcesses()
    context.add_cleanup(context.site.close)


@behave.given("an answer that has begun")
def step_answer(context) -> None:
    site = context.site
    context.stream, context.events = site.runner.run(site.begin_answer())


@behave.given("a booking that takes long")
def step_long_booking(context) -> None:
    site = context.site
    site.admin("desk", "POST", "/standin/misbehave", {"slow_factor": 1e9})
    loop = site.runner.get_loop()
    context.booking = loop.create_task(site.book(_PATIENT_S))
    _wait_until(context, lambda: _bookings(context) == 1)


@behave.when("the {name} is killed")
def step_kill(context, name: str) -> None:
    context.site.kill(_NAMES[name])


@behave.when("the {name} is suspended")
def step_suspend(context, name: str) -> None:
    context.site.suspend(_NAMES[name])


@behave.when("the booking desk wakes")
def step_desk_wakes(context) -> None:
    context.site.wake("desk")


@behave.when("the decode engine wakes and gets the cancel")
def step_decode_wakes(context) -> None:
    site = context.site
    site.wake("decode")
    endpoint = site.endpoints_by_id["decode"]
    cancel = site.client.cancel(endpoint, endpoint_processes.REQUEST_ID)
    assert site.runner.run(cancel)


@behave.then("the answer is broken and has no end")
def step_broken(context) -> None:
    reading = _read_to_end(context.events)
    delivered, broken = context.site.runner.run(reading)
    assert broken is not None
    assert b"[DONE]" not in delivered
    assert broken.resumable


@behave.then("it can't be resumed, and nothing of the resume was run")
def step_not_resumed(context) -> None:
    site = context.site
    endpoint = site.endpoints_by_id["decode"]
    resuming = _error_of(site.client.resume(endpoint, context.stream))
    error = site.runner.run(resuming)
    assert error is not None
    assert error.run is messages.Executed.NO


@behave.then("it holds no slot and no KV cache")
def step_nothing_held(context) -> None:
    held = context.site.admin("decode", "GET", "/standin/held")
    assert held == {"slots": 0, "kv_blocks": 0, "exports": 0}, held


@behave.then('a booking ends with run "{run}"')
def step_booking_ends(context, run: str) -> None:
    error = context.site.runner.run(_error_of(context.site.book()))
    assert error is not None
    assert error.run.value == run


@behave.then('that booking ends with run "{run}"')
def step_that_booking_ends(context, run: str) -> None:
    error = context.site.runner.run(_error_of(context.booking))
    assert error is not None
    assert error.run.value == run


@behave.then("the booking desk has made {count:d} booking")
def step_bookings_made(context, count: int) -> None:
    _wait_until(context, lambda: _bookings(context) == count)
