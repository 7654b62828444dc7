"""Reconciles the target role and model of engines, with fencing tokens.

An order is a command that sets an engine's target. The target depends only on
the accepted settings revision, and the fencing token is that revision, so two
coordinators at the same revision send the same order. An engine that checks
fencing tokens refuses every outdated order. For engines that don't, the
coordinator checks its own state before each order, reads the engine's actual
target back every `READ_BACK_INTERVAL_S` seconds and corrects it.

Known limitation for engines that don't check tokens: if a coordinator is paused
between its last check and sending the order, or the order is delayed in a
network buffer, an outdated order takes effect. It stays in effect until the
current coordinator reads the engine back, at most `READ_BACK_INTERVAL_S` later,
and sends its own order, which `MIN_LOAD_INTERVAL_S` may delay further.
"""

import dataclasses
import enum
from collections.abc import Iterable

from cowsliprill.decisions import model

READ_BACK_INTERVAL_S = 5.0
# Minimum interval between orders of a coordinator that make an engine load a
# model, because the weight store is rate limited and shared by all
# coordinators.
MIN_LOAD_INTERVAL_S = 2.0
# A longer gap between two clock readings means that the process or its VM was
# paused; the clock is normally read several times a second.
PAUSE_THRESHOLD_S = 1.0
# Orders are held for this long after a pause, because the settings and the VM
# list may be as old as the pause. Within this time the VM's settings process
# exchanges updates with its peers again.
RESUME_DELAY_S = 5.0
# Validity of the answers from the other VMs of the availability zone.
ZONE_REPORT_VALID_S = 2.0


class HoldReason(enum.StrEnum):
    """Why a coordinator holds an order back.

    Attributes:
      NOT_HOME: This VM isn't the engine's coordinator.
      JUST_WOKEN: The process resumed from a pause shortly before.
      BEHIND: The order's revision is outdated.
      CUT_OFF: The VM can't reach a majority of its availability zone.
      RATE: The coordinator's last order that loads a model was too recent.
    """

    NOT_HOME = "not_home"
    JUST_WOKEN = "just_woken"
    BEHIND = "behind"
    CUT_OFF = "cut_off"
    RATE = "rate"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneReport:
    """Answers of the other entry VMs of this VM's availability zone.

    Attributes:
      listed: Number of those VMs that the VM list marks as live.
      responded: How many of them answered.
      highest_revision: Highest revision in force at the VMs that answered.
      at: When the VMs were asked, seconds.
    """

    listed: int
    responded: int
    highest_revision: int
    at: float

    def has_majority(self) -> bool:
        """Returns whether this VM and those that answered are a majority."""
        return 2 * (self.responded + 1) > self.listed + 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadBack:
    """State reported by an engine.

    Attributes:
      fencing: Fencing token of its newest order, 0 for none.
      target: The role and model that it serves.
    """

    fencing: int
    target: model.EngineTarget


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """A command that sets the target of an engine.

    Attributes:
      endpoint_id: The engine.
      fencing: Fencing token, which is the revision.
      target: The role and model that the engine should serve.
    """

    endpoint_id: str
    fencing: int
    target: model.EngineTarget


def fencing_token(revision: int) -> int:
    """Returns the fencing token of a revision's orders.

    The revision itself serves as the token: it only increases and is the same
    at all coordinators, so that an order from a second coordinator at the same
    revision repeats the first one instead of conflicting with it.
    """
    return revision


@dataclasses.dataclass(slots=True)
class _EngineState:
    """Desired and last reported state of one engine.

    Attributes:
      target: The role and model that the engine should serve.
      checks_fencing: Whether the engine refuses outdated fencing tokens.
      min_revision: Revision that set the target.
      highest_token: Highest fencing token that the engine is known to have
        accepted.
      read_at: When the engine was last read back.
      read: State reported then, None if the call failed.
    """

    target: model.EngineTarget
    checks_fencing: bool
    min_revision: int
    highest_token: int = 0
    read_at: float = float("-inf")
    read: ReadBack | None = None


class TargetReconciler:
    """Decides which orders the engines of this coordinator need, and when.

    Args:
      now: Current time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._revision = 0
        self._engines_by_id: dict[str, _EngineState] = {}
        self._last_checked_at = now
        self._resumed_at = float("-inf")
        self._load_sent_at = float("-inf")

    def detect_pause(self, now: float) -> bool:
        """Detects pauses of the process; to be called several times a second.

        Args:
          now: Current time in seconds, on a clock that also runs while the
            VM is suspended.

        Returns:
          Whether the process has just resumed from a pause.
        """
        paused = now - self._last_checked_at > PAUSE_THRESHOLD_S
        self._last_checked_at = now
        if paused:
            self._resumed_at = now
        return paused

    def update_engines(
        self, revision: int, endpoints: Iterable[model.Endpoint]
    ) -> None:
        """Replaces the set of engines and their targets.

        Args:
          revision: The accepted revision. The call is ignored if it is lower
            than an earlier one.
          endpoints: The engines whose coordinator is this VM. Engines without a
            target are skipped.
        """
        if revision < self._revision:
            return
        self._revision = revision
        self._engines_by_id = {
            endpoint.id: self._updated_engine(endpoint, endpoint.target)
            for endpoint in endpoints
            if endpoint.target is not None
        }

    def due_read_backs(self, now: float) -> list[str]:
        """Returns the ids of the engines that are due to be read back.

        Args:
          now: Current time in seconds.
        """
        return [
            endpoint_id
            for endpoint_id, engine in self._engines_by_id.items()
            if now - engine.read_at >= READ_BACK_INTERVAL_S
        ]

    def record_read_back(
        self, endpoint_id: str, read: ReadBack | None, now: float
    ) -> None:
        """Records the result of reading an engine back.

        Args:
          endpoint_id: The engine.
          read: State reported by the engine, None if the call failed.
          now: When the engine was called, seconds.
        """
        engine = self._engines_by_id.get(endpoint_id)
        if engine is None:
            return
        engine.read_at = now
        engine.read = read
        if read is not None:
            self.record_fencing_token(endpoint_id, read.fencing)

    def record_fencing_token(self, endpoint_id: str, fencing: int) -> None:
        """Records a fencing token that an engine has accepted.

        Args:
          endpoint_id: The engine.
          fencing: The fencing token.
        """
        engine = self._engines_by_id.get(endpoint_id)
        if engine is not None:
            engine.highest_token = max(engine.highest_token, fencing)

    def needed_orders(self, now: float) -> list[Order]:
        """Returns the orders to send as soon as `hold_reason` permits them.

        Args:
          now: Current time in seconds.
        """
        orders = []
        for endpoint_id, engine in self._engines_by_id.items():
            read = engine.read
            if read is None or now - engine.read_at > READ_BACK_INTERVAL_S:
                continue
            if read.target == engine.target and _has_current_token(
                engine, read
            ):
                continue
            orders.append(
                Order(
                    endpoint_id=endpoint_id,
                    fencing=fencing_token(self._revision),
                    target=engine.target,
                )
            )
        return orders

    def hold_reason(
        self,
        order: Order,
        *,
        is_coordinator: bool,
        zone: ZoneReport | None,
        now: float,
    ) -> HoldReason | None:
        """Checks immediately before sending whether an order may be sent.

        Args:
          order: The order.
          is_coordinator: Whether this VM is the engine's coordinator by the
            newest VM list.
          zone: Last answers of the zone's other VMs, None before the first.
          now: Current time in seconds, read right before the call.

        Returns:
          The reason to hold the order back, or None if it may be sent.
        """
        self.detect_pause(now)
        engine = self._engines_by_id.get(order.endpoint_id)
        if engine is None or not is_coordinator:
            return HoldReason.NOT_HOME
        if now - self._resumed_at < RESUME_DELAY_S:
            return HoldReason.JUST_WOKEN
        if engine.highest_token > order.fencing:
            return HoldReason.BEHIND
        if order.fencing != fencing_token(self._revision):
            return HoldReason.BEHIND
        if (
            zone is None
            or now - zone.at > ZONE_REPORT_VALID_S
            or not zone.has_majority()
        ):
            return HoldReason.CUT_OFF
        if zone.highest_revision > self._revision:
            return HoldReason.BEHIND
        causes_load = (
            engine.read is not None and engine.read.target != order.target
        )
        if causes_load and now - self._load_sent_at < MIN_LOAD_INTERVAL_S:
            return HoldReason.RATE
        return None

    def record_sent(self, order: Order, now: float) -> None:
        """Records that an order was sent and schedules a read-back.

        Args:
          order: The order.
          now: Current time in seconds.
        """
        engine = self._engines_by_id.get(order.endpoint_id)
        if engine is None:
            return
        if engine.read is not None and engine.read.target != order.target:
            self._load_sent_at = now
        engine.read_at = float("-inf")

    def _updated_engine(
        self, endpoint: model.Endpoint, target: model.EngineTarget
    ) -> _EngineState:
        engine = self._engines_by_id.get(endpoint.id)
        if engine is None:
            return _EngineState(
                target, endpoint.checks_fencing, min_revision=self._revision
            )
        if engine.target != target:
            # Even an engine that already serves the new target needs an order
            # with the new token. Otherwise a coordinator at an older revision
            # could still revert it.
            engine.target = target
            engine.min_revision = self._revision
        engine.checks_fencing = endpoint.checks_fencing
        return engine


def _has_current_token(engine: _EngineState, read: ReadBack) -> bool:
    if not engine.checks_fencing:
        return True
    return read.fencing >= fencing_token(engine.min_revision)
