"""Real processes for the features about settings: platforms and VMs.

Each VM may be given a platform stand-in of its own, so that one VM's replica
of the platform can be down or stale while the others' is not.
"""

import dataclasses
import functools
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from collections.abc import Sequence
from typing import Any

PATIENCE_S = 30.0

_EXAMPLE = pathlib.Path("examples/both.json")


def call(method: str, url: str, value: Any = None, **headers: str) -> Any:
    """Calls a URL with JSON and returns the answer's JSON, None if empty."""
    body = value
    if value is not None and not isinstance(value, bytes):
        body = json.dumps(value).encode()
    request = urllib.request.Request(url, body, headers, method=method)
    with urllib.request.urlopen(request, timeout=PATIENCE_S) as reply:
        text = reply.read()
    return json.loads(text) if text else None


def document(revision: int, priority: int = 10, by: str = "ann") -> dict:
    """Returns the example settings with a number and one changed value."""
    tree = json.loads(_EXAMPLE.read_text(encoding="utf-8"))
    tree["revision"] = revision
    tree["published_by"] = by
    tree["users"]["umurongo"]["services"]["brief"]["priority"] = priority
    return tree


class Child:
    """A process whose log lines can be waited for."""

    def __init__(self, *arguments: str) -> None:
        self.lines: list[str] = []
        self._forgotten = 0
        self._grown = threading.Condition()
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={**os.environ, "PYTHONPATH": "src:."},
        )
        threading.Thread(target=self._read, daemon=True).start()

    @functools.cached_property
    def port(self) -> int:
        """The port it listens on; waits until it does."""
        line = self.wait_for("event=started")
        return int(re.search(r" port=(\d+)", line).group(1))

    @property
    def url(self) -> str:
        """Its URL."""
        return f"http://127.0.0.1:{self.port}"

    def _read(self) -> None:
        for line in self._process.stdout:
            with self._grown:
                self.lines.append(line.rstrip())
                self._grown.notify_all()

    def wait_for(self, pattern: str) -> str:
        """Returns the first log line since `forget` that fits."""
        found: list[str] = []

        def fits() -> bool:
            lines = self.lines[self._forgotten :]
            fitting = (line for line in lines if re.search(pattern, line))
            found.extend(fitting)
            return bool(found)

        with self._grown:
            assert self._grown.wait_for(fits, PATIENCE_S), (
                f"no {pattern!r} in:\n" + "\n".join(self.lines)
            )
        return found[0]

    def forget(self) -> None:
        """Makes `wait_for` pass over the lines so far."""
        with self._grown:
            self._forgotten = len(self.lines)

    def matching(self, pattern: str) -> list[str]:
        """Returns what the pattern's group holds in each line that fits."""
        with self._grown:
            found = [re.search(pattern, line) for line in self.lines]
        return [match.group(1) for match in found if match]

    def signal(self, number: int) -> None:
        """Sends a signal."""
        self._process.send_signal(number)

    def terminate(self) -> None:
        """Tells the process to end, also if it is paused."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.terminate()

    def stop(self) -> None:
        """Ends the process."""
        self.terminate()
        try:
            self._process.wait(PATIENCE_S)
        finally:
            self._process.kill()
            self._process.stdout.close()


def _listed(vm: str, port: int) -> dict[str, Any]:
    return {
        "id": vm,
        "host": "127.0.0.1",
        "availability_zone": "gasabo",
        "role": "entry",
        "settings_port": port,
    }


@dataclasses.dataclass
class Cluster:
    """Platforms and VMs of one scenario."""

    secret: str = "shared secret of the test"
    platforms: list[Child] = dataclasses.field(default_factory=list)
    vms: list[Child] = dataclasses.field(default_factory=list)
    followers: list[Child] = dataclasses.field(default_factory=list)
    folder: tempfile.TemporaryDirectory = dataclasses.field(
        default_factory=tempfile.TemporaryDirectory
    )

    def start_platforms(self, count: int) -> None:
        """Starts replicas of the platform that hold revision 1."""
        for _ in range(count):
            self.platforms.append(Child("cowsliprill.standins", "platform"))
        self.publish(document(1))

    def start_vm(
        self, platform: int = 0, boot_peers: Sequence[str] = ()
    ) -> None:
        """Starts a VM's settings process."""
        number = len(self.vms)
        self.vms.append(
            self._start_settings(number, platform, boot_peers=list(boot_peers))
        )

    def replace_settings_process(self, number: int) -> None:
        """Ends a VM's settings process and starts it anew at its port."""
        port = self.vms[number].port
        self.vms[number].stop()
        platform = number % len(self.platforms)
        self.vms[number] = self._start_settings(number, platform, port=port)

    def start_follower(self, number: int) -> None:
        """Starts a process that follows a VM's settings process."""
        path = self._write_environment(
            f"vm{number}", "follower", settings_url=self.vms[number].url
        )
        self.followers.append(
            Child("features.support.follower_process", str(path))
        )

    def _start_settings(
        self, number: int, platform: int, **options: Any
    ) -> Child:
        url = self.platforms[platform].url
        path = self._write_environment(
            f"vm{number}",
            "settings",
            platform_url=url,
            vm_list_url=f"{url}/v1/vms",
            seed=number,
            **options,
        )
        return Child("cowsliprill.settings", str(path))

    def _write_environment(
        self, vm: str, process: str, **options: Any
    ) -> pathlib.Path:
        environment = {
            "vm": vm,
            "availability_zone": "gasabo",
            "process": process,
            "peer_secret": self.secret,
            **options,
        }
        path = pathlib.Path(self.folder.name) / f"{vm}-{process}.json"
        path.write_text(json.dumps(environment), encoding="utf-8")
        return path

    def put_list(self, *leaving: str) -> None:
        """Puts all VMs into the platforms' lists, and some that leave."""
        vms = [_listed(f"vm{number}", vm.port) for number, vm in self._numbered]
        vms += [
            {**_listed(name, 0), "role": "endpoint", "state": "leaving"}
            for name in leaving
        ]
        for platform in self.platforms:
            call("PUT", f"{platform.url}/standin/vms", vms)

    def put_half_lists(self) -> None:
        """Puts into each platform's list only the VMs that read from it."""
        count = len(self.platforms)
        for half, platform in enumerate(self.platforms):
            vms = [
                _listed(f"vm{number}", vm.port)
                for number, vm in self._numbered
                if number % count == half
            ]
            call("PUT", f"{platform.url}/standin/vms", vms)

    @property
    def _numbered(self) -> list[tuple[int, Child]]:
        return list(enumerate(self.vms))

    def publish(self, tree: dict, *numbers: int) -> None:
        """Publishes settings on all platforms, or on some."""
        for number in numbers or range(len(self.platforms)):
            url = self.platforms[number].url
            call("PUT", f"{url}/standin/document", tree)

    def set_mode(self, number: int, **mode: Any) -> None:
        """Makes a platform misbehave."""
        call("POST", f"{self.platforms[number].url}/standin/mode", mode)

    def stop(self) -> None:
        """Ends all processes."""
        children = [*self.followers, *self.vms, *self.platforms]
        for child in children:
            child.terminate()
        for child in children:
            child.stop()
        self.folder.cleanup()


def wait_until(holds: Any, what: str) -> None:
    """Asks until something holds; for states that no log line tells."""
    ends_at = time.monotonic() + PATIENCE_S
    while not holds():
        assert time.monotonic() < ends_at, f"never: {what}"
        time.sleep(0.05)
