"""Tests of router processes that are killed while they relay streams."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import sys

from tests import platform_site

from cowsliprill import codec
from cowsliprill import peers
from cowsliprill.decisions import stream_origins
from cowsliprill.engines import http_client
from cowsliprill.pool_scheduling import origin_wire

_HOSTS = [f"127.0.0.{number}" for number in range(1, 5)]
_STREAMS = 4
_PAUSED_AFTER = 3
_RESUMABLE = platform_site.RESUMABLE_PATH


def _lines(text: str, event: str) -> list[str]:
    return [line for line in text.splitlines() if f"event={event} " in line]


class _Router:
    """A router process and the output received from it so far."""

    def __init__(
        self, host: str, public: str, process: asyncio.subprocess.Process
    ) -> None:
        self.host = host
        self.port = int(public.rpartition(":")[2])
        self.process = process
        self.text = ""
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while chunk := await self.process.stdout.read(65_536):
            self.text += chunk.decode()

    def has_joined(self) -> bool:
        """Returns whether it takes all others for routers that serve."""
        changes = _lines(self.text, "members_changed")
        expected = f"alive={len(_HOSTS)} joined="
        return bool(changes) and (
            expected in changes[-1] and 'joining="[]"' in changes[-1]
        )

    async def end(self) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        await self._reading


class _Fleet:
    """Router processes, with engines of two software versions."""

    def __init__(self) -> None:
        self.store = platform_site.Store()
        self.engines: list[platform_site.Engine] = []
        self.routers: list[_Router] = []
        self.peer_port = 0
        self.http = http_client.HttpClient()

    async def start(
        self, folder: pathlib.Path, ports: contextlib.ExitStack
    ) -> None:
        await self.store.put("op/config", platform_site.config())
        for name, stage, version in (
            ("p0", "prefill", "v1"),
            ("d0", "decode", "v1"),
            ("d1", "decode", "v2"),
        ):
            engine = platform_site.Engine(name, "llm", stage, version)
            self.engines.append(engine)
            await self.store.put(f"servers/{name}", engine.entry())

        def free_port() -> int:
            return ports.enter_context(platform_site.hold_port()).port

        self.peer_port = free_port()
        for number, host in enumerate(_HOSTS):
            config = {
                "vm": f"vm-{number}",
                "availability_zone": "gasabo",
                "public": f"{host}:{free_port()}",
                "ready": f"{host}:{free_port()}",
                "peer_ports": [self.peer_port, 0],
                "seeds": [f"{host}:1" for host in _HOSTS],
                "store": self.store.address,
            }
            file = folder / f"vm-{number}.json"
            file.write_text(json.dumps(config))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cowsliprill.router",
                str(file),
                stdout=asyncio.subprocess.PIPE,
                env={**os.environ, "PYTHONPATH": "src"},
            )
            self.routers.append(_Router(host, config["public"], process))
        await platform_site.until(
            lambda: all(
                router.has_joined()
                and router.text.count("event=endpoint_listed")
                >= len(self.engines)
                for router in self.routers
            )
        )

    async def stop(self) -> None:
        for router in self.routers:
            await router.end()
        for engine in self.engines:
            await engine.site.close()
        self.http.close()

    def pause_streams(self, after_events: int) -> None:
        for engine in self.engines:
            engine.faults.pause_after_events = after_events

    def coordinator(self) -> _Router:
        """Returns the coordinator that the first router has asked last."""
        line = _lines(self.routers[0].text, "home_chosen")[-1]
        number = re.search(r"vm=vm-(\d)", line).group(1)
        return self.routers[int(number)]

    async def open(self, router: _Router, attempt: str, **headers: str):
        named = {name.replace("_", "-"): text for name, text in headers.items()}
        return await self.http.call(
            router.host,
            router.port,
            "POST",
            _RESUMABLE,
            {
                **platform_site.CALLER_HEADERS,
                "Attempt-Id": attempt,
                **named,
            },
            b"ask",
            new_connection=True,
        )

    async def until_known(self, router: _Router, keys: set[str]) -> None:
        async with asyncio.timeout(10):
            known: set[str] = set()
            while not keys <= known:
                known = await self._known_keys(router)

    async def _known_keys(self, router: _Router) -> set[str]:
        message = origin_wire.OriginMessage(pool="llm", asks=True)
        response = await self.http.call(
            router.host,
            self.peer_port,
            "POST",
            peers.STREAM_ORIGINS_PATH,
            {"Content-Type": "application/json"},
            codec.encode(message),
        )
        body = await response.read(1 << 20)
        answer = codec.decode(origin_wire.OriginAnswer, body)
        return {origin.key for origin in answer.begun}

    def version_of(self, attempt: str) -> str:
        (version,) = {
            engine.version for engine in self.engines if attempt in engine.runs
        }
        return version


@contextlib.asynccontextmanager
async def _running(folder: pathlib.Path):
    fleet = _Fleet()
    with contextlib.ExitStack() as ports:
        try:
            await fleet.start(folder, ports)
            yield fleet
        finally:
            await fleet.stop()


class TestKilledTogether:
    """The VM that relays streams and the pool's coordinator are killed."""

    def test_streams_go_on_at_the_version_that_began_them(
        self, tmp_path: pathlib.Path
    ):
        """Guards against origins that only the killed processes knew."""

        async def scenario():
            async with _running(tmp_path) as fleet:
                first = await fleet.open(fleet.routers[0], "first")
                await first.read(1 << 20)
                fleet.pause_streams(_PAUSED_AFTER)
                coordinator = fleet.coordinator()
                serving, *survivors = [
                    router
                    for router in fleet.routers
                    if router is not coordinator
                ]
                keys, responses = set(), []
                for number in range(_STREAMS):
                    attempt = f"a{number}"
                    response = await fleet.open(serving, attempt)
                    await platform_site.read_until(
                        response,
                        platform_site.stream(_PAUSED_AFTER, _PAUSED_AFTER),
                    )
                    keys.add(stream_origins.key_of("", attempt))
                    responses.append(response)
                for router in survivors:
                    await fleet.until_known(router, keys)
                await asyncio.gather(coordinator.end(), serving.end())
                for response in responses:
                    response.close()
                fleet.pause_streams(0)
                resumed = []
                for number in range(_STREAMS):
                    response = await fleet.open(
                        survivors[number % len(survivors)],
                        f"b{number}",
                        Last_Event_Id=str(_PAUSED_AFTER),
                        Resumes=f"a{number}",
                    )
                    resumed.append(
                        (response.status, await response.read(1 << 20))
                    )
                versions = [
                    (fleet.version_of(f"a{n}"), fleet.version_of(f"b{n}"))
                    for n in range(_STREAMS)
                ]
                return resumed, versions

        resumed, versions = asyncio.run(scenario())
        expected = (200, platform_site.stream(_PAUSED_AFTER + 1))
        assert resumed == [expected] * _STREAMS
        assert all(began == went_on for began, went_on in versions)
        assert {began for began, _ in versions} == {"v1", "v2"}
