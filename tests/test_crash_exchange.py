"""Exchange of crash records between VMs, in virtual time."""

import asyncio
from collections.abc import Sequence

import pytest
from tests import exchange_network
from tests import fake_log
from tests import test_crash_records
from tests import virtual_time

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill.decisions import crash_records
from cowsliprill.decisions import model
from cowsliprill.decisions import quarantine
from cowsliprill.observability import metrics
from cowsliprill.quarantine import ledger as ledger_lib
from cowsliprill.quarantine import peer_exchange
from cowsliprill.quarantine import wire

_REQUEST = f"{1:016x}"
_PART = f"{2:016x}"
# Customers expect that all VMs in touch know within this time.
_CONTACT_S = 3.0


def _network(loss: float = 0.0) -> exchange_network.ExchangeNetwork:
    return exchange_network.ExchangeNetwork(wire.CrashExchange, loss)


class _Vm:
    """The exchange and ledger of one VM."""

    def __init__(
        self,
        network: exchange_network.ExchangeNetwork,
        number: int,
        fleet: model.Fleet,
    ) -> None:
        self.id = f"vm-{number}"
        self.ledger = ledger_lib.CrashLedger(
            quarantine.Quarantine(quarantine.Limits()),
            fake_log.FakeLog(),
            metrics.Metrics(),
        )
        self.exchange = peer_exchange.PeerExchange(
            network.access_of(self.id, number, fleet),
            self.ledger,
            lambda record: True,
            fake_log.FakeLog(),
        )
        network.exchanges_by_vm[self.id] = self.exchange
        self.task = asyncio.create_task(self.exchange.run())

    def restricts(self, parts: Sequence[str] = ()) -> bool:
        return self.ledger.restriction(_REQUEST, parts) is not None


def _start(network: exchange_network.ExchangeNetwork, size: int) -> list[_Vm]:
    fleet = exchange_network.fleet(size)
    return [_Vm(network, number, fleet) for number in range(size)]


async def _stop(vms: list[_Vm]) -> None:
    for vm in vms:
        vm.task.cancel()


async def _report_ends(
    vms: list[_Vm],
    requests: Sequence[str] = (_REQUEST,) * 3,
    parts: Sequence[str] = (),
) -> None:
    """Has one VM a request report an end, one every 0.2 s."""
    for number, request in enumerate(requests):
        engine = test_crash_records.engine(f"e{number}")
        now = clock.now()
        vms[number].ledger.observe(engine, request, now - 0.1, now, parts)
        await asyncio.sleep(0.2)


async def _report_part_ends(vms: list[_Vm]) -> None:
    """Has three VMs report an end each, by different requests with a part.

    At the last VM engines meanwhile give output for another request.
    """
    await _report_ends(vms, [f"{number:016x}" for number in range(3)], [_PART])
    vms[-1].ledger.record_survived(f"{98:016x}", "writers")


async def _time_until_all_restrict(
    vms: list[_Vm], parts: Sequence[str] = ()
) -> float:
    began_at = clock.now()
    async with asyncio.timeout(30.0):
        while not all(vm.restricts(parts) for vm in vms):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    return clock.now() - began_at


class TestSpread:
    """All VMs in touch learn of the third end in time."""

    @pytest.mark.parametrize("size", [6, 71, 195])
    @pytest.mark.parametrize("loss", [0.0, 0.2])
    def test_all_vms_refuse_within_contact_time(self, monkeypatch, size, loss):
        """Guards against VMs that send the request on for want of news."""

        async def scenario():
            vms = _start(_network(loss), size)
            await asyncio.sleep(10.0)
            await _report_ends(vms)
            took_s = await _time_until_all_restrict(vms)
            await _stop(vms)
            return took_s

        assert virtual_time.run(scenario(), monkeypatch) <= _CONTACT_S

    @pytest.mark.parametrize("size", [6, 71, 195])
    def test_all_vms_refuse_a_part_within_contact_time(self, monkeypatch, size):
        """Guards against VMs that send requests with the part on."""

        async def scenario():
            vms = _start(_network(loss=0.2), size)
            await asyncio.sleep(10.0)
            await _report_part_ends(vms)
            took_s = await _time_until_all_restrict(vms, [_PART])
            await _stop(vms)
            return took_s

        assert virtual_time.run(scenario(), monkeypatch) <= _CONTACT_S

    def test_part_that_one_vm_saw_survive_is_cleared_at_all(self, monkeypatch):
        """Guards against refusing a part for what only some VMs know."""

        async def scenario():
            vms = _start(_network(), 20)
            await asyncio.sleep(10.0)
            vms[9].ledger.record_survived(f"{99:016x}", "writers", [_PART])
            await _report_part_ends(vms)
            await asyncio.sleep(_CONTACT_S)
            await _stop(vms)
            return [vm.ledger.restriction(_REQUEST, [_PART]) for vm in vms]

        assert virtual_time.run(scenario(), monkeypatch) == [None] * 20

    def test_quiet_fleet_exchanges_nothing(self, monkeypatch):
        """Guards against traffic that grows with the fleet, not the trouble."""

        async def scenario():
            network = _network()
            vms = _start(network, 20)
            await asyncio.sleep(10.0)
            calls = network.calls
            await asyncio.sleep(60.0)
            await _stop(vms)
            return network.calls - calls

        assert virtual_time.run(scenario(), monkeypatch) == 0

    def test_traffic_per_vm_is_bounded_while_requests_are_quarantined(
        self, monkeypatch
    ):
        """Guards against control traffic over 4 KB a second and VM."""
        size = 71

        async def scenario():
            network = _network()
            vms = _start(network, size)
            await _report_ends(vms)
            await asyncio.sleep(10.0)
            for record in vms[0].ledger.table.unconfirmed():
                vms[0].ledger.confirm(record)
            began_bytes = network.sent_bytes
            await asyncio.sleep(60.0)
            await _stop(vms)
            return (network.sent_bytes - began_bytes) / 60.0 / size

        assert virtual_time.run(scenario(), monkeypatch) < 4_000


class TestLateVms:
    """VMs that missed the news get it from any other."""

    def _confirm_all(self, vms):
        for vm in vms:
            for record in vm.ledger.table.unconfirmed():
                vm.ledger.confirm(record)

    def test_started_vm_refuses_within_contact_time(self, monkeypatch):
        """Guards against a restarted VM that lets the request through."""

        async def scenario():
            network = _network()
            vms = _start(network, 6)
            await _report_ends(vms)
            self._confirm_all(vms)
            await asyncio.sleep(60.0)
            vms[5].task.cancel()
            started = _Vm(network, 5, exchange_network.fleet(6))
            took_s = await _time_until_all_restrict([started])
            await _stop([*vms, started])
            return took_s

        assert virtual_time.run(scenario(), monkeypatch) <= _CONTACT_S

    def test_vm_that_was_cut_off_catches_up(self, monkeypatch):
        """Guards against a view that stays old after a partition."""

        async def scenario():
            network = _network()
            vms = _start(network, 6)
            network.cut_ids = {"vm-5"}
            await _report_ends(vms)
            self._confirm_all(vms)
            await asyncio.sleep(60.0)
            assert not vms[5].restricts()
            network.cut_ids = set()
            took_s = await _time_until_all_restrict(vms)
            await _stop(vms)
            return took_s

        assert virtual_time.run(scenario(), monkeypatch) <= 15.0

    def test_vms_of_an_older_build_do_no_harm(self, monkeypatch):
        """Guards against a rollout in which some VMs lack the exchange."""

        async def scenario():
            network = _network()
            vms = _start(network, 6)
            network.old_ids = {"vm-4", "vm-5"}
            await _report_ends(vms)
            took_s = await _time_until_all_restrict(vms[:4])
            await _stop(vms)
            return took_s

        assert virtual_time.run(scenario(), monkeypatch) <= _CONTACT_S


class TestMessages:
    """Messages of peers are validated."""

    @pytest.mark.parametrize(
        "fields",
        [
            '{"suspects": [["short", 0.1]]}',
            '{"suspects": ["0000000000000000"]}',
            '{"age_s": -1}',
            '{"age_s": NaN}',
            '{"number": -1}',
            '{"suspects": [' + ",".join([f'["{0:016x}", 0.1]'] * 33) + "]}",
        ],
    )
    def test_invalid_records_are_refused(self, fields):
        """Guards against records that no VM would send."""
        record = '{"endpoint_id": "e1", "number": 0, ' + fields[1:]
        with pytest.raises(codec.CodecError):
            codec.decode(wire.CrashExchange, '{"crashes": [' + record + "]}")

    def test_fields_of_a_later_build_are_ignored(self):
        text = '{"crashes": [{"endpoint_id": "e1", "number": 0, "more": 1}]}'
        (crash,) = codec.decode(wire.CrashExchange, text).crashes
        assert crash.endpoint_id == "e1"

    def test_record_keeps_the_software_version(self):
        """Guards against a release that other VMs don't let try a request."""
        record = crash_records.CrashRecord(
            endpoint_id="e1", number=0, version="v1", observed_at=100.0
        )
        sent = wire.CrashExchange(crashes=(wire.to_wire(record, 100.0),))
        text = codec.encode_without_defaults(sent)
        (received,) = codec.decode(wire.CrashExchange, text).crashes
        assert wire.from_wire(received, 100.0) == record
