"""Members' messages as datagrams: arrays, since names would fill them."""

from typing import NamedTuple

from cowsliprill import codec
from cowsliprill.decisions import member_records as records_lib

# Bits of `WireRecord.flags`.
_READY = 1
_LEAVING = 2
_BLIND = 4


class WireRecord(NamedTuple):
    """`member_records.Record` on its way.

    Attributes:
      id: Id of the VM.
      host: IP number.
      port: Port for peers.
      availability_zone: Where it is.
      incarnation: Rises with each start.
      version: Rises with each change.
      flags: Sum of the bits that are set.
      cores: Processor cores that it may use.
      changing: Engines that it has ordered to change.
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
    """`member_records.Message` on its way.

    Attributes:
      sender: The sender.
      newest: Newest registry changes that the sender knows.
      digest: Digest of what the sender knows of members.
      known: How many members the sender knows.
      watched: Whether the receiver is to miss the sender's heartbeats.
      ping: Whether the receiver is to answer.
      news: Records of others, each with its standing.
      digests: Digests of parts that are asked for.
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
    """Writes a message.

    Args:
      message: The message.

    Returns:
      UTF-8 JSON.
    """
    return codec.encode(
        WireMessage(
            sender=_write_record(message.sender),
            newest=message.newest,
            digest=message.digest,
            known=message.known,
            watched=message.watched,
            ping=message.ping,
            news=tuple(
                (int(news.standing), _write_record(news.record))
                for news in message.news
            ),
            digests=message.digests,
        )
    )


def read(data: bytes) -> records_lib.Message:
    """Reads a message.

    Args:
      data: UTF-8 JSON.

    Returns:
      The message.

    Raises:
      codec.CodecError: It isn't one.
    """
    wire = codec.decode(WireMessage, data)
    try:
        news = tuple(
            records_lib.News(
                record=_read_record(record),
                standing=records_lib.Standing(standing),
            )
            for standing, record in wire.news
        )
    except ValueError as error:
        raise codec.CodecError(str(error)) from error
    return records_lib.Message(
        sender=_read_record(wire.sender),
        newest=wire.newest,
        digest=wire.digest,
        known=wire.known,
        watched=wire.watched,
        ping=wire.ping,
        news=news,
        digests=wire.digests,
    )


def _write_record(record: records_lib.Record) -> WireRecord:
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


def _read_record(wire: WireRecord) -> records_lib.Record:
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
