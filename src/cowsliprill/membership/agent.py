"""The task that owns the membership and its UDP socket."""

import asyncio
import socket
from collections.abc import Callable
from collections.abc import Iterable

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership
from cowsliprill.membership import wire
from cowsliprill.observability import log as log_lib

# News are told this soon after they came, together with what comes meanwhile.
_FLUSH_S = 0.1

# So are news of the registry, which come seldom and which callers feel.
_REGISTRY_FLUSH_S = 0.02

# A process that leaves tells so often, since datagrams may be lost and it may
# end before the next heartbeat.
_ANNOUNCEMENTS = 3
_ANNOUNCEMENT_GAP_S = 0.05

# VMs named in one line of the log; the rest is counted.
_NAMED = 6


class Agent(asyncio.DatagramProtocol):
    """Sends and takes the membership's messages.

    Args:
      members: The membership.
      newest: Returns the newest registry change known, for each prefix.
      log: The process's log.
    """

    def __init__(
        self,
        members: membership.Membership,
        newest: Callable[[], tuple[int, ...]],
        log: log_lib.Log,
    ) -> None:
        self._members = members
        self._newest = newest
        self._log = log
        self._callbacks: list[Callable[[], None]] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._present: dict[str, tuple[int, bool, bool]] = {}
        self._logged_revision = (0, False)
        self._flush_due: asyncio.TimerHandle | None = None

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Has a function called at each beat and soon after each change."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Lets time pass for the membership until cancelled."""
        own = self._members.own
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=own.address,
            family=socket.AF_INET,
        )
        try:
            while True:
                self._members.publish_newest(self._newest())
                self._send(self._members.tick(clock.now()))
                self._pass_on()
                await asyncio.sleep(membership.TICK_S)
        finally:
            self._close()

    def publish(self, **changes: object) -> None:
        """Tells the others something else of this process.

        Args:
          **changes: Fields of its record.
        """
        self._members.publish(**changes)
        self._arrange_flush()

    def publish_newest(self) -> None:
        """Tells the others which registry changes are known here."""
        self._members.publish_newest(self._newest())
        self._arrange_flush(_REGISTRY_FLUSH_S)

    async def leave(self) -> None:
        """Tells the others that this process takes no more work."""
        self._members.publish(leaving=True)
        for _ in range(_ANNOUNCEMENTS):
            self._flush()
            await asyncio.sleep(_ANNOUNCEMENT_GAP_S)

    # Called by asyncio.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Takes the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a message of a peer."""
        try:
            message = wire.read(data)
        except codec.CodecError as error:
            self._log.warning(
                "heartbeat_malformed", peer=addr[0], reason=str(error)
            )
            return
        heard = self._members.newest_reported
        self._send(self._members.receive(message, clock.now()))
        if self._members.newest_reported != heard:
            self._pass_on()
        self._arrange_flush()

    def error_received(self, exc: OSError) -> None:
        """Notes that a message met a closed port; its owner is restarting."""
        self._log.event("heartbeat_unsent", reason=str(exc))

    def _close(self) -> None:
        if self._flush_due is not None:
            self._flush_due.cancel()
        self._transport.close()
        self._transport = None

    def _arrange_flush(self, within_s: float = _FLUSH_S) -> None:
        if self._transport is None or not self._members.has_unsent_updates():
            return
        loop = asyncio.get_running_loop()
        due = self._flush_due
        if due is not None and due.when() <= loop.time() + within_s:
            return
        if due is not None:
            due.cancel()
        self._flush_due = loop.call_later(within_s, self._flush)

    def _flush(self) -> None:
        if self._flush_due is not None:
            self._flush_due.cancel()
            self._flush_due = None
        self._send(self._members.flush())
        self._pass_on()
        self._arrange_flush()

    def _send(self, sends: Iterable[member_records.Outgoing]) -> None:
        if self._transport is None:
            return
        for outgoing in sends:
            data = wire.write(outgoing.message)
            self._transport.sendto(data, outgoing.address)

    def _pass_on(self) -> None:
        self._log_changes()
        for callback in self._callbacks:
            callback()

    def _log_changes(self) -> None:
        if self._members.revision == self._logged_revision:
            return
        self._logged_revision = self._members.revision
        present = {
            record.id: (record.incarnation, record.ready, record.leaving)
            for record in self._members.alive()
        }
        if present == self._present:
            return
        self._log.event(
            "members_changed",
            alive=len(present) + 1,
            joined=_named(present.keys() - self._present.keys()),
            lost=_named(self._present.keys() - present.keys()),
            joining=_named(
                vm for vm, (_, ready, _) in present.items() if not ready
            ),
            leaving=_named(
                vm for vm, (_, _, leaving) in present.items() if leaving
            ),
        )
        self._present = present


def _named(vms: Iterable[str]) -> list[str]:
    """Returns the first few names, and how many more there are."""
    ordered = sorted(vms)
    named = ordered[:_NAMED]
    if len(ordered) > _NAMED:
        named.append(f"and {len(ordered) - _NAMED} more")
    return named
