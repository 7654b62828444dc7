"""Tests of `cowsliprill-router` as a separate process."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

from tests import platform_site
from tests import router_processes

from cowsliprill.engines import http_client


def _free_port(ports: contextlib.ExitStack) -> int:
    return ports.enter_context(platform_site.hold_port()).port


def _config(store: str, ports: contextlib.ExitStack) -> dict:
    return {
        "vm": "vm-0",
        "availability_zone": "gasabo",
        "public": f"127.0.0.1:{_free_port(ports)}",
        "ready": f"127.0.0.1:{_free_port(ports)}",
        "peer_ports": [_free_port(ports), 0],
        "seeds": ["127.0.0.1:1"],
        "store": store,
        "drain_notice_s": 0.1,
        "grace_s": 5.0,
        "a_field_to_come": 1,
    }


@contextlib.asynccontextmanager
async def _running(folder: pathlib.Path):
    store = platform_site.Store()
    server = platform_site.Engine("s0", "desk", None)
    await store.put("op/config", platform_site.config())
    await store.put("servers/s0", server.entry())
    file = folder / "vm-0.json"
    ports = contextlib.ExitStack()
    config = _config(store.address, ports)
    file.write_text(json.dumps(config))
    process = await router_processes.start_process(file)
    router = router_processes.Router(process, config["public"])
    try:
        await router.until("event=endpoint_listed")
        yield router, file
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        await server.site.close()
        ports.close()


async def _get(address: str, path: str, **headers: str) -> int:
    host, port = address.rsplit(":", 1)
    client = http_client.HttpClient()
    response = await client.call(host, int(port), "GET", path, headers)
    await response.read(1 << 16)
    client.close()
    return response.status


class TestRouterProcess:
    """Startup, readiness, a request, configuration reload and shutdown."""

    def test_serves_and_drains_on_sigterm(self, tmp_path: pathlib.Path):
        async def scenario():
            async with _running(tmp_path) as (router, file):
                config = json.loads(file.read_text())
                await router.until("event=ready")
                ready = await _get(config["ready"], "/readyz")
                served = await _get(
                    config["public"],
                    platform_site.SAFE_PATH,
                    **{"Host": "desk.example", "Attempt-Id": "c1"},
                )
                code = await router.end(signal.SIGTERM)
                return ready, served, code, router.text

        ready, served, code, text = asyncio.run(scenario())
        assert (ready, served, code) == (200, 200, 0)
        assert "event=request_ended" in text
        assert "caller=c1" in text
        assert "event=stopped" in text

    def test_reloads_its_configuration_file(self, tmp_path: pathlib.Path):
        """Guards against a VM that can't rejoin after its seeds changed."""

        async def scenario():
            async with _running(tmp_path) as (router, file):
                await router.until("event=ready")
                config = json.loads(file.read_text())
                config["seeds"] = ["127.0.0.1:1", "127.0.0.2:1"]
                file.write_text(json.dumps(config))
                router.process.send_signal(signal.SIGHUP)
                await router.until("event=file_reloaded")
                file.write_text("{")
                await router.until("event=file_unreadable")
                return await router.end(signal.SIGTERM)

        assert asyncio.run(scenario()) == 0

    def test_invalid_configuration_file_is_reported(
        self, tmp_path: pathlib.Path
    ):
        async def scenario():
            file = tmp_path / "vm-0.json"
            file.write_text('{"vm": "vm-0", "public": "nowhere"}')
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cowsliprill.router",
                str(file),
                stderr=asyncio.subprocess.PIPE,
                env={**os.environ, "PYTHONPATH": "src"},
            )
            _, stderr = await process.communicate()
            return process.returncode, stderr.decode()

        code, stderr = asyncio.run(scenario())
        assert code == 2
        assert "environment_invalid" in stderr
        assert "nowhere" in stderr
