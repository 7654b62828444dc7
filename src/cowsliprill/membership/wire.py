"""Members' messages as datagrams: arrays, since names would fill them."""

from typing import NamedTuple

from cowsliprill import codec
from cowsliprill.decisions import member_records as records_lib

# Bits of `WireRecord.flags`.
_READY = 1
_LEAVING = 2
_STORE_UNREACHABLE = 4


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
      pending_role_changes: Engines that it has ordered to change.
    """

    id: str
    host: str
    port: int
    availability_zone: str
    incarnation: int
    version: int
    flags: int
    cores: float
    pending_role_changes: tuple[tuple[str, str], ...] = ()


class WireMessage(NamedTuple):
    """`member_records.Message` on its way.

    Attributes:
      sender: The sender.
      newest_revisions: Newest registry changes that the sender knows.
      digest: Digest of what the sender knows of members.
      member_count: How many members the sender knows.
      monitored: Whether the receiver is to miss the sender's heartbeats.
      ping: Whether the receiver is to answer.
      updates: Records of others, each with its standing.
      digests: Digests of parts that are asked for.
    """

    sender: WireRecord
    newest_revisions: tuple[int, ...]
    digest: int
    member_count: int
    monitored: bool
    ping: bool
    updates: tuple[tuple[int, WireRecord], ...]
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
            newest_revisions=message.newest_revisions,
            digest=message.digest,
            member_count=message.member_count,
            monitored=message.monitored,
            ping=message.ping,
            updates=tuple(
                (int(updates.status), _write_record(updates.record))
                for updates in message.updates
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
        updates = tuple(
            records_lib.GossipUpdate(
                record=_read_record(record),
                status=records_lib.MemberStatus(status),
            )
            for status, record in wire.updates
        )
    except ValueError as error:
        raise codec.CodecError(str(error)) from error
    return records_lib.Message(
        sender=_read_record(wire.sender),
        newest_revisions=wire.newest_revisions,
        digest=wire.digest,
        member_count=wire.member_count,
        monitored=wire.monitored,
        ping=wire.ping,
        updates=updates,
        digests=wire.digests,
    )


def _write_record(record: records_lib.Record) -> WireRecord:
    flags = (
        _READY * record.ready
        + _LEAVING * record.leaving
        + _STORE_UNREACHABLE * record.store_unreachable
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
        pending_role_changes=record.pending_role_changes,
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
        store_unreachable=bool(wire.flags & _STORE_UNREACHABLE),
        cores=wire.cores,
        pending_role_changes=wire.pending_role_changes,
    )
