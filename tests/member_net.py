"""Memberships that exchange messages in virtual time, with faults."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Iterable

from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership

_LATENCY_S = (0.001, 0.004)

# How long after a change the agent tells it; see `membership.agent`.
FLUSH_S = 0.1

_PORT = 7000


def record(number: int, **fields) -> member_records.Record:
    """Returns the record that a member starts with."""
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
    """One process.

    Attributes:
      members: Its view.
      up: Whether it runs.
      frozen_until: When it goes on; what arrives meanwhile waits.
      flush_due: Whether it is to tell news soon.
      sent: Messages that it sent.
      largest: Most news in one message of it.
    """

    members: membership.Membership
    up: bool = True
    frozen_until: float = 0.0
    flush_due: bool = False
    sent: int = 0
    largest: int = 0


class Net:
    """Processes that start within a moment and know some seeds.

    Args:
      count: How many there are.
      start_s: Time within which they start.
      seeds: Numbers of the members that all are told of.
      loss: Part of the messages that are lost.
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
        self._count = itertools.count()
        self._events: list = []
        self.seeds = [record(number).address for number in seeds]
        self.by_address: dict[member_records.Address, Process] = {}
        for number in range(count):
            self.start(number, self._random.uniform(0, start_s))

    def start(self, number: int, after_s: float = 0.0, **fields) -> None:
        """Starts a member, at an address that may have been used before."""
        own = record(number, **fields)
        members = membership.Membership(
            own, self.seeds, random.Random(number + own.incarnation)
        )
        process = Process(members)
        self._at(self.now + after_s, self._begin, own.address, process)

    def stop(self, *numbers: int) -> None:
        """Ends members without a word."""
        for number in numbers:
            self.by_address[record(number).address].up = False

    def freeze(self, number: int, for_s: float) -> None:
        """Has a member stand still and go on."""
        process = self.by_address[record(number).address]
        process.frozen_until = self.now + for_s

    def split(self, numbers: Iterable[int]) -> None:
        """Cuts some members off from the rest."""
        self.sides = {record(number).host: 1 for number in numbers}

    def heal(self) -> None:
        """Ends all cuts."""
        self.sides = {}
        self.cut = set()

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)
        self.now = until

    def running(self) -> list[membership.Membership]:
        """Returns the views of the processes that run."""
        return [item.members for item in self.by_address.values() if item.up]

    def members(self, number: int) -> membership.Membership:
        """Returns a member's view."""
        return self.by_address[record(number).address].members

    def view(self, number: int) -> set[str]:
        """Returns whom a member holds for alive, itself included."""
        members = self.members(number)
        return {item.id for item in members.alive()} | {members.own.id}

    def agree(self) -> bool:
        """Returns whether all who run know exactly those who run."""
        views = [
            {item.id for item in members.alive()} | {members.own.id}
            for members in self.running()
        ]
        present = {members.own.id for members in self.running()}
        return all(view == present for view in views)

    def seconds_until_agreed(self, limit_s: float) -> float:
        """Lets time pass until all agree; returns how long that took."""
        began = self.now
        while not self.agree() and self.now - began < limit_s:
            self.run(0.25)
        return self.now - began

    def _at(self, when: float, act, *args) -> None:
        heapq.heappush(self._events, (when, next(self._count), act, args))

    def _begin(self, address: member_records.Address, process: Process) -> None:
        before = self.by_address.get(address)
        if before is not None:
            before.up = False
        self.by_address[address] = process
        self._tick(process)

    def _tick(self, process: Process) -> None:
        if not process.up:
            return
        self._at(
            max(self.now + membership.TICK_S, process.frozen_until),
            self._tick,
            process,
        )
        self._after(process, process.members.tick(self.now))

    def _flush(self, process: Process) -> None:
        process.flush_due = False
        if process.up:
            self._send(process, process.members.flush())

    def _after(self, process: Process, sends) -> None:
        self._send(process, sends)
        if process.members.is_urgent() and not process.flush_due:
            process.flush_due = True
            self._at(
                max(self.now + FLUSH_S, process.frozen_until),
                self._flush,
                process,
            )

    def _send(self, process: Process, sends) -> None:
        host = process.members.own.host
        for outgoing in sends:
            message = outgoing.message
            process.sent += 1
            process.largest = max(process.largest, len(message.news))
            if self._lost(host, outgoing.address[0]):
                continue
            delay_s = self._random.uniform(*_LATENCY_S)
            self._at(
                self.now + delay_s, self._arrive, outgoing.address, message
            )

    def _lost(self, sender: str, receiver: str) -> bool:
        return (
            (sender, receiver) in self.cut
            or self.sides.get(sender, 0) != self.sides.get(receiver, 0)
            or self._random.random() < self.loss
        )

    def _arrive(self, address, message) -> None:
        process = self.by_address.get(address)
        if process is None or not process.up:
            return
        if process.frozen_until > self.now:
            self._at(process.frozen_until, self._arrive, address, message)
            return
        self._after(process, process.members.receive(message, self.now))
