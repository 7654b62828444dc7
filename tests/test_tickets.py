"""Tickets and idempotency keys: at most one run, in every order of events."""

import hypothesis
import pytest
from hypothesis import strategies

from cowsliprill.decisions import identity
from cowsliprill.decisions import tickets

_OWNER = identity.Incarnation("vm-0", "e0", "aa")
_OTHER = identity.Incarnation("vm-0", "e0", "bb")
_RESPONSE = tickets.Answer(status=200, headers=(), body=b"booked")
_FINGERPRINT = b"fingerprint"
_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)


def _make_store(
    incarnation=_OWNER, secret=b"s", **bounds
) -> tickets.TicketBook:
    return tickets.TicketBook(incarnation, 8000, secret, **bounds)


def _claim(
    store, ticket, now=1.0, customer="u", service="s", fingerprint=_FINGERPRINT
):
    return store.claim_ticket(ticket, customer, service, fingerprint, now)


class TestTicket:
    """The ticket as text."""

    def test_round_trip(self):
        ticket = _make_store().issue("u", "s", 7.9)
        assert tickets.Ticket.parse(str(ticket)) == ticket
        assert ticket.incarnation == _OWNER
        assert ticket.port == 8000

    @pytest.mark.parametrize(
        "text", ["", "a", "a.b.c.1.2.3", "a.b.c.x.2.3.m", "A.b.c.1.2.3.m"]
    )
    def test_own_keys_are_no_tickets(self, text):
        with pytest.raises(tickets.TicketError):
            tickets.Ticket.parse(text)


class TestClaims:
    """What a request with a ticket comes to."""

    def test_runs_once(self):
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        first = _claim(store, ticket)
        assert isinstance(first, tickets.Granted)
        assert _claim(store, ticket) == tickets.InProgress()
        store.finish(first.record, _RESPONSE)
        assert _claim(store, ticket) == tickets.Replay(_RESPONSE)

    def test_not_run_may_run_again(self):
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        store.release(_claim(store, ticket).record)
        assert isinstance(_claim(store, ticket), tickets.Granted)

    def test_late_release_after_the_end_does_nothing(self):
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        record = _claim(store, ticket).record
        store.finish(record, None)
        store.release(record)
        assert _claim(store, ticket) == tickets.Replay(None)

    def test_other_request_with_the_same_ticket(self):
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        _claim(store, ticket)
        claim = _claim(store, ticket, fingerprint=b"other")
        assert claim == tickets.Mismatch()

    @pytest.mark.parametrize(
        "stolen", [{"customer": "rival"}, {"service": "other"}]
    )
    def test_only_for_its_customer_and_service(self, stolen):
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        assert _claim(store, ticket, **stolen) == tickets.Invalid()

    def test_forged(self):
        """A ticket that the owner never gave, made under another secret."""
        ticket = _make_store(secret=b"guess").issue("u", "s", 0.0)
        assert _claim(_make_store(), ticket) == tickets.Invalid()

    def test_successor_on_the_same_port_never_runs_it(self):
        """The owner died and a new process took its name and port."""
        ticket = _make_store().issue("u", "s", 0.0)
        claim = _claim(_make_store(_OTHER), ticket)
        assert claim == tickets.Foreign(ticket)

    def test_expired_is_never_run(self):
        """The record of a used ticket is forgotten when it expires.

        If the ticket could still be claimed then, it would run twice.
        """
        store = _make_store()
        ticket = store.issue("u", "s", 0.0)
        store.finish(_claim(store, ticket).record, _RESPONSE)
        fresh = store.issue("u", "s", tickets.KEEP_S)
        _claim(store, fresh, now=tickets.KEEP_S)
        late_claim = _claim(store, ticket, now=tickets.KEEP_S)
        assert late_claim == tickets.Expired()

    def test_full_refuses_rather_than_forgets(self):
        store = _make_store(max_records=2)
        issued = [store.issue("u", "s", 0.0) for _ in range(3)]
        for ticket in issued[:2]:
            store.finish(_claim(store, ticket).record, _RESPONSE)
        assert _claim(store, issued[2]) == tickets.Full()
        assert _claim(store, issued[0]) == tickets.Replay(_RESPONSE)


class TestKeys:
    """A caller's own key, within one process."""

    def test_scoped_by_customer(self):
        """Two firms may choose the same key."""
        store = _make_store()
        for customer in ("a", "b"):
            claim = store.claim_key("1", customer, "s", _FINGERPRINT, 0.0)
            assert isinstance(claim, tickets.Granted)

    def test_oldest_finished_makes_room(self):
        store = _make_store(max_records=2)
        running = store.claim_key("0", "u", "s", _FINGERPRINT, 0.0)
        done = store.claim_key("1", "u", "s", _FINGERPRINT, 0.0)
        assert (
            store.claim_key("2", "u", "s", _FINGERPRINT, 0.0) == tickets.Full()
        )
        store.finish(done.record, _RESPONSE)
        third = store.claim_key("2", "u", "s", _FINGERPRINT, 0.0)
        assert isinstance(third, tickets.Granted)
        again = store.claim_key("0", "u", "s", _FINGERPRINT, 0.0)
        assert again == tickets.InProgress()
        assert isinstance(running, tickets.Granted)


class TestBounds:
    """Memory stays bounded, whatever is stored."""

    def test_stored_bytes(self):
        records = tickets.RecordStore(100, 1_000, evict=False)
        response = tickets.Answer(status=200, headers=(), body=b"x" * 300)
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

    def test_expired_records_go(self):
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


class TestEveryOrder:
    """Claims, ends, long pauses and restarts in any order.

    A naive list of what ran stands beside: no ticket may be in it twice.
    """

    @_SETTINGS
    @hypothesis.given(strategies.lists(_STEP, max_size=40))
    def test_at_most_once(self, steps):
        now, restarts = 0.0, 0
        store = _make_store()
        issued = [store.issue("u", "s", now) for _ in range(4)]
        granted: dict[int, str] = {}
        ran: list[int] = []
        for action, ticket_index in steps:
            match action:
                case "claim":
                    claim = _claim(store, issued[ticket_index], now)
                    if isinstance(claim, tickets.Granted):
                        assert ticket_index not in ran
                        assert ticket_index not in granted
                        granted[ticket_index] = claim.record
                case "end" if ticket_index in granted:
                    ran.append(ticket_index)
                    store.finish(granted.pop(ticket_index), _RESPONSE)
                case "not run" if ticket_index in granted:
                    store.release(granted.pop(ticket_index))
                case "sleep":
                    now += tickets.KEEP_S / 3
                case "restart":
                    # What was granted may have been run when it died.
                    ran.extend(granted)
                    granted.clear()
                    restarts += 1
                    owner = identity.Incarnation("vm-0", "e0", f"n{restarts}")
                    store = _make_store(owner, f"secret {restarts}".encode())
        assert len(ran) == len(set(ran))
