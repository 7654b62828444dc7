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
_HEARTBEAT_INTERVAL_S = 2.0
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


class _Scenario:
    """One VM with two entry processes, as observed by one coordinator."""

    def __init__(self) -> None:
        self.now = 0.0
        self.sweep = orphans.OrphanDetector(0.0)
        self.nonces = 0
        self.processes = [self._start("e0"), self._start("e1")]
        self.owner = self.processes[0]
        self.running = orphans.ObservedRequest(
            endpoint_id="d0",
            request_id=str(identity.AttemptId(self.owner.incarnation, 7)),
            age_s=0.0,
        )
        self.host_up = True
        self.wrong_port = False
        self.draining = False
        self.cut_off = False
        self.listed = True
        self.home_paused = False
        self.unlisted_and_cut_off_since: float | None = None
        self.cancelled: orphans.Orphan | None = None

    def _start(self, name: str) -> _Process:
        self.nonces += 1
        nonce = f"n{self.nonces}"
        return _Process(identity.Incarnation("vm-a", name, nonce))

    def apply(self, event: str) -> None:
        match event:
            case "kill":
                self.processes[0].alive = False
            case "restart":
                if self.host_up and not self.processes[0].alive:
                    self.wrong_port = False
                    self.processes[0] = self._start("e0")
            case "wrong port" | "right port":
                # The outdated VM list has a port that no process listens on.
                self.wrong_port = event == "wrong port"
            case "drain":
                # The owner completes its requests while its successor runs.
                if self.owner.alive and not self.draining:
                    self.draining = True
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
        exempt = self.cut_off and not self.listed
        if not exempt:
            self.unlisted_and_cut_off_since = None
        elif self.unlisted_and_cut_off_since is None:
            self.unlisted_and_cut_off_since = self.now
        if self.home_paused or self.cancelled is not None:
            return
        self.sweep.update_vms([_vm("vm-a")] if self.listed else [], self.now)
        reachable = self.host_up and not self.cut_off
        unprobeable = self.wrong_port or self.draining
        sends_heartbeats = asks or unprobeable
        heartbeat_due = self.now % _HEARTBEAT_INTERVAL_S == 0
        for process in [*self.processes, self.owner]:
            if (
                process.alive
                and reachable
                and sends_heartbeats
                and heartbeat_due
            ):
                self.sweep.record_heartbeat(process.incarnation, self.now)
        for vm in self.sweep.vms_to_probe([self.running], self.now):
            replies = [self._reply(process) for process in self.processes]
            self.sweep.record_probe(vm.id, replies, self.now)
        found = self.sweep.orphans(
            [self.running],
            longest_request_s=_LONGEST_REQUEST_S,
            has_zone_majority=True,
            now=self.now,
        )
        if found:
            self.cancelled = found[0]
            self._check()

    def _reply(self, process: _Process) -> orphans.ProbeResult:
        if self.cut_off or not self.host_up:
            return orphans.NoAnswer()
        if process.alive and not self.wrong_port:
            return orphans.Answered(process.incarnation)
        return orphans.Refused()

    def _check(self) -> None:
        """Asserts that no request of a live owner was canceled.

        Only the documented limitations are permitted.
        """
        assert self.cancelled is not None
        if not self.owner.alive:
            return
        match self.cancelled.reason:
            case orphans.OrphanReason.OVERAGE:
                assert self.running.age_s > _LONGEST_REQUEST_S
            case orphans.OrphanReason.ABSENT:
                since = self.unlisted_and_cut_off_since
                assert since is not None
                assert self.now - since >= orphans.ABSENT_AFTER_S - 2 * _STEP_S
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
    """Which requests are canceled, and after what time."""

    @_SETTINGS
    @hypothesis.given(events=_EVENTS, asks=strategies.booleans())
    def test_request_of_a_live_owner_is_not_canceled(
        self, events: list[tuple[str, int]], asks: bool
    ) -> None:
        """Partitions, restarts, VM list changes and pauses in any order.

        Canceling a live owner's request would interrupt a running stream only
        because the coordinator couldn't reach the entry process.
        """
        scenario = _Scenario()
        for event, steps in events:
            scenario.apply(event)
            for _ in range(steps):
                scenario.step(asks=asks)

    def _run_until_cancelled(self, scenario: _Scenario, limit_s: float) -> None:
        start = scenario.now
        while scenario.cancelled is None:
            scenario.step()
            assert scenario.now - start <= limit_s

    def test_request_of_a_killed_process_is_found_in_ten_seconds(self) -> None:
        """An entry process gets SIGKILL and isn't restarted."""
        scenario = _Scenario()
        scenario.step()
        scenario.apply("kill")
        self._run_until_cancelled(scenario, 10.0)
        assert scenario.cancelled.reason is orphans.OrphanReason.ENDED

    def test_request_of_a_restarted_process_is_found_in_ten_seconds(
        self,
    ) -> None:
        """An entry process gets SIGKILL and is restarted immediately."""
        scenario = _Scenario()
        scenario.step()
        scenario.apply("kill")
        scenario.apply("restart")
        self._run_until_cancelled(scenario, 10.0)
        assert scenario.cancelled.reason is orphans.OrphanReason.ENDED

    def test_request_of_a_failed_vm_is_found_after_its_delisting(self) -> None:
        """A VM fails; port probes time out as they do in a partition."""
        scenario = _Scenario()
        scenario.step()
        scenario.apply("vm dies")
        for _ in range(20):
            scenario.step()
        assert scenario.cancelled is None
        scenario.apply("unlist")
        self._run_until_cancelled(scenario, orphans.ABSENT_AFTER_S + 3.0)
        assert scenario.cancelled.reason is orphans.OrphanReason.ABSENT

    def test_request_above_the_maximum_age_is_found(self) -> None:
        """A VM fails but stays in the VM list during a platform outage."""
        scenario = _Scenario()
        scenario.step()
        scenario.apply("vm dies")
        limit_s = _LONGEST_REQUEST_S + orphans.MAX_AGE_MARGIN_S + 2.0
        self._run_until_cancelled(scenario, limit_s)
        assert scenario.cancelled.reason is orphans.OrphanReason.OVERAGE

    def test_partitioned_coordinator_finds_no_orphans_of_absent_vms(
        self,
    ) -> None:
        """The coordinator itself is partitioned and has an old VM list."""
        partitioned = orphans.OrphanDetector(0.0)
        partitioned.update_vms([_vm("vm-a")], 0.0)
        running = orphans.ObservedRequest(
            endpoint_id="d0", request_id="vm-a.e0.n1.7.0", age_s=1.0
        )
        found = []
        for second in range(1, 100):
            partitioned.update_vms([], float(second))
            partitioned.record_probe(
                "vm-a", [orphans.NoAnswer()], float(second)
            )
            found += partitioned.orphans(
                [running],
                longest_request_s=_LONGEST_REQUEST_S,
                has_zone_majority=False,
                now=float(second),
            )
        assert found == []

    def test_requests_of_a_vm_that_was_never_listed_are_ignored(self) -> None:
        """A new VM serves requests before it appears in the VM list."""
        sweep = orphans.OrphanDetector(0.0)
        running = orphans.ObservedRequest(
            endpoint_id="d0", request_id="vm-new.e0.n1.7.0", age_s=1.0
        )
        for second in range(200):
            sweep.update_vms([], float(second))
            assert not sweep.orphans(
                [running],
                longest_request_s=_LONGEST_REQUEST_S,
                has_zone_majority=True,
                now=float(second),
            )

    def test_request_with_a_foreign_id_is_ignored(self) -> None:
        """An operator sends a prompt to the engine directly."""
        sweep = orphans.OrphanDetector(0.0)
        foreign = orphans.ObservedRequest(
            endpoint_id="d0", request_id="cmpl-42", age_s=9_999.0
        )
        assert not sweep.orphans(
            [foreign],
            longest_request_s=_LONGEST_REQUEST_S,
            has_zone_majority=True,
            now=500.0,
        )


_RUNNING = orphans.ObservedRequest(
    endpoint_id="d0", request_id="vm-a.e0.n1.7.0", age_s=1.0
)


class _Detector:
    """Feeds an `OrphanDetector` with individual observations."""

    def __init__(self) -> None:
        self.sweep = orphans.OrphanDetector(0.0)
        self.update_vms(0.0)

    def update_vms(self, now: float, *vms: model.Vm) -> None:
        self.sweep.update_vms(vms or [_vm("vm-a")], now)

    def ports(self, now: float, *replies: orphans.ProbeResult) -> None:
        self.sweep.record_probe("vm-a", replies, now)

    def finds(self, now: float) -> bool:
        found = self.sweep.orphans(
            [_RUNNING],
            longest_request_s=_LONGEST_REQUEST_S,
            has_zone_majority=True,
            now=now,
        )
        return bool(found)


class TestUninterruptedObservation:
    """Observations are combined only if no event can be missed in between."""

    def test_probe_without_an_answer_resets_the_refusal_time(self) -> None:
        """A port refuses while its process starts; a partition follows."""
        steps = _Detector()
        steps.ports(10.0, orphans.Refused())
        steps.ports(11.0, orphans.NoAnswer())
        steps.ports(14.0, orphans.Refused())
        assert not steps.finds(14.0)

    def test_pause_of_the_coordinator_resets_the_refusal_time(self) -> None:
        """The coordinator is paused for 50 s and receives no heartbeat."""
        steps = _Detector()
        steps.ports(10.0, orphans.Refused())
        steps.ports(60.0, orphans.Refused())
        assert not steps.finds(60.0)

    def test_refusal_time_starts_at_the_last_heartbeat(self) -> None:
        steps = _Detector()
        owner = identity.Incarnation("vm-a", "e0", "n1")
        for second in range(10, 20):
            steps.ports(float(second), orphans.Refused())
            if second == 14:
                steps.sweep.record_heartbeat(owner, 14.0)
            assert steps.finds(float(second)) == (second >= 18)

    def test_port_change_resets_the_refusal_time(self) -> None:
        """A VM restarts with other ports, and the VM list is updated late."""
        steps = _Detector()
        for second in range(10, 13):
            steps.ports(float(second), orphans.Refused())
        steps.update_vms(
            13.0, dataclasses.replace(_vm("vm-a"), entry_ports=(9,))
        )
        steps.ports(14.0, orphans.Refused())
        assert not steps.finds(14.0)

    def test_pause_of_the_coordinator_resets_the_absence(self) -> None:
        """While the coordinator is paused, the VM is listed and delisted."""
        steps = _Detector()
        steps.update_vms(10.0, _vm("vm-b"))
        steps.ports(11.0, orphans.NoAnswer())
        steps.update_vms(100.0, _vm("vm-b"))
        steps.ports(100.0, orphans.NoAnswer())
        assert not steps.finds(100.0)

    def test_absence_starts_at_the_latest_delisting(self) -> None:
        steps = _Detector()
        for second in range(10, 76):
            delisted = second != 40
            steps.update_vms(float(second), _vm("vm-b" if delisted else "vm-a"))
            steps.ports(float(second), orphans.NoAnswer())
            assert not steps.finds(float(second))

    def test_absent_vm_without_a_probe_is_not_considered_gone(self) -> None:
        steps = _Detector()
        for second in range(200):
            steps.update_vms(float(second), _vm("vm-b"))
            assert not steps.finds(float(second))
