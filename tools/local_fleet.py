"""Local fleet: endpoint stand-ins and all router processes on one machine.

The demonstration, the feature tests and the benchmark use the fleet. The kernel
assigns the ports; the fleet holds them, so that a process finds its port free
when it restarts.
"""

import copy
import dataclasses
import json
import pathlib
import signal
import tempfile
from typing import Any

from tools import child
from tools import fleet_document
from tools import held_ports
from tools import http_calls

HOST = "127.0.0.1"
_PEER_SECRET = "local-fleet"


@dataclasses.dataclass(slots=True)
class LocalVm:
    """VM of the local fleet, a group of processes on this machine.

    Attributes:
      id: ID of the VM.
      availability_zone: Availability zone in the VM list.
      state: `live` or `leaving`, the state to publish in the VM list.
      ports_by_process: Peer ports by process name, e.g. `settings`, `e0`.
      public_port: Port that the VM's entry processes share for callers.
    """

    id: str
    availability_zone: str
    state: str = "live"
    ports_by_process: dict[str, int] = dataclasses.field(default_factory=dict)
    public_port: int = 0


def _module_of(name: str) -> str:
    return f"cowsliprill.{'entry' if name.startswith('e') else name}"


class LocalFleet:
    """Starts, signals and stops the processes of one local fleet.

    The fleet is a context manager that kills all its processes on exit.

    Args:
      document: Settings, as in examples/; hosts, ports and keys are replaced.
      entries: Number of entry processes per VM.
      drain_notice_s: Seconds for which a draining entry process still accepts
        connections.
      plain_call_s: Duration of a call to a plain service in seconds.
      ends_on: Text in a request on which endpoints end, empty for none.

    Attributes:
      document: Current settings, sent by `publish`.
      vms_by_id: VMs by ID.
      children_by_name: Child processes by name: `platform`, an endpoint's ID,
        or `<vm>.<process>`.
    """

    def __init__(
        self,
        document: dict[str, Any],
        *,
        entries: int = 1,
        drain_notice_s: float = 0.0,
        plain_call_s: float = 0.01,
        ends_on: str = "",
    ) -> None:
        self.document = copy.deepcopy(document)
        self.vms_by_id: dict[str, LocalVm] = {}
        self.children_by_name: dict[str, child.Child] = {}
        self._entries = entries
        self._drain_notice_s = drain_notice_s
        self._plain_call_s = plain_call_s
        self._ends_on = ends_on
        self._held_ports = held_ports.HeldPorts(HOST)
        self._arguments_by_endpoint: dict[str, list[str]] = {}
        self._config_folder = tempfile.TemporaryDirectory()
        self._platform_port = self._held_ports.take()

    def __enter__(self) -> "LocalFleet":
        return self

    def __exit__(self, *unused: object) -> None:
        for process in self.children_by_name.values():
            process.end()
        self._held_ports.close()
        self._config_folder.cleanup()

    # --- Starting ---------------------------------------------------------

    def start(self, vms: int = 1) -> None:
        """Starts the stand-ins and the VMs and waits until all VMs are ready.

        Args:
          vms: Number of VMs, spread over the availability zones in turn.
        """
        self.start_platform()
        self.start_endpoints()
        self.publish()
        zones = self.availability_zones()
        for number in range(vms):
            self.start_vm(f"vm-{number}", zones[number % len(zones)])
        self.publish_vms()
        for vm_id in self.vms_by_id:
            self.wait_until_ready(vm_id)

    def start_platform(self) -> None:
        """Starts the platform's stand-in; a restart reuses its port."""
        process = self._start_child(
            "platform",
            "cowsliprill.standins",
            ["platform", "--port", str(self._platform_port)],
        )
        process.wait_for_event("started")

    def start_endpoints(self) -> None:
        """Starts a stand-in per endpoint and sets its address in `document`."""
        for pool in self.document["pools"].values():
            defaults = pool.get("endpoint_defaults", {})
            for endpoint_id, endpoint in pool["endpoints"].items():
                arguments = fleet_document.standin_arguments(
                    endpoint_id, {**defaults, **endpoint}, self._plain_call_s
                )
                arguments += ["--port", str(self._held_ports.take())]
                if self._ends_on:
                    arguments += ["--ends-on", self._ends_on]
                self._arguments_by_endpoint[endpoint_id] = arguments
                self._start_child(
                    endpoint_id, "cowsliprill.standins", arguments
                )
        for pool in self.document["pools"].values():
            for endpoint_id, endpoint in pool["endpoints"].items():
                process = self.children_by_name[endpoint_id]
                started = process.wait_for_event("started")
                endpoint["host"] = HOST
                endpoint["port"] = int(started["port"])
        fleet_document.set_api_keys(self.document["users"])

    def start_vm(self, vm_id: str, availability_zone: str) -> LocalVm:
        """Starts the processes of a VM without publishing the VM list.

        Args:
          vm_id: ID of the VM; a previously used ID replaces the earlier VM.
          availability_zone: Availability zone of the VM.

        Returns:
          The VM, with the ports of its processes.
        """
        vm = LocalVm(
            vm_id, availability_zone, public_port=self._held_ports.take()
        )
        peers = [
            f"http://{HOST}:{other.ports_by_process['settings']}"
            for other in self.vms_by_id.values()
        ]
        self.vms_by_id[vm_id] = vm
        platform = f"http://{HOST}:{self._platform_port}"
        self.start_process(
            vm,
            "settings",
            platform_url=platform,
            vm_list_url=f"{platform}/v1/vms",
            boot_peers=peers,
        )
        # The first entry process must bind the port before others can share it.
        for names in self._start_order():
            for name in names:
                self._launch_process(vm, name)
            for name in names:
                self._record_ports(vm, name)
        return vm

    def _start_order(self) -> list[list[str]]:
        others = [f"e{number}" for number in range(1, self._entries)]
        return [["dispatch", "e0"], others]

    def start_process(
        self, vm: LocalVm, name: str, **extra_fields: Any
    ) -> None:
        """Starts one process of a VM and waits until it reports its ports.

        Args:
          vm: VM that the process belongs to.
          name: `settings`, `dispatch`, or `e<number>`.
          **extra_fields: Additional fields of the process's config file.
        """
        self._launch_process(vm, name, **extra_fields)
        self._record_ports(vm, name)

    def restart_process(self, vm_id: str, name: str) -> None:
        """Restarts a process on its previous ports.

        Args:
          vm_id: ID of the VM.
          name: `settings`, `dispatch`, or `e<number>`.

        Raises:
          ChildError: The process didn't start.
        """
        vm = self.vms_by_id[vm_id]
        path = self._config_path(vm, name)
        self._start_child(f"{vm.id}.{name}", _module_of(name), [str(path)])
        self._record_ports(vm, name)

    def _launch_process(
        self, vm: LocalVm, name: str, **extra_fields: Any
    ) -> None:
        fields = {
            "vm": vm.id,
            "availability_zone": vm.availability_zone,
            "process": name,
            "host": HOST,
            "port": self._held_ports.take(),
            "peer_secret": _PEER_SECRET,
            "drain_notice_s": self._drain_notice_s,
            **extra_fields,
        }
        if name != "settings":
            port = vm.ports_by_process["settings"]
            fields["settings_url"] = f"http://{HOST}:{port}"
        if name.startswith("e"):
            fields["public_port"] = vm.public_port
        path = self._config_path(vm, name)
        path.write_text(json.dumps(fields), encoding="utf-8")
        self._start_child(f"{vm.id}.{name}", _module_of(name), [str(path)])

    def _config_path(self, vm: LocalVm, name: str) -> pathlib.Path:
        return pathlib.Path(self._config_folder.name, f"{vm.id}.{name}.json")

    def _record_ports(self, vm: LocalVm, name: str) -> None:
        process = self.children_by_name[f"{vm.id}.{name}"]
        started = process.wait_for_event("started")
        vm.ports_by_process[name] = int(started["port"])
        if name.startswith("e"):
            vm.public_port = int(started["public_port"])

    def restart_endpoint(self, endpoint_id: str) -> None:
        """Starts an endpoint that has ended again, on its port."""
        process = self._start_child(
            endpoint_id,
            "cowsliprill.standins",
            self._arguments_by_endpoint[endpoint_id],
        )
        process.wait_for_event("started")

    def _start_child(
        self, name: str, module: str, arguments: list[str]
    ) -> child.Child:
        previous = self.children_by_name.get(name)
        if previous is not None:
            previous.end()
        process = child.Child(name, module, arguments)
        self.children_by_name[name] = process
        return process

    # --- Publishing -------------------------------------------------------

    def publish(self, document: dict[str, Any] | None = None) -> None:
        """Publishes settings through the platform's stand-in.

        Args:
          document: New settings; None publishes the current document.
        """
        if document is not None:
            self.document = document
        self.platform("PUT", "/standin/document", self.document)

    def publish_vms(self) -> None:
        """Publishes the list of all VMs through the platform's stand-in."""
        vms = [self._vm_list_entry(vm) for vm in self.vms_by_id.values()]
        self.platform("PUT", "/standin/vms", vms)

    def _vm_list_entry(self, vm: LocalVm) -> dict[str, Any]:
        ports = vm.ports_by_process
        return {
            "id": vm.id,
            "host": HOST,
            "availability_zone": vm.availability_zone,
            "role": "entry",
            "state": vm.state,
            "settings_port": ports["settings"],
            "dispatch_port": ports["dispatch"],
            "entry_ports": [
                port
                for name, port in ports.items()
                if name not in {"settings", "dispatch"}
            ],
        }

    def platform(self, method: str, path: str, body: Any = None) -> Any:
        """Sends a request to the platform's stand-in.

        Args:
          method: HTTP method.
          path: Path and query of the URL.
          body: Value to send as JSON.

        Returns:
          The response body parsed as JSON, or None if the body is empty.

        Raises:
          ChildError: The response has a status of 300 or above.
        """
        url = f"http://{HOST}:{self._platform_port}{path}"
        return self._checked_json(http_calls.call(method, url, body))

    def standin(
        self, endpoint_id: str, method: str, path: str, body: Any = None
    ) -> Any:
        """Sends a request to an endpoint's stand-in.

        Args:
          endpoint_id: ID of the endpoint.
          method: HTTP method.
          path: Path and query of the URL.
          body: Value to send as JSON.

        Returns:
          The response body parsed as JSON, or None if the body is empty.

        Raises:
          ChildError: No such endpoint, or a status of 300 or above.
        """
        url = f"{self.endpoint_url(endpoint_id)}{path}"
        return self._checked_json(http_calls.call(method, url, body))

    def _checked_json(self, response: http_calls.HttpResponse) -> Any:
        if response.status >= 300:
            raise child.ChildError(f"{response.status}: {response.body!r}")
        return response.json() if response.body else None

    # --- Addresses and readiness ------------------------------------------

    def availability_zones(self) -> list[str]:
        """Lists the distinct availability zones of the endpoints."""
        return fleet_document.availability_zones(self.document)

    def endpoint_url(self, endpoint_id: str) -> str:
        """Returns the URL of an endpoint's stand-in.

        Raises:
          ChildError: The settings have no such endpoint.
        """
        for pool in self.document["pools"].values():
            if endpoint_id in pool["endpoints"]:
                port = pool["endpoints"][endpoint_id]["port"]
                return f"http://{HOST}:{port}"
        raise child.ChildError(f"no endpoint {endpoint_id}")

    def endpoint_ids(self, *kinds: str) -> list[str]:
        """Lists the IDs of all endpoints of the given kinds."""
        return fleet_document.endpoint_ids(self.document, *kinds)

    def url(self, vm_id: str = "vm-0") -> str:
        """Returns the public URL of a VM for callers."""
        return f"http://{HOST}:{self.vms_by_id[vm_id].public_port}"

    def peer_url(self, vm_id: str, process: str) -> str:
        """Returns the URL on which a process serves peers and operators."""
        port = self.vms_by_id[vm_id].ports_by_process[process]
        return f"http://{HOST}:{port}"

    def wait_until_ready(self, vm_id: str) -> None:
        """Waits until all processes of a VM have logged `ready`."""
        for name in self.vms_by_id[vm_id].ports_by_process:
            self.children_by_name[f"{vm_id}.{name}"].wait_for_event("ready")

    # --- Signals and shutdown ---------------------------------------------

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.children_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL, like a crash, and reaps it."""
        self.children_by_name[name].end()

    def stop(self) -> dict[str, int]:
        """Stops all processes with SIGTERM: each VM's, then the stand-ins.

        Within a VM the entry processes, which serve callers, stop first.

        Returns:
          Exit codes by process name.
        """
        names = [
            f"{vm.id}.{name}"
            for vm in self.vms_by_id.values()
            for name in reversed(vm.ports_by_process)
        ]
        rest = [name for name in self.children_by_name if name not in names]
        codes = {}
        for name in names:
            self.signal(name, signal.SIGTERM)
            codes[name] = self.children_by_name[name].wait()
        for name in rest:
            self.signal(name, signal.SIGTERM)
        for name in rest:
            codes[name] = self.children_by_name[name].wait()
        return codes
