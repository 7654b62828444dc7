"""Tests of `decisions.membership`, in virtual time."""

import pytest
from tests import member_net

from cowsliprill.decisions import gossip
from cowsliprill.decisions import watchers
from cowsliprill.membership import wire

# Within these times all views shall agree, by the number of members.
_AGREED_S_BY_COUNT = {10: 3.0, 195: 3.0, 1_000: 5.0}

# A dead member shall be known to be dead within this time.
_DEATH_KNOWN_S = 5.0

# Bytes that a process may send in a second while nothing happens.
_BYTES_A_SECOND = 4_000

# A datagram that isn't divided on its way.
_DATAGRAM_BYTES = 1_400


def _settled(count: int, **fields) -> member_net.Net:
    net = member_net.Net(count, **fields)
    net.run(12.0)
    assert net.agree()
    return net


class TestMembership:
    """Who is alive, as each process sees it."""

    def test_all_find_each_other_from_one_seed(self):
        net = member_net.Net(6, seeds=[0])
        net.run(4.0)
        assert all(len(net.view(number)) == 6 for number in range(6))

    def test_a_silent_one_is_dead_after_some_beats(self):
        net = _settled(6)
        net.stop(3)
        net.run(2.0)
        assert "vm-3" in net.view(0)
        net.run(2.5)
        assert "vm-3" not in net.view(0)
        assert net.members(0).known() == 6

    def test_both_sides_of_a_partition_find_each_other_again(self):
        """Each side takes the other for dead; nobody greets the dead.

        Without that the fleet would stay split after the network has healed,
        and each half would place requests as if it were alone.
        """
        net = _settled(6)
        net.split([3, 4, 5])
        net.run(8.0)
        assert net.view(0) == {"vm-0", "vm-1", "vm-2"}
        net.heal()
        net.run(8.0)
        assert len(net.view(0)) == 6

    def test_a_start_after_the_clock_was_set_back_is_believed(self):
        """The time of day jumped back between two starts of a process.

        Its records would look older than those of its last life, and peers
        would take it for dead for as long as the jump.
        """
        net = member_net.Net(3, seeds=[0])
        net.start(1, after_s=1.5, incarnation=1_000)
        net.run(4.0)
        net.start(1, incarnation=1)
        net.run(8.0)
        assert "vm-1" in net.view(0)
        assert net.members(1).own.incarnation == 1_001

    def test_a_leaving_one_is_known_to_leave(self):
        net = _settled(3)
        net.members(1).tell(leaving=True)
        net.run(1.0)
        leaving_by_id = {
            record.id: record.leaving for record in net.members(0).alive()
        }
        assert leaving_by_id == {"vm-1": True, "vm-2": False}

    def test_one_that_hears_nobody_holds_itself_for_alone(self):
        """A VM is cut off from all others, for longer than they are patient.

        What it then believes of them must not spread when the cut ends: all
        would hold all for dead.
        """
        net = _settled(40)
        net.split([7])
        assert net.members(7).hears_somebody(net.now)
        net.run(2.0)
        assert not net.members(7).hears_somebody(net.now)
        net.run(4.0)
        assert net.view(7) == {"vm-7"}
        net.heal()
        net.run(0.4)
        assert len(net.view(7)) == 40
        assert all(len(net.view(number)) >= 39 for number in range(40))

    def test_a_process_that_stood_still_suspects_nobody(self):
        """A process is paused and goes on; the others were not silent.

        Its own pause looks like theirs. It would have them all suspected.
        """
        net = _settled(40)
        versions = {item.own.id: item.own.version for item in net.running()}
        net.freeze(5, for_s=30.0)
        net.run(40.0)
        assert net.agree()
        changed = {
            item.own.id
            for item in net.running()
            if item.own.version != versions[item.own.id]
        }
        assert changed == {"vm-5"}

    def test_a_link_cut_one_way_kills_nobody(self):
        """One VM can send to nobody but one, yet hears all.

        Those that miss its heartbeats ask and suspect it. It must get to say
        that it lives, by the way that is open.
        """
        net = _settled(12)
        hosts = [member_net.record(number).host for number in range(12)]
        net.cut = {(hosts[4], host) for host in hosts if host != hosts[9]}
        gone_s = 0.0
        for _ in range(80):
            net.run(0.25)
            gone_s += 0.25 * ("vm-4" not in net.view(0))
        assert gone_s == 0.0

    @pytest.mark.parametrize("loss", [0.1, 0.3])
    def test_lost_messages_kill_nobody_for_long(self, loss):
        """Links lose a part of all datagrams.

        Heartbeats are missed all the time. If each led to a death, homes
        would move and their requests be placed anew.
        """
        net = _settled(40)
        net.loss = loss
        missing = 0
        for _ in range(60):
            net.run(0.5)
            missing += sum(40 - len(net.view(n)) for n in range(40))
        assert missing <= 40 * 40 * 60 // 1_000
        net.loss = 0.0
        net.run(5.0)
        assert net.agree()


def _size_of(message) -> int:
    return len(wire.write(message))


@pytest.mark.parametrize("count", [10, 195, 1_000])
class TestSize:
    """Seconds, whatever the number of members."""

    def test_after_a_start_of_all_at_once_views_agree(self, count):
        """All VMs start within a moment and know three seeds.

        Those that hold different VMs for a pool's home each get a sliver of
        its engines there, and their callers are refused. A message that grew
        with the fleet would fill the small VMs' links.
        """
        net = member_net.Net(count, start_s=0.3)
        net.run(0.3)
        limit_s = _AGREED_S_BY_COUNT[count]
        assert net.seconds_until_agreed(10.0) <= limit_s
        largest = max(item.largest for item in net.by_address.values())
        assert largest <= gossip.MESSAGE_UPDATES_MAX + 1


@pytest.mark.parametrize("count", [10, 195])
class TestCalmFleet:
    """Members that have known each other for a while."""

    def test_a_death_is_known_to_all(self, count):
        net = _settled(count)
        net.stop(count // 2)
        assert net.seconds_until_agreed(10.0) <= _DEATH_KNOWN_S

    def test_a_message_is_one_datagram(self, count):
        net = _settled(count)
        net.stop(count // 2)
        for _ in range(6):
            net.run(0.5)
            for members in net.running()[:20]:
                for outgoing in members.flush():
                    assert _size_of(outgoing.message) <= _DATAGRAM_BYTES

    def test_what_is_sent_doesnt_grow(self, count):
        net = _settled(count)
        before = sum(item.sent for item in net.by_address.values())
        net.run(10.0)
        after = sum(item.sent for item in net.by_address.values())
        each_a_second = (after - before) / count / 10.0
        assert each_a_second <= watchers.MONITORS_PER_MEMBER + 2
        message = net.members(0).flush()[0].message
        assert each_a_second * _size_of(message) <= _BYTES_A_SECOND


class TestLosses:
    """Many members at the same moment."""

    def test_a_lost_zone_is_known(self):
        net = _settled(195)
        net.stop(*range(1, 195, 6))
        assert net.seconds_until_agreed(10.0) <= _DEATH_KNOWN_S

    def test_a_lost_half_is_known(self):
        """Of some, all who watched them are lost with them."""
        net = _settled(195)
        net.stop(*range(0, 195, 2))
        assert net.seconds_until_agreed(10.0) <= _DEATH_KNOWN_S

    def test_after_a_partition_heals_views_agree(self):
        net = _settled(195)
        net.split(range(60))
        net.run(15.0)
        assert len(net.view(0)) == 60
        assert len(net.view(100)) == 135
        net.heal()
        assert net.seconds_until_agreed(10.0) <= _AGREED_S_BY_COUNT[195]

    def test_all_start_again_with_clocks_set_back(self):
        """All VMs lose power; half come back with an earlier time of day.

        Some seeds stay away, so that the others have one to ask.
        """
        net = _settled(195)
        net.stop(*range(195))
        net.run(1.0)
        for number in range(2, 195):
            net.start(number, 0.3, incarnation=2 if number % 2 else 0)
        net.run(0.6)
        assert net.seconds_until_agreed(10.0) <= _AGREED_S_BY_COUNT[195]
