"""At-most-once execution of requests with tickets or idempotency keys.

A ticket names its owner: one incarnation of one entry process. Only the owner
executes a request with it, once. No shared state has to be written, and no
membership view, correct or not, can make two processes both believe that they
may execute the request. Once the owner is gone, it is unknown whether the
request was executed, and nobody executes it again.

A caller's own idempotency key names no owner, so the guarantee is weaker. It
covers the calls with the same key, customer and service that reach the same
incarnation of one entry process within `RECORD_TTL_S` of the first.
One of them is executed at a time, and none after one that was or may have been
executed. Later calls get the response of that call while it is stored. Calls
that reach different processes are all executed. If more than `MAX_RECORDS` keys
arrive within that time, the oldest completed ones are evicted early.
"""

import collections
import dataclasses
import hashlib
import hmac
from typing import Self

from cowsliprill.decisions import identity

RECORD_TTL_S = 600.0
MAX_RECORDS = 20_000
MAX_RESPONSE_BYTES = 262_144
MAX_STORED_BYTES = 8_388_608

_MAC_BYTES = 16
_FIELD_COUNT = 7


class TicketError(ValueError):
    """Raised for text that is not a ticket."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Permission to execute one request.

    Its text form is `<incarnation>.<port>.<number>.<issued>.<mac>`.

    Attributes:
      incarnation: Incarnation of the entry process that owns the ticket.
      port: The owner's peer port.
      number: Number of the ticket within the incarnation.
      issued_at: Time of issue on the owner's clock, in whole seconds.
      mac: Hex message authentication code under the owner's secret.
    """

    incarnation: identity.Incarnation
    port: int
    number: int
    issued_at: int
    mac: str

    def __str__(self) -> str:
        return f"{self._signed_text()}.{self.mac}"

    def _signed_text(self) -> str:
        return f"{self.incarnation}.{self.port}.{self.number}.{self.issued_at}"

    def sign(self, secret: bytes, customer: str, service: str) -> str:
        """Returns the owner's message authentication code for this ticket."""
        text = f"{self._signed_text()}\0{customer}\0{service}"
        digest = hmac.new(secret, text.encode(), hashlib.sha256).digest()
        return digest[:_MAC_BYTES].hex()

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parses a ticket without verifying its authentication code.

        Args:
          text: Text sent by the caller.

        Returns:
          The ticket.

        Raises:
          TicketError: The text is not in the format of a ticket.
        """
        fields = text.split(".")
        numbers = fields[3:6]
        if len(fields) != _FIELD_COUNT or not all(map(_is_number, numbers)):
            raise TicketError("not a ticket")
        try:
            incarnation = identity.Incarnation.parse(".".join(fields[:3]))
        except identity.IdentityError as error:
            raise TicketError("not a ticket") from error
        port, number, issued_at = map(int, numbers)
        return cls(
            incarnation=incarnation,
            port=port,
            number=number,
            issued_at=issued_at,
            mac=fields[6],
        )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredResponse:
    """A response stored for replay.

    Attributes:
      status: HTTP status.
      headers: Pairs of name and value.
      body: The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


# --- Results of a claim -----------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request may be executed now, under this record.

    Attributes:
      record: Key to pass to `finish` or `release`.
    """

    record: str


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """An earlier request with this key is being executed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """An earlier request with this key has ended.

    Attributes:
      response: Its response, None if that is not stored.
    """

    response: StoredResponse | None


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """An earlier request with this key had another fingerprint."""


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The owner didn't issue this ticket to this customer for this service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The ticket has expired; the record of its use may have been dropped."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFull:
    """The store is full, so no request with a new key may be executed."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Another incarnation owns the ticket.

    Attributes:
      ticket: The ticket, which names its owner.
    """

    ticket: Ticket


Claim = (
    Granted
    | InProgress
    | Replay
    | Mismatch
    | Invalid
    | Expired
    | StoreFull
    | OwnedElsewhere
)


@dataclasses.dataclass(slots=True)
class _Record:
    fingerprint: bytes
    expires_at: float
    finished: bool = False
    response: StoredResponse | None = None


class RecordStore:
    """Records of started and completed requests, limited in number and bytes.

    Args:
      max_records: Maximum number of records.
      max_stored_bytes: Maximum total size of response bodies. The oldest
        responses are dropped first; their records stay.
      evict: Whether to evict the oldest completed record for a new one. If not,
        new keys are rejected until records expire, after `RECORD_TTL_S`: a
        ticket whose record was evicted could be used twice.
    """

    def __init__(
        self, max_records: int, max_stored_bytes: int, *, evict: bool
    ) -> None:
        self._max_records = max_records
        self._max_stored_bytes = max_stored_bytes
        self._evict = evict
        self._records_by_key: dict[str, _Record] = {}
        self._keys_with_response: collections.deque[str] = collections.deque()
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_key)

    @property
    def stored_bytes(self) -> int:
        """Total size of the stored response bodies."""
        return self._stored_bytes

    def claim(
        self, key: str, fingerprint: bytes, expires_at: float, now: float
    ) -> Claim:
        """Claims a key for the execution of a request.

        Args:
          key: The key, unique across customers and services.
          fingerprint: Digest of the request.
          expires_at: When the record may be dropped, in seconds.
          now: Current time in seconds.

        Returns:
          `Granted` if the request may be executed, else the reason why not.
        """
        self._expire(now)
        record = self._records_by_key.get(key)
        if record is not None:
            return _claim_existing(record, fingerprint)
        full = len(self._records_by_key) >= self._max_records
        if full and not (self._evict and self._evict_oldest()):
            return StoreFull()
        self._records_by_key[key] = _Record(fingerprint, expires_at)
        return Granted(key)

    def finish(self, key: str, response: StoredResponse | None) -> None:
        """Completes a request that was or may have been executed.

        Args:
          key: Key of its record.
          response: The response sent to the caller, None if it can't be
            replayed.
        """
        record = self._records_by_key.get(key)
        if record is None or record.finished:
            return
        record.finished = True
        if response is None or len(response.body) > MAX_RESPONSE_BYTES:
            return
        record.response = response
        self._stored_bytes += len(response.body)
        self._keys_with_response.append(key)
        while self._stored_bytes > self._max_stored_bytes:
            self._drop_response(self._keys_with_response.popleft())

    def release(self, key: str) -> None:
        """Releases the key of a request that was certainly not executed."""
        record = self._records_by_key.get(key)
        if record is not None and not record.finished:
            del self._records_by_key[key]

    def _drop_response(self, key: str) -> None:
        record = self._records_by_key.get(key)
        if record is not None and record.response is not None:
            self._stored_bytes -= len(record.response.body)
            record.response = None

    def _delete(self, key: str) -> None:
        self._drop_response(key)
        del self._records_by_key[key]

    def _expire(self, now: float) -> None:
        # Records are nearly sorted by expiry. A record behind one that expires
        # later, or behind one that is not completed, is merely kept longer than
        # necessary.
        while self._records_by_key:
            key, record = next(iter(self._records_by_key.items()))
            if record.expires_at > now or not record.finished:
                break
            self._delete(key)
        while self._keys_with_response:
            record = self._records_by_key.get(self._keys_with_response[0])
            if record is not None and record.response is not None:
                break
            self._keys_with_response.popleft()

    def _evict_oldest(self) -> bool:
        for key, record in self._records_by_key.items():
            if record.finished:
                self._delete(key)
                return True
        return False


def _claim_existing(record: _Record, fingerprint: bytes) -> Claim:
    if record.fingerprint != fingerprint:
        return Mismatch()
    if not record.finished:
        return InProgress()
    return Replay(record.response)


class TicketStore:
    """Tickets and idempotency keys of one incarnation of an entry process.

    Args:
      incarnation: The process, as the owner of its tickets.
      port: The process's peer port.
      secret: Random bytes known to this process only.
      max_records: Maximum number of records of tickets, and of records of keys.

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
        half_bytes = MAX_STORED_BYTES // 2
        self._ticket_records = RecordStore(max_records, half_bytes, evict=False)
        self._key_records = RecordStore(max_records, half_bytes, evict=True)

    def issue(self, customer: str, service: str, now: float) -> Ticket:
        """Issues a ticket. It takes no memory until it is used.

        Args:
          customer: Id of the customer who may use it.
          service: Id of the service it is valid for.
          now: Current time in seconds.

        Returns:
          The ticket.
        """
        unsigned = Ticket(
            incarnation=self._incarnation,
            port=self.port,
            number=self._next_number,
            issued_at=int(now),
            mac="",
        )
        self._next_number += 1
        mac = unsigned.sign(self._secret, customer, service)
        return dataclasses.replace(unsigned, mac=mac)

    def claim_ticket(
        self,
        ticket: Ticket,
        customer: str,
        service: str,
        fingerprint: bytes,
        now: float,
    ) -> Claim:
        """Claims a ticket for the execution of a request.

        Args:
          ticket: The ticket.
          customer: Id of the calling customer.
          service: Id of the called service.
          fingerprint: Digest of the request.
          now: Current time in seconds.

        Returns:
          `Granted` if the request may be executed, else the reason why not;
          `OwnedElsewhere` if another incarnation owns the ticket.
        """
        if ticket.incarnation != self._incarnation:
            return OwnedElsewhere(ticket)
        expected = ticket.sign(self._secret, customer, service)
        if not hmac.compare_digest(expected, ticket.mac):
            return Invalid()
        expires_at = ticket.issued_at + RECORD_TTL_S
        if expires_at <= now:
            return Expired()
        key = f"t{ticket.number}"
        return self._ticket_records.claim(key, fingerprint, expires_at, now)

    def claim_key(
        self,
        key: str,
        customer: str,
        service: str,
        fingerprint: bytes,
        now: float,
    ) -> Claim:
        """Claims a caller's own idempotency key for a request.

        The module's docstring states the guarantee.

        Args:
          key: The key.
          customer: Id of the calling customer.
          service: Id of the called service.
          fingerprint: Digest of the request.
          now: Current time in seconds.

        Returns:
          `Granted` if the request may be executed, else the reason why not.
        """
        scoped_key = f"k{customer}\0{service}\0{key}"
        return self._key_records.claim(
            scoped_key, fingerprint, now + RECORD_TTL_S, now
        )

    def finish(self, record: str, response: StoredResponse | None) -> None:
        """Completes a request; see `RecordStore.finish`."""
        self._store_for(record).finish(record, response)

    def release(self, record: str) -> None:
        """Releases a request that was certainly not executed."""
        self._store_for(record).release(record)

    def _store_for(self, record: str) -> RecordStore:
        return (
            self._ticket_records
            if record.startswith("t")
            else self._key_records
        )
