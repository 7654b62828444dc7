"""Simulated network of memberships in virtual time, with fault injection."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Iterable

from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership

_LATENCY_S = (0.001, 0.004)

# Delay from a change to its flush; see `membership.agent`.
FLUSH_S = 0.1

_PORT = 7000


def record(number: int, **fields) -> member_records.Record:
    """Returns the initial record of a member.

    Args:
      number: Number of the member.
      **fields: Fields with other values than by default.
    """
    return member_records.Record(
        **{
            "id": f"vm-{number}",
            "host": f"10.0.{number // 250}.{number % 250}",
            "port": _PORT,
            "availability_zone": f"zone-{number % 6}",
            "incarnation": 1,
            "ready": True,
            **fields,
        }
    )


@dataclasses.dataclass(slots=True)
class Process:
    """A simulated process.

    Attributes:
      members: The process's membership.
      up: Whether the process runs.
      frozen_until: End of a pause in seconds; messages that arrive during the
        pause are delivered then.
      flush_due: Whether a flush is scheduled.
      sent: Number of messages sent.
      largest: Largest number of updates in one sent message.
    """

    members: membership.Membership
    up: bool = True
    frozen_until: float = 0.0
    flush_due: bool = False
    sent: int = 0
    largest: int = 0


class Net:
    """Processes that start at nearly the same time and know some seeds.

    Args:
      count: Number of processes.
      start_s: Time span in seconds within which all of them start.
      seeds: Numbers of the members that all processes have as seeds.
      loss: Fraction of messages that are lost.
    """

    def __init__(
        self,
        count: int,
        start_s: float = 1.0,
        seeds: Iterable[int] = (0, 1, 2),
        loss: float = 0.0,
    ) -> None:
        self.now = 100.0
        self.loss = loss
        self.cut: set[tuple[str, str]] = set()
        self.sides: dict[str, int] = {}
        self._random = random.Random(count)
        self._event_numbers = itertools.count()
        self._events: list = []
        self.seeds = [record(number).address for number in seeds]
        self.by_address: dict[member_records.Address, Process] = {}
        for number in range(count):
            self.start(number, self._random.uniform(0, start_s))

    def start(self, number: int, after_s: float = 0.0, **fields) -> None:
        """Starts a member, at an address that may have been used before.

        Args:
          number: Number of the member.
          after_s: Delay of the start in seconds.
          **fields: Fields of the member's record.
        """
        own = record(number, **fields)
        members = membership.Membership(
            own, self.seeds, random.Random(number + own.incarnation)
        )
        process = Process(members)
        self._schedule(
            self.now + after_s, self._start_process, own.address, process
        )

    def stop(self, *numbers: int) -> None:
        """Stops members without notice to the others."""
        for number in numbers:
            self.by_address[record(number).address].up = False

    def freeze(self, number: int, for_s: float) -> None:
        """Pauses a member for a number of seconds."""
        process = self.by_address[record(number).address]
        process.frozen_until = self.now + for_s

    def publish(self, number: int, after_s: float = 0.0, **fields) -> None:
        """Has a member change its record.

        Args:
          number: Number of the member.
          after_s: Delay of the change in seconds.
          **fields: Changed fields of the record.
        """
        process = self.by_address[record(number).address]
        self._schedule(self.now + after_s, self._publish, process, fields)

    def split(self, numbers: Iterable[int]) -> None:
        """Partitions the network between some members and the rest."""
        self.sides = {record(number).host: 1 for number in numbers}

    def heal(self) -> None:
        """Ends the partition and all cut links."""
        self.sides = {}
        self.cut = set()

    def run(self, seconds: float) -> None:
        """Advances the virtual time by a number of seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until

    def running(self) -> list[membership.Membership]:
        """Returns the memberships of the running processes."""
        return [item.members for item in self.by_address.values() if item.up]

    def members(self, number: int) -> membership.Membership:
        """Returns a member's membership."""
        return self.by_address[record(number).address].members

    def view(self, number: int) -> set[str]:
        """Returns ids of the members that a member considers alive.

        The member itself is included.
        """
        members = self.members(number)
        return {item.id for item in members.alive()} | {members.own.id}

    def agree(self) -> bool:
        """Returns whether all running processes see just the running ones."""
        views = [
            {item.id for item in members.alive()} | {members.own.id}
            for members in self.running()
        ]
        present = {members.own.id for members in self.running()}
        return all(view == present for view in views)

    def seconds_until_agreed(self, limit_s: float) -> float:
        """Advances the time until all agree.

        Args:
          limit_s: Maximum time to advance in seconds.

        Returns:
          The time that it took in seconds.
        """
        started_at = self.now
        while not self.agree() and self.now - started_at < limit_s:
            self.run(0.25)
        return self.now - started_at

    def _schedule(self, when: float, action, *args) -> None:
        heapq.heappush(
            self._events, (when, next(self._event_numbers), action, args)
        )

    def _start_process(
        self, address: member_records.Address, process: Process
    ) -> None:
        previous = self.by_address.get(address)
        if previous is not None:
            previous.up = False
        self.by_address[address] = process
        self._tick(process)

    def _tick(self, process: Process) -> None:
        if not process.up:
            return
        self._schedule(
            max(self.now + membership.TICK_S, process.frozen_until),
            self._tick,
            process,
        )
        self._send_and_schedule_flush(process, process.members.tick(self.now))

    def _publish(self, process: Process, fields) -> None:
        process.members.publish(**fields)
        self._send_and_schedule_flush(process, ())

    def _flush(self, process: Process) -> None:
        process.flush_due = False
        if process.up:
            self._send(process, process.members.flush())

    def _send_and_schedule_flush(self, process: Process, sends) -> None:
        self._send(process, sends)
        if process.members.has_unsent_updates() and not process.flush_due:
            process.flush_due = True
            self._schedule(
                max(self.now + FLUSH_S, process.frozen_until),
                self._flush,
                process,
            )

    def _send(self, process: Process, sends) -> None:
        host = process.members.own.host
        for outgoing in sends:
            message = outgoing.message
            process.sent += 1
            process.largest = max(process.largest, len(message.updates))
            if self._is_lost(host, outgoing.address[0]):
                continue
            delay_s = self._random.uniform(*_LATENCY_S)
            self._schedule(
                self.now + delay_s, self._deliver, outgoing.address, message
            )

    def _is_lost(self, sender: str, receiver: str) -> bool:
        return (
            (sender, receiver) in self.cut
            or self.sides.get(sender, 0) != self.sides.get(receiver, 0)
            or self._random.random() < self.loss
        )

    def _deliver(self, address, message) -> None:
        process = self.by_address.get(address)
        if process is None or not process.up:
            return
        if process.frozen_until > self.now:
            self._schedule(
                process.frozen_until, self._deliver, address, message
            )
            return
        self._send_and_schedule_flush(
            process, process.members.receive(message, self.now)
        )
