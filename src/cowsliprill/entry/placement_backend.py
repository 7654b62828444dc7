"""Placement backends of an entry process.

`LeasePlacement` runs a scheduler in the entry process itself, on slots that it
leases from the engines' coordinators. `CoordinatorPlacement` sends the requests
of each pool to the pool's coordinator, which places all of them.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Protocol

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import rate_limits
from cowsliprill.decisions import scheduler as scheduler_lib
from cowsliprill.decisions import stream_origins
from cowsliprill.entry import canceller as canceller_lib
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import coordinator_client
from cowsliprill.entry import leases as leases_lib
from cowsliprill.entry import scheduler_task as scheduler_task_lib
from cowsliprill.entry import slot_lease_client
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.pool_scheduling import client as scheduling_client

_SEED_BITS = 32

# A coordinator's decision is normally carried out within a second, prefill and
# KV transfer included. An older one dates from before a pause of this process,
# and the coordinator may have given the slots to another entry process since.
_DECISION_MAX_AGE_S = 2.0


class Scheduling(Protocol):
    """Interface to the scheduler, whether local or at a coordinator."""

    def submit(self, submit: messages.Submit) -> asyncio.Queue:
        """Submits a request; returns the queue of its decisions."""

    def post(self, event: messages.Event) -> None:
        """Sends an event to the scheduler."""

    def readopt(
        self,
        submit: messages.Submit,
        start: messages.Start,
        decisions: asyncio.Queue,
    ) -> None:
        """Takes back that an attempt failed: its engine streams again.

        Args:
          submit: The request.
          start: Placement of the attempt.
          decisions: Queue of the decisions about the request.
        """

    def forget(self, request_id: int) -> None:
        """Removes the decision queue of a request."""


class PermissionChecker(Protocol):
    """Checks right before a call that its placement decision is still valid."""

    def allow(self, endpoint_id: str, decided_at: float, now: float) -> bool:
        """Returns whether a placement decision is still valid.

        Args:
          endpoint_id: ID of the endpoint.
          decided_at: Time of the decision in seconds.
          now: Current time in seconds.
        """


class PlacementBackend(Protocol):
    """Interface of a placement backend.

    Attributes:
      scheduling: Receives requests and events.
      permissions: Checked right before each call to an engine.
      keeps_rate_limits: Whether the scheduler keeps the rate limits of engines
        for all VMs, so that its decisions need no permits.
    """

    scheduling: Scheduling
    permissions: PermissionChecker
    keeps_rate_limits: bool

    def cluster_state_changed(self, snapshot: model.Snapshot) -> None:
        """Drops state of endpoints that are no longer in the settings."""

    def set_rate_limits(self, limits: Iterable[rate_limits.RateLimit]) -> None:
        """Sets the rate limits that endpoints name."""

    def add_crash_records(
        self, records: Iterable[crash_records.CrashRecord]
    ) -> None:
        """Adds new or changed ends of engines."""

    def set_unavailable(self, until_by_engine: Mapping[str, float]) -> None:
        """Sets until when this process can't use some engines, in seconds."""

    def background_work(self) -> list[Awaitable[None]]:
        """Returns the awaitables to run as background tasks."""

    async def release_leases(self) -> None:
        """Returns all leased slots; call last at shutdown."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """Dependencies of a placement backend.

    Attributes:
      incarnation: Incarnation of this process.
      availability_zone: Availability zone of this process.
      homes: Sends requests to coordinators.
      cluster_state: The current settings snapshot and VM list.
      canceller: Sends cancellations to engines.
      metrics: The process's metrics.
      log: The process's log.
      random_source: Random number generator.
    """

    incarnation: identity.Incarnation
    availability_zone: str
    homes: coordinator_client.CoordinatorClient
    cluster_state: cluster_state_lib.ClusterState
    canceller: canceller_lib.Canceller | canceller_lib.NoOpCanceller
    metrics: metrics_lib.Metrics
    log: log_lib.Log
    random_source: random.Random


MakeBackend = Callable[[Dependencies], PlacementBackend]


class LeasePlacement:
    """Placement by a local scheduler on slots leased from the coordinators.

    Args:
      dependencies: Dependencies.

    Attributes:
      scheduling: Runs the scheduler.
      permissions: The slot leases.
    """

    keeps_rate_limits = False

    def __init__(self, dependencies: Dependencies) -> None:
        self.permissions = leases_lib.LeaseTable()
        self.scheduling = scheduler_task_lib.Scheduling(
            scheduler_lib.Scheduler(
                dependencies.availability_zone,
                dependencies.random_source.getrandbits(_SEED_BITS),
            ),
            dependencies.incarnation,
            dependencies.canceller,
        )
        self._slot_lease_client = slot_lease_client.SlotLeaseClient(
            dependencies.incarnation,
            dependencies.homes,
            self.scheduling,
            self.permissions,
            dependencies.cluster_state,
            dependencies.metrics,
            dependencies.log,
        )

    def cluster_state_changed(self, snapshot: model.Snapshot) -> None:
        """Drops the leases of endpoints that are no longer in the settings."""
        self.permissions.keep_only(set(snapshot.endpoints_by_id))

    def set_rate_limits(self, limits: Iterable[rate_limits.RateLimit]) -> None:
        """Has the scheduler use limited engines no faster than their limits.

        Other entry processes use them too, so each call needs a permit as well.
        """
        self.scheduling.post(messages.RateLimitsChanged(tuple(limits)))

    def add_crash_records(
        self, records: Iterable[crash_records.CrashRecord]
    ) -> None:
        """Tells the scheduler of ends that other entry processes have seen."""
        self.scheduling.post(messages.CrashRecordsChanged(tuple(records)))

    def set_unavailable(self, until_by_engine: Mapping[str, float]) -> None:
        """Has the scheduler leave out the engines meanwhile."""
        self.scheduling.post(
            messages.EnginesUnavailable(until_by_engine=until_by_engine)
        )

    def background_work(self) -> list[Awaitable[None]]:
        """Returns the awaitables to run as background tasks."""
        return [self.scheduling.run(), self._slot_lease_client.run()]

    async def release_leases(self) -> None:
        """Returns all leases to the coordinators."""
        await self._slot_lease_client.release_leases()


class DecisionAgeCheck:
    """Accepts placement decisions up to a maximum age."""

    def allow(self, endpoint_id: str, decided_at: float, now: float) -> bool:
        """Returns whether a placement decision is still valid."""
        del endpoint_id
        return now - decided_at < _DECISION_MAX_AGE_S


class CoordinatorPlacement:
    """Placement of each pool's requests by the pool's coordinator.

    Args:
      dependencies: Dependencies.
      post: Sends a request to a coordinator.
      origins: Software versions that have begun streams.

    Attributes:
      scheduling: Sends requests and events to coordinators.
      permissions: Accepts decisions up to a maximum age.
    """

    keeps_rate_limits = True

    def __init__(
        self,
        dependencies: Dependencies,
        post: scheduling_client.SendToCoordinator,
        origins: stream_origins.StreamOrigins,
    ) -> None:
        self.permissions = DecisionAgeCheck()
        self.scheduling = scheduling_client.PoolSchedulingClient(
            str(dependencies.incarnation),
            post,
            dependencies.cluster_state,
            dependencies.log,
            origins,
        )

    def cluster_state_changed(self, snapshot: model.Snapshot) -> None:
        """Does nothing: slot state is kept by the coordinators."""

    def set_rate_limits(self, limits: Iterable[rate_limits.RateLimit]) -> None:
        """Does nothing: the coordinators keep the limits."""

    def add_crash_records(
        self, records: Iterable[crash_records.CrashRecord]
    ) -> None:
        """Does nothing: the coordinators have records of their own."""

    def set_unavailable(self, until_by_engine: Mapping[str, float]) -> None:
        """Has the coordinators leave out the engines for this process."""
        self.scheduling.set_unavailable(until_by_engine)

    def background_work(self) -> list[Awaitable[None]]:
        """Returns the awaitables to run as background tasks."""
        return [self.scheduling.run()]

    async def release_leases(self) -> None:
        """Does nothing: a coordinator times out an unresponsive process."""
