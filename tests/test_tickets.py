"""Tickets and idempotency keys: at most one run, in every order of events."""

import hypothesis
import pytest
from hypothesis import strategies

from cowsliprill.decisions import identity
from cowsliprill.decisions import tickets

_OWNER = identity.Incarnation("vm-0", "e0", "aa")
_OTHER = identity.Incarnation("vm-0", "e0", "bb")
_ANSWER = tickets.Answer(status=200, headers=(), body=b"booked")
_PRINT = b"fingerprint"
_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)


def _book(incarnation=_OWNER, secret=b"s", **bounds) -> tickets.TicketBook:
    return tickets.TicketBook(incarnation, 8000, secret, **bounds)


def _claim(
    book, ticket, now=1.0, customer="u", service="s", fingerprint=_PRINT
):
    return book.claim_ticket(ticket, customer, service, fingerprint, now)


class TestTicket:
    """The ticket as text."""

    def test_round_trip(self):
        ticket = _book().issue("u", "s", 7.9)
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
        book = _book()
        ticket = book.issue("u", "s", 0.0)
        first = _claim(book, ticket)
        assert isinstance(first, tickets.Granted)
        assert _claim(book, ticket) == tickets.InProgress()
        book.finish(first.record, _ANSWER)
        assert _claim(book, ticket) == tickets.Replay(_ANSWER)

    def test_not_run_may_run_again(self):
        book = _book()
        ticket = book.issue("u", "s", 0.0)
        book.release(_claim(book, ticket).record)
        assert isinstance(_claim(book, ticket), tickets.Granted)

    def test_late_release_after_the_end_does_nothing(self):
        book = _book()
        ticket = book.issue("u", "s", 0.0)
        record = _claim(book, ticket).record
        book.finish(record, None)
        book.release(record)
        assert _claim(book, ticket) == tickets.Replay(None)

    def test_other_request_with_the_same_ticket(self):
        book = _book()
        ticket = book.issue("u", "s", 0.0)
        _claim(book, ticket)
        claim = _claim(book, ticket, fingerprint=b"other")
        assert claim == tickets.Mismatch()

    @pytest.mark.parametrize(
        "stolen", [{"customer": "rival"}, {"service": "other"}]
    )
    def test_only_for_its_customer_and_service(self, stolen):
        book = _book()
        ticket = book.issue("u", "s", 0.0)
        assert _claim(book, ticket, **stolen) == tickets.Invalid()

    def test_forged(self):
        """A ticket that the owner never gave, made under another secret."""
        ticket = _book(secret=b"guess").issue("u", "s", 0.0)
        assert _claim(_book(), ticket) == tickets.Invalid()

    def test_successor_on_the_same_port_never_runs_it(self):
        """The owner died and a new process took its name and port."""
        ticket = _book().issue("u", "s", 0.0)
        claim = _claim(_book(_OTHER), ticket)
        assert claim == tickets.Foreign(ticket)

    def test_expired_is_never_run(self):
        """The record of a used ticket is forgotten when it expires.

        If the ticket could still be claimed then, it would run twice.
        """
        book = _book()
        ticket = book.issue("u", "s", 0.0)
        book.finish(_claim(book, ticket).record, _ANSWER)
        fresh = book.issue("u", "s", tickets.KEEP_S)
        _claim(book, fresh, now=tickets.KEEP_S)
        late = _claim(book, ticket, now=tickets.KEEP_S)
        assert late == tickets.Expired()

    def test_full_refuses_rather_than_forgets(self):
        book = _book(max_records=2)
        given = [book.issue("u", "s", 0.0) for _ in range(3)]
        for ticket in given[:2]:
            book.finish(_claim(book, ticket).record, _ANSWER)
        assert _claim(book, given[2]) == tickets.Full()
        assert _claim(book, given[0]) == tickets.Replay(_ANSWER)


class TestKeys:
    """A caller's own key, within one process."""

    def test_scoped_by_customer(self):
        """Two firms may choose the same key."""
        book = _book()
        for customer in ("a", "b"):
            claim = book.claim_key("1", customer, "s", _PRINT, 0.0)
            assert isinstance(claim, tickets.Granted)

    def test_oldest_finished_makes_room(self):
        book = _book(max_records=2)
        running = book.claim_key("0", "u", "s", _PRINT, 0.0)
        done = book.claim_key("1", "u", "s", _PRINT, 0.0)
        assert book.claim_key("2", "u", "s", _PRINT, 0.0) == tickets.Full()
        book.finish(done.record, _ANSWER)
        third = book.claim_key("2", "u", "s", _PRINT, 0.0)
        assert isinstance(third, tickets.Granted)
        again = book.claim_key("0", "u", "s", _PRINT, 0.0)
        assert again == tickets.InProgress()
        assert isinstance(running, tickets.Granted)


class TestBounds:
    """Memory stays bounded, whatever is stored."""

    def test_stored_bytes(self):
        records = tickets.Records(100, 1_000, evict=False)
        answer = tickets.Answer(status=200, headers=(), body=b"x" * 300)
        for number in range(10):
            records.claim(str(number), _PRINT, 10.0, 0.0)
            records.finish(str(number), answer)
            assert records.stored_bytes <= 1_000
        assert records.claim("0", _PRINT, 10.0, 0.0) == tickets.Replay(None)
        assert records.claim("9", _PRINT, 10.0, 0.0) == tickets.Replay(answer)

    def test_expired_records_go(self):
        records = tickets.Records(100, 1_000, evict=False)
        for number in range(50):
            records.claim(str(number), _PRINT, float(number), 0.0)
            records.finish(str(number), _ANSWER)
        records.claim("new", _PRINT, 100.0, 49.0)
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
        now, life = 0.0, 0
        book = _book()
        given = [book.issue("u", "s", now) for _ in range(4)]
        granted: dict[int, str] = {}
        ran: list[int] = []
        for what, which in steps:
            match what:
                case "claim":
                    claim = _claim(book, given[which], now)
                    if isinstance(claim, tickets.Granted):
                        assert which not in ran
                        assert which not in granted
                        granted[which] = claim.record
                case "end" if which in granted:
                    ran.append(which)
                    book.finish(granted.pop(which), _ANSWER)
                case "not run" if which in granted:
                    book.release(granted.pop(which))
                case "sleep":
                    now += tickets.KEEP_S / 3
                case "restart":
                    # What was granted may have been run when it died.
                    ran.extend(granted)
                    granted.clear()
                    life += 1
                    owner = identity.Incarnation("vm-0", "e0", f"n{life}")
                    book = _book(owner, f"secret {life}".encode())
        assert len(ran) == len(set(ran))
