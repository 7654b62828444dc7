"""Task that sends and receives membership messages over UDP."""

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

# Membership updates are sent after this delay, batched with later ones.
_FLUSH_DELAY_S = 0.1

# Registry updates are sent sooner: they are rare, and callers notice a delay.
_REGISTRY_FLUSH_DELAY_S = 0.02

# A leaving process announces this several times, since datagrams may be lost
# and the process may end before the next heartbeat.
_LEAVE_ANNOUNCEMENTS = 3
_LEAVE_ANNOUNCEMENT_INTERVAL_S = 0.05

# VM names in one log line; further ones are only counted.
_NAMES_MAX = 6


class GossipAgent(asyncio.DatagramProtocol):
    """UDP transport and timer of a `membership.Membership`.

    Args:
      members: Membership protocol state; does no I/O itself.
      newest: Returns the newest known registry revision for each prefix.
      log: Log of the process.
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
        self._logged_members: dict[str, tuple[int, bool, bool]] = {}
        self._logged_revision = (0, False)
        self._flush_timer: asyncio.TimerHandle | None = None

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each tick and soon after each change."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Opens the socket and drives the protocol until cancelled."""
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
                self._notify_subscribers()
                await asyncio.sleep(membership.TICK_S)
        finally:
            self._close()

    def publish(self, **changes: object) -> None:
        """Changes this process's member record and sends it to the others.

        Args:
          **changes: Changed fields of the record.
        """
        self._members.publish(**changes)
        self._schedule_flush()

    def publish_newest(self) -> None:
        """Announces the newest registry revisions known to this process."""
        self._members.publish_newest(self._newest())
        self._schedule_flush(_REGISTRY_FLUSH_DELAY_S)

    async def leave(self) -> None:
        """Announces that this process is draining and takes no new work."""
        self._members.publish(leaving=True)
        for _ in range(_LEAVE_ANNOUNCEMENTS):
            self._flush()
            await asyncio.sleep(_LEAVE_ANNOUNCEMENT_INTERVAL_S)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a datagram from a peer."""
        try:
            message = wire.decode_message(data)
        except codec.CodecError as error:
            self._log.warning(
                "heartbeat_malformed", peer=addr[0], reason=str(error)
            )
            return
        newest_before = self._members.newest_reported
        self._send(self._members.receive(message, clock.now()))
        if self._members.newest_reported != newest_before:
            self._notify_subscribers()
        self._schedule_flush()

    def error_received(self, exc: OSError) -> None:
        """Logs a datagram rejected by a closed port; the peer is restarting."""
        self._log.event("heartbeat_unsent", reason=str(exc))

    def _close(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self._transport.close()
        self._transport = None

    def _schedule_flush(self, within_s: float = _FLUSH_DELAY_S) -> None:
        if self._transport is None or not self._members.has_unsent_updates():
            return
        loop = asyncio.get_running_loop()
        timer = self._flush_timer
        if timer is not None and timer.when() <= loop.time() + within_s:
            return
        if timer is not None:
            timer.cancel()
        self._flush_timer = loop.call_later(within_s, self._flush)

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        self._send(self._members.flush())
        self._notify_subscribers()
        self._schedule_flush()

    def _send(self, messages: Iterable[member_records.Outgoing]) -> None:
        if self._transport is None:
            return
        for outgoing in messages:
            data = wire.encode_message(outgoing.message)
            self._transport.sendto(data, outgoing.address)

    def _notify_subscribers(self) -> None:
        self._log_changes()
        for callback in self._callbacks:
            callback()

    def _log_changes(self) -> None:
        if self._members.revision == self._logged_revision:
            return
        self._logged_revision = self._members.revision
        current_members = {
            record.id: (record.incarnation, record.ready, record.leaving)
            for record in self._members.alive()
        }
        if current_members == self._logged_members:
            return
        self._log.event(
            "members_changed",
            alive=len(current_members) + 1,
            joined=_abbreviate(
                current_members.keys() - self._logged_members.keys()
            ),
            lost=_abbreviate(
                self._logged_members.keys() - current_members.keys()
            ),
            joining=_abbreviate(
                vm for vm, (_, ready, _) in current_members.items() if not ready
            ),
            leaving=_abbreviate(
                vm for vm, (_, _, leaving) in current_members.items() if leaving
            ),
        )
        self._logged_members = current_members


def _abbreviate(vms: Iterable[str]) -> list[str]:
    """Returns the first few names and the number of the remaining ones."""
    ordered = sorted(vms)
    names = ordered[:_NAMES_MAX]
    if len(ordered) > _NAMES_MAX:
        names.append(f"and {len(ordered) - _NAMES_MAX} more")
    return names
