"""Wire format of membership messages: JSON arrays, which omit field names.

Field names would take up most of a datagram.
"""

from typing import NamedTuple

from cowsliprill import codec
from cowsliprill.decisions import member_records as records_lib

# Bits of `WireRecord.flags`.
_READY = 1
_LEAVING = 2
_BLIND = 4


class WireRecord(NamedTuple):
    """Wire format of `member_records.Record`.

    Attributes:
      id: Id of the VM.
      host: IP address.
      port: Port for peers, TCP and UDP.
      availability_zone: Availability zone of the VM.
      incarnation: Incarnation number, higher after each restart.
      version: Version of the record, higher after each change.
      flags: Bit mask of the record's boolean fields.
      cores: Number of processor cores that the process may use.
      changing: Engines that the VM has ordered to change, as pairs of endpoint
        id and target kind.
    """

    id: str
    host: str
    port: int
    availability_zone: str
    incarnation: int
    version: int
    flags: int
    cores: float
    changing: tuple[tuple[str, str], ...] = ()


class WireMessage(NamedTuple):
    """Wire format of `member_records.Message`.

    Attributes:
      sender: Record of the sender.
      newest: Newest registry revisions known to the sender, one per prefix.
      digest: Digest of the sender's member table.
      known: Number of members known to the sender.
      watched: Whether the receiver monitors the sender's heartbeats.
      ping: Whether the receiver must reply.
      news: Gossip updates: records of other members, each after its status.
      digests: Digests of the buckets of the sender's member table, for
        anti-entropy: the receiver replies with the buckets that differ. Empty
        if no reply is requested.
    """

    sender: WireRecord
    newest: tuple[int, ...]
    digest: int
    known: int
    watched: bool
    ping: bool
    news: tuple[tuple[int, WireRecord], ...]
    digests: tuple[int, ...]


def write(message: records_lib.Message) -> bytes:
    """Encodes a message.

    Args:
      message: The message.

    Returns:
      The message as UTF-8 JSON.
    """
    return codec.encode(
        WireMessage(
            sender=_record_to_wire(message.sender),
            newest=message.newest,
            digest=message.digest,
            known=message.known,
            watched=message.watched,
            ping=message.ping,
            news=tuple(
                (int(news.standing), _record_to_wire(news.record))
                for news in message.news
            ),
            digests=message.digests,
        )
    )


def read(data: bytes) -> records_lib.Message:
    """Decodes a message.

    Args:
      data: UTF-8 JSON.

    Returns:
      The message.

    Raises:
      codec.CodecError: The data isn't a valid message.
    """
    wire = codec.decode(WireMessage, data)
    try:
        news = tuple(
            records_lib.News(
                record=_record_from_wire(record),
                standing=records_lib.Standing(standing),
            )
            for standing, record in wire.news
        )
    except ValueError as error:
        raise codec.CodecError(str(error)) from error
    return records_lib.Message(
        sender=_record_from_wire(wire.sender),
        newest=wire.newest,
        digest=wire.digest,
        known=wire.known,
        watched=wire.watched,
        ping=wire.ping,
        news=news,
        digests=wire.digests,
    )


def _record_to_wire(record: records_lib.Record) -> WireRecord:
    flags = (
        _READY * record.ready
        + _LEAVING * record.leaving
        + _BLIND * record.blind
    )
    return WireRecord(
        id=record.id,
        host=record.host,
        port=record.port,
        availability_zone=record.availability_zone,
        incarnation=record.incarnation,
        version=record.version,
        flags=flags,
        cores=record.cores,
        changing=record.changing,
    )


def _record_from_wire(wire: WireRecord) -> records_lib.Record:
    return records_lib.Record(
        id=wire.id,
        host=wire.host,
        port=wire.port,
        availability_zone=wire.availability_zone,
        incarnation=wire.incarnation,
        version=wire.version,
        ready=bool(wire.flags & _READY),
        leaving=bool(wire.flags & _LEAVING),
        blind=bool(wire.flags & _BLIND),
        cores=wire.cores,
        changing=wire.changing,
    )
