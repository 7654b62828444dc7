"""Tests of `decisions.orphans`, in virtual time."""

import dataclasses

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import identity
from cowsliprill.decisions import model
from cowsliprill.decisions import orphans

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=300
)
_STEP_S = 1.0
_ASK_EVERY_S = 2.0
_LONGEST_REQUEST_S = 120.0
_PORTS = (1, 2)


def _vm(name: str) -> model.Vm:
    return model.Vm(
        id=name,
        host="127.0.0.1",
        availability_zone="gasabo",
        role=model.VmRole.ENTRY,
        entry_ports=_PORTS,
    )


@dataclasses.dataclass
class _Process:
    incarnation: identity.Incarnation
    alive: bool = True


class _World:
    """One VM with two entry processes, as one home sees it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.sweep = orphans.OrphanSweep(0.0)
        self.nonces = 0
        self.processes = [self._start("e0"), self._start("e1")]
        self.owner = self.processes[0]
        self.running = orphans.Running(
            endpoint_id="d0",
            request_id=str(identity.AttemptId(self.owner.incarnation, 7)),
            age_s=0.0,
        )
        self.host_up = True
        self.wrong_port = False
        self.drains = False
        self.cut_off = False
        self.listed = True
        self.home_paused = False
        self.unlisted_and_cut_off_since: float | None = None
        self.cancelled: orphans.Orphan | None = None

    def _start(self, name: str) -> _Process:
        self.nonces += 1
        nonce = f"n{self.nonces}"
        return _Process(identity.Incarnation("vm-a", name, nonce))

    def do(self, event: str) -> None:
        match event:
            case "kill":
                self.processes[0].alive = False
            case "restart":
                if self.host_up and not self.processes[0].alive:
                    self.wrong_port = False
                    self.processes[0] = self._start("e0")
            case "wrong port" | "right port":
                # The lagging list gives a port that nothing listens on.
                self.wrong_port = event == "wrong port"
            case "drain":
                # The owner finishes its requests beside its successor.
                if self.owner.alive and not self.drains:
                    self.drains = True
                    self.processes[0] = self._start("e0")
            case "vm dies":
                self.host_up = False
                self.owner.alive = False
                for process in self.processes:
                    process.alive = False
            case "cut" | "heal":
                self.cut_off = event == "cut"
            case "unlist" | "list":
                self.listed = event == "list"
            case "home pauses" | "home wakes":
                self.home_paused = event == "home pauses"

    def step(self, *, asks: bool = True) -> None:
        self.now += _STEP_S
        self.running = dataclasses.replace(self.running, age_s=self.now)
        excused = self.cut_off and not self.listed
        if not excused:
            self.unlisted_and_cut_off_since = None
        elif self.unlisted_and_cut_off_since is None:
            self.unlisted_and_cut_off_since = self.now
        if self.home_paused or self.cancelled is not None:
            return
        self.sweep.see_list([_vm("vm-a")] if self.listed else [], self.now)
        reachable = self.host_up and not self.cut_off
        hidden = self.wrong_port or self.drains
        asking = asks or hidden
        turn = self.now % _ASK_EVERY_S == 0
        for process in [*self.processes, self.owner]:
            if process.alive and reachable and asking and turn:
                self.sweep.hear(process.incarnation, self.now)
        for vm in self.sweep.suspects([self.running], self.now):
            replies = [self._reply(process) for process in self.processes]
            self.sweep.see_ports(vm.id, replies, self.now)
        found = self.sweep.orphans(
            [self.running],
            longest_request_s=_LONGEST_REQUEST_S,
            reaches_zone=True,
            now=self.now,
        )
        if found:
            self.cancelled = found[0]
            self._check()

    def _reply(self, process: _Process) -> orphans.PortReply:
        if self.cut_off or not self.host_up:
            return orphans.Silent()
        if process.alive and not self.wrong_port:
            return orphans.Answered(process.incarnation)
        return orphans.Refused()

    def _check(self) -> None:
        """Fails if a request was taken from a live owner."""
        assert self.cancelled is not None
        if not self.owner.alive:
            return
        match self.cancelled.reason:
            case orphans.Reason.OVERAGE:
                assert self.running.age_s > _LONGEST_REQUEST_S
            case orphans.Reason.ABSENT:
                since = self.unlisted_and_cut_off_since
                assert since is not None
                assert self.now - since >= orphans.ABSENT_S - 2 * _STEP_S
            case _:
                raise AssertionError(f"live owner, {self.cancelled.reason}")


_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "kill",
                "restart",
                "drain",
                "wrong port",
                "right port",
                "vm dies",
                "cut",
                "heal",
                "unlist",
                "list",
                "home pauses",
                "home wakes",
            ]
        ),
        strategies.sampled_from([1, 3, 8, 20]),
    ),
    max_size=8,
)


class TestOrphanSweep:
    """Whose requests are cancelled, and when."""

    @_SETTINGS
    @hypothesis.given(events=_EVENTS, asks=strategies.booleans())
    def test_a_live_owner_keeps_its_request(
        self, events: list[tuple[str, int]], asks: bool
    ) -> None:
        """Partitions, restarts, list changes and pauses in any order.

        Cancelling for a live owner would cut a brief in the middle of its
        answer, only because the home could not reach its entry.
        """
        world = _World()
        for event, steps in events:
            world.do(event)
            for _ in range(steps):
                world.step(asks=asks)

    def _run_until_cancelled(self, world: _World, limit_s: float) -> None:
        start = world.now
        while world.cancelled is None:
            world.step()
            assert world.now - start <= limit_s

    def test_a_killed_process_is_swept_within_ten_seconds(self) -> None:
        """Kill -9 of an entry process that nothing restarts."""
        world = _World()
        world.step()
        world.do("kill")
        self._run_until_cancelled(world, 10.0)
        assert world.cancelled.reason is orphans.Reason.ENDED

    def test_a_restarted_process_is_swept_within_ten_seconds(self) -> None:
        """Kill -9 of an entry process that the platform restarts at once."""
        world = _World()
        world.step()
        world.do("kill")
        world.do("restart")
        self._run_until_cancelled(world, 10.0)
        assert world.cancelled.reason is orphans.Reason.ENDED

    def test_a_lost_vm_is_swept_once_the_list_drops_it(self) -> None:
        """The VM is gone, its ports are silent as behind a partition."""
        world = _World()
        world.step()
        world.do("vm dies")
        for _ in range(20):
            world.step()
        assert world.cancelled is None
        world.do("unlist")
        self._run_until_cancelled(world, orphans.ABSENT_S + 3.0)
        assert world.cancelled.reason is orphans.Reason.ABSENT

    def test_whatever_is_older_than_any_request_is_swept(self) -> None:
        """The VM list is never mended: the platform is down for long."""
        world = _World()
        world.step()
        world.do("vm dies")
        limit_s = _LONGEST_REQUEST_S + orphans.OVERAGE_MARGIN_S + 2.0
        self._run_until_cancelled(world, limit_s)
        assert world.cancelled.reason is orphans.Reason.OVERAGE

    def test_a_home_that_is_cut_off_itself_sweeps_no_absent_vm(self) -> None:
        """The home is the one behind the partition, with an old list."""
        alone = orphans.OrphanSweep(0.0)
        alone.see_list([_vm("vm-a")], 0.0)
        running = orphans.Running(
            endpoint_id="d0", request_id="vm-a.e0.n1.7.0", age_s=1.0
        )
        found = []
        for second in range(1, 100):
            alone.see_list([], float(second))
            alone.see_ports("vm-a", [orphans.Silent()], float(second))
            found += alone.orphans(
                [running],
                longest_request_s=_LONGEST_REQUEST_S,
                reaches_zone=False,
                now=float(second),
            )
        assert found == []

    def test_a_vm_that_the_list_has_never_shown_is_left_alone(self) -> None:
        """A new VM serves before the lagging list names it."""
        sweep = orphans.OrphanSweep(0.0)
        running = orphans.Running(
            endpoint_id="d0", request_id="vm-new.e0.n1.7.0", age_s=1.0
        )
        for second in range(200):
            sweep.see_list([], float(second))
            assert not sweep.orphans(
                [running],
                longest_request_s=_LONGEST_REQUEST_S,
                reaches_zone=True,
                now=float(second),
            )

    def test_a_foreign_request_is_left_alone(self) -> None:
        """An operator tries a prompt at the engine by hand."""
        sweep = orphans.OrphanSweep(0.0)
        foreign = orphans.Running(
            endpoint_id="d0", request_id="cmpl-42", age_s=9_999.0
        )
        assert not sweep.orphans(
            [foreign],
            longest_request_s=_LONGEST_REQUEST_S,
            reaches_zone=True,
            now=500.0,
        )


_RUNNING = orphans.Running(
    endpoint_id="d0", request_id="vm-a.e0.n1.7.0", age_s=1.0
)


class _Sweep:
    """A sweep that is driven step by step."""

    def __init__(self) -> None:
        self.sweep = orphans.OrphanSweep(0.0)
        self.see_list(0.0)

    def see_list(self, now: float, *vms: model.Vm) -> None:
        self.sweep.see_list(vms or [_vm("vm-a")], now)

    def ports(self, now: float, *replies: orphans.PortReply) -> None:
        self.sweep.see_ports("vm-a", replies, now)

    def finds(self, now: float) -> bool:
        found = self.sweep.orphans(
            [_RUNNING],
            longest_request_s=_LONGEST_REQUEST_S,
            reaches_zone=True,
            now=now,
        )
        return bool(found)


class TestUnbrokenTime:
    """Observations count together only if nothing could hide between."""

    def test_refusals_before_and_after_a_silence_are_two_times(self) -> None:
        """A port refuses while its process starts; then a partition."""
        steps = _Sweep()
        steps.ports(10.0, orphans.Refused())
        steps.ports(11.0, orphans.Silent())
        steps.ports(14.0, orphans.Refused())
        assert not steps.finds(14.0)

    def test_refusals_before_and_after_a_pause_are_two_times(self) -> None:
        """The home sleeps for a minute, during which it hears no ask."""
        steps = _Sweep()
        steps.ports(10.0, orphans.Refused())
        steps.ports(60.0, orphans.Refused())
        assert not steps.finds(60.0)

    def test_the_time_counts_from_the_last_sign_of_life(self) -> None:
        steps = _Sweep()
        owner = identity.Incarnation("vm-a", "e0", "n1")
        for second in range(10, 20):
            steps.ports(float(second), orphans.Refused())
            if second == 14:
                steps.sweep.hear(owner, 14.0)
            assert steps.finds(float(second)) == (second >= 18)

    def test_what_old_ports_answered_says_nothing_of_new_ones(self) -> None:
        """A VM comes back at other ports; its new list entry is seen late."""
        steps = _Sweep()
        for second in range(10, 13):
            steps.ports(float(second), orphans.Refused())
        steps.see_list(13.0, dataclasses.replace(_vm("vm-a"), entry_ports=(9,)))
        steps.ports(14.0, orphans.Refused())
        assert not steps.finds(14.0)

    def test_a_pause_of_the_home_is_no_absence(self) -> None:
        """The home sleeps through the VM's return to the list and new loss."""
        steps = _Sweep()
        steps.see_list(10.0, _vm("vm-b"))
        steps.ports(11.0, orphans.Silent())
        steps.see_list(100.0, _vm("vm-b"))
        steps.ports(100.0, orphans.Silent())
        assert not steps.finds(100.0)

    def test_an_absence_counts_from_the_newest_loss(self) -> None:
        steps = _Sweep()
        for second in range(10, 76):
            lost = second != 40
            steps.see_list(float(second), _vm("vm-b" if lost else "vm-a"))
            steps.ports(float(second), orphans.Silent())
            assert not steps.finds(float(second))

    def test_an_absent_vm_that_was_never_asked_is_left_alone(self) -> None:
        steps = _Sweep()
        for second in range(200):
            steps.see_list(float(second), _vm("vm-b"))
            assert not steps.finds(float(second))
