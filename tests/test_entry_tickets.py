"""Bookings and pickups run at most once, and their callers hear the truth."""

import asyncio
import dataclasses

import pytest
from tests import entry_site

from cowsliprill import peers
from cowsliprill.decisions import identity
from cowsliprill.decisions import model
from cowsliprill.decisions import tickets
from cowsliprill.entry import response_writer
from cowsliprill.entry import ticket_forwarding

_BOOK = "/services/booking/slots"
_SAFE = "/services/safe-booking/slots"
_BODY = b"Tuesday at nine"


async def _ticket(site, service="booking", **named) -> dict[str, str]:
    answer = await site.call(
        "POST", "/v1/tickets", {"service": service}, **named
    )
    assert answer.status == 201
    return {"Idempotency-Key": answer.json()["ticket"]}


def _runs(site: entry_site.Site) -> int:
    return sum(len(service.journal) for service in site.services.values())


def _misbehave(site: entry_site.Site, fields: dict) -> None:
    for service in site.services.values():
        service.conduct.set(fields)


def _scenario(steps, entries=1):
    """Runs steps at a site; returns their answers and the number of runs."""

    async def run():
        async with entry_site.running(entries) as site:
            answers = await steps(site)
            return answers, _runs(site)

    return asyncio.run(run())


def _is_unknown(answer: entry_site.HttpResponse, code: str) -> bool:
    error = answer.json()["error"]
    return (error["run"], error["code"]) == ("unknown", code)


class TestOneTicket:
    """A caller repeats a booking with its ticket."""

    def test_repeat_gets_the_first_answer(self):
        async def steps(site):
            key = await _ticket(site)
            return [await site.call("POST", _BOOK, _BODY, key) for _ in "12"]

        (first, second), runs = _scenario(steps)
        assert runs == 1
        assert first.status == second.status == 200
        assert first.body == second.body
        assert "Idempotent-Replayed" not in first.headers
        assert second.headers["Idempotent-Replayed"] == "true"

    def test_repeat_while_the_first_runs(self):
        async def steps(site):
            key = await _ticket(site)
            _misbehave(site, {"delay_s": 0.2})
            first = asyncio.create_task(site.call("POST", _BOOK, _BODY, key))
            await entry_site.until(lambda: _runs(site) == 1)
            return await site.call("POST", _BOOK, _BODY, key), await first

        (early, first), runs = _scenario(steps)
        assert runs == 1
        assert early.status == 409
        assert _is_unknown(early, "in_progress")
        assert early.headers["Retry-After"] == "1"
        assert first.status == 200

    def test_other_body_is_refused(self):
        async def steps(site):
            key = await _ticket(site)
            await site.call("POST", _BOOK, _BODY, key)
            return await site.call("POST", _BOOK, b"Friday", key)

        answer, runs = _scenario(steps)
        assert runs == 1
        assert answer.json()["error"]["code"] == "idempotency_key_reused"
        assert answer.json()["error"]["run"] == "no"

    def test_rival_cannot_use_it(self):
        async def steps(site):
            key = await _ticket(site)
            return await site.call(
                "POST", _BOOK, _BODY, key, customer="umurongo/firm-1"
            )

        answer, runs = _scenario(steps)
        assert runs == 0
        assert answer.json()["error"]["code"] == "ticket_invalid"

    def test_caller_gone_amid_its_booking(self):
        """The caller's connection breaks after the booking was made.

        Its retry learns the outcome instead of making a second booking.
        """

        async def steps(site):
            key = await _ticket(site)
            _misbehave(site, {"delay_s": 0.1})
            lost = asyncio.create_task(site.open("POST", _BOOK, _BODY, key))
            await entry_site.until(lambda: _runs(site) == 1)
            lost.cancel()
            await entry_site.until(lambda: site.status()["requests"] == 0)
            return await site.call("POST", _BOOK, _BODY, key)

        answer, runs = _scenario(steps)
        assert runs == 1
        assert answer.status == 200
        assert answer.headers["Idempotent-Replayed"] == "true"

    def test_settings_change_amid_its_booking(self):
        """An operator makes bookings repeatable while one is under way.

        The rules at its arrival hold for it, so it isn't sent again.
        """

        async def steps(site):
            key = await _ticket(site)
            _misbehave(site, {"delay_s": 0.1, "cut_at_byte": 3})
            call = asyncio.create_task(site.call("POST", _BOOK, _BODY, key))
            await entry_site.until(lambda: _runs(site) == 1)
            changed = site.snapshot(9)
            booking = changed.services_by_id["umurongo/booking"]
            changed.services_by_id[booking.id] = dataclasses.replace(
                booking, idempotency=model.Idempotency.IDEMPOTENT
            )
            site.publish(changed)
            return await call, await site.call("POST", _BOOK, _BODY, key)

        (first, second), runs = _scenario(steps)
        assert runs == 1
        assert _is_unknown(first, "endpoint_failed")
        assert _is_unknown(second, "endpoint_failed")


class TestOtherEntry:
    """The caller's retry arrives at another entry process."""

    def test_forwarded_to_its_owner(self):
        async def steps(site):
            key = await _ticket(site)
            return [
                await site.call("POST", _BOOK, _BODY, key, entry=entry)
                for entry in (1, 0, 1)
            ]

        answers, runs = _scenario(steps, entries=2)
        assert runs == 1
        assert {answer.status for answer in answers} == {200}
        assert len({answer.body for answer in answers}) == 1
        assert answers[2].headers["Idempotent-Replayed"] == "true"

    def test_both_at_once(self):
        async def steps(site):
            key = await _ticket(site)
            _misbehave(site, {"delay_s": 0.05})
            calls = [
                site.call("POST", _BOOK, _BODY, key, entry=entry)
                for entry in (0, 1, 0, 1)
            ]
            return await asyncio.gather(*calls)

        answers, runs = _scenario(steps, entries=2)
        assert runs == 1
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [200, 409, 409, 409]

    def test_leaving_process_gives_no_tickets_of_its_own(self):
        """A caller gets a ticket from a process that is shutting down.

        Its own tickets would be worth nothing a moment later, and the booking
        could not be made with it any more.
        """

        async def run():
            async with entry_site.running(2, drain_notice_s=0.5) as site:
                site.entries[0].shell.stop()
                await entry_site.until(lambda: site.status()["draining"])
                key = await _ticket(site)
                await site.tasks[0]
                return await site.call("POST", _BOOK, _BODY, key, entry=1)

        assert asyncio.run(run()).status == 200

    @pytest.mark.parametrize("used", [True, False])
    def test_owner_gone(self, used):
        """The owner has ended; its port refuses connections.

        Nobody can know any more whether the ticket was used.
        """

        async def steps(site):
            key = await _ticket(site)
            if used:
                await site.call("POST", _BOOK, _BODY, key)
            site.entries[0].shell.stop()
            await site.tasks[0]
            return await site.call("POST", _BOOK, _BODY, key, entry=1)

        answer, runs = _scenario(steps, entries=2)
        assert runs == int(used)
        assert _is_unknown(answer, "ticket_owner_unreachable")

    def test_owner_replaced_on_its_port(self):
        """A ticket names a dead incarnation whose port another one has now."""

        async def steps(site):
            key = await _ticket(site)
            ticket = tickets.Ticket.parse(key["Idempotency-Key"])
            dead = dataclasses.replace(
                ticket,
                incarnation=identity.Incarnation("vm-0", "e0", "dead"),
            )
            key = {"Idempotency-Key": str(dead)}
            return [
                await site.call("POST", _BOOK, _BODY, key, entry=entry)
                for entry in (0, 1)
            ]

        answers, runs = _scenario(steps, entries=2)
        assert runs == 0
        for answer in answers:
            assert answer.status == 410
            assert _is_unknown(answer, "ticket_owner_gone")

    def test_stale_list_without_the_owner(self):
        async def steps(site):
            key = await _ticket(site)
            await site.call("POST", _BOOK, _BODY, key)
            site.sources[1].set(site.snapshot(), model.Fleet(version=1))
            return await site.call("POST", _BOOK, _BODY, key, entry=1)

        answer, runs = _scenario(steps, entries=2)
        assert runs == 1
        assert _is_unknown(answer, "ticket_owner_gone")

    def test_made_up_address_is_not_called(self):
        """A ticket names a port that isn't in the VM list.

        The entry would else call any address that a caller likes.
        """

        async def steps(site):
            key = await _ticket(site)
            ticket = tickets.Ticket.parse(key["Idempotency-Key"])
            forged = dataclasses.replace(
                ticket,
                incarnation=identity.Incarnation("vm-0", "e0", "forged"),
                port=site.endpoints["desk-0"].port,
            )
            key = {"Idempotency-Key": str(forged)}
            return await site.call("POST", _BOOK, _BODY, key)

        answer, runs = _scenario(steps)
        assert runs == 0
        assert _is_unknown(answer, "ticket_owner_gone")

    def test_only_peers_may_pass_requests_on(self):
        """A stranger reaches the peer port and sends a request for the owner.

        It lacks the secret that the VMs share, so nothing of it is run.
        """

        async def steps(site):
            port = site.entries[0].shell.port
            response = await site.http.call(
                entry_site.HOST,
                port,
                "POST",
                peers.FORWARD_PATH,
                {
                    "Authorization": "Bearer key-amahoro",
                    ticket_forwarding.METHOD_HEADER: "POST",
                    ticket_forwarding.TARGET_HEADER: _BOOK,
                    ticket_forwarding.OWNER_INCARNATION_HEADER: site.status()[
                        "incarnation"
                    ],
                },
                _BODY,
            )
            body = await response.read(1_000)
            return entry_site.HttpResponse(
                response.status, response.headers, body
            )

        answer, runs = _scenario(steps)
        assert runs == 0
        assert answer.status == 403
        assert answer.json()["error"]["code"] == "not_a_peer"


class TestFaults:
    """The service fails before, amid and after its run."""

    @pytest.mark.parametrize(
        ("fault", "ran"),
        [
            ({"cut_before_run": True}, 0),
            ({"cut_at_byte": 0}, 1),
            ({"cut_at_byte": 10}, 1),
            ({"foreign_id": True}, 1),
            ({"refuse": "engine_full", "cut_refusal_at_byte": 5}, 0),
        ],
    )
    @pytest.mark.parametrize("with_ticket", [True, False])
    def test_never_sent_again(self, fault, ran, with_ticket):
        """A byte may have left, and no whole answer came.

        Sending it again might book twice; "not run" might be a lie.
        """

        async def steps(site):
            key = await _ticket(site) if with_ticket else {}
            _misbehave(site, fault)
            first = await site.call("POST", _BOOK, _BODY, key)
            _misbehave(site, {})
            if with_ticket:
                return first, await site.call("POST", _BOOK, _BODY, key)
            return first, first

        (first, second), runs = _scenario(steps)
        assert runs == ran
        assert _is_unknown(first, "endpoint_failed")
        assert _is_unknown(second, "endpoint_failed")

    @pytest.mark.parametrize("fault", ["refused", "closed"])
    def test_safe_failure_is_sent_elsewhere(self, fault):
        """One server says that it ran nothing, or has no open port."""

        async def steps(site):
            if fault == "refused":
                site.services["desk-0"].conduct.set({"refuse": "engine_full"})
            else:
                endpoint = site.endpoints["desk-0"]
                site.endpoints["desk-0"] = dataclasses.replace(endpoint, port=1)
                site.publish()
            return [await site.call("POST", _BOOK, _BODY) for _ in range(6)]

        answers, runs = _scenario(steps)
        assert {answer.status for answer in answers} == {200}
        assert runs == 6

    def test_not_run_is_said_when_true(self):
        """Every server refuses; the caller may book elsewhere at once."""

        async def steps(site):
            key = await _ticket(site)
            _misbehave(site, {"refuse": "engine_full"})
            first = await site.call("POST", _BOOK, _BODY, key)
            _misbehave(site, {})
            return first, await site.call("POST", _BOOK, _BODY, key)

        (first, second), runs = _scenario(steps)
        assert first.json()["error"]["run"] == "no"
        assert int(first.headers["Retry-After"]) >= 1
        assert second.status == 200
        assert runs == 1

    def test_repeatable_calls_are_sent_again(self):
        async def steps(site):
            site.services["desk-0"].conduct.set({"cut_before_run": True})
            return [
                await site.call("GET", "/services/lookup/bags/1")
                for _ in range(4)
            ]

        answers, _ = _scenario(steps)
        assert {answer.status for answer in answers} == {200}

    def test_service_that_checks_keys_is_asked_again(self):
        """The answer is cut; the service itself runs a key only once."""

        async def steps(site):
            key = await _ticket(site, "safe-booking")
            _misbehave(site, {"cut_at_byte": 3, "times": 1})
            return await site.call("POST", _SAFE, _BODY, key)

        answer, runs = _scenario(steps)
        assert answer.status == 200
        assert runs == 1


class TestRecording:
    """Answers are kept for their keys, within bounded memory."""

    def test_without_room_nothing_of_an_answer_is_kept(self):
        """Many long answers with keys come at once.

        A part of one must not be given as the whole, nor may all be kept.
        """

        async def record():
            budget = response_writer.RecordingBudget(remaining_bytes=10)
            first = response_writer.RecordingResponseWriter(_Nowhere(), budget)
            second = response_writer.RecordingResponseWriter(_Nowhere(), budget)
            for recording in (first, second):
                await recording.start(200, [])
                await recording.write(b"123456")
                await recording.end()
            answers = [first.answer(), second.answer()]
            for recording in (first, second):
                recording.release()
            return answers, budget.remaining_bytes

        (kept, dropped), remaining_bytes = asyncio.run(record())
        assert kept.body == b"123456"
        assert dropped is None
        assert remaining_bytes == 10


class _Nowhere:
    started = False

    async def start(self, status, headers) -> None: ...

    async def write(self, chunk) -> None: ...

    async def end(self) -> None: ...

    def abort(self) -> None: ...


class TestOwnKeys:
    """A caller's own key holds within one process, and no further."""

    def test_within_one_process(self):
        async def steps(site):
            key = {"Idempotency-Key": "booking-7"}
            return [await site.call("POST", _BOOK, _BODY, key) for _ in "12"]

        (first, second), runs = _scenario(steps)
        assert runs == 1
        assert first.body == second.body

    def test_rivals_with_the_same_key(self):
        """Two firms number their bookings from 1.

        Neither gets the other's answer, also not from a service that checks
        keys by itself.
        """

        async def steps(site):
            key = {"Idempotency-Key": "1"}
            return [
                await site.call(
                    "POST", _SAFE, customer.encode(), key, customer=customer
                )
                for customer in ("umurongo/amahoro", "umurongo/firm-1")
            ]

        answers, runs = _scenario(steps)
        assert runs == 2
        assert [answer.json()["received"] for answer in answers] == [
            "umurongo/amahoro",
            "umurongo/firm-1",
        ]
