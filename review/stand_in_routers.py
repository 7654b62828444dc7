"""Starts router processes with the command of the deploy file."""

import asyncio
import json
import os
import pathlib
import signal
import socket

ROOT = pathlib.Path(__file__).resolve().parents[1]
_COMMAND = ("python3", "-m", "cowsliprill.router")


def free_port(hosts):
    """Returns a port that is free at all hosts, over TCP and UDP."""
    while True:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return port


class Router:
    """One VM: its settings file and the process that runs on it.

    Attributes:
      settings: What deploy/settings.json renders to on this VM.
    """

    def __init__(self, folder, settings):
        self.settings = settings
        self.name = settings["vm"]
        self.host, _, port = settings["public"].rpartition(":")
        self.port = int(port)
        self._file = pathlib.Path(folder) / f"{self.name}.json"
        self._log = pathlib.Path(folder) / f"{self.name}.log"
        self._process = None

    def write_settings(self):
        self._file.write_text(json.dumps(self.settings))

    async def start(self):
        self.write_settings()
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *_COMMAND,
                str(self._file),
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
            )

    def signal(self, number):
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def ended(self):
        """Waits for the end of the process."""
        if self._process is not None:
            await self._process.wait()

    async def kill(self):
        """Kills the process and waits for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.ended()

    def log_text(self):
        return self._log.read_text() if self._log.exists() else ""

    async def until_ready(self, timeout_s=30.0):
        """Asks the ready address, as the platform does, until it says 200."""
        from review import stand_in_http as http

        host, _, port = self.settings["ready"].rpartition(":")
        async with asyncio.timeout(timeout_s):
            while True:
                status, _, _ = await http.call(
                    host, int(port), "GET", "/readyz", {"Host": host}
                )
                if status == 200:
                    return
                await asyncio.sleep(0.05)
