"""Small deployment of real processes for the dispatch features.

Every process listens on a port that the kernel assigns.
"""

import json
import pathlib
import signal
import tempfile
import threading
from collections.abc import Callable
from typing import Any

from tools import child
from tools import held_ports
from tools import http_calls

_ZONE = "gasabo"
_TIMEOUT_S = 15.0


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Polls until the condition holds; raises AssertionError on a timeout."""
    pause = threading.Event()
    for _ in range(int(_TIMEOUT_S * 10)):
        if condition():
            return
        pause.wait(0.1)
    raise AssertionError(f"not within {_TIMEOUT_S} s: {description}")


class Vm:
    """A VM with its settings process and its dispatch process.

    Attributes:
      name: Id of the VM.
      settings: The settings process.
      dispatch: The dispatch process.
      entry_ports: Ports of the fake entry processes on the VM.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        platform: str,
        dispatch_port: int,
    ) -> None:
        self.name = name
        self._folder = folder
        self.entry_ports: list[int] = []
        self.settings = self._start(
            "settings",
            platform_url=platform,
            vm_list_url=f"{platform}/v1/vms",
        )
        self.dispatch_port = dispatch_port

    @property
    def settings_port(self) -> int:
        """Port of the settings process."""
        return _port(self.settings)

    @property
    def url(self) -> str:
        """URL of the dispatch process."""
        return f"http://127.0.0.1:{self.dispatch_port}"

    def start_dispatch(self) -> None:
        """Starts the dispatch process; a restart reuses the previous port."""
        self.dispatch = self._start(
            "dispatch",
            port=self.dispatch_port,
            settings_url=f"http://127.0.0.1:{self.settings_port}",
        )

    def wait_for_dispatch(self) -> None:
        """Waits until the dispatch process listens."""
        self.dispatch.wait_for_event("started")

    def vm_list_entry(self) -> dict[str, Any]:
        """Returns the VM's entry in the platform's VM list."""
        return {
            "id": self.name,
            "host": "127.0.0.1",
            "availability_zone": _ZONE,
            "role": "entry",
            "settings_port": self.settings_port,
            "dispatch_port": self.dispatch_port,
            "entry_ports": self.entry_ports,
        }

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal to both processes, for example to pause the VM."""
        self.settings.send_signal(signum)
        self.dispatch.send_signal(signum)

    def _start(self, kind: str, **fields: Any) -> child.Child:
        path = self._folder / f"{self.name}-{kind}.json"
        common_fields = {
            "vm": self.name,
            "availability_zone": _ZONE,
            "process": kind,
        }
        path.write_text(
            json.dumps({**common_fields, **fields}), encoding="utf-8"
        )
        module = f"cowsliprill.{kind}"
        return child.Child(f"{kind}.{self.name}", module, [str(path)])


class Site:
    """A platform, VMs, engines and fake entry processes.

    Attributes:
      vms_by_name: The VMs by id.
      engines_by_id: Processes of the engine stand-ins.
      entries_by_incarnation: Fake entry processes.
    """

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self._held_ports = held_ports.HeldPorts("127.0.0.1")
        self._folder = pathlib.Path(self._temporary.name)
        self._platform = child.Child(
            "platform", "cowsliprill.standins", ["platform"]
        )
        port = int(self._platform.wait_for_event("started")["port"])
        self._platform_url = f"http://127.0.0.1:{port}"
        self.vms_by_name: dict[str, Vm] = {}
        self.engines_by_id: dict[str, child.Child] = {}
        self.entries_by_incarnation: dict[str, child.Child] = {}
        self._endpoint_settings_by_id: dict[str, dict[str, Any]] = {}
        self._revision = 0

    def add_vms(self, *names: str) -> None:
        """Starts the processes of VMs without publishing the VM list."""
        vms = [
            Vm(
                name,
                self._folder,
                self._platform_url,
                self._held_ports.take(),
            )
            for name in names
        ]
        self.vms_by_name.update(zip(names, vms, strict=True))
        for vm in vms:
            vm.start_dispatch()
        for vm in vms:
            vm.wait_for_dispatch()

    def add_entry(self, vm_name: str, process: str, nonce: str) -> str:
        """Starts a fake entry process on a VM and returns its incarnation.

        Its port stays reserved: if another process listened on the port of one
        that was killed, the port would tell nothing about its end.
        """
        incarnation = f"{vm_name}.{process}.{nonce}"
        entry = child.Child(
            incarnation,
            "features.support.fake_entry",
            [incarnation, str(self._held_ports.take())],
        )
        self.vms_by_name[vm_name].entry_ports.append(_port(entry))
        self.entries_by_incarnation[incarnation] = entry
        return incarnation

    def add_engine(self, name: str, role: str, *arguments: str) -> None:
        """Starts an engine stand-in and adds the engine to the settings."""
        engine = child.Child(
            name,
            "cowsliprill.standins",
            ["engine", f"--id={name}", f"--role={role}", *arguments],
        )
        self.engines_by_id[name] = engine
        self._endpoint_settings_by_id[name] = {
            "kind": role,
            "host": "127.0.0.1",
            "availability_zone": _ZONE,
            "slots": 20,
            "prefill_tokens_per_s": 20_000,
            "seconds_per_token": 0.2,
            "link_bytes_per_s": 100_000_000,
            "kv_bytes_per_token": 1_000,
        }

    def engine_url(self, name: str) -> str:
        """Returns the URL of an engine."""
        return f"http://127.0.0.1:{_port(self.engines_by_id[name])}"

    def publish_vm_list(self, *names: str) -> None:
        """Replaces the platform's VM list by the named VMs, by default all."""
        listed_names = names or tuple(self.vms_by_name)
        vms = [self.vms_by_name[name].vm_list_entry() for name in listed_names]
        self._put("/standin/vms", vms)

    def publish(self, **fields_by_engine: dict[str, Any]) -> int:
        """Updates fields of engines and publishes the next settings revision.

        Args:
          **fields_by_engine: Fields to change, by engine id.

        Returns:
          The published revision.
        """
        for name, fields in fields_by_engine.items():
            self._endpoint_settings_by_id[name].update(fields)
        for name, engine in self.engines_by_id.items():
            self._endpoint_settings_by_id[name]["port"] = _port(engine)
        self._revision += 1
        document = {
            "revision": self._revision,
            "published_by": "feature",
            "users": {},
            "pools": {"briefs": {"endpoints": self._endpoint_settings_by_id}},
        }
        self._put("/standin/document", document)
        return self._revision

    def wait_until_ready(self, *names: str) -> None:
        """Waits until the named VMs' dispatch processes are ready, or all."""
        for name in names or tuple(self.vms_by_name):
            url = f"{self.vms_by_name[name].url}/readyz"
            wait_until(
                lambda url=url: http_calls.call("GET", url).status == 200,
                f"{name} is ready",
            )

    def held_resources(self, engine: str) -> dict[str, int]:
        """Returns the slots, KV blocks and KV exports that an engine holds."""
        url = f"{self.engine_url(engine)}/standin/held"
        return http_calls.call("GET", url).json()

    def running_ids(self, engine: str) -> set[str]:
        """Returns the ids of the requests that an engine holds."""
        url = f"{self.engine_url(engine)}/v1/running"
        requests = http_calls.call("GET", url).json()["requests"]
        return {request["request_id"] for request in requests}

    def set_faults(self, engine: str, **fields: Any) -> None:
        """Sets the faults that an engine injects; no fields clear them."""
        url = f"{self.engine_url(engine)}/standin/misbehave"
        assert http_calls.call("POST", url, fields).status == 200

    def print_logs(self) -> None:
        """Prints the logs of the VMs' dispatch processes."""
        for vm in self.vms_by_name.values():
            print("\n".join(vm.dispatch.lines))

    def close(self) -> None:
        """Ends all processes and removes the temporary directory."""
        processes = [
            *self.entries_by_incarnation.values(),
            *self.engines_by_id.values(),
        ]
        for vm in self.vms_by_name.values():
            processes += [vm.dispatch, vm.settings]
        for process in [*processes, self._platform]:
            process.end()
        self._held_ports.close()
        self._temporary.cleanup()

    def _put(self, path: str, value: Any) -> None:
        response = http_calls.call("PUT", self._platform_url + path, value)
        assert response.status == 200, response.body


def _port(process: child.Child) -> int:
    return int(process.wait_for_event("started")["port"])
