"""Router processes with a fake store and fake engines, for tests."""

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
from cowsliprill.engines import http_client
from cowsliprill.pool_scheduling import origin_wire

RESUMABLE = platform_site.RESUMABLE_PATH
_SEEDS = 3
# Many processes share the processors of one machine.
_START_TIMEOUT_S = 60.0
_END_TIMEOUT_S = 20.0


def lines(text: str, event: str) -> list[str]:
    """Returns the log lines of an event."""
    return [line for line in text.splitlines() if f"event={event} " in line]


async def start_process(file: pathlib.Path) -> asyncio.subprocess.Process:
    """Starts a router process.

    Args:
      file: Its configuration.
    """
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cowsliprill.router",
        str(file),
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": "src"},
    )


class Router:
    """A router process and the output received from it so far.

    Args:
      process: The process.
      public: Address for callers.

    Attributes:
      process: The process.
      text: Its output so far.
      host: IP address for callers.
      port: TCP port for callers.
    """

    def __init__(
        self, process: asyncio.subprocess.Process, public: str
    ) -> None:
        self.process = process
        self.text = ""
        self.host, _, port = public.rpartition(":")
        self.port = int(port)
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while chunk := await self.process.stdout.read(65_536):
            self.text += chunk.decode()

    async def until(self, text: str) -> None:
        """Waits until the process has written a text."""
        await platform_site.until(lambda: text in self.text)

    def has_joined(self, routers: int) -> bool:
        """Returns whether it takes all others for routers that serve."""
        changes = lines(self.text, "members_changed")
        expected = f"alive={routers} joined="
        return bool(changes) and (
            expected in changes[-1] and 'joining="[]"' in changes[-1]
        )

    def lists(self, engines: int) -> bool:
        """Returns whether it has listed so many engines."""
        named = self.text.count("event=endpoint_listed ")
        counted = lines(self.text, "endpoints_listed")
        if counted:
            counts = re.findall(r'": (\d+)', counted[-1].replace("\\", ""))
            named += sum(map(int, counts))
        return named >= engines

    def send_signal(self, number: int) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: int = signal.SIGKILL) -> int:
        """Sends a signal and waits for the end of the process.

        Returns:
          The exit code.
        """
        self.send_signal(number)
        code = await asyncio.wait_for(self.process.wait(), _END_TIMEOUT_S)
        await self._reading
        return code


class Fleet:
    """Router processes, with engines in this process.

    Args:
      routers: Number of routers.
      engines: Name, stage and software version of each engine.
      folder: Folder for the routers' configuration.

    Attributes:
      store: Store of settings and engines.
      engines: The engines.
      routers: The routers that run.
      peer_port: Port for calls between routers.
      http: HTTP client of the callers.
    """

    def __init__(
        self,
        routers: int,
        engines: list[tuple[str, str, str]],
        folder: pathlib.Path,
    ) -> None:
        self.store = platform_site.Store()
        self.engines = [
            platform_site.Engine(name, "llm", stage, version)
            for name, stage, version in engines
        ]
        self.routers: list[Router] = []
        self.peer_port = 0
        self.http = http_client.HttpClient()
        self._files: list[pathlib.Path] = []
        self._folder = folder
        self._hosts = [f"127.0.0.{number}" for number in range(1, routers + 1)]

    async def start(self, ports: contextlib.ExitStack) -> None:
        """Starts the routers and waits until all serve."""
        await self.store.put("op/config", platform_site.config())
        for engine in self.engines:
            await self.store.put(f"servers/{engine.name}", engine.entry())
        self._write_configs(ports)
        await self.start_routers()
        await self.until_joined()

    def _write_configs(self, ports: contextlib.ExitStack) -> None:
        def free_port() -> int:
            return ports.enter_context(platform_site.hold_port()).port

        self.peer_port = free_port()
        public, ready = free_port(), free_port()
        for number, host in enumerate(self._hosts):
            config = {
                "vm": f"vm-{number}",
                "availability_zone": "gasabo",
                "public": f"{host}:{public}",
                "ready": f"{host}:{ready}",
                "peer_ports": [self.peer_port, 0],
                "seeds": [f"{host}:1" for host in self._hosts[:_SEEDS]],
                "store": self.store.address,
            }
            file = self._folder / f"vm-{number}.json"
            file.write_text(json.dumps(config))
            self._files.append(file)

    async def start_routers(self) -> None:
        """Starts a process for each router."""
        for file in self._files:
            config = json.loads(file.read_text())
            process = await start_process(file)
            self.routers.append(Router(process, config["public"]))

    async def until_joined(self) -> None:
        """Waits until all routers serve and know each other."""
        count = len(self.routers)
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not all(  # noqa: ASYNC110 logs offer no events
                router.has_joined(count) and router.lists(len(self.engines))
                for router in self.routers
            ):
                await asyncio.sleep(0.05)

    async def until_serving(self) -> None:
        """Waits until all routers are ready and have listed engines."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not all(  # noqa: ASYNC110 logs offer no events
                lines(router.text, "ready") and router.lists(1)
                for router in self.routers
            ):
                await asyncio.sleep(0.05)

    async def end_routers(self) -> None:
        """Kills all routers at once."""
        for router in self.routers:
            router.send_signal(signal.SIGKILL)
        for router in self.routers:
            await router.end()
        self.routers.clear()

    async def stop(self) -> None:
        await self.end_routers()
        for engine in self.engines:
            await engine.site.close()
        self.http.close()

    def pause_streams(self, after_events: int) -> None:
        for engine in self.engines:
            engine.faults.pause_after_events = after_events

    def coordinator(self) -> Router:
        """Returns the coordinator that the first router has asked last."""
        line = lines(self.routers[0].text, "home_chosen")[-1]
        number = re.search(r"vm=vm-(\d+)", line).group(1)
        return self.routers[int(number)]

    async def open(self, router: Router, attempt: str, **headers: str):
        named = {name.replace("_", "-"): text for name, text in headers.items()}
        return await self.http.call(
            router.host,
            router.port,
            "POST",
            RESUMABLE,
            {
                **platform_site.CALLER_HEADERS,
                "Attempt-Id": attempt,
                **named,
            },
            b"ask",
            new_connection=True,
        )

    async def until_known(self, router: Router, keys: set[str]) -> None:
        async with asyncio.timeout(10):
            known: set[str] = set()
            while not keys <= known:
                known = await self._known_keys(router)

    async def _known_keys(self, router: Router) -> set[str]:
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
        """Returns the version that ran an attempt, empty if none did."""
        versions = {
            engine.version for engine in self.engines if attempt in engine.runs
        }
        assert len(versions) <= 1
        return versions.pop() if versions else ""


@contextlib.asynccontextmanager
async def running(
    routers: int,
    engines: list[tuple[str, str, str]],
    folder: pathlib.Path,
):
    """Runs a fleet for the duration of one test."""
    fleet = Fleet(routers, engines, folder)
    with contextlib.ExitStack() as ports:
        try:
            await fleet.start(ports)
            yield fleet
        finally:
            await fleet.stop()
