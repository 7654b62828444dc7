"""Tests of `decisions.membership`."""

import random

from cowsliprill.decisions import membership


def _member(number: int, seeds=()) -> membership.Membership:
    record = membership.Record(
        id=f"vm-{number}",
        host=f"10.0.0.{number}",
        port=7000,
        availability_zone="gasabo",
        incarnation=1,
    )
    return membership.Membership(record, seeds, random.Random(number))


class _Net:
    """Processes that beat together; messages between some may be lost."""

    def __init__(self, count: int) -> None:
        seeds = [("10.0.0.0", 7000)]
        self.members = [_member(number, seeds) for number in range(count)]
        self.now = 0.0
        self.cut: set[frozenset[str]] = set()
        self.silent: set[str] = set()

    def beat(self, times: int = 1) -> None:
        for _ in range(times):
            self.now += membership.BEAT_S
            for member in self.members:
                if member.own.host not in self.silent:
                    self.deliver(member, *member.beat((), self.now))

    def deliver(self, sender, records, targets) -> None:
        for receiver in self.members:
            address = (receiver.own.host, receiver.own.port)
            ends = frozenset({sender.own.host, receiver.own.host})
            lost = ends in self.cut or receiver.own.host in self.silent
            if address in targets and not lost:
                receiver.receive(records, self.now)

    def alive(self, number: int) -> set[str]:
        return {record.id for record in self.members[number].alive()}


class TestMembership:
    """Who is alive, as each process sees it."""

    def test_all_find_each_other_from_one_seed(self):
        net = _Net(6)
        net.beat(4)
        assert all(len(net.alive(number)) == 5 for number in range(6))

    def test_a_silent_one_is_dead_after_some_beats(self):
        net = _Net(6)
        net.beat(4)
        net.silent.add("10.0.0.3")
        net.beat(2)
        assert "vm-3" in net.alive(0)
        net.beat(4)
        assert "vm-3" not in net.alive(0)
        assert net.members[0].known() == 6

    def test_both_sides_of_a_partition_find_each_other_again(self):
        """Each side takes the other for dead; nobody greets the dead.

        Without that the fleet would stay split after the network has healed,
        and each half would place requests as if it were alone.
        """
        net = _Net(6)
        net.beat(4)
        halves = [(a, b) for a in (0, 1, 2) for b in (3, 4, 5)]
        net.cut = {frozenset({f"10.0.0.{a}", f"10.0.0.{b}"}) for a, b in halves}
        net.beat(8)
        assert net.alive(0) == {"vm-1", "vm-2"}
        net.cut = set()
        net.beat(8)
        assert len(net.alive(0)) == 5

    def test_a_start_after_the_clock_was_set_back_is_believed(self):
        """The time of day jumped back between two starts of a process.

        Its records would look older than those of its last life, and peers
        would take it for dead for as long as the jump.
        """
        net = _Net(3)
        net.members[1].own = membership.Record(
            id="vm-1",
            host="10.0.0.1",
            port=7000,
            availability_zone="gasabo",
            incarnation=1_000,
        )
        net.beat(4)
        net.members[1] = _member(1, [("10.0.0.0", 7000)])
        net.beat(8)
        assert "vm-1" in net.alive(0)
        assert net.members[1].own.incarnation == 1_001

    def test_a_leaving_one_is_known_to_leave(self):
        net = _Net(3)
        net.beat(4)
        net.deliver(net.members[1], *net.members[1].announce(leaving=True))
        states = {
            record.id: record.leaving for record in net.members[0].alive()
        }
        assert states == {"vm-1": True, "vm-2": False}

    def test_messages_dont_grow_with_the_fleet(self):
        net = _Net(40)
        net.beat(12)
        records, targets = net.members[7].beat((), net.now)
        assert len(records) <= 1 + membership.PASSED_ON
        assert len(targets) <= membership.FANOUT + 1
