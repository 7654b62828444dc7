"""What a process is told about itself, passed explicitly and never global.

The platform starts each process with a small JSON file: its own addresses and
availability zone and where to find the platform. Everything else comes from
the settings.
"""

import json
import pathlib

import pydantic

from cowsliprill import errors
from cowsliprill.decisions import mechanisms


class EnvironmentFileError(errors.CowsliprillError):
    """Raised when a process's own JSON file can't be used."""

    code = "environment_invalid"
    exit_code = errors.ExitCode.USAGE


class Environment(pydantic.BaseModel):
    """A process's own file.

    Attributes:
      vm: Id of this VM.
      availability_zone: Where it is.
      process: Name of the process on its VM, for example `e0`.
      host: IP number to listen on.
      public_port: Port for callers, shared by a VM's entry processes; 0 where
        not an entry.
      port: Port for peers, operators and metrics; 0 lets the kernel pick.
      settings_url: URL of the VM's settings process.
      platform_url: URL of the platform, settings process only.
      vm_list_url: URL of the VM list, settings process only.
      boot_peers: URLs of settings processes to ask before the list is known.
      drain_notice_s: How long the balancer may need to see that a process
        isn't ready; it serves on for this long before it takes no more.
      drain_limit_s: How long after the order to stop the process may still be
        there; what runs then is cut.
      peer_secret: Secret that our processes share, by which they tell each
        other from strangers; empty accepts all.
      seed: Seed of the process's random numbers; None draws one.
      mechanisms_off: Parts of the decisions that are switched off for an
        experiment.
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
    seed: int | None = None
    mechanisms_off: frozenset[mechanisms.Mechanism] = frozenset()


def load(path: pathlib.Path) -> Environment:
    """Reads a process's own file.

    Args:
      path: The JSON file.

    Returns:
      The environment.

    Raises:
      EnvironmentFileError: The file can't be read, isn't JSON, or has wrong or
        unknown fields.
    """
    try:
        fields = json.loads(path.read_text(encoding="utf-8"))
        return Environment.model_validate(fields)
    except (OSError, ValueError) as error:
        raise EnvironmentFileError(f"{path}: {error}") from error
