"""Wire format of membership messages: JSON arrays, which omit field names.

Field names would take up most of a datagram.
"""

import ipaddress
from typing import Annotated
from typing import NamedTuple

import pydantic

from cowsliprill import codec
from cowsliprill.decisions import member_records as records_lib

# Bits of `WireRecord.flags`.
_READY = 1
_LEAVING = 2
_STORE_UNREACHABLE = 4

# The bits from here on are `Record.lost_pools`. Earlier releases ignore them.
_LOST_POOLS_SHIFT = 8

# Records are passed on to all members, so that one that can't be sent in a
# datagram, or whose address the socket rejects, must not be taken over.
_MAX_NAME_LENGTH = 256
_MAX_PORT = 65_535
_MAX_NUMBER = 2**63 - 1
_MAX_DIGEST = 2**64 - 1


def _check_host(host: str) -> str:
    """Returns the host, which must be an IPv4 address as the sockets are."""
    ipaddress.IPv4Address(host)
    return host


_Name = Annotated[
    str, pydantic.Field(min_length=1, max_length=_MAX_NAME_LENGTH)
]
_Zone = Annotated[str, pydantic.Field(max_length=_MAX_NAME_LENGTH)]
_Host = Annotated[str, pydantic.AfterValidator(_check_host)]
_Port = Annotated[int, pydantic.Field(ge=1, le=_MAX_PORT)]
_Number = Annotated[int, pydantic.Field(ge=0, le=_MAX_NUMBER)]
_Digest = Annotated[int, pydantic.Field(ge=0, le=_MAX_DIGEST)]
_Cores = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class WireRecord(NamedTuple):
    """Wire format of `member_records.Record`.

    Attributes:
      id: Id of the VM.
      host: IP address.
      port: Port for peers, TCP and UDP.
      availability_zone: Availability zone of the VM.
      incarnation: Incarnation number, higher after each restart and order.
      version: Version of the record, higher after each change.
      flags: Bit mask of the record's boolean fields and of its lost pools.
      cores: Number of processor cores that the process may use.
      pending_role_changes: Engines that the VM has ordered to change, as pairs
        of endpoint id and target kind.
    """

    id: _Name
    host: _Host
    port: _Port
    availability_zone: _Zone
    incarnation: _Number
    version: _Number
    flags: _Number
    cores: _Cores
    pending_role_changes: tuple[tuple[str, str], ...] = ()


class WireMessage(NamedTuple):
    """Wire format of `member_records.Message`.

    Attributes:
      sender: Record of the sender.
      newest_revisions: Newest registry revisions known to the sender, one per
        prefix.
      digest: Digest of the sender's member table.
      member_count: Number of members known to the sender.
      monitored: Whether the receiver monitors the sender's heartbeats.
      ping: Whether the receiver must reply.
      updates: Gossip updates: records of other members, each after its status.
      digests: Digests of the buckets of the sender's member table, for
        anti-entropy: the receiver replies with the buckets that differ. Empty
        if no reply is requested.
    """

    sender: WireRecord
    newest_revisions: tuple[_Number, ...]
    digest: _Digest
    member_count: _Number
    monitored: bool
    ping: bool
    updates: tuple[tuple[int, WireRecord], ...]
    digests: tuple[_Digest, ...]


def encode_message(message: records_lib.Message) -> bytes:
    """Encodes a message.

    Args:
      message: The message.

    Returns:
      The message as UTF-8 JSON.
    """
    return codec.encode(
        WireMessage(
            sender=_record_to_wire(message.sender),
            newest_revisions=message.newest_revisions,
            digest=message.digest,
            member_count=message.member_count,
            monitored=message.monitored,
            ping=message.ping,
            updates=tuple(
                (int(updates.status), _record_to_wire(updates.record))
                for updates in message.updates
            ),
            digests=message.digests,
        )
    )


def decode_message(data: bytes) -> records_lib.Message:
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
        updates = tuple(
            records_lib.GossipUpdate(
                record=_record_from_wire(record),
                status=records_lib.MemberStatus(status),
            )
            for status, record in wire.updates
        )
    except ValueError as error:
        raise codec.CodecError(str(error)) from error
    return records_lib.Message(
        sender=_record_from_wire(wire.sender),
        newest_revisions=wire.newest_revisions,
        digest=wire.digest,
        member_count=wire.member_count,
        monitored=wire.monitored,
        ping=wire.ping,
        updates=updates,
        digests=wire.digests,
    )


def _record_to_wire(record: records_lib.Record) -> WireRecord:
    flags = (
        _READY * record.ready
        + _LEAVING * record.leaving
        + _STORE_UNREACHABLE * record.store_unreachable
        + (record.lost_pools << _LOST_POOLS_SHIFT)
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
        store_unreachable=bool(wire.flags & _STORE_UNREACHABLE),
        lost_pools=wire.flags >> _LOST_POOLS_SHIFT,
        cores=wire.cores,
        pending_role_changes=wire.pending_role_changes,
    )
