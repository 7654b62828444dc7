"""Records that VMs publish about themselves, and messages that carry them.

Does no I/O. Only the VM itself writes its record. Other members add a status to
it: whether they consider the VM alive, suspect or dead.
"""

import dataclasses
import enum

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """What a member publishes about itself.

    Attributes:
      id: Id of the member's VM.
      host: IP address.
      port: Port for traffic between members, TCP and UDP.
      availability_zone: Availability zone of the VM.
      incarnation: Increases with each start of the process and with each order
        that it sends to an engine; see `leadership.FencingTokens`.
      version: Increases with each change of the record within one incarnation.
      ready: Whether the process has settings and endpoints, so that it may be a
        coordinator.
      leaving: Whether the process accepts no more work.
      cores: Processor cores that the process may use, 0 if unknown.
      store_unreachable: Whether the process can't read the registry's store.
      pending_role_changes: Role changes that the process has ordered from
        engines and that the registry doesn't show yet, as pairs of endpoint id
        and target role.
      lost_pools: Bitmap of the pools that the process can't reach; see
        `pool_bitmap`.
    """

    id: str
    host: str
    port: int
    availability_zone: str
    incarnation: int
    version: int = 0
    ready: bool = False
    leaving: bool = False
    cores: float = 0.0
    store_unreachable: bool = False
    pending_role_changes: tuple[tuple[str, str], ...] = ()
    lost_pools: int = 0

    @property
    def address(self) -> Address:
        """Address on which the process receives messages of other members."""
        return (self.host, self.port)

    def version_key(self) -> tuple[int, int]:
        """Returns the sort key that makes one record newer than another."""
        return (self.incarnation, self.version)


class MemberStatus(enum.IntEnum):
    """Status of a member in the view of others; the highest one wins.

    Statuses are compared only for the same version of a record.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GossipUpdate:
    """A gossip update: a member's record and its status.

    Attributes:
      record: The member's record.
      status: The member's status in the view of the update's sender.
    """

    record: Record
    status: MemberStatus = MemberStatus.ALIVE

    def precedence(self) -> tuple[int, int, int]:
        """Returns the sort key by which one update overrides another."""
        return (*self.record.version_key(), self.status)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """One datagram between members; its size doesn't grow with the fleet.

    Attributes:
      sender: The sender's own record.
      newest_revisions: Revision of the newest registry change known to the
        sender, one for each followed key prefix.
      digest: Digest of the sender's member table.
      member_count: Number of members in the sender's table, dead ones and the
        sender included.
      monitored: Whether the receiver is asked to monitor the sender's
        heartbeats.
      ping: Whether the receiver must reply at once.
      updates: Gossip updates about members.
      digests: Digests of the buckets of the sender's table, if it asks for the
        buckets that differ; else empty.
    """

    sender: Record
    newest_revisions: tuple[int, ...] = ()
    digest: int = 0
    member_count: int = 0
    monitored: bool = False
    ping: bool = False
    updates: tuple[GossipUpdate, ...] = ()
    digests: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message with its destination.

    Attributes:
      address: Address of the receiver.
      message: The message.
    """

    address: Address
    message: Message
