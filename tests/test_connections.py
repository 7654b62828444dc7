"""How connections to an endpoint that bounds them are shared."""

import asyncio
import json

import pytest
from tests import platform_site
from tests import raw_endpoint

from cowsliprill.decisions import connections
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.engines import errors
from cowsliprill.engines import http_client
from cowsliprill.platform import catalog

_OPENING = connections.Opening


def _endpoint(endpoint_limit, number=1):
    return model.Endpoint(
        id=f"e{number}",
        kind=model.EndpointKind.PLAIN,
        host="10.0.0.1",
        port=number,
        availability_zone="a",
        pool="desk",
        slots=6,
        connections_max=endpoint_limit,
    )


def _fleet(vm_count):
    return model.Fleet(
        vms_by_id={
            str(number): model.Vm(
                id=str(number),
                host="10.0.0.2",
                availability_zone="a",
                role=model.VmRole.ENTRY,
            )
            for number in range(vm_count)
        }
    )


class TestAllowance:
    """One VM's part, and what it allows."""

    @pytest.mark.parametrize("vm_count", [1, 2, 6, 16])
    def test_all_vms_together_stay_below_the_bound(self, vm_count):
        """Six VMs kept up to 64 idle connections each to a server of 96.

        It reset the connections of calls that were running; a fifth of the
        callers who booked were told that nobody knows whether it was done.
        """
        limits = connections.limits_per_vm(96, vm_count)
        assert vm_count * limits.connections <= 96
        assert 1 <= limits.idle < limits.connections

    def test_a_vm_of_many_has_one_for_a_call_and_one_for_the_next(self):
        limits = connections.limits_per_vm(96, 690)
        assert limits.connections == 2

    def test_calls_go_before_idle_connections(self):
        limits = connections.Allowance(connections=4, idle=2)
        assert limits.opening(3, 0) is _OPENING.OPEN
        assert limits.opening(4, 1) is _OPENING.CLOSE_IDLE_FIRST
        assert limits.opening(4, 0) is _OPENING.REFUSE
        assert limits.keeps(4, 1)
        assert not limits.keeps(4, 2)
        assert not limits.keeps(5, 0)

    def test_only_endpoints_with_a_bound_have_one(self):
        endpoints = {
            "e1": _endpoint(96),
            "e2": _endpoint(0, number=2),
        }
        found = connections.allowances(
            model.Snapshot(endpoints_by_id=endpoints), _fleet(6)
        )
        assert found == {("10.0.0.1", 1): connections.limits_per_vm(96, 6)}


class TestSettings:
    """The operator's configuration states the bounds."""

    def test_bounds_by_pool(self):
        services = [
            {"name": "desk", "maxConns": 96},
            {"name": "other"},
        ]
        config = json.dumps(platform_site.config(services=services)).encode()
        known = asyncio.run(catalog.Catalog(0.2, 10).settings(config, 1))
        assert known.connections_by_pool == {"desk": 96, "other": 0}


def _limited(port, count, idle):
    client = http_client.HttpClient()
    limits = connections.Allowance(connections=count, idle=idle)
    client.allowances_by_address = {("127.0.0.1", port): limits}
    return client


async def _call(client, port, **options):
    response = await client.call(
        "127.0.0.1", port, "POST", "/book", {}, b"", **options
    )
    return await response.read(100)


async def _answer_once(connection):
    await connection.run()
    await connection.send(raw_endpoint.answer(b"one"))
    await connection.wait_for_hang_up()


async def _turns_until(condition) -> None:
    for _ in range(100_000):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError("it never came about")


class TestClient:
    """The HTTP client keeps to its allowance."""

    def test_bookings_in_a_row_leave_few_idle_connections(self):
        """Each booking opens a connection, which stays open after it."""

        async def scenario():
            async with raw_endpoint.RawEndpoint(_answer_once) as endpoint:
                client = _limited(endpoint.port, 4, 2)
                for _ in range(9):
                    await _call(client, endpoint.port, fresh=True)
                idle = client.idle_count()
                client.close()
                return endpoint.connections, idle

        assert asyncio.run(scenario()) == (9, 2)

    def test_a_call_beyond_its_part_is_refused_before_a_byte_is_sent(self):
        """All connections that this VM may have are in use.

        One more would be reset by the endpoint, and its caller could not be
        told whether its booking was made.
        """

        async def scenario():
            ran = asyncio.Event()
            done = asyncio.Event()

            async def script(connection):
                await connection.run()
                ran.set()
                await done.wait()
                await connection.send(raw_endpoint.answer(b"one"))

            async with raw_endpoint.RawEndpoint(script) as endpoint:
                client = _limited(endpoint.port, 1, 1)
                first = asyncio.create_task(_call(client, endpoint.port))
                await ran.wait()
                with pytest.raises(errors.ConnectionsSpent) as caught:
                    await _call(client, endpoint.port)
                done.set()
                await first
                client.close()
                return caught.value.run, endpoint.connections

        assert asyncio.run(scenario()) == (messages.Run.NO, 1)

    def test_an_idle_connection_makes_room(self):
        async def scenario():
            async with raw_endpoint.RawEndpoint(_answer_once) as endpoint:
                client = _limited(endpoint.port, 1, 1)
                await _call(client, endpoint.port)
                assert client.idle_count() == 1
                await _call(client, endpoint.port, fresh=True)
                await endpoint.wait_for_hang_up()
                client.close()
                return endpoint.connections

        assert asyncio.run(scenario()) == 2

    def test_a_failed_connection_frees_its_place(self):
        async def scenario():
            async def script(connection):
                del connection

            async with raw_endpoint.RawEndpoint(script) as endpoint:
                port = endpoint.port
            client = _limited(port, 1, 1)
            for _ in range(3):
                with pytest.raises(errors.ConnectFailed) as caught:
                    await _call(client, port)
                assert not isinstance(caught.value, errors.ConnectionsSpent)

        asyncio.run(scenario())

    def test_the_time_that_an_endpoint_states_is_kept(self):
        """An endpoint says that it closes idle connections after a second.

        A call sent as it does so is cut, and nobody knows whether it ran.
        """
        answer = raw_endpoint.answer(
            b"one", headers="Keep-Alive: timeout=0\r\n"
        )

        async def scenario():
            async def script(connection):
                await connection.run()
                await connection.send(answer)
                await connection.wait_for_hang_up()

            async with raw_endpoint.RawEndpoint(script) as endpoint:
                client = http_client.HttpClient()
                await _call(client, endpoint.port)
                await _turns_until(lambda: client.idle_count() == 0)

        asyncio.run(scenario())
