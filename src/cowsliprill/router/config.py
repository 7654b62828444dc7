"""Startup configuration of a router process, read from a JSON file."""

import pathlib
from typing import Annotated

import pydantic

from cowsliprill import environment
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import quota_owner
from cowsliprill.platform import terms as terms_lib

# Time in seconds reserved between the end of the last request and the end of
# the process.
_SHUTDOWN_RESERVE_S = 0.7

_MS_PER_S = 1_000

# Fraction of the permitted quota overage that customers may use. The rest
# covers requests that VMs admit before they receive each other's usage.
_TOLERANCE_FRACTION = 0.5


def _parse_address(address: object) -> object:
    if not isinstance(address, str):
        return address
    host, _, port = address.rpartition(":")
    if not (host and port.isdigit()):
        raise ValueError(f"{address!r} is not of the form HOST:PORT")
    return host, int(port)


def _empty_if_none(terms: object) -> object:
    """Returns no terms for null, as a platform without any may render it."""
    return () if terms is None else terms


Address = Annotated[tuple[str, int], pydantic.BeforeValidator(_parse_address)]


class RouterConfig(pydantic.BaseModel):
    """Contents of a router's configuration file; unknown fields are ignored.

    Attributes:
      vm: Id of this VM.
      availability_zone: Availability zone of this VM.
      public: Address for callers.
      ready: Address of the readiness check, called by the load balancer.
      peer_ports: First and last port for traffic between VMs; only the first is
        used, for heartbeats over UDP and calls over TCP.
      seeds: Addresses of some VMs to contact at startup; only their hosts are
        used.
      store: Address of the registry's store.
      processor_share: Fraction of the VM's processor that the process may use.
      processor_speed: Speed of the processor relative to the slowest VM class.
      memory_mb: Memory limit of the process in MB, 0 or None if it isn't
        known.
      retry_budget_ratio: Retries allowed per request.
      retry_budget_slack: Retries allowed in addition, for all VMs together.
      drain_notice_s: Seconds until the load balancer detects that the process
        is not ready: it checks every second and removes the process after two
        failed checks.
      key_revocation_ms: Milliseconds after which a revoked API key must not be
        accepted, even if the store is unreachable; None for no limit.
      quota_overage: Fraction by which customers' quotas may be exceeded, None
        if not configured.
      quota_slack: Tokens by which quotas may be exceeded in addition, None if
        not configured.
      grace_s: Seconds between the stop signal and the end of the process.
      first_start: Whether the whole system starts for the first time, so that
        no stream is older than this process.
      peer_secret: Secret shared by the processes; if empty, messages are not
        authenticated.
      mechanisms_off: Mechanisms of the decision code that are disabled for an
        experiment.
      quarantine_crashes: Number of engines that a request may end before it is
        refused.
      quarantine_s: Seconds for which it is then refused; doubles with each
        further engine.
      released_requests: Fingerprints of requests that are never refused for
        this reason; applied when the file changes.
      overload_control: Whether the overload ranking orders the requests that
        wait, whatever the terms say.
      terms: Parts of the platform's rules that are in force; see
        `platform.terms`.
      path: Path of the file, None if the configuration was not read from one.
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
    memory_mb: float | None = pydantic.Field(default=None, ge=0.0)
    retry_budget_ratio: float = 0.1
    retry_budget_slack: float = 10.0
    drain_notice_s: float = 2.6
    quota_overage: float | None = None
    quota_slack: float | None = None
    key_revocation_ms: float | None = None
    grace_s: float = 8.0
    first_start: bool = False
    peer_secret: str = ""
    mechanisms_off: frozenset[mechanisms.Mechanism] = frozenset()
    quarantine_crashes: environment.CrashLimit = 3
    quarantine_s: environment.QuarantineSeconds = 600.0
    released_requests: frozenset[environment.Fingerprint] = frozenset()
    overload_control: bool = False
    terms: Annotated[
        tuple[str, ...], pydantic.BeforeValidator(_empty_if_none)
    ] = ()
    path: pathlib.Path | None = None

    def cores(self) -> float:
        """Returns the process's capacity in cores of the slowest VM class."""
        return round(self.processor_share * self.processor_speed, 3)

    def key_revocation_s(self) -> float | None:
        """Returns how long revoked API keys may be accepted, in seconds."""
        if self.key_revocation_ms is None:
            return None
        return self.key_revocation_ms / _MS_PER_S

    def quota_tolerance(self) -> quota_owner.QuotaTolerance:
        """Returns by how much customers may exceed their quotas."""
        return quota_owner.QuotaTolerance(
            fraction=(self.quota_overage or 0.0) * _TOLERANCE_FRACTION,
            tokens=(self.quota_slack or 0.0) * _TOLERANCE_FRACTION,
        )

    def controls_overload(self) -> bool:
        """Returns whether the overload ranking is switched on."""
        return self.overload_control or terms_lib.controls_overload(self.terms)

    def knows_all_streams(self) -> bool:
        """Returns whether no stream can have begun unknown to this process."""
        versions_off = mechanisms.Mechanism.STREAM_VERSIONS
        return self.first_start or versions_off in self.mechanisms_off

    def environment(self) -> environment.Environment:
        """Returns the equivalent environment of an entry process."""
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
            memory_mb=self.memory_mb or 0.0,
            peer_secret=self.peer_secret,
            mechanisms_off=self.mechanisms_off,
            quarantine_crashes=self.quarantine_crashes,
            quarantine_s=self.quarantine_s,
            released_requests=self.released_requests,
            overload_control=self.controls_overload(),
        )


def load(path: pathlib.Path) -> RouterConfig:
    """Reads a router's configuration file.

    Args:
      path: Path of the JSON file.

    Returns:
      The configuration.

    Raises:
      environment.EnvironmentFileError: The file can't be read or is invalid.
    """
    try:
        node = RouterConfig.model_validate_json(path.read_bytes())
        return node.model_copy(update={"path": path})
    except (OSError, ValueError) as error:
        raise environment.EnvironmentFileError(f"{path}: {error}") from error
