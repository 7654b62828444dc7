"""Who decides where model requests run: this entry by leases, or a home.

An entry with a scheduler of its own holds leases of slots from the homes of
engines. Where all requests of a pool are placed at one home, it only sends
them there.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import scheduler as scheduler_lib
from cowsliprill.entry import canceller as canceller_lib
from cowsliprill.entry import coordinator_client
from cowsliprill.entry import leases as leases_lib
from cowsliprill.entry import scheduling as scheduling_lib
from cowsliprill.entry import slot_asker
from cowsliprill.entry import world as world_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.pool_scheduling import client as scheduling_client

_SEED_BITS = 32

# A decision of a home is acted on within a second, prefill and transfer
# included. One that is older was made before this process stood still, and
# its home may have given the slots to another entry since.
_DECISION_MAX_AGE_S = 2.0


class Scheduling(Protocol):
    """Where requests and events go, and decisions come from."""

    def submit(self, submit: messages.Submit) -> asyncio.Queue:
        """Sends a request; returns the queue of decisions about it."""

    def post(self, event: messages.Event) -> None:
        """Sends an event."""

    def forget(self, request_id: int) -> None:
        """Ends a request's queue of decisions."""


class Permissions(Protocol):
    """Asked right before each act that a decision allows."""

    def allow(self, endpoint_id: str, decided_at: float, now: float) -> bool:
        """Returns whether the decision may still be acted on."""


class Placing(Protocol):
    """What an entry needs of whoever decides.

    Attributes:
      scheduling: Takes requests and events.
      permissions: Asked before each act.
    """

    scheduling: Scheduling
    permissions: Permissions

    def world_changed(self, snapshot: model.Snapshot) -> None:
        """Forgets what the settings no longer name."""

    def work(self) -> list[Awaitable[None]]:
        """Returns what has to run as tasks."""

    async def hand_back(self) -> None:
        """Gives back what is held, as the last act of the process."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tools:
    """What a process has for placing its requests.

    Attributes:
      incarnation: This process.
      availability_zone: Where it runs.
      homes: Calls homes.
      world: The settings and the VM list.
      canceller: Takes cancel orders.
      metrics: The process's metrics.
      log: The process's log.
      random_source: Random numbers.
    """

    incarnation: identity.Incarnation
    availability_zone: str
    homes: coordinator_client.CoordinatorClient
    world: world_lib.World
    canceller: canceller_lib.Canceller | canceller_lib.NoOrders
    metrics: metrics_lib.Metrics
    log: log_lib.Log
    random_source: random.Random


MakePlacing = Callable[[Tools], Placing]


class ByLeases:
    """A scheduler of the entry's own, with slots leased from the homes.

    Args:
      tools: What the process has.

    Attributes:
      scheduling: The scheduler's task.
      permissions: The leases.
    """

    def __init__(self, tools: Tools) -> None:
        self.permissions = leases_lib.Leases()
        self.scheduling = scheduling_lib.Scheduling(
            scheduler_lib.Scheduler(
                tools.availability_zone,
                tools.random_source.getrandbits(_SEED_BITS),
            ),
            tools.incarnation,
            tools.canceller,
        )
        self._asker = slot_asker.SlotAsker(
            tools.incarnation,
            tools.homes,
            self.scheduling,
            self.permissions,
            tools.world,
            tools.metrics,
            tools.log,
        )

    def world_changed(self, snapshot: model.Snapshot) -> None:
        """Forgets leases of endpoints that the settings no longer name."""
        self.permissions.keep_only(set(snapshot.endpoints_by_id))

    def work(self) -> list[Awaitable[None]]:
        """Returns what has to run as tasks."""
        return [self.scheduling.run(), self._asker.run()]

    async def hand_back(self) -> None:
        """Returns all leases."""
        await self._asker.hand_back()


class FreshDecisions:
    """Allows what was decided a short time ago."""

    def allow(self, endpoint_id: str, decided_at: float, now: float) -> bool:
        """Returns whether the decision may still be acted on."""
        del endpoint_id
        return now - decided_at < _DECISION_MAX_AGE_S


class CoordinatorPlacement:
    """All requests of a pool are placed at its home.

    Args:
      tools: What the process has.
      post: Calls a home.

    Attributes:
      scheduling: Sends requests to homes.
      permissions: Allows what was decided a short time ago.
    """

    def __init__(
        self, tools: Tools, post: scheduling_client.SendToCoordinator
    ) -> None:
        self.permissions = FreshDecisions()
        self.scheduling = scheduling_client.PoolSchedulingClient(
            str(tools.incarnation),
            post,
            tools.world,
            tools.log,
        )

    def world_changed(self, snapshot: model.Snapshot) -> None:
        """Does nothing: what is held, the homes hold."""

    def work(self) -> list[Awaitable[None]]:
        """Returns what has to run as tasks."""
        return [self.scheduling.run()]

    async def hand_back(self) -> None:
        """Does nothing: a home forgets an entry that falls silent."""
