"""A small deployment for the scripts of the second review.

Router processes run by the commands of the deploy file, on loopback addresses.
The metadata store, the plain servers and the platform that starts, signals and
limits processes are stand-ins in the process of the script. They speak what
PROTOCOL.md and DEPLOY.md say and need nothing but the standard library.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import math
import os
import pathlib
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Exit codes of a script.
HELD = 0
BROKEN = 1
NOT_RUN = 2

HOST_NAME = "desk.example"
SERVERS = 4
SLOTS = 6
MEMORY_MB = 150
_ZONES = ("north", "south", "east")
_SETTINGS_PATH = "/etc/cowsliprill/settings.toml"
_START_TIMEOUT_S = 20.0
_END_TIMEOUT_S = 10.0
_MAX_HEAD_BYTES = 65_536
_PIECE_BYTES = 65_536
_SLOW_PIECE_BYTES = 16_384
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000
_VALUE = re.compile(r"\{\{([\w.]+)\|json\}\}")
_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)


def value_bytes(value: dict[str, Any]) -> int:
    """Returns the size of an item's value in the store."""
    return len(json.dumps(value))


def has_trouble() -> bool:
    """Returns whether the script is to cause its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to a file and to the output.

    Args:
      folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._begun_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line with the time since the start in seconds."""
        line = f"{time.monotonic() - self._begun_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Writes a line and prints it."""
        self.write(text)
        print(text)


@dataclasses.dataclass(frozen=True)
class Head:
    """Head of an HTTP message.

    Attributes:
      start: Its first line.
      fields: Header fields by name in lower case.
    """

    start: str
    fields: dict[str, str]

    @property
    def length(self) -> int:
        """Length of the body in bytes."""
        return int(self.fields.get("content-length", "0"))

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Reads the head of the next message of a connection."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    start, *lines = text.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(
        start, {name.strip().lower(): text.strip() for name, _, text in pairs}
    )


def response_head(status: str, length: int, **fields: str) -> bytes:
    """Returns the head of a response; `_` in names stands for `-`."""
    named = {name.replace("_", "-"): text for name, text in fields.items()}
    lines = [
        f"HTTP/1.1 {status}",
        f"Content-Length: {length}",
        *(f"{name}: {text}" for name, text in named.items()),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(host: str, serve: Serve) -> int:
    """Serves connections; returns the port."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, TimeoutError
        ):
            await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(handle, host, 0, limit=_MAX_HEAD_BYTES)
    return server.sockets[0].getsockname()[1]


class Store:
    """Metadata store with listings and watches."""

    def __init__(self) -> None:
        self._revision = 100
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()

    async def add_address(self, bytes_per_s: float = math.inf) -> str:
        """Starts to serve one machine; returns the address for it.

        Args:
          bytes_per_s: What the link of the machine carries.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            body = json.dumps(await self._answer(reader)).encode()
            head = response_head(
                "200 OK", len(body), Content_Type="application/json"
            )
            for begin in range(0, len(body), _SLOW_PIECE_BYTES):
                piece = body[begin : begin + _SLOW_PIECE_BYTES]
                writer.write(head + piece)
                head = b""
                await writer.drain()
                await asyncio.sleep(len(piece) / bytes_per_s)

        port = await listen("127.0.0.1", serve)
        return f"127.0.0.1:{port}"

    async def put(self, key: str, value: dict[str, Any]) -> None:
        """Writes an item."""
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self._revision,
            "created": self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._history.append(item)
        async with self._changed:
            self._changed.notify_all()

    async def _answer(self, reader: asyncio.StreamReader) -> dict[str, Any]:
        head = await read_head(reader)
        target = parse.urlsplit(head.start.split()[1])
        query = {
            name: texts[0]
            for name, texts in parse.parse_qs(target.query).items()
        }
        if target.path == "/kv-range":
            return self._listing(query)
        return await self._watch(query)

    def _listing(self, query: dict[str, str]) -> dict[str, Any]:
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(query["pathPrefix"])
            and key > query.get("after", "")
        ]
        return {"items": items, "truncated": False, "asOf": self._revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        def events() -> list[dict[str, Any]]:
            return [
                item
                for item in self._history
                if item["revision"] > int(query["after"])
                and item["key"].startswith(query["pathPrefix"])
            ]

        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(int(query["waitMs"]) / 1_000),
                self._changed,
            ):
                await self._changed.wait_for(events)
        return {"events": events(), "asOf": self._revision}


class PlainServers:
    """The servers of one plain service; each request gets a body of its size.

    The size of the body in bytes is the last part of the path.

    Args:
      record: Receives what is run.

    Attributes:
      runs: Number of runs by `Attempt-Id`.
      whole: Ids of the requests whose answer was taken from the server whole.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.runs: dict[str, int] = {}
        self.whole: set[str] = set()

    async def start(self, store: Store) -> None:
        """Starts the servers and lists them in the store."""
        for number in range(SERVERS):
            name = f"i-{number}"
            port = await listen("127.0.0.1", self._serving(name))
            entry = {
                "service": "desk",
                "address": f"127.0.0.1:{port}",
                "zone": _ZONES[number % len(_ZONES)],
                "version": "1",
                "slots": SLOTS,
                "state": "ready",
                "coldLeftMs": 0,
                "seqNo": 0,
            }
            await store.put(f"servers/{name}", entry)

    def _serving(self, name: str) -> Serve:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                head = await read_head(reader)
                await reader.readexactly(head.length)
                await self._answer(name, head, writer)

        return serve

    async def _answer(
        self, name: str, head: Head, writer: asyncio.StreamWriter
    ) -> None:
        attempt = head.fields.get("attempt-id", "")
        if head.fields.get("expected-instance") != name:
            writer.write(
                response_head("421 Misdirected", 0, Attempt_Id=attempt)
            )
            await writer.drain()
            return
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self._record.write(f"server {name} runs {attempt}")
        size = int(head.start.split()[1].rpartition("/")[2])
        writer.write(
            response_head(
                "200 OK",
                size,
                Attempt_Id=attempt,
                Instance_Signature=f"signed-by-{name}",
            )
        )
        for begin in range(0, size, _PIECE_BYTES):
            piece = min(_PIECE_BYTES, size - begin)
            writer.write(b"x" * piece)
            await writer.drain()
        self.whole.add(attempt)


def configuration() -> dict[str, Any]:
    """Returns the first configuration."""

    def route(path: str, kind: str) -> dict[str, Any]:
        return {
            "name": path.strip("/"),
            "host": HOST_NAME,
            "pathPrefix": path,
            "type": kind,
            "timeoutMs": 14_000,
            "sloMs": 200,
            "priority": 2,
            "service": "desk",
            "maxAttempts": 2 if kind == "idempotent" else 1,
        }

    return {
        "version": 3,
        "routes": [
            route("/status/", "idempotent"),
            route("/pickup/", "non_idempotent"),
        ],
        "services": [
            {"name": "desk", "maxConns": 96, "healthPath": "/healthz"}
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


@dataclasses.dataclass
class Machine:
    """A machine of the deployment with its router process.

    Attributes:
      name: Name of the machine.
      ip: Its loopback address.
      settings: Fields that the platform fills into the template.
      file: Settings file of the process.
      process: The process, None before its first start.
      own_ends: How the process ended by itself, or by its memory limit.
    """

    name: str
    ip: str
    settings: dict[str, Any]
    file: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    own_ends: list[str] = dataclasses.field(default_factory=list)

    @property
    def front_port(self) -> int:
        """Port for clients."""
        return int(self.settings["listen"]["front"].rpartition(":")[2])

    @property
    def ready_port(self) -> int:
        """Port of the readiness check."""
        return int(self.settings["listen"]["ready"].rpartition(":")[2])

    def anonymous_bytes(self) -> int:
        """Returns the memory of the process without files that it maps."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        match = re.search(r"^RssAnon:\s+(\d+) kB", text, re.MULTILINE)
        return int(match[1]) * 1_024 if match else 0


class Site:
    """The deployment: store, servers, machines and platform.

    Args:
      folder: Folder of the case.
      machines: Number of machines.
      link_mbps: What the link of each machine carries from the store.

    Attributes:
      link_mbps: What the link of each machine carries from the store.
      record: Record of the run.
      store: The metadata store.
      servers: The plain servers.
      machines: The machines.
    """

    def __init__(
        self, folder: pathlib.Path, machines: int, link_mbps: float
    ) -> None:
        self.link_mbps = link_mbps
        self.record = Record(folder)
        self.store = Store()
        self.servers = PlainServers(self.record)
        self.machines: list[Machine] = []
        self._count = machines
        self._temporary = tempfile.TemporaryDirectory()
        self._deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]["router"]
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts all but the router processes."""
        await self.store.put("op/config", configuration())
        await self.servers.start(self.store)
        hosts = [f"127.0.0.{number + 1}" for number in range(self._count)]
        ports = _free_ports(hosts, 4)
        for number, host in enumerate(hosts):
            store = await self.store.add_address(
                self.link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE
            )
            machine = self._machine(number, host, hosts, ports)
            machine.settings["platform"] = {"address": store}
            self.write_settings(machine)
            self.machines.append(machine)

    def _machine(
        self, number: int, host: str, hosts: list[str], ports: list[int]
    ) -> Machine:
        front, ready, control, peers = ports
        name = f"edge-{_ZONES[number]}-1"
        settings = {
            "nodeName": name,
            "zone": _ZONES[number],
            "portRange": [peers, peers],
            "seeds": [f"{seed}:{control}" for seed in hosts],
            "bootstrap": True,
            "contracts": ["base", "drain", "config", "retry", "platform"],
            "listen": {
                "front": f"{host}:{front}",
                "ready": f"{host}:{ready}",
                "control": f"{host}:{control}",
            },
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": MEMORY_MB,
                "linkMbps": self.link_mbps,
            },
            "bounds": {
                "graceS": 8,
                "retryBudgetRatio": 0.2,
                "budgetSlack": 52,
            },
        }
        file = pathlib.Path(self._temporary.name) / f"{name}.toml"
        return Machine(name, host, settings, file)

    def write_settings(self, machine: Machine) -> None:
        """Fills the template of the deploy file, as the platform does."""
        template = (ROOT / self._deploy["template"]).read_text()
        text = _fill(template, machine.settings)
        unfinished = machine.file.with_suffix(".new")
        unfinished.write_text(text)
        unfinished.replace(machine.file)

    async def start_process(self, machine: Machine) -> None:
        """Starts the process of a machine by the command of the deploy file."""
        words = shlex.split(self._deploy["run"])
        words = [
            str(machine.file) if word == _SETTINGS_PATH else word
            for word in words
        ]
        machine.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "COWSLIPRILL_NODE_FILE": str(machine.file),
            },
            stdout=asyncio.subprocess.DEVNULL,
            preexec_fn=_restore_signals,
        )
        self.record.write(f"platform starts {machine.name}")

    def keep_running(self, machine: Machine, pause_s: float = 0.5) -> None:
        """Restarts the process of a machine whenever it ends by itself."""
        self._tasks.append(
            asyncio.create_task(self._restart_at_end(machine, pause_s))
        )

    async def _restart_at_end(self, machine: Machine, pause_s: float) -> None:
        while True:
            code = await machine.process.wait()
            if self._stopping:
                return
            machine.own_ends.append(f"exit code {code}")
            self.record.write(f"{machine.name} ends by itself: code {code}")
            await asyncio.sleep(pause_s)
            await self.start_process(machine)

    async def until_ready(self, machine: Machine) -> None:
        """Waits until the readiness check of a machine succeeds.

        Raises:
          TimeoutError: It doesn't.
        """
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self._is_ready(machine):  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def _is_ready(self, machine: Machine) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                machine.ip, machine.ready_port
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            return (await read_head(reader)).status == 200
        except (ConnectionError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def stop(self) -> None:
        """Ends all processes that were started."""
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await asyncio.wait_for(process.wait(), _END_TIMEOUT_S)
        self._temporary.cleanup()


def _restore_signals() -> None:
    """Gives a new process the default actions, whatever the script ignores."""
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_DFL)


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP on all hosts."""
    ports: list[int] = []
    while len(ports) < count:
        with contextlib.ExitStack() as held:
            first = held.enter_context(socket.socket())
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            try:
                for host in hosts:
                    if host != hosts[0]:
                        held.enter_context(socket.socket()).bind((host, port))
                    udp = socket.socket(type=socket.SOCK_DGRAM)
                    held.enter_context(udp).bind((host, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def _lookup(settings: dict[str, Any], path: str) -> Any:
    value: Any = settings
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _fill(template: str, settings: dict[str, Any]) -> str:
    """Fills the placeholders that the deploy file's template uses."""

    def section(match: re.Match[str]) -> str:
        is_shown = bool(_lookup(settings, match[2])) == (match[1] == "#")
        return match[3] if is_shown else ""

    text = _SECTION.sub(section, template)
    return _VALUE.sub(
        lambda match: json.dumps(_lookup(settings, match[1])), text
    )


class Client:
    """A client with one kept connection.

    Args:
      machine: Machine that it is connected to.
      record: Receives what is sent and answered.
      receive_buffer: Size of its receive buffer in bytes, 0 for the default.
    """

    def __init__(
        self, machine: Machine, record: Record, receive_buffer: int = 0
    ) -> None:
        self._machine = machine
        self._record = record
        self._receive_buffer = receive_buffer
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Opens the connection."""
        connection = socket.socket()
        if self._receive_buffer:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer
            )
        connection.setblocking(False)
        address = (self._machine.ip, self._machine.front_port)
        await asyncio.get_running_loop().sock_connect(connection, address)
        # The small limit makes the client read no more than it is asked to.
        self._reader, self._writer = await asyncio.open_connection(
            sock=connection, limit=8_192
        )

    async def send(
        self,
        method: str,
        path: str,
        attempt: str,
        body: bytes = b"",
        bytes_per_s: float = math.inf,
    ) -> Head:
        """Sends a request; returns the head of its response.

        Args:
          method: Its method.
          path: Its path.
          attempt: Its `Attempt-Id`.
          body: Its body.
          bytes_per_s: Rate at which the body is sent.
        """
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Attempt-Id: {attempt}",
            "Deadline-Ms: 14000",
            f"Content-Length: {len(body)}",
        ]
        self._record.write(f"client sends {attempt}: {lines[0]}")
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for begin in range(0, len(body), _PIECE_BYTES):
            piece = body[begin : begin + _PIECE_BYTES]
            self._writer.write(piece)
            await self._writer.drain()
            await asyncio.sleep(len(piece) / bytes_per_s)
        head = await read_head(self._reader)
        self._record.write(f"client gets {attempt}: {head.start}")
        return head

    async def read_body(
        self, length: int, pause: Callable[[int], float] = lambda _: 0.0
    ) -> int:
        """Reads a body.

        Args:
          length: Its length in bytes.
          pause: Returns how long to wait before the next read, in seconds, from
            the bytes read so far.

        Returns:
          The number of bytes read before the end of the connection.
        """
        size = 0
        while size < length:
            await asyncio.sleep(pause(size))
            try:
                piece = await self._reader.read(
                    min(_PIECE_BYTES, length - size)
                )
            except ConnectionError:
                return size
            if not piece:
                return size
            size += len(piece)
        return size

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, machines: int, link_mbps: float
) -> AsyncIterator[Site]:
    """Runs a deployment and ends it in any case."""
    site = Site(folder, machines, link_mbps)
    try:
        await site.start()
        yield site
    finally:
        await site.stop()


def run(
    folder: pathlib.Path,
    play: Callable[[Site], Awaitable[int]],
    machines: int,
    link_mbps: float = 1_000.0,
) -> None:
    """Plays a case and exits with its code.

    Args:
      folder: Folder of the case.
      play: Plays it; returns the exit code.
      machines: Number of machines.
      link_mbps: What the link of each machine carries.
    """

    async def play_all() -> int:
        async with running(folder, machines, link_mbps) as site:
            return await play(site)

    # Connections that are left at the end of the loop aren't worth a traceback.
    sys.unraisablehook = lambda _: None
    try:
        code = asyncio.run(play_all())
    except Exception as error:  # noqa: BLE001 an exit with 1 means a broken rule
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
