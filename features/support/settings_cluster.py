"""Platform and settings processes for the settings features.

VMs can use different platform stand-ins, so that the replica that one VM reads
can be down or stale while those of the other VMs work.
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

TIMEOUT_S = 30.0

_EXAMPLE = pathlib.Path("examples/both.json")


def call(method: str, url: str, value: Any = None, **headers: str) -> Any:
    """Sends JSON or bytes; returns the response's JSON, None if empty."""
    body = value
    if value is not None and not isinstance(value, bytes):
        body = json.dumps(value).encode()
    request = urllib.request.Request(url, body, headers, method=method)
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
        text = response.read()
    return json.loads(text) if text else None


def document(revision: int, priority: int = 10, by: str = "ann") -> dict:
    """Returns the example settings with this revision and brief priority."""
    tree = json.loads(_EXAMPLE.read_text(encoding="utf-8"))
    tree["revision"] = revision
    tree["published_by"] = by
    tree["users"]["umurongo"]["services"]["brief"]["priority"] = priority
    return tree


class Child:
    """A child process whose log lines are captured and can be awaited."""

    def __init__(self, *arguments: str) -> None:
        self.lines: list[str] = []
        self._skipped_count = 0
        self._lines_changed = threading.Condition()
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
        """The listening port of the process; blocks until it is logged."""
        line = self.wait_for("event=started")
        return int(re.search(r" port=(\d+)", line).group(1))

    @property
    def url(self) -> str:
        """The URL of the process."""
        return f"http://127.0.0.1:{self.port}"

    def _read(self) -> None:
        for line in self._process.stdout:
            with self._lines_changed:
                self.lines.append(line.rstrip())
                self._lines_changed.notify_all()

    def wait_for(self, pattern: str) -> str:
        """Waits for a log line that matches and returns the first one.

        Lines before the last `skip_current_lines` are ignored.
        """
        found: list[str] = []

        def has_match() -> bool:
            lines = self.lines[self._skipped_count :]
            matching_lines = (
                line for line in lines if re.search(pattern, line)
            )
            found.extend(matching_lines)
            return bool(found)

        with self._lines_changed:
            assert self._lines_changed.wait_for(has_match, TIMEOUT_S), (
                f"no {pattern!r} in:\n" + "\n".join(self.lines)
            )
        return found[0]

    def skip_current_lines(self) -> None:
        """Makes `wait_for` ignore the lines logged so far."""
        with self._lines_changed:
            self._skipped_count = len(self.lines)

    def captured_groups(self, pattern: str) -> list[str]:
        """Returns the pattern's first group for each line that matches."""
        with self._lines_changed:
            found = [re.search(pattern, line) for line in self.lines]
        return [match.group(1) for match in found if match]

    def send_signal(self, signum: int) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(signum)

    def terminate(self) -> None:
        """Sends SIGTERM, after SIGCONT in case the process is paused."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.terminate()

    def stop(self) -> None:
        """Terminates the process and kills it after a timeout."""
        self.terminate()
        try:
            self._process.wait(TIMEOUT_S)
        finally:
            self._process.kill()
            self._process.stdout.close()


def _vm_list_entry(vm: str, port: int) -> dict[str, Any]:
    return {
        "id": vm,
        "host": "127.0.0.1",
        "availability_zone": "gasabo",
        "role": "entry",
        "settings_port": port,
    }


@dataclasses.dataclass
class Cluster:
    """The platforms, VMs and follower processes of one scenario."""

    secret: str = "shared secret of the test"
    platforms: list[Child] = dataclasses.field(default_factory=list)
    vms: list[Child] = dataclasses.field(default_factory=list)
    followers: list[Child] = dataclasses.field(default_factory=list)
    folder: tempfile.TemporaryDirectory = dataclasses.field(
        default_factory=tempfile.TemporaryDirectory
    )

    def start_platforms(self, count: int) -> None:
        """Starts replicas of the platform and publishes revision 1."""
        for _ in range(count):
            self.platforms.append(Child("cowsliprill.standins", "platform"))
        self.publish(document(1))

    def start_vm(
        self, platform: int = 0, boot_peers: Sequence[str] = ()
    ) -> None:
        """Starts the settings process of a new VM."""
        number = len(self.vms)
        self.vms.append(
            self._start_settings(number, platform, boot_peers=list(boot_peers))
        )

    def replace_settings_process(self, number: int) -> None:
        """Restarts a VM's settings process on the same port."""
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

    def publish_vm_list(self, *leaving: str) -> None:
        """Publishes all VMs on every platform, and endpoint VMs that leave."""
        vms = [
            _vm_list_entry(f"vm{number}", vm.port)
            for number, vm in self._numbered_vms
        ]
        vms += [
            {**_vm_list_entry(name, 0), "role": "endpoint", "state": "leaving"}
            for name in leaving
        ]
        for platform in self.platforms:
            call("PUT", f"{platform.url}/standin/vms", vms)

    def publish_split_vm_lists(self) -> None:
        """Publishes on each platform only the VMs that read from it."""
        count = len(self.platforms)
        for platform_number, platform in enumerate(self.platforms):
            vms = [
                _vm_list_entry(f"vm{number}", vm.port)
                for number, vm in self._numbered_vms
                if number % count == platform_number
            ]
            call("PUT", f"{platform.url}/standin/vms", vms)

    @property
    def _numbered_vms(self) -> list[tuple[int, Child]]:
        return list(enumerate(self.vms))

    def publish(self, tree: dict, *numbers: int) -> None:
        """Publishes settings on the numbered platforms, by default all."""
        for number in numbers or range(len(self.platforms)):
            url = self.platforms[number].url
            call("PUT", f"{url}/standin/document", tree)

    def set_mode(self, number: int, **mode: Any) -> None:
        """Sets the fault mode of a platform."""
        call("POST", f"{self.platforms[number].url}/standin/mode", mode)

    def stop(self) -> None:
        """Stops all processes and removes the temporary directory."""
        children = [*self.followers, *self.vms, *self.platforms]
        for child in children:
            child.terminate()
        for child in children:
            child.stop()
        self.folder.cleanup()


def wait_until(condition: Any, description: str) -> None:
    """Polls until a condition holds, for states that are not logged."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, (
            f"timed out waiting until {description}"
        )
        time.sleep(0.05)
