"""Steps about entry processes that leave, freeze and die."""

import signal

import behave
from features.support import dispatch_site
from features.support import entry_site
from tools import http_calls
from tools import truth

from cowsliprill import clock
from cowsliprill.decisions import slot_ledger

_SLOTS_ALL = 40


@behave.given("two VMs with an entry process each")
def step_start(context) -> None:
    context.site = entry_site.EntrySite()
    context.add_cleanup(context.site.close)
    context.site.start()


@behave.given("a brief in each stage, all at that entry process")
def step_every_stage(context) -> None:
    site = context.site
    site.send_brief(tokens=300)
    _wait_for_stage(site, "decode", "decode")
    # Prefills run one at a time at an engine, so that the second one waits
    # while the first is transferred.
    for _ in range(2):
        site.send_brief(words=600, tokens=100)
    _wait_for_stage(site, "prefill", "prefill")
    # More than there are slots: the last ones wait for a slot at the entry.
    for _ in range(_SLOTS_ALL):
        site.send_brief()
    dispatch_site.wait_until(
        lambda: site.status()["requests"] > _SLOTS_ALL,
        "requests wait at the entry",
    )


def _wait_for_stage(site, kind: str, stage: str) -> None:
    dispatch_site.wait_until(
        lambda: any(held["stage"] == stage for held in site.running(kind)),
        f"a request in {stage}",
    )


@behave.when("that process is told twice to stop")
def step_stop_twice(context) -> None:
    entry = context.site.entry
    entry.send_signal(signal.SIGTERM)
    entry.wait_for_event("draining")
    entry.send_signal(signal.SIGTERM)


@behave.then("it is not ready at once but still takes a request")
def step_not_ready(context) -> None:
    site = context.site
    url = f"{site.fleet.peer_url('vm-0', 'e0')}/readyz"
    answer = http_calls.call("GET", url)
    assert (answer.status, answer.json()["reason"]) == (503, "draining")
    booking = site.call("/services/booking/slots", b"Friday")
    assert booking.status == 200, booking.body
    assert booking.headers["connection"] == "close"


@behave.then("every brief and the booking get their whole answer")
def step_whole(context) -> None:
    booking, *briefs = [answer.result(60) for answer in context.site.answers]
    for brief in briefs:
        assert brief.status == 200, brief.body
        assert brief.body.endswith(b"data: [DONE]\n\n"), brief.body[-300:]
    assert booking.status == 200, booking.body
    assert booking.json()["received"] == "Tuesday"


@behave.then("the process has ended with code 0 and its engines hold nothing")
def step_ended(context) -> None:
    assert context.site.entry.wait() == 0
    assert not truth.wait_until_released(context.site.fleet)


@behave.when("that process is killed")
def step_kill(context) -> None:
    context.site.entry.send_signal(signal.SIGKILL)
    context.site.entry.wait()


@behave.when("that process is frozen")
def step_freeze(context) -> None:
    context.site.entry.send_signal(signal.SIGSTOP)


@behave.then("the engines hold nothing after a while")
def step_nothing_held(context) -> None:
    assert not truth.wait_until_released(context.site.fleet)


@behave.given("a brief whose prefill is under way at one entry process")
def step_long_prefill(context) -> None:
    # Homes that have just started grant nothing, and an entry makes do with
    # a share of its own, which is no lease.
    dispatch_site.wait_until(
        context.site.is_leased, "the homes grant leases of all engines"
    )
    context.decoded_before = set(context.site.decoded())
    context.site.misbehave("prefill", slow_factor=2.0)
    context.site.send_brief(words=3_000)
    _wait_for_stage(context.site, "prefill", "prefill")


@behave.when("it and the homes are frozen until its leases have run out")
def step_oversleep(context) -> None:
    # The homes wake after it, so that it can't renew a lease before it acts.
    site = context.site
    homes = [
        site.fleet.children_by_name[f"{vm_id}.dispatch"]
        for vm_id in site.fleet.vms_by_id
    ]
    for process in (site.entry, *homes):
        process.send_signal(signal.SIGSTOP)
    frozen_at = clock.now()
    dispatch_site.wait_until(
        lambda: (
            clock.now() > frozen_at + slot_ledger.LEASE_DURATION_S
            and not _in_prefill(site)
        ),
        "the leases have run out and the prefill has finished",
    )
    site.entry.send_signal(signal.SIGCONT)
    site.entry.wait_for_event("attempt_lost")
    for process in homes:
        process.send_signal(signal.SIGCONT)


def _in_prefill(site) -> bool:
    return any(held["stage"] == "prefill" for held in site.running("prefill"))


@behave.then("it starts no decode for that prefill")
def step_no_decode(context) -> None:
    context.site.entry.wait_for_event(
        "attempt_lost", reason="its lease has run out"
    )
    first_attempts = [
        request_id
        for request_id in set(context.site.decoded()) - context.decoded_before
        if request_id.endswith(".0")
    ]
    assert not first_attempts, first_attempts


@behave.then("its caller gets the whole answer or is told to come back")
def step_whole_or_refused(context) -> None:
    answer = context.site.answers[0].result(60)
    if answer.status == 200:
        assert answer.body.endswith(b"data: [DONE]\n\n")
    else:
        assert answer.json()["error"]["run"] in ("no", "unknown")
        assert int(answer.headers["retry-after"]) >= 1


@behave.given("a ticket of one entry process whose booking is under way")
def step_ticket(context) -> None:
    site = context.site
    answer = site.call("/v1/tickets", {"service": "booking"})
    context.ticket = answer.json()["ticket"]
    site.send(
        "/services/booking/slots", b"Tuesday", Idempotency_Key=context.ticket
    )
    dispatch_site.wait_until(
        lambda: site.bookings() == 1, "the booking is under way"
    )


@behave.when("the caller repeats the booking at the other entry process")
def step_repeat(context) -> None:
    context.answer = context.site.call(
        "/services/booking/slots",
        b"Tuesday",
        vm_id="vm-1",
        Idempotency_Key=context.ticket,
    )


@behave.then("it is told that the outcome is unknown")
def step_unknown(context) -> None:
    assert context.answer.json()["error"]["run"] == "unknown"
    assert context.answer.status in (410, 503), context.answer.status


@behave.then("the owner's caller is told its answer or that it is unknown")
def step_wake(context) -> None:
    context.site.entry.send_signal(signal.SIGCONT)
    answer = context.site.answers[0].result(60).json()
    told = answer.get("received") or answer["error"]["run"]
    assert told in ("Tuesday", "unknown"), answer


@behave.then("the desk has booked at most once")
def step_booked_once(context) -> None:
    assert context.site.bookings() == 1
