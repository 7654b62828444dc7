"""Exchange of leaving endpoints between VMs, in virtual time."""

import asyncio

import pytest
from tests import exchange_network
from tests import fake_log
from tests import virtual_time

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill.availability import ledger as ledger_lib
from cowsliprill.availability import peer_exchange
from cowsliprill.availability import wire
from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import leaving_endpoints
from cowsliprill.decisions import model
from cowsliprill.observability import metrics

# All VMs in touch are to know within this time.
_SPREAD_S = 0.2
# Customers' bound from an answer that says so to the last request.
_DRAIN_S = 2.0

_ENDPOINT = model.Endpoint(
    id="s0",
    kind=model.EndpointKind.PLAIN,
    host="10.0.0.1",
    port=1,
    availability_zone="a",
    pool="desk",
    slots=2,
)


class _Vm:
    """The exchange and ledger of one VM."""

    def __init__(
        self,
        network: exchange_network.ExchangeNetwork,
        number: int,
        fleet: model.Fleet,
    ) -> None:
        self.id = f"vm-{number}"
        self.ledger = ledger_lib.AvailabilityLedger(
            fake_log.FakeLog(), metrics.Metrics()
        )
        self.exchange = peer_exchange.PeerExchange(
            network.access_of(self.id, number, fleet),
            self.ledger,
            fake_log.FakeLog(),
        )
        network.exchanges_by_vm[self.id] = self.exchange
        self.task = asyncio.create_task(self.exchange.run())

    def knows(self) -> bool:
        return _ENDPOINT in self.ledger.leaving

    def hear(self) -> None:
        self.ledger.observe(
            endpoint_answers.Answer(
                endpoint=_ENDPOINT, sent_at=clock.now(), leaving=True
            )
        )


def _start(
    size: int, loss: float
) -> tuple[exchange_network.ExchangeNetwork, list[_Vm]]:
    network = exchange_network.ExchangeNetwork(wire.LeavingExchange, loss)
    fleet = exchange_network.fleet(size)
    return network, [_Vm(network, number, fleet) for number in range(size)]


def _stop(vms: list[_Vm]) -> None:
    for vm in vms:
        vm.task.cancel()


class TestSpread:
    """One VM gets an answer of an endpoint that says that it leaves."""

    @pytest.mark.parametrize("size", [6, 71, 195])
    def test_reaches_nearly_all_vms_at_once(self, monkeypatch, size: int):
        """Guards against VMs that learn of it from the registry only."""

        async def scenario() -> float:
            _, vms = _start(size, 0.0)
            await asyncio.sleep(10)
            vms[0].hear()
            await asyncio.sleep(_SPREAD_S)
            known = sum(vm.knows() for vm in vms)
            _stop(vms)
            return known / size

        assert virtual_time.run(scenario(), monkeypatch) >= 0.95

    @pytest.mark.parametrize("size", [6, 71, 195])
    def test_reaches_all_vms_though_messages_are_lost(self, monkeypatch, size):
        async def scenario() -> int:
            _, vms = _start(size, 0.2)
            await asyncio.sleep(10)
            vms[0].hear()
            await asyncio.sleep(_DRAIN_S)
            known = sum(vm.knows() for vm in vms)
            _stop(vms)
            return known

        assert virtual_time.run(scenario(), monkeypatch) == size

    def test_reaches_a_vm_that_was_cut_off(self, monkeypatch) -> None:
        """Guards against a VM that missed the message for good."""

        async def scenario() -> bool:
            network, vms = _start(6, 0.0)
            await asyncio.sleep(10)
            network.cut_ids = {"vm-5"}
            vms[0].hear()
            await asyncio.sleep(20)
            network.cut_ids = set()
            await asyncio.sleep(6)
            known = vms[5].knows()
            _stop(vms)
            return known

        assert virtual_time.run(scenario(), monkeypatch)

    def test_costs_little_once_all_know(self, monkeypatch) -> None:
        async def scenario() -> float:
            network, vms = _start(71, 0.0)
            await asyncio.sleep(10)
            vms[0].hear()
            await asyncio.sleep(20)
            before = network.sent_bytes
            await asyncio.sleep(60)
            _stop(vms)
            return (network.sent_bytes - before) / 60 / len(vms)

        # Control costs 4 KB a second and VM at most, for everything.
        assert virtual_time.run(scenario(), monkeypatch) < 40


class TestWire:
    """Messages of peers."""

    def test_round_trip_keeps_the_age(self) -> None:
        record = leaving_endpoints.LeavingEndpoint(
            endpoint_id="s0", life="7", said_at=2.0
        )
        sent = wire.LeavingExchange(leaving=(wire.to_wire(record, 5.0),))
        text = codec.encode_without_defaults(sent)
        received = codec.decode(wire.LeavingExchange, text).leaving[0]
        assert wire.from_wire(received, 105.0) == (
            leaving_endpoints.LeavingEndpoint(
                endpoint_id="s0", life="7", said_at=102.0
            )
        )

    @pytest.mark.parametrize(
        "text",
        [
            b'{"leaving": [{"endpoint_id": "s0", "age_s": -1}]}',
            b'{"leaving": [{"endpoint_id": 7}]}',
            b'{"leaving": [{"age_s": 1}]}',
        ],
    )
    def test_malformed_message_is_rejected(self, text: bytes) -> None:
        with pytest.raises(codec.CodecError):
            codec.decode(wire.LeavingExchange, text)
