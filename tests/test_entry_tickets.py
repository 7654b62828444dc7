"""Tests that tickets and idempotency keys execute requests at most once.

Callers must also get a correct report of whether a request was executed.
"""

import asyncio
import dataclasses

import pytest
from tests import entry_site
from tests import raw_endpoint

from cowsliprill import peers
from cowsliprill.decisions import identity
from cowsliprill.decisions import model
from cowsliprill.decisions import tickets
from cowsliprill.entry import response_writer
from cowsliprill.entry import ticket_forwarding

_BOOKING_PATH = "/services/booking/slots"
_SAFE_BOOKING_PATH = "/services/safe-booking/slots"
_BODY = b"Tuesday at nine"


async def _issue_ticket(site, service="booking", **options) -> dict[str, str]:
    answer = await site.call(
        "POST", "/v1/tickets", {"service": service}, **options
    )
    assert answer.status == 201
    return {"Idempotency-Key": answer.json()["ticket"]}


def _count_executions(site: entry_site.Site) -> int:
    return sum(
        len(service.executed_calls) for service in site.services.values()
    )


def _set_service_behavior(site: entry_site.Site, fields: dict) -> None:
    for service in site.services.values():
        service.faults.set(fields)


def _run_scenario(steps, entries=1):
    """Runs steps on a test site; returns responses and execution count."""

    async def run():
        async with entry_site.running(entries) as site:
            answers = await steps(site)
            return answers, _count_executions(site)

    return asyncio.run(run())


def _is_unknown(answer: entry_site.HttpResponse, code: str) -> bool:
    error = answer.json()["error"]
    return (error["run"], error["code"]) == ("unknown", code)


class TestOneTicket:
    """A caller repeats a request with the same ticket."""

    def test_repeat_gets_the_first_response(self):
        async def steps(site):
            key = await _issue_ticket(site)
            return [
                await site.call("POST", _BOOKING_PATH, _BODY, key) for _ in "12"
            ]

        (first, second), executions = _run_scenario(steps)
        assert executions == 1
        assert first.status == second.status == 200
        assert first.body == second.body
        assert "Idempotent-Replayed" not in first.headers
        assert second.headers["Idempotent-Replayed"] == "true"

    def test_repeat_during_the_first_request_is_refused(self):
        async def steps(site):
            key = await _issue_ticket(site)
            _set_service_behavior(site, {"delay_s": 0.2})
            first = asyncio.create_task(
                site.call("POST", _BOOKING_PATH, _BODY, key)
            )
            await entry_site.until(lambda: _count_executions(site) == 1)
            return await site.call(
                "POST", _BOOKING_PATH, _BODY, key
            ), await first

        (concurrent, first), executions = _run_scenario(steps)
        assert executions == 1
        assert concurrent.status == 409
        assert _is_unknown(concurrent, "in_progress")
        assert concurrent.headers["Retry-After"] == "1"
        assert first.status == 200

    def test_same_ticket_with_another_body_is_refused(self):
        async def steps(site):
            key = await _issue_ticket(site)
            await site.call("POST", _BOOKING_PATH, _BODY, key)
            return await site.call("POST", _BOOKING_PATH, b"Friday", key)

        answer, executions = _run_scenario(steps)
        assert executions == 1
        assert answer.json()["error"]["code"] == "idempotency_key_reused"
        assert answer.json()["error"]["run"] == "no"

    def test_ticket_of_another_customer_is_refused(self):
        async def steps(site):
            key = await _issue_ticket(site)
            return await site.call(
                "POST", _BOOKING_PATH, _BODY, key, customer="umurongo/firm-1"
            )

        answer, executions = _run_scenario(steps)
        assert executions == 0
        assert answer.json()["error"]["code"] == "ticket_invalid"

    def test_retry_after_disconnect_gets_the_response(self):
        """The caller disconnects after the service has executed its request.

        The retry must get the recorded response, not execute the request again.
        """

        async def steps(site):
            key = await _issue_ticket(site)
            _set_service_behavior(site, {"delay_s": 0.1})
            disconnected_call = asyncio.create_task(
                site.open("POST", _BOOKING_PATH, _BODY, key)
            )
            await entry_site.until(lambda: _count_executions(site) == 1)
            disconnected_call.cancel()
            await entry_site.until(lambda: site.status()["requests"] == 0)
            return await site.call("POST", _BOOKING_PATH, _BODY, key)

        answer, executions = _run_scenario(steps)
        assert executions == 1
        assert answer.status == 200
        assert answer.headers["Idempotent-Replayed"] == "true"

    def test_settings_change_during_a_request_does_not_apply(self):
        """An operator marks a service idempotent while a request is running.

        The settings at the request's arrival apply, so it is not retried.
        """

        async def steps(site):
            key = await _issue_ticket(site)
            _set_service_behavior(site, {"delay_s": 0.1, "cut_at_byte": 3})
            call = asyncio.create_task(
                site.call("POST", _BOOKING_PATH, _BODY, key)
            )
            await entry_site.until(lambda: _count_executions(site) == 1)
            changed = site.snapshot(9)
            booking = changed.services_by_id["umurongo/booking"]
            changed.services_by_id[booking.id] = dataclasses.replace(
                booking, idempotency=model.Idempotency.IDEMPOTENT
            )
            site.publish(changed)
            return await call, await site.call(
                "POST", _BOOKING_PATH, _BODY, key
            )

        (first, second), executions = _run_scenario(steps)
        assert executions == 1
        assert _is_unknown(first, "endpoint_failed")
        assert _is_unknown(second, "endpoint_failed")


class TestOtherEntry:
    """The caller's retry arrives at another entry process."""

    def test_is_forwarded_to_the_ticket_owner(self):
        async def steps(site):
            key = await _issue_ticket(site)
            return [
                await site.call("POST", _BOOKING_PATH, _BODY, key, entry=entry)
                for entry in (1, 0, 1)
            ]

        answers, executions = _run_scenario(steps, entries=2)
        assert executions == 1
        assert {answer.status for answer in answers} == {200}
        assert len({answer.body for answer in answers}) == 1
        assert answers[2].headers["Idempotent-Replayed"] == "true"

    def test_concurrent_requests_with_one_ticket(self):
        async def steps(site):
            key = await _issue_ticket(site)
            _set_service_behavior(site, {"delay_s": 0.05})
            calls = [
                site.call("POST", _BOOKING_PATH, _BODY, key, entry=entry)
                for entry in (0, 1, 0, 1)
            ]
            return await asyncio.gather(*calls)

        answers, executions = _run_scenario(steps, entries=2)
        assert executions == 1
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [200, 409, 409, 409]

    def test_draining_process_issues_no_tickets_of_its_own(self):
        """A caller gets a ticket from a process that is shutting down.

        A ticket of that process would be unusable once it has exited, so the
        ticket must come from another process.
        """

        async def run():
            async with entry_site.running(2, drain_notice_s=0.5) as site:
                site.entries[0].shell.stop()
                await entry_site.until(lambda: site.status()["draining"])
                key = await _issue_ticket(site)
                await site.tasks[0]
                return await site.call(
                    "POST", _BOOKING_PATH, _BODY, key, entry=1
                )

        assert asyncio.run(run()).status == 200

    @pytest.mark.parametrize("used", [True, False])
    def test_owner_unreachable(self, used):
        """The ticket's owner has exited and its port refuses connections.

        Whether the ticket was used can no longer be determined.
        """

        async def steps(site):
            key = await _issue_ticket(site)
            if used:
                await site.call("POST", _BOOKING_PATH, _BODY, key)
            site.entries[0].shell.stop()
            await site.tasks[0]
            return await site.call("POST", _BOOKING_PATH, _BODY, key, entry=1)

        answer, executions = _run_scenario(steps, entries=2)
        assert executions == int(used)
        assert _is_unknown(answer, "ticket_owner_unreachable")

    # Guards against a closed connection, or a truncated answer, in place of an
    # error that tells that the request may have been run.
    @pytest.mark.parametrize(
        "response",
        [
            raw_endpoint.http_response(b"", length=100),
            raw_endpoint.http_response(b"half of", length=100),
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        ],
        ids=["no_body", "half_a_body", "no_chunk"],
    )
    def test_owner_ends_during_its_response(self, response):
        async def respond(connection):
            await connection.run()
            await connection.send(response)

        async def steps(site):
            key = await _issue_ticket(site)
            ticket = tickets.Ticket.parse(key["Idempotency-Key"])
            async with raw_endpoint.RawEndpoint(respond) as owner:
                ended = dataclasses.replace(
                    ticket,
                    incarnation=identity.Incarnation("vm-1", "e0", "ended"),
                    port=owner.port,
                )
                fleet = site.fleet()
                vm = dataclasses.replace(
                    fleet.vms_by_id["vm-0"],
                    id="vm-1",
                    entry_ports=(owner.port,),
                )
                fleet.vms_by_id["vm-1"] = vm
                site.sources[0].set(site.snapshot(), fleet)
                key = {"Idempotency-Key": str(ended)}
                return await site.call("POST", _BOOKING_PATH, _BODY, key)

        answer, executions = _run_scenario(steps)
        assert executions == 0
        assert answer.status == 503
        assert answer.headers["Retry-After"] == "1"
        assert _is_unknown(answer, "ticket_owner_unreachable")

    def test_owner_replaced_on_its_port(self):
        """Another incarnation listens on the port of the ticket's owner."""

        async def steps(site):
            key = await _issue_ticket(site)
            ticket = tickets.Ticket.parse(key["Idempotency-Key"])
            dead_ticket = dataclasses.replace(
                ticket,
                incarnation=identity.Incarnation("vm-0", "e0", "dead"),
            )
            key = {"Idempotency-Key": str(dead_ticket)}
            return [
                await site.call("POST", _BOOKING_PATH, _BODY, key, entry=entry)
                for entry in (0, 1)
            ]

        answers, executions = _run_scenario(steps, entries=2)
        assert executions == 0
        for answer in answers:
            assert answer.status == 410
            assert _is_unknown(answer, "ticket_owner_gone")

    def test_owner_missing_from_a_stale_vm_list(self):
        async def steps(site):
            key = await _issue_ticket(site)
            await site.call("POST", _BOOKING_PATH, _BODY, key)
            site.sources[1].set(site.snapshot(), model.Fleet(version=1))
            return await site.call("POST", _BOOKING_PATH, _BODY, key, entry=1)

        answer, executions = _run_scenario(steps, entries=2)
        assert executions == 1
        assert _is_unknown(answer, "ticket_owner_gone")

    def test_forged_address_is_not_called(self):
        """A ticket names a port that isn't in the VM list.

        Without the check, a caller could make the entry process call arbitrary
        addresses (server-side request forgery).
        """

        async def steps(site):
            key = await _issue_ticket(site)
            ticket = tickets.Ticket.parse(key["Idempotency-Key"])
            forged_ticket = dataclasses.replace(
                ticket,
                incarnation=identity.Incarnation("vm-0", "e0", "forged"),
                port=site.endpoints["desk-0"].port,
            )
            key = {"Idempotency-Key": str(forged_ticket)}
            return await site.call("POST", _BOOKING_PATH, _BODY, key)

        answer, executions = _run_scenario(steps)
        assert executions == 0
        assert _is_unknown(answer, "ticket_owner_gone")

    def test_only_peers_may_forward_requests(self):
        """An unauthenticated client sends a forwarded request to the peer port.

        The client lacks the VMs' shared secret, so nothing is executed.
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
                    ticket_forwarding.TARGET_HEADER: _BOOKING_PATH,
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

        answer, executions = _run_scenario(steps)
        assert executions == 0
        assert answer.status == 403
        assert answer.json()["error"]["code"] == "not_a_peer"


class TestFaults:
    """The service fails before, during or after executing a request."""

    @pytest.mark.parametrize(
        ("fault", "expected_executions"),
        [
            ({"cut_before_run": True}, 0),
            ({"cut_at_byte": 0}, 1),
            ({"cut_at_byte": 10}, 1),
            ({"foreign_id": True}, 1),
            ({"refuse": "engine_full", "cut_refusal_at_byte": 5}, 0),
        ],
    )
    @pytest.mark.parametrize("with_ticket", [True, False])
    def test_ambiguous_failure_is_not_retried(
        self, fault, expected_executions, with_ticket
    ):
        """Part of the request may have been sent, without a complete response.

        A retry might execute the request twice, and reporting `no` as its
        execution status might be false.
        """

        async def steps(site):
            key = await _issue_ticket(site) if with_ticket else {}
            _set_service_behavior(site, fault)
            first = await site.call("POST", _BOOKING_PATH, _BODY, key)
            _set_service_behavior(site, {})
            if with_ticket:
                return first, await site.call("POST", _BOOKING_PATH, _BODY, key)
            return first, first

        (first, second), executions = _run_scenario(steps)
        assert executions == expected_executions
        assert _is_unknown(first, "endpoint_failed")
        assert _is_unknown(second, "endpoint_failed")

    @pytest.mark.parametrize("fault", ["refused", "closed"])
    def test_safe_failure_is_retried_on_another_server(self, fault):
        """One server reports that it executed nothing, or has no open port."""

        async def steps(site):
            if fault == "refused":
                site.services["desk-0"].faults.set({"refuse": "engine_full"})
            else:
                endpoint = site.endpoints["desk-0"]
                site.endpoints["desk-0"] = dataclasses.replace(endpoint, port=1)
                site.publish()
            return [
                await site.call("POST", _BOOKING_PATH, _BODY) for _ in range(6)
            ]

        answers, executions = _run_scenario(steps)
        assert {answer.status for answer in answers} == {200}
        assert executions == 6

    def test_reports_that_a_request_was_not_executed(self):
        """All servers refuse; the caller may safely retry at once."""

        async def steps(site):
            key = await _issue_ticket(site)
            _set_service_behavior(site, {"refuse": "engine_full"})
            first = await site.call("POST", _BOOKING_PATH, _BODY, key)
            _set_service_behavior(site, {})
            return first, await site.call("POST", _BOOKING_PATH, _BODY, key)

        (first, second), executions = _run_scenario(steps)
        assert first.json()["error"]["run"] == "no"
        assert int(first.headers["Retry-After"]) >= 1
        assert second.status == 200
        assert executions == 1

    def test_idempotent_calls_are_retried(self):
        async def steps(site):
            site.services["desk-0"].faults.set({"cut_before_run": True})
            return [
                await site.call("GET", "/services/lookup/bags/1")
                for _ in range(4)
            ]

        answers, _ = _run_scenario(steps)
        assert {answer.status for answer in answers} == {200}

    def test_service_that_checks_keys_is_retried(self):
        """The response is truncated; the service deduplicates by key itself."""

        async def steps(site):
            key = await _issue_ticket(site, "safe-booking")
            _set_service_behavior(site, {"cut_at_byte": 3, "times": 1})
            return await site.call("POST", _SAFE_BOOKING_PATH, _BODY, key)

        answer, executions = _run_scenario(steps)
        assert answer.status == 200
        assert executions == 1


class TestRecording:
    """Responses are recorded for their keys within bounded memory."""

    def test_response_beyond_the_memory_limit_is_dropped_whole(self):
        """Many long responses with keys are recorded at once.

        Memory must stay bounded, and a partial response must not be replayed
        as a complete one.
        """

        async def record():
            budget = response_writer.RecordingBudget(remaining_bytes=10)
            first = response_writer.RecordingResponseWriter(
                _NullReply(), budget
            )
            second = response_writer.RecordingResponseWriter(
                _NullReply(), budget
            )
            for recording in (first, second):
                await recording.start(200, [])
                await recording.write(b"123456")
                await recording.end()
            answers = [first.answer(), second.answer()]
            for recording in (first, second):
                recording.release()
            return answers, budget.remaining_bytes

        (recorded, dropped), remaining_bytes = asyncio.run(record())
        assert recorded.body == b"123456"
        assert dropped is None
        assert remaining_bytes == 10

    # Guards against errors, written after the end of the recording, which use
    # up the memory of later recordings for good.
    def test_what_is_written_later_is_not_recorded(self):
        async def write_later():
            budget = response_writer.RecordingBudget(remaining_bytes=10)
            recording = response_writer.RecordingResponseWriter(
                _NullReply(), budget
            )
            recording.release()
            await response_writer.send(recording, 502, [], b"error")
            return budget.remaining_bytes

        assert asyncio.run(write_later()) == 10


class _NullReply:
    started = False

    async def start(self, status, headers) -> None: ...

    async def write(self, chunk) -> None: ...

    async def end(self) -> None: ...

    def abort(self) -> None: ...


class TestOwnKeys:
    """A caller's own idempotency key is valid only within one process."""

    def test_repeat_within_one_process_is_deduplicated(self):
        async def steps(site):
            key = {"Idempotency-Key": "booking-7"}
            return [
                await site.call("POST", _BOOKING_PATH, _BODY, key) for _ in "12"
            ]

        (first, second), executions = _run_scenario(steps)
        assert executions == 1
        assert first.body == second.body

    def test_same_key_of_two_customers(self):
        """Two customers use the same key, such as consecutive numbers from 1.

        Neither may get the other's response, not even from a service that
        checks keys itself.
        """

        async def steps(site):
            key = {"Idempotency-Key": "1"}
            return [
                await site.call(
                    "POST",
                    _SAFE_BOOKING_PATH,
                    customer.encode(),
                    key,
                    customer=customer,
                )
                for customer in ("umurongo/amahoro", "umurongo/firm-1")
            ]

        answers, executions = _run_scenario(steps)
        assert executions == 2
        assert [answer.json()["received"] for answer in answers] == [
            "umurongo/amahoro",
            "umurongo/firm-1",
        ]
