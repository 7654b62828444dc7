"""Behave steps for entry processes that drain, are paused or crash."""

import signal

import behave
from features.support import dispatch_site
from features.support import entry_site
from tools import http_calls
from tools import truth

from cowsliprill import clock
from cowsliprill.decisions import slot_ledger

_TOTAL_SLOTS = 40

# Briefs that fill the slots run until all have been sent, however slowly.
_FILLING_SLOW_FACTOR = 10.0


@behave.given("two VMs with an entry process each")
def step_start(context) -> None:
    context.site = entry_site.EntrySite()
    context.add_cleanup(context.site.close)
    context.site.start()


@behave.given("a brief in each stage at that entry process")
def step_every_stage(context) -> None:
    site = context.site
    site.send_brief(max_tokens=300)
    _wait_for_stage(site, "decode", "decode")
    # An engine runs one prefill at a time, so the second request waits while
    # the KV cache of the first is transferred.
    for _ in range(2):
        site.send_brief(phrase_count=600, max_tokens=100)
    _wait_for_stage(site, "prefill", "prefill")
    # More requests than slots: the last ones queue at the entry process.
    site.set_faults("decode", slow_factor=_FILLING_SLOW_FACTOR)
    for _ in range(_TOTAL_SLOTS):
        site.send_brief()
    dispatch_site.wait_until(
        lambda: site.status()["requests"] > _TOTAL_SLOTS,
        "requests are queued at the entry process",
    )
    site.set_faults("decode")


def _wait_for_stage(site, kind: str, stage: str) -> None:
    dispatch_site.wait_until(
        lambda: any(
            request["stage"] == stage for request in site.running_requests(kind)
        ),
        f"a request in {stage}",
    )


@behave.when("that process receives SIGTERM twice")
def step_stop_twice(context) -> None:
    entry = context.site.entry
    entry.send_signal(signal.SIGTERM)
    entry.wait_for_event("draining")
    entry.send_signal(signal.SIGTERM)


@behave.then("that process is unready at once but still accepts a request")
def step_not_ready(context) -> None:
    site = context.site
    url = f"{site.fleet.peer_url('vm-0', 'e0')}/readyz"
    response = http_calls.call("GET", url)
    assert (response.status, response.json()["reason"]) == (503, "draining")
    booking = site.call("/services/booking/slots", b"Friday")
    assert booking.status == 200, booking.body
    assert booking.headers["connection"] == "close"


@behave.then("every brief and the booking get a complete response")
def step_complete_responses(context) -> None:
    booking, *briefs = [
        response.result(60) for response in context.site.responses
    ]
    for brief in briefs:
        assert brief.status == 200, brief.body
        assert brief.body.endswith(b"data: [DONE]\n\n"), brief.body[-300:]
    assert booking.status == 200, booking.body
    assert booking.json()["received"] == "Tuesday"


@behave.then("that process has exited with code 0 and the engines hold nothing")
def step_exited(context) -> None:
    assert context.site.entry.wait() == 0
    assert not truth.wait_until_released(context.site.fleet)


@behave.when("that process is killed")
def step_kill(context) -> None:
    context.site.entry.send_signal(signal.SIGKILL)
    context.site.entry.wait()


@behave.when("that process is paused")
def step_pause(context) -> None:
    context.site.entry.send_signal(signal.SIGSTOP)


@behave.then("the engines eventually hold nothing")
def step_nothing_held(context) -> None:
    assert not truth.wait_until_released(context.site.fleet)


@behave.given("a brief in prefill at one entry process")
def step_long_prefill(context) -> None:
    # Coordinators grant no leases right after their start. Until then the
    # entry process uses its static share of the slots, which is not a lease.
    dispatch_site.wait_until(
        context.site.are_engines_leased,
        "the coordinators have leased out slots of every engine",
    )
    context.earlier_decode_attempts = set(context.site.decode_attempt_ids())
    context.site.set_faults("prefill", slow_factor=2.0)
    context.site.send_brief(phrase_count=3_000)
    _wait_for_stage(context.site, "prefill", "prefill")


@behave.when("that process and the coordinators are paused past its leases")
def step_outlast_leases(context) -> None:
    # The coordinators resume last, so that the entry process can't renew a
    # lease before it acts.
    site = context.site
    coordinators = [
        site.fleet.children_by_name[f"{vm_id}.dispatch"]
        for vm_id in site.fleet.vms_by_id
    ]
    for process in (site.entry, *coordinators):
        process.send_signal(signal.SIGSTOP)
    paused_at = clock.now()
    dispatch_site.wait_until(
        lambda: (
            clock.now() > paused_at + slot_ledger.LEASE_DURATION_S
            and not _in_prefill(site)
        ),
        "the leases have expired and the prefill has finished",
    )
    site.entry.send_signal(signal.SIGCONT)
    site.entry.wait_for_event("attempt_lost")
    for process in coordinators:
        process.send_signal(signal.SIGCONT)


def _in_prefill(site) -> bool:
    return any(
        request["stage"] == "prefill"
        for request in site.running_requests("prefill")
    )


@behave.then("that process starts no decode for that prefill")
def step_no_decode(context) -> None:
    context.site.entry.wait_for_event(
        "attempt_lost", reason="its lease has run out"
    )
    first_attempts = [
        request_id
        for request_id in set(context.site.decode_attempt_ids())
        - context.earlier_decode_attempts
        if request_id.endswith(".0")
    ]
    assert not first_attempts, first_attempts


@behave.then("the caller gets a complete response or an error with Retry-After")
def step_complete_or_retryable(context) -> None:
    response = context.site.responses[0].result(60)
    if response.status == 200:
        assert response.body.endswith(b"data: [DONE]\n\n")
    else:
        assert response.json()["error"]["run"] in ("no", "unknown")
        assert int(response.headers["retry-after"]) >= 1


@behave.given("a ticket of one entry process with a booking in progress")
def step_ticket(context) -> None:
    site = context.site
    response = site.call("/v1/tickets", {"service": "booking"})
    context.ticket = response.json()["ticket"]
    site.send(
        "/services/booking/slots", b"Tuesday", Idempotency_Key=context.ticket
    )
    dispatch_site.wait_until(
        lambda: site.booking_count() == 1, "the booking is in progress"
    )


@behave.when("the caller retries the booking at the other entry process")
def step_retry(context) -> None:
    context.response = context.site.call(
        "/services/booking/slots",
        b"Tuesday",
        vm_id="vm-1",
        Idempotency_Key=context.ticket,
    )


@behave.then("the response says that the outcome is unknown")
def step_unknown(context) -> None:
    assert context.response.json()["error"]["run"] == "unknown"
    assert context.response.status in (410, 503), context.response.status


@behave.then("the resumed owner returns the booking or an unknown outcome")
def step_resume_owner(context) -> None:
    context.site.entry.send_signal(signal.SIGCONT)
    response = context.site.responses[0].result(60).json()
    outcome = response.get("received") or response["error"]["run"]
    assert outcome in ("Tuesday", "unknown"), response


@behave.then("the booking service has booked at most once")
def step_booked_once(context) -> None:
    assert context.site.booking_count() == 1
