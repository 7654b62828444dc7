"""Tests of tickets and idempotency keys: at-most-once execution."""

import hypothesis
import pytest
from hypothesis import strategies

from cowsliprill.decisions import identity
from cowsliprill.decisions import tickets

_OWNER = identity.Incarnation("vm-0", "e0", "aa")
_OTHER = identity.Incarnation("vm-0", "e0", "bb")
_RESPONSE = tickets.StoredResponse(status=200, headers=(), body=b"booked")
_FINGERPRINT = b"fingerprint"
_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)


def _make_store(
    incarnation=_OWNER, secret=b"s", **limits
) -> tickets.TicketStore:
    return tickets.TicketStore(incarnation, 8000, secret, **limits)


def _claim(
    store, ticket, now=1.0, customer="u", service="s", fingerprint=_FINGERPRINT
):
    return store.claim_ticket(ticket, customer, service, fingerprint, now)


class TestTicket:
    """Text form of tickets."""

    def test_round_trip(self):
        ticket = _make_store().issue("u", "s", 7.9)
        assert tickets.Ticket.parse(str(ticket)) == ticket
        assert ticket.incarnation == _OWNER
        assert ticket.port == 8000

    @pytest.mark.parametrize(
        "text", ["", "a", "a.b.c.1.2.3", "a.b.c.x.2.3.m", "A.b.c.1.2.3.m"]
    )
    def test_malformed_tickets_are_rejected(self, text):
        with pytest.raises(tickets.TicketError):
            tickets.Ticket.parse(text)


class TestClaims:
    """Results of claiming a ticket."""

    def test_ticket_is_executed_once(self):
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        first = _claim(store, ticket)
        assert isinstance(first, tickets.Granted)
        assert _claim(store, ticket) == tickets.InProgress()
        store.finish(first.record, _RESPONSE)
        assert _claim(store, ticket) == tickets.Replay(_RESPONSE)

    def test_released_ticket_may_be_claimed_again(self):
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        store.release(_claim(store, ticket).record)
        assert isinstance(_claim(store, ticket), tickets.Granted)

    def test_release_after_finish_does_nothing(self):
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        record = _claim(store, ticket).record
        store.finish(record, None)
        store.release(record)
        assert _claim(store, ticket) == tickets.Replay(None)

    def test_other_request_with_the_same_ticket_is_a_mismatch(self):
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        _claim(store, ticket)
        claim = _claim(store, ticket, fingerprint=b"other")
        assert claim == tickets.Mismatch()

    @pytest.mark.parametrize(
        "stolen", [{"customer": "rival"}, {"service": "other"}]
    )
    def test_ticket_is_invalid_for_another_customer_or_service(self, stolen):
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        assert _claim(store, ticket, **stolen) == tickets.Invalid()

    def test_forged_ticket_is_invalid(self):
        """The ticket was signed with a secret that is not the owner's."""
        ticket = _make_store(secret=b"guess").issue("u", "s", 0.0)
        assert _claim(_make_store(), ticket) == tickets.Invalid()

    def test_restarted_process_does_not_own_earlier_tickets(self):
        """The owner crashed, and a new process took its name and port."""
        ticket = _make_store().issue("u", "s", 0.0)
        claim = _claim(_make_store(_OTHER), ticket)
        assert claim == tickets.OwnedElsewhere(ticket)

    def test_expired_ticket_is_never_executed(self):
        """Guards against a second execution after the record is dropped.

        The record of a used ticket is dropped when the ticket expires. If the
        ticket could still be claimed then, its request would be executed again.
        """
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        store.finish(_claim(store, ticket).record, _RESPONSE)
        fresh = store.issue("u", "s", tickets.RECORD_TTL_S)
        _claim(store, fresh, now=tickets.RECORD_TTL_S)
        late_claim = _claim(store, ticket, now=tickets.RECORD_TTL_S)
        assert late_claim == tickets.Expired()

    def test_full_store_rejects_new_tickets_and_keeps_records(self):
        store = _make_store(max_records=2)
        issued = [store.issue("u", "s", 0.0) for _ in range(3)]
        for ticket in issued[:2]:
            store.finish(_claim(store, ticket).record, _RESPONSE)
        assert _claim(store, issued[2]) == tickets.StoreFull()
        assert _claim(store, issued[0]) == tickets.Replay(_RESPONSE)


class TestKeys:
    """Idempotency keys of callers, within one process."""

    def test_keys_are_scoped_by_customer(self):
        """Two customers may choose the same key."""
        store = _make_store()
        for customer in ("a", "b"):
            claim = store.claim_key("1", customer, "s", _FINGERPRINT, 0.0)
            assert isinstance(claim, tickets.Granted)

    def test_oldest_completed_record_is_evicted(self):
        store = _make_store(max_records=2)
        running = store.claim_key("0", "u", "s", _FINGERPRINT, 0.0)
        done = store.claim_key("1", "u", "s", _FINGERPRINT, 0.0)
        assert (
            store.claim_key("2", "u", "s", _FINGERPRINT, 0.0)
            == tickets.StoreFull()
        )
        store.finish(done.record, _RESPONSE)
        third = store.claim_key("2", "u", "s", _FINGERPRINT, 0.0)
        assert isinstance(third, tickets.Granted)
        again = store.claim_key("0", "u", "s", _FINGERPRINT, 0.0)
        assert again == tickets.InProgress()
        assert isinstance(running, tickets.Granted)


class TestBounds:
    """Limits on memory."""

    def test_stored_bytes_are_limited(self):
        records = tickets.RecordStore(100, 1_000, evict=False)
        response = tickets.StoredResponse(
            status=200, headers=(), body=b"x" * 300
        )
        for number in range(10):
            records.claim(str(number), _FINGERPRINT, 10.0, 0.0)
            records.finish(str(number), response)
            assert records.stored_bytes <= 1_000
        assert records.claim("0", _FINGERPRINT, 10.0, 0.0) == tickets.Replay(
            None
        )
        assert records.claim("9", _FINGERPRINT, 10.0, 0.0) == tickets.Replay(
            response
        )

    def test_expired_records_are_dropped(self):
        records = tickets.RecordStore(100, 1_000, evict=False)
        for number in range(50):
            records.claim(str(number), _FINGERPRINT, float(number), 0.0)
            records.finish(str(number), _RESPONSE)
        records.claim("new", _FINGERPRINT, 100.0, 49.0)
        assert len(records) == 1
        assert records.stored_bytes == 0


_STEP = strategies.tuples(
    strategies.sampled_from(["claim", "end", "not run", "sleep", "restart"]),
    strategies.integers(0, 3),
)


class TestInterleavings:
    """Claims, completions, long pauses and restarts in any order.

    The results are compared with a list of the executed tickets, in which no
    ticket may occur twice.
    """

    @_SETTINGS
    @hypothesis.given(strategies.lists(_STEP, max_size=40))
    def test_executed_at_most_once(self, steps):
        now, restarts = 0.0, 0
        store = _make_store()
        issued = [store.issue("u", "s", now) for _ in range(4)]
        granted: dict[int, str] = {}
        executed: list[int] = []
        for action, ticket_index in steps:
            match action:
                case "claim":
                    claim = _claim(store, issued[ticket_index], now)
                    if isinstance(claim, tickets.Granted):
                        assert ticket_index not in executed
                        assert ticket_index not in granted
                        granted[ticket_index] = claim.record
                case "end" if ticket_index in granted:
                    executed.append(ticket_index)
                    store.finish(granted.pop(ticket_index), _RESPONSE)
                case "not run" if ticket_index in granted:
                    store.release(granted.pop(ticket_index))
                case "sleep":
                    now += tickets.RECORD_TTL_S / 3
                case "restart":
                    # Granted requests may have been executed before the crash.
                    executed.extend(granted)
                    granted.clear()
                    restarts += 1
                    owner = identity.Incarnation("vm-0", "e0", f"n{restarts}")
                    store = _make_store(owner, f"secret {restarts}".encode())
        assert len(executed) == len(set(executed))
