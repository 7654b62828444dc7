"""Which request with a ticket or an idempotency key may run.

A ticket names its owner: one incarnation of one entry process. Only the owner
runs a request with it, once. So nothing shared has to be written, and no view
of the fleet, right or wrong, can make two processes both believe that they may
run it. When the owner is gone, whether the request ran can't be known any
more, and nobody runs it again.

A caller's own idempotency key names no owner. For such a key exactly this is
kept: of the calls with one key, customer and service that reach the same
incarnation of one entry process within `KEEP_S` of the first, one runs at a
time and none runs after one that ran or may have run; each later call gets
the first's answer while that is stored. Calls that reach different processes
both run. The oldest finished keys are forgotten early when more than
`MAX_RECORDS` are met within that time.
"""

import collections
import dataclasses
import hashlib
import hmac
from typing import Self

from cowsliprill.decisions import identity

KEEP_S = 600.0
MAX_RECORDS = 20_000
MAX_ANSWER_BYTES = 262_144
MAX_STORED_BYTES = 8_388_608

_MAC_BYTES = 16
_PARTS = 7


class TicketError(ValueError):
    """Raised for text that is not a ticket."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A right to one run, `<incarnation>.<port>.<number>.<issued>.<mac>`.

    Attributes:
      incarnation: The owner.
      port: Its peer port.
      number: Number of the ticket within the incarnation.
      issued_at: Whole seconds on the owner's clock.
      mac: Hex message authentication code under the owner's secret.
    """

    incarnation: identity.Incarnation
    port: int
    number: int
    issued_at: int
    mac: str

    def __str__(self) -> str:
        return f"{self._signed()}.{self.mac}"

    def _signed(self) -> str:
        return f"{self.incarnation}.{self.port}.{self.number}.{self.issued_at}"

    def sign(self, secret: bytes, customer: str, service: str) -> str:
        """Returns the code that the owner gives this ticket."""
        text = f"{self._signed()}\0{customer}\0{service}"
        digest = hmac.new(secret, text.encode(), hashlib.sha256).digest()
        return digest[:_MAC_BYTES].hex()

    @classmethod
    def parse(cls, text: str) -> Self:
        """Reads a ticket without checking its code.

        Args:
          text: What the caller sent.

        Returns:
          The ticket.

        Raises:
          TicketError: The text has another form.
        """
        parts = text.split(".")
        numbers = parts[3:6]
        if len(parts) != _PARTS or not all(map(_is_number, numbers)):
            raise TicketError("not a ticket")
        try:
            incarnation = identity.Incarnation.parse(".".join(parts[:3]))
        except identity.IdentityError as error:
            raise TicketError("not a ticket") from error
        port, number, issued_at = map(int, numbers)
        return cls(
            incarnation=incarnation,
            port=port,
            number=number,
            issued_at=issued_at,
            mac=parts[6],
        )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An answer as it can be given again.

    Attributes:
      status: HTTP status.
      headers: Pairs of name and value.
      body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


# --- What a claim comes to -------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The caller's request may run now, under this record.

    Attributes:
      record: Key to give to `finish` or `release`.
    """

    record: str


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """An earlier request with this key runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """An earlier request with this key has ended.

    Attributes:
      answer: Its answer, None if that is no longer stored.
    """

    answer: Answer | None


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """An earlier request with this key was another one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The owner never gave this ticket to this customer for this service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The ticket is too old; whether it was used is forgotten."""


@dataclasses.dataclass(frozen=True, slots=True)
class Full:
    """No more records can be kept, so nothing may run under a new one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Foreign:
    """Another incarnation owns the ticket.

    Attributes:
      ticket: The ticket, with its owner.
    """

    ticket: Ticket


Claim = (
    Granted
    | InProgress
    | Replay
    | Mismatch
    | Invalid
    | Expired
    | Full
    | Foreign
)


@dataclasses.dataclass(slots=True)
class _Record:
    fingerprint: bytes
    expires_at: float
    finished: bool = False
    answer: Answer | None = None


class Records:
    """Requests that run or have run, by key, bounded in number and bytes.

    Args:
      max_records: Most records at once.
      max_stored_bytes: Most bytes of answers at once; the oldest answers go
        first, their records stay.
      evict: Whether the oldest finished record makes room for a new one. If
        not, new keys are refused while all records are younger than
        `KEEP_S`: a forgotten ticket could run twice.
    """

    def __init__(
        self, max_records: int, max_stored_bytes: int, *, evict: bool
    ) -> None:
        self._max_records = max_records
        self._max_stored_bytes = max_stored_bytes
        self._evict = evict
        self._records_by_key: dict[str, _Record] = {}
        self._answered_keys: collections.deque[str] = collections.deque()
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_key)

    @property
    def stored_bytes(self) -> int:
        """Bytes of the answers that are stored."""
        return self._stored_bytes

    def claim(
        self, key: str, fingerprint: bytes, expires_at: float, now: float
    ) -> Claim:
        """Asks to run a request.

        Args:
          key: Its key, unique over customers and services.
          fingerprint: Digest of the request.
          expires_at: When the record may be forgotten.
          now: Time, seconds.

        Returns:
          What has to be done.
        """
        self._expire(now)
        record = self._records_by_key.get(key)
        if record is not None:
            return _repeat(record, fingerprint)
        full = len(self._records_by_key) >= self._max_records
        if full and not (self._evict and self._evict_oldest()):
            return Full()
        self._records_by_key[key] = _Record(fingerprint, expires_at)
        return Granted(key)

    def finish(self, key: str, answer: Answer | None) -> None:
        """Ends a request that ran or may have run.

        Args:
          key: Key of its record.
          answer: What the caller was told; None if that can't be repeated.
        """
        record = self._records_by_key.get(key)
        if record is None or record.finished:
            return
        record.finished = True
        if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
            return
        record.answer = answer
        self._stored_bytes += len(answer.body)
        self._answered_keys.append(key)
        while self._stored_bytes > self._max_stored_bytes:
            self._drop_answer(self._answered_keys.popleft())

    def release(self, key: str) -> None:
        """Ends a request that was provably not run; its key may run again."""
        record = self._records_by_key.get(key)
        if record is not None and not record.finished:
            del self._records_by_key[key]

    def _drop_answer(self, key: str) -> None:
        record = self._records_by_key.get(key)
        if record is not None and record.answer is not None:
            self._stored_bytes -= len(record.answer.body)
            record.answer = None

    def _forget(self, key: str) -> None:
        self._drop_answer(key)
        del self._records_by_key[key]

    def _expire(self, now: float) -> None:
        # Records stand nearly in order of expiry. One that stands behind a
        # younger one, or that still runs, is only kept longer than needed.
        while self._records_by_key:
            key, record = next(iter(self._records_by_key.items()))
            if record.expires_at > now or not record.finished:
                break
            self._forget(key)
        while self._answered_keys:
            record = self._records_by_key.get(self._answered_keys[0])
            if record is not None and record.answer is not None:
                break
            self._answered_keys.popleft()

    def _evict_oldest(self) -> bool:
        for key, record in self._records_by_key.items():
            if record.finished:
                self._forget(key)
                return True
        return False


def _repeat(record: _Record, fingerprint: bytes) -> Claim:
    if record.fingerprint != fingerprint:
        return Mismatch()
    if not record.finished:
        return InProgress()
    return Replay(record.answer)


class TicketBook:
    """Tickets and idempotency keys of one incarnation of an entry process.

    Args:
      incarnation: The process, as owner of its tickets.
      port: Its peer port.
      secret: Random bytes that no other process has.
      max_records: Most tickets, and most keys, remembered at once.

    Attributes:
      port: The peer port that tickets name.
    """

    def __init__(
        self,
        incarnation: identity.Incarnation,
        port: int,
        secret: bytes,
        max_records: int = MAX_RECORDS,
    ) -> None:
        self._incarnation = incarnation
        self.port = port
        self._secret = secret
        self._next_number = 0
        half = MAX_STORED_BYTES // 2
        self._tickets = Records(max_records, half, evict=False)
        self._keys = Records(max_records, half, evict=True)

    def issue(self, customer: str, service: str, now: float) -> Ticket:
        """Gives out a ticket; it costs no memory until it is used.

        Args:
          customer: Id of the customer it is for.
          service: Id of the service it is for.
          now: Time, seconds.

        Returns:
          The ticket.
        """
        bare = Ticket(
            incarnation=self._incarnation,
            port=self.port,
            number=self._next_number,
            issued_at=int(now),
            mac="",
        )
        self._next_number += 1
        mac = bare.sign(self._secret, customer, service)
        return dataclasses.replace(bare, mac=mac)

    def claim_ticket(
        self,
        ticket: Ticket,
        customer: str,
        service: str,
        fingerprint: bytes,
        now: float,
    ) -> Claim:
        """Asks to run a request with a ticket.

        Args:
          ticket: The ticket.
          customer: Id of the calling customer.
          service: Id of the service called.
          fingerprint: Digest of the request.
          now: Time, seconds.

        Returns:
          What has to be done; `Foreign` if another incarnation has to do it.
        """
        if ticket.incarnation != self._incarnation:
            return Foreign(ticket)
        expected = ticket.sign(self._secret, customer, service)
        if not hmac.compare_digest(expected, ticket.mac):
            return Invalid()
        expires_at = ticket.issued_at + KEEP_S
        if expires_at <= now:
            return Expired()
        key = f"t{ticket.number}"
        return self._tickets.claim(key, fingerprint, expires_at, now)

    def claim_key(
        self,
        key: str,
        customer: str,
        service: str,
        fingerprint: bytes,
        now: float,
    ) -> Claim:
        """Asks to run a request with a caller's own key; see the module.

        Args:
          key: The key.
          customer: Id of the calling customer.
          service: Id of the service called.
          fingerprint: Digest of the request.
          now: Time, seconds.

        Returns:
          What has to be done.
        """
        scoped = f"k{customer}\0{service}\0{key}"
        return self._keys.claim(scoped, fingerprint, now + KEEP_S, now)

    def finish(self, record: str, answer: Answer | None) -> None:
        """Ends a request that ran or may have run; see `Records.finish`."""
        self._records_of(record).finish(record, answer)

    def release(self, record: str) -> None:
        """Ends a request that was provably not run."""
        self._records_of(record).release(record)

    def _records_of(self, record: str) -> Records:
        return self._tickets if record.startswith("t") else self._keys
