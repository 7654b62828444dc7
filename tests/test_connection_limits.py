"""Tests of sharing an endpoint's connection limit."""

import asyncio
import json

import pytest
from tests import platform_site
from tests import raw_endpoint

from cowsliprill.decisions import connection_limits
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.engines import errors
from cowsliprill.engines import http_client
from cowsliprill.platform import catalog

_OPEN_ACTION = connection_limits.OpenAction


def _endpoint(endpoint_limit, number=1, kind=model.EndpointKind.PLAIN):
    return model.Endpoint(
        id=f"e{number}",
        kind=kind,
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


class TestConnectionLimits:
    """The limits of one VM."""

    @pytest.mark.parametrize("vm_count", [1, 2, 6, 16])
    def test_all_vms_together_stay_below_the_limit(self, vm_count):
        """Guards against connection resets during calls.

        Six VMs kept up to 64 idle connections each to a server that accepts 96.
        The server reset connections with running calls, so that for a fifth of
        the non-idempotent calls it was unknown whether they had been executed.
        """
        limits = connection_limits.limits_per_vm(96, vm_count)
        assert vm_count * limits.connections <= 96
        assert 1 <= limits.idle < limits.connections

    @pytest.mark.parametrize("vm_count", [1, 4, 6, 16, 71])
    def test_one_vm_can_use_all_slots_of_an_engine(self, vm_count):
        """Guards against idle engines while one VM gets most requests.

        Coordinators lease the slots, so that the calls of all VMs together
        never need more connections than there are slots.
        """
        limits = connection_limits.limits_per_vm(360, vm_count, 64)
        assert limits.connections >= 64
        assert 64 + vm_count * limits.idle <= 360

    def test_slots_beyond_the_limit_leave_the_share_unchanged(self):
        """Guards against connection resets at engines that accept few."""
        limits = connection_limits.limits_per_vm(60, 6, 64)
        assert limits == connection_limits.limits_per_vm(60, 6)

    def test_plain_endpoints_have_no_leased_slots(self):
        """Guards against connection resets at servers without coordinator."""
        kinds = (model.EndpointKind.PLAIN, model.EndpointKind.DECODE)
        endpoints = {
            kind.value: _endpoint(360, number, kind)
            for number, kind in enumerate(kinds, 1)
        }
        found = connection_limits.limits_for_endpoints(
            model.Snapshot(endpoints_by_id=endpoints), _fleet(71)
        )
        assert found["10.0.0.1", 1].connections == 3
        assert found["10.0.0.1", 2].connections > 6

    def test_each_vm_of_a_large_fleet_gets_two_connections(self):
        limits = connection_limits.limits_per_vm(96, 690)
        assert limits.connections == 2

    def test_idle_connections_are_closed_for_calls(self):
        limits = connection_limits.ConnectionLimits(connections=4, idle=2)
        assert limits.plan_open(3, 0) is _OPEN_ACTION.OPEN
        assert limits.plan_open(4, 1) is _OPEN_ACTION.CLOSE_IDLE_FIRST
        assert limits.plan_open(4, 0) is _OPEN_ACTION.REFUSE
        assert limits.keeps_idle(4, 1)
        assert not limits.keeps_idle(4, 2)
        assert not limits.keeps_idle(5, 0)

    def test_only_endpoints_with_a_limit_are_listed(self):
        endpoints = {
            "e1": _endpoint(96),
            "e2": _endpoint(0, number=2),
        }
        found = connection_limits.limits_for_endpoints(
            model.Snapshot(endpoints_by_id=endpoints), _fleet(6)
        )
        assert found == {
            ("10.0.0.1", 1): connection_limits.limits_per_vm(96, 6)
        }


class TestSettings:
    """The operator's configuration sets the limits."""

    def test_limits_by_pool(self):
        services = [
            {"name": "desk", "maxConns": 96},
            {"name": "other"},
        ]
        config = json.dumps(platform_site.config(services=services)).encode()
        known = asyncio.run(catalog.Catalog(0.2, 10).settings(config, 1))
        assert known.connections_by_pool == {"desk": 96, "other": 0}


def _make_limited_client(port, count, idle):
    client = http_client.HttpClient()
    limits = connection_limits.ConnectionLimits(connections=count, idle=idle)
    client.limits_by_address = {("127.0.0.1", port): limits}
    return client


async def _call(client, port, **options):
    response = await client.call(
        "127.0.0.1", port, "POST", "/book", {}, b"", **options
    )
    return await response.read(100)


async def _answer_once(connection):
    await connection.run()
    await connection.send(raw_endpoint.http_response(b"one"))
    await connection.wait_for_disconnect()


async def _spin_until(condition) -> None:
    for _ in range(100_000):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError("it never came about")


class TestClient:
    """The HTTP client respects its limits."""

    def test_sequential_calls_leave_few_idle_connections(self):
        """Each non-idempotent call opens a connection, which is kept open."""

        async def scenario():
            async with raw_endpoint.RawEndpoint(_answer_once) as endpoint:
                client = _make_limited_client(endpoint.port, 4, 2)
                for _ in range(9):
                    await _call(client, endpoint.port, new_connection=True)
                idle = client.idle_count()
                client.close()
                return endpoint.connections, idle

        assert asyncio.run(scenario()) == (9, 2)

    def test_call_beyond_the_limit_is_rejected_before_sending(self):
        """All connections that this VM may open are in use.

        The endpoint would reset one more, and it would be unknown whether the
        call was executed.
        """

        async def scenario():
            ran = asyncio.Event()
            done = asyncio.Event()

            async def script(connection):
                await connection.run()
                ran.set()
                await done.wait()
                await connection.send(raw_endpoint.http_response(b"one"))

            async with raw_endpoint.RawEndpoint(script) as endpoint:
                client = _make_limited_client(endpoint.port, 1, 1)
                first = asyncio.create_task(_call(client, endpoint.port))
                await ran.wait()
                with pytest.raises(errors.ConnectionLimitReached) as caught:
                    await _call(client, endpoint.port)
                done.set()
                await first
                client.close()
                return caught.value.run, endpoint.connections

        assert asyncio.run(scenario()) == (messages.Executed.NO, 1)

    def test_idle_connection_is_closed_for_a_new_one(self):
        async def scenario():
            async with raw_endpoint.RawEndpoint(_answer_once) as endpoint:
                client = _make_limited_client(endpoint.port, 1, 1)
                await _call(client, endpoint.port)
                assert client.idle_count() == 1
                await _call(client, endpoint.port, new_connection=True)
                await endpoint.wait_for_disconnect()
                client.close()
                return endpoint.connections

        assert asyncio.run(scenario()) == 2

    def test_failed_connection_does_not_count_towards_the_limit(self):
        async def scenario():
            async def script(connection):
                del connection

            async with raw_endpoint.RawEndpoint(script) as endpoint:
                port = endpoint.port
            client = _make_limited_client(port, 1, 1)
            for _ in range(3):
                with pytest.raises(errors.ConnectFailed) as caught:
                    await _call(client, port)
                assert not isinstance(
                    caught.value, errors.ConnectionLimitReached
                )

        asyncio.run(scenario())

    def test_keep_alive_timeout_of_the_endpoint_is_respected(self):
        """The endpoint announces when it closes idle connections.

        A call sent at that moment is cut off, and it is unknown whether it was
        executed.
        """
        http_response = raw_endpoint.http_response(
            b"one", headers="Keep-Alive: timeout=0\r\n"
        )

        async def scenario():
            async def script(connection):
                await connection.run()
                await connection.send(http_response)
                await connection.wait_for_disconnect()

            async with raw_endpoint.RawEndpoint(script) as endpoint:
                client = http_client.HttpClient()
                await _call(client, endpoint.port)
                await _spin_until(lambda: client.idle_count() == 0)

        asyncio.run(scenario())


class TestOneBusyVm:
    """The platform hands most new connections to one VM for a while."""

    _REQUESTS = 12

    def test_serves_its_requests_while_engines_have_slots(self):
        """Guards against requests that wait or are refused beside idle engines.

        Each VM's share of the connections is smaller than an engine's slots.
        """

        async def scenario():
            services = platform_site.config()["services"]
            services[0]["maxConns"] = 24
            services[0]["engine"]["slots"] = 8
            document = platform_site.config(version=2, services=services)
            async with platform_site.running(4) as site:
                await site.store.put("op/config", document)
                await platform_site.until(
                    lambda: all(
                        "event=settings_in_force version=2" in log.getvalue()
                        for log in site.logs
                    )
                )
                for engine in site.engines.values():
                    engine.faults.pause_after_events = 2
                responses = await asyncio.gather(
                    *(
                        site.open(
                            platform_site.MODEL_PATH, attempt=f"a{number}"
                        )
                        for number in range(self._REQUESTS)
                    )
                )
                for engine in site.engines.values():
                    engine.cut.set()
                return [response.status for response in responses]

        assert asyncio.run(scenario()) == [200] * self._REQUESTS
