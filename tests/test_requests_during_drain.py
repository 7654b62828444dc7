"""Tests of requests that reach an entry process while it drains."""

import asyncio
import socket

from tests import entry_site

_REQUEST = (
    b"GET /v1/models HTTP/1.1\r\nHost: entry\r\n"
    + f"Authorization: Bearer {entry_site.KEYS['zarqa']}\r\n\r\n".encode()
)
_BOOKING_PATH = "/services/booking/slots"


def _is_refused_as_leaving(response: entry_site.HttpResponse) -> bool:
    error = response.json()["error"]
    return (
        response.status == 503
        and response.headers["Retry-After"] == "0"
        and (error["code"], error["run"]) == ("leaving", "no")
    )


async def _issue_ticket(site, entry: int) -> dict[str, str]:
    answer = await site.call(
        "POST", "/v1/tickets", {"service": "booking"}, entry=entry
    )
    assert answer.status == 201
    return {"Idempotency-Key": answer.json()["ticket"]}


class TestDrainingEntry:
    """What callers get for requests to a process that is leaving."""

    # Guards against a reset connection in place of a refusal: the connection
    # was established, but not accepted, when the port was closed.
    def test_request_before_the_port_closes_is_refused(self):
        async def run():
            async with entry_site.running() as site:
                entry = site.entries[0]
                address = (entry_site.HOST, site.public_port())
                with socket.socket() as caller:

                    async def send_request():
                        caller.connect(address)
                        caller.setblocking(False)
                        caller.sendall(_REQUEST)

                    entry.before_drain = send_request
                    entry.shell.stop()
                    await site.tasks[0]
                    loop = asyncio.get_running_loop()
                    return await loop.sock_recv(caller, 65_536)

        answer = asyncio.run(run())
        assert answer.startswith(b"HTTP/1.1 503")
        assert b'"code": "leaving"' in answer and b'"run": "no"' in answer

    # Guards against a request that is forwarded to the owner of its ticket and
    # gets neither an answer nor a true refusal, because the owner is leaving.
    def test_forwarded_request_is_refused_by_a_leaving_owner(self):
        async def run():
            async with entry_site.running(2) as site:
                keys = [await _issue_ticket(site, 0) for _ in "12"]
                for service in site.services.values():
                    service.faults.set({"delay_s": 0.5})
                first = asyncio.create_task(
                    site.call("POST", _BOOKING_PATH, b"a", keys[0], entry=1)
                )
                await entry_site.until(lambda: site.status()["requests"] == 1)
                site.entries[0].shell.stop()
                await entry_site.until(lambda: site.entries[0]._gate.closed)  # noqa: SLF001
                second = await site.call(
                    "POST", _BOOKING_PATH, b"b", keys[1], entry=1
                )
                return await first, second

        first, second = asyncio.run(run())
        assert first.status == 200
        assert _is_refused_as_leaving(second)

    # Guards against a refusal by a peer that is leaving too, where others, or
    # this process itself, can issue a ticket.
    def test_leaving_peer_does_not_refuse_a_ticket(self):
        async def run():
            async with entry_site.running(2, drain_notice_s=0.5) as site:
                site.entries[1]._gate.closed = True  # noqa: SLF001
                site.entries[0]._gate.draining = True  # noqa: SLF001
                return await _issue_ticket(site, 0)

        assert asyncio.run(run())
