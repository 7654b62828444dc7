"""Detection that an engine has ended, with real sockets."""

import asyncio
import contextlib
import dataclasses
import socket

import pytest
from tests import fake_log
from tests import platform_site

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import model
from cowsliprill.decisions import quarantine
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import http_client
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.observability import metrics
from cowsliprill.quarantine import crash_detector
from cowsliprill.quarantine import ledger as ledger_lib

_REQUEST = f"{1:016x}"


class _Vm:
    """Detector and ledger of one VM, with the engine `e1` listed."""

    def __init__(self, port: int, *, lists_ends: bool = True):
        self.log = fake_log.FakeLog()
        self.ledger = ledger_lib.CrashLedger(
            quarantine.Quarantine(quarantine.Limits()),
            self.log,
            metrics.Metrics(),
        )
        self.cluster_state = cluster_state_lib.ClusterState()
        self.detector = crash_detector.CrashDetector(
            self.ledger,
            self.cluster_state,
            http_client.HttpClient(),
            self.log,
            lists_ends=lists_ends,
        )
        self.engine = model.Endpoint(
            id="e1",
            kind=model.EndpointKind.DECODE,
            host="127.0.0.1",
            port=port,
            availability_zone="a",
            pool="writers",
            slots=4,
        )
        self.list_engines(self.engine)

    def list_engines(self, *engines, leaving=()):
        self.cluster_state.update(
            model.Snapshot(endpoints_by_id={item.id: item for item in engines}),
            model.Fleet(leaving_endpoint_ids=frozenset(leaving)),
        )
        self.detector.cluster_state_changed()

    def records(self) -> list[crash_records.CrashRecord]:
        return list(self.ledger.table)


@contextlib.contextmanager
def _closed_port():
    with platform_site.hold_port() as held:
        yield held.port


@contextlib.contextmanager
def _open_port():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server.getsockname()[1]


def _after_loss(scenario=None, *, port=_closed_port, leaving=()):
    """Returns the VM after `e1` lost a request and `scenario` was applied."""

    async def run():
        with port() as number:
            vm = _Vm(number)
            vm.list_engines(vm.engine, leaving=leaving)
            await vm.detector.report_lost("e1", _REQUEST, 0.0)
            if scenario is not None:
                scenario(vm)
            return vm

    return asyncio.run(run())


class TestSuspicion:
    """A lost connection alone proves nothing."""

    def test_closed_port_is_suspected(self):
        (record,) = _after_loss().records()
        assert record.suspects == {_REQUEST}
        assert not record.confirmed

    def test_open_port_is_not(self):
        """Guards against blame for connections that a network resets."""

        async def run():
            with _open_port() as port:
                vm = _Vm(port)
                await vm.detector.report_lost("e1", _REQUEST, 0.0)
                await platform_site.until(lambda: vm.log.events)
                return vm

        vm = asyncio.run(run())
        assert vm.records() == []
        assert vm.log.events[-1][0] == "engine_crash_dismissed"

    def test_port_that_closes_just_after_the_connections_is(self):
        """Guards against ends that are missed while the kernel still closes."""

        async def run():
            with _open_port() as port:
                vm = _Vm(port)
                await vm.detector.report_lost("e1", _REQUEST, 0.0)
                assert vm.records() == []
            await platform_site.until(vm.records)
            return vm.records()

        (record,) = asyncio.run(run())
        assert record.suspects == {_REQUEST}

    def test_unreachable_host_is_not(self, monkeypatch):
        """Guards against blame for engines that are cut off."""

        async def connect(self, host, port, timeout_s):
            raise engine_errors.ConnectFailed("timed out")

        monkeypatch.setattr(http_client.HttpClient, "connect", connect)
        assert _after_loss().records() == []

    def test_engine_that_no_connection_is_left_for_is_not(self, monkeypatch):
        """Guards against blame while this VM's connections are spent."""

        async def connect(self, host, port, timeout_s):
            raise engine_errors.ConnectionLimitReached("all are in use")

        monkeypatch.setattr(http_client.HttpClient, "connect", connect)
        assert _after_loss().records() == []

    def test_leaving_engine_is_not(self):
        """Guards against blame for engines that end in order."""
        assert _after_loss(leaving=("e1",)).records() == []

    def test_removed_engine_is_not(self):
        """Guards against blame for engines that leave without notice."""

        async def run():
            with _closed_port() as port:
                vm = _Vm(port)
                vm.list_engines()
                await vm.detector.report_lost("e1", _REQUEST, 0.0)
                return vm.records()

        assert asyncio.run(run()) == []

    def test_requests_lost_together_share_one_probe_and_one_record(self):
        async def run():
            with _closed_port() as port:
                vm = _Vm(port)
                await asyncio.gather(
                    *(
                        vm.detector.report_lost("e1", f"{number:016x}", 0.0)
                        for number in range(5)
                    )
                )
                return vm.records()

        (record,) = asyncio.run(run())
        assert len(record.suspects) == 5


class TestConfirmation:
    """An end is certain once the registry shows it."""

    def test_removal_of_the_entry_confirms(self):
        (record,) = _after_loss(lambda vm: vm.list_engines()).records()
        assert record.confirmed

    @pytest.mark.parametrize("life", ["2", ""])
    def test_other_life_under_the_same_id_confirms(self, life):
        def scenario(vm):
            vm.list_engines(dataclasses.replace(vm.engine, life=life))

        (record,) = _after_loss(scenario).records()
        assert record.confirmed is bool(life)

    def test_removal_after_an_announcement_does_not(self):
        """Guards against blame for an engine that closed its port to leave."""

        def scenario(vm):
            vm.list_engines(vm.engine, leaving=("e1",))
            vm.list_engines()

        (record,) = _after_loss(scenario).records()
        assert not record.confirmed

    def test_listed_engine_is_never_confirmed_by_a_peer(self):
        """Guards against a peer that convicts by a forged or old message."""

        def scenario(vm):
            vm.accepted = vm.detector.can_be_ended(vm.records()[0])

        vm = _after_loss(scenario)
        assert not vm.accepted

    def test_end_known_before_the_report_confirms_it(self):
        """Guards against reports of other VMs that come after the removal."""

        async def run():
            with _closed_port() as port:
                vm = _Vm(port)
                vm.list_engines()
                vm.ledger.merge(
                    [
                        crash_records.CrashRecord(
                            endpoint_id="e1",
                            number=0,
                            sent_before_s={_REQUEST: 0.1},
                            observed_at=crash_detector.clock.now(),
                        )
                    ]
                )
                return vm.records()

        (record,) = asyncio.run(run())
        assert record.confirmed


class TestConfirmationWithoutRegistry:
    """Settings that keep ended engines: a reopened port confirms an end."""

    @pytest.mark.parametrize("starts_again", [True, False])
    def test_reopened_port_confirms(self, starts_again):
        """Guards against ends that are never certain on such a platform."""

        async def run():
            with _closed_port() as port:
                vm = _Vm(port, lists_ends=False)
                await vm.detector.report_lost("e1", _REQUEST, 0.0)
                if not starts_again:
                    await asyncio.sleep(1.2)
                    return vm.records()
                with socket.create_server(("127.0.0.1", port)):
                    await platform_site.until(lambda: vm.records()[0].confirmed)
                return vm.records()

        (record,) = asyncio.run(run())
        assert record.confirmed is starts_again


class TestSurvived:
    """Output clears a request here, whoever reports the suspicion."""

    def test_report_of_a_peer_is_cleared(self):
        """Guards against a popular request that one VM alone suspects."""

        async def run():
            with _open_port() as port:
                vm = _Vm(port)
                changes = []
                vm.ledger.subscribe(changes.extend)
                vm.ledger.record_survived(_REQUEST, "writers")
                vm.ledger.merge(
                    [
                        crash_records.CrashRecord(
                            endpoint_id="e2",
                            number=0,
                            pool="writers",
                            sent_before_s={_REQUEST: 0.1},
                            observed_at=crash_detector.clock.now(),
                        )
                    ]
                )
                return vm.records(), changes

        (record,), changes = asyncio.run(run())
        assert record.remaining_suspects == frozenset()
        assert changes[-1].acquitted == {_REQUEST}


class TestLog:
    """An operator can follow each decision."""

    def test_suspicion_and_confirmation_are_logged(self):
        vm = _after_loss(lambda vm: vm.list_engines())
        names = [name for name, _ in vm.log.events]
        assert names == ["engine_crash_suspected", "engine_crash_confirmed"]
