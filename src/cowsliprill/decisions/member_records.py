"""What VMs say of themselves and of each other.

Pure. A record is what a VM says of itself: nobody else writes one. What the
others add is whether they still hear of it.
"""

import dataclasses
import enum

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """What a member says of itself.

    Attributes:
      id: Id of its VM.
      host: IP number.
      port: Port for peers, TCP and UDP.
      availability_zone: Where it is.
      incarnation: Rises with each start of the process.
      version: Rises with each change of one incarnation's record.
      ready: Whether it knows settings and endpoints, and may be a home.
      leaving: Whether it takes no more work.
      cores: Processor cores that it may use, 0 if it doesn't say.
      blind: Whether it can't read the registry's store.
      changing: Engines that it has ordered to change, with what they will be.
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
    blind: bool = False
    changing: tuple[tuple[str, str], ...] = ()

    @property
    def address(self) -> Address:
        """Where its process hears its peers."""
        return (self.host, self.port)

    def age(self) -> tuple[int, int]:
        """Returns what makes one record newer than another."""
        return (self.incarnation, self.version)


class Standing(enum.IntEnum):
    """What the others hold of a member; of one record the higher prevails."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class News:
    """A member's record and its standing, on the way between others.

    Attributes:
      record: The record.
      standing: Whether the teller holds it for alive.
    """

    record: Record
    standing: Standing = Standing.ALIVE

    def rank(self) -> tuple[int, int, int]:
        """Returns what makes one piece of news prevail over another."""
        return (*self.record.age(), self.standing)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """One datagram between members; its size doesn't grow with the fleet.

    Attributes:
      sender: The sender's own record.
      newest: Revision of the newest registry change that the sender knows,
        for each prefix that is followed.
      digest: Digest of all that the sender knows of members.
      known: How many members the sender knows, the dead included.
      watched: Whether the receiver is to miss the sender's heartbeats.
      ping: Whether the receiver is to answer at once.
      news: What is passed on of others.
      digests: Digests of the parts of what the sender knows, where it asks
        for the parts that differ.
    """

    sender: Record
    newest: tuple[int, ...] = ()
    digest: int = 0
    known: int = 0
    watched: bool = False
    ping: bool = False
    news: tuple[News, ...] = ()
    digests: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and where it goes.

    Attributes:
      address: The receiver.
      message: The message.
    """

    address: Address
    message: Message
