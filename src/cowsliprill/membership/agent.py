"""The task that owns the membership and its UDP socket."""

import asyncio
import socket
from collections.abc import Callable

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill.decisions import membership
from cowsliprill.observability import log as log_lib

# A change of state is told so often, since datagrams may be lost.
_ANNOUNCEMENTS = 3
_ANNOUNCEMENT_GAP_S = 0.05

_Records = list[membership.Record]


class Agent(asyncio.DatagramProtocol):
    """Sends and takes heartbeats.

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

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Has a function called after each message and each beat."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Beats until cancelled."""
        own = self._members.own
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(own.host, own.port),
            family=socket.AF_INET,
        )
        while True:
            records, targets = self._members.beat(self._newest(), clock.now())
            self._send(records, targets)
            self._note_changes()
            await asyncio.sleep(membership.BEAT_S)

    async def announce(
        self, *, ready: bool = False, leaving: bool = False
    ) -> None:
        """Tells the others at once in which state this process is."""
        records, targets = self._members.announce(ready=ready, leaving=leaving)
        self._note_changes()
        for _ in range(_ANNOUNCEMENTS):
            self._send(records, targets)
            await asyncio.sleep(_ANNOUNCEMENT_GAP_S)

    # Called by asyncio.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Takes the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a message of a peer."""
        try:
            records = codec.decode(_Records, data)
        except codec.CodecError as error:
            self._log.warning(
                "heartbeat_malformed", peer=addr[0], reason=str(error)
            )
            return
        self._members.receive(records, clock.now())
        self._note_changes()

    def error_received(self, exc: OSError) -> None:
        """Notes that a message met a closed port; its owner is restarting."""
        self._log.event("heartbeat_unsent", reason=str(exc))

    def _send(self, records: _Records, targets: list[tuple[str, int]]) -> None:
        if self._transport is None:
            return
        text = codec.encode_short(records)
        for target in targets:
            self._transport.sendto(text, target)

    def _note_changes(self) -> None:
        present = {
            record.id: (record.incarnation, record.ready, record.leaving)
            for record in self._members.alive()
        }
        if present != self._present:
            self._log.event(
                "members_changed",
                alive=len(present) + 1,
                joined=sorted(present.keys() - self._present.keys()),
                lost=sorted(self._present.keys() - present.keys()),
                joining=sorted(
                    vm for vm, (_, ready, _) in present.items() if not ready
                ),
                leaving=sorted(
                    vm for vm, (_, _, leaving) in present.items() if leaving
                ),
            )
            self._present = present
        for callback in self._callbacks:
            callback()
