"""What a router process is told about itself, in its own JSON file."""

import pathlib
from typing import Annotated

import pydantic

from cowsliprill import environment
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import quota_owner

# Time between the end of the last request and that of the process.
_SHUTDOWN_RESERVE_S = 0.7

_MS_PER_S = 1_000

# Part of what quotas may be exceeded by that customers get. The rest is for
# what VMs admit before they hear of each other.
_TOLERANCE_FRACTION = 0.5


def _parse_address(address: object) -> object:
    if not isinstance(address, str):
        return address
    host, _, port = address.rpartition(":")
    if not (host and port.isdigit()):
        raise ValueError(f"{address!r} isn't HOST:PORT")
    return host, int(port)


Address = Annotated[tuple[str, int], pydantic.BeforeValidator(_parse_address)]


class Node(pydantic.BaseModel):
    """A router's own file; fields it doesn't know are passed over.

    Attributes:
      vm: Id of this VM.
      availability_zone: Where it is.
      public: Address for callers.
      ready: Address on which the balancer asks whether to send callers here.
      peer_ports: First and last port for traffic between VMs; the first one
        is used, for heartbeats over UDP and calls over TCP.
      seeds: Addresses of a few VMs to greet at first; their hosts count.
      store: Address of the registry's store.
      processor_share: Part of its processor that the process may use.
      processor_speed: How many times as fast as the slowest class's that
        processor is.
      retry_budget_ratio: Repeats allowed for each request.
      retry_budget_slack: Repeats allowed beyond, for all VMs together.
      drain_notice_s: How long the balancer may need to see that the process
        isn't ready: it asks each second and turns away after two refusals.
      key_revocation_ms: Time after which a key that the operator has taken
        away must not be honoured, in touch or not; None for no such bound.
      quota_overage: Part by which customers' quotas may be exceeded, None
        where none is stated.
      quota_slack: Tokens by which they may be exceeded beyond, None likewise.
      grace_s: Time between the order to stop and the end.
      peer_secret: Secret that our processes share; empty accepts all.
      mechanisms_off: Parts of the decisions that are switched off for an
        experiment.
      path: The file itself, None where there is none.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    vm: str
    availability_zone: str
    public: Address
    ready: Address
    peer_ports: tuple[int, int]
    seeds: tuple[Address, ...] = ()
    store: Address
    processor_share: float = 0.0
    processor_speed: float = 1.0
    retry_budget_ratio: float = 0.1
    retry_budget_slack: float = 10.0
    drain_notice_s: float = 2.6
    quota_overage: float | None = None
    quota_slack: float | None = None
    key_revocation_ms: float | None = None
    grace_s: float = 8.0
    peer_secret: str = ""
    mechanisms_off: frozenset[mechanisms.Mechanism] = frozenset()
    path: pathlib.Path | None = None

    def cores(self) -> float:
        """Returns how much work it can do, in cores of the slowest class."""
        return round(self.processor_share * self.processor_speed, 3)

    def key_revocation_s(self) -> float | None:
        """Returns the bound for keys that are taken away, in seconds."""
        if self.key_revocation_ms is None:
            return None
        return self.key_revocation_ms / _MS_PER_S

    def quota_tolerance(self) -> quota_owner.Tolerance:
        """Returns by how much customers may exceed their quotas."""
        return quota_owner.Tolerance(
            part=(self.quota_overage or 0.0) * _TOLERANCE_FRACTION,
            tokens=(self.quota_slack or 0.0) * _TOLERANCE_FRACTION,
        )

    def environment(self) -> environment.Environment:
        """Returns the same as the entry process's environment."""
        return environment.Environment(
            vm=self.vm,
            availability_zone=self.availability_zone,
            process="router",
            host=self.public[0],
            public_port=self.public[1],
            port=self.peer_ports[0],
            drain_notice_s=self.drain_notice_s,
            drain_limit_s=max(
                self.grace_s - _SHUTDOWN_RESERVE_S, self.drain_notice_s
            ),
            peer_secret=self.peer_secret,
            mechanisms_off=self.mechanisms_off,
        )


def load(path: pathlib.Path) -> Node:
    """Reads a router's own file.

    Args:
      path: The JSON file.

    Returns:
      What it says.

    Raises:
      environment.EnvironmentFileError: It can't be read or has wrong fields.
    """
    try:
        node = Node.model_validate_json(path.read_bytes())
        return node.model_copy(update={"path": path})
    except (OSError, ValueError) as error:
        raise environment.EnvironmentFileError(f"{path}: {error}") from error
