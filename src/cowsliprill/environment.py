"""Start-up configuration of a process, passed explicitly and never global.

The platform starts each process with a small JSON file that holds the addresses
of the process, its availability zone and the address of the platform. All other
configuration comes from the settings.
"""

import json
import pathlib
from typing import Annotated

import pydantic

from cowsliprill import errors
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import quarantine
from cowsliprill.decisions import request_fingerprint

CrashLimit = Annotated[int, pydantic.Field(ge=2, le=100)]
QuarantineSeconds = Annotated[float, pydantic.Field(gt=0.0, le=86_400.0)]
Fingerprint = Annotated[
    str, pydantic.Field(pattern=request_fingerprint.PATTERN)
]


class EnvironmentFileError(errors.CowsliprillError):
    """Raised when a process's JSON file is missing or invalid."""

    code = "environment_invalid"
    exit_code = errors.ExitCode.USAGE


class Environment(pydantic.BaseModel):
    """Contents of a process's JSON file.

    Attributes:
      vm: Id of this VM.
      availability_zone: Availability zone of this VM.
      process: Name of the process on its VM, for example `e0`.
      host: IP address to listen on.
      public_port: Port for callers, shared by a VM's entry processes; 0 in
        other processes.
      port: Port for peers, operators and metrics; 0 lets the kernel choose.
      settings_url: URL of the VM's settings process.
      platform_url: URL of the platform, settings process only.
      vm_list_url: URL of the VM list, settings process only.
      boot_peers: URLs of settings processes to query until the VM list is
        known.
      drain_notice_s: Time in seconds that the load balancer may need to notice
        that a process is not ready. While draining, the process accepts new
        requests for this long.
      drain_limit_s: Time in seconds from the stop signal after which requests
        in progress are aborted and the process exits.
      peer_secret: Shared secret that authenticates the processes of this
        system to each other; if empty, every message is accepted.
      memory_mb: Memory limit of the process in MB, 0 if it isn't known.
      seed: Seed of the process's random numbers; None chooses one at random.
      mechanisms_off: Mechanisms that are disabled for an experiment.
      quarantine_crashes: Number of engines that a request may end before it is
        refused.
      quarantine_s: Seconds for which it is then refused; doubles with each
        further engine.
      released_requests: Fingerprints of requests that are never refused for
        this reason.
      overload_control: Whether requests that compete for capacity are ordered
        by the overload ranking, and plain calls admitted by customers' shares.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    vm: str = pydantic.Field(pattern=r"^[a-z0-9-]+$")
    availability_zone: str
    process: str = pydantic.Field(pattern=r"^[a-z0-9-]+$")
    host: str = "127.0.0.1"
    public_port: int = pydantic.Field(default=0, ge=0, le=65535)
    port: int = pydantic.Field(default=0, ge=0, le=65535)
    settings_url: str = ""
    platform_url: str = ""
    vm_list_url: str = ""
    boot_peers: tuple[str, ...] = ()
    drain_notice_s: float = pydantic.Field(default=5.0, ge=0.0, le=600.0)
    drain_limit_s: float = pydantic.Field(default=600.0, gt=0.0)
    peer_secret: pydantic.SecretStr = pydantic.SecretStr("")
    memory_mb: float = pydantic.Field(default=0.0, ge=0.0)
    seed: int | None = None
    mechanisms_off: frozenset[mechanisms.Mechanism] = frozenset()
    quarantine_crashes: CrashLimit = 3
    quarantine_s: QuarantineSeconds = 600.0
    released_requests: frozenset[Fingerprint] = frozenset()
    overload_control: bool = False

    def quarantine_limits(self) -> quarantine.Limits:
        """Returns the limits of the quarantine of requests."""
        return quarantine.Limits(
            crashes=self.quarantine_crashes,
            quarantine_s=self.quarantine_s,
            released=self.released_requests,
        )


def load(path: pathlib.Path) -> Environment:
    """Loads the environment of a process.

    Args:
      path: JSON file of the process.

    Returns:
      The validated environment.

    Raises:
      EnvironmentFileError: The file can't be read, is not JSON, or has invalid
        or unknown fields.
    """
    try:
        fields = json.loads(path.read_text(encoding="utf-8"))
        return Environment.model_validate(fields)
    except (OSError, ValueError) as error:
        raise EnvironmentFileError(f"{path}: {error}") from error
