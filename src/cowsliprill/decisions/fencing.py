"""Orders to engines: when a home may send one, and with which number.

What an engine should be is a function of the accepted revision alone, and the
fencing number is the revision, so that two homes of the same revision send the
same order. An engine that checks the number refuses every late order. One that
doesn't takes whatever comes, so the home checks itself before each order, and
reads back what is in force each `READ_S` and corrects it.

What remains, for engines that don't check: a home that is paused after its
last check and before its order has left, or an order that lies in a network
buffer meanwhile. Such an order stands until the present home reads back, at
most `READ_S`, and has sent its own, which `ORDER_GAP_S` may delay further.
"""

import dataclasses
import enum
from collections.abc import Iterable

from cowsliprill.decisions import model

READ_S = 5.0
# The weight store is rate limited and shared by all homes. A home loads
# something new at most this often.
ORDER_GAP_S = 2.0
# The process' own tasks run much more often than this. A longer gap between
# two looks at the clock means that the process or its VM was paused.
PAUSE_S = 1.0
# After a pause the settings and the VM list may be as old as the pause. Within
# this time the VM's settings process has heard from its peers again.
SETTLE_S = 5.0
# What the zone's VMs said counts for this long.
HEARD_S = 2.0


class Hold(enum.StrEnum):
    """Why a home doesn't send an order now."""

    NOT_HOME = "not_home"
    JUST_WOKEN = "just_woken"
    BEHIND = "behind"
    CUT_OFF = "cut_off"
    RATE = "rate"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneReport:
    """What the other entry VMs of the own zone said when asked.

    Attributes:
      listed: How many the list names as live.
      heard: How many of these answered.
      highest_revision: Highest revision in force at any that answered.
      at: When they were asked, seconds.
    """

    listed: int
    heard: int
    highest_revision: int
    at: float

    def hears_most(self) -> bool:
        """Whether more than half of the zone, this VM included, is heard."""
        return 2 * (self.heard + 1) > self.listed + 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadBack:
    """What an engine says of itself.

    Attributes:
      fencing: Number of its newest order, 0 for none.
      target: What it is.
    """

    fencing: int
    target: model.EngineTarget


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order to send.

    Attributes:
      endpoint_id: The engine.
      fencing: Its fencing number, the revision.
      target: What the engine should be.
    """

    endpoint_id: str
    fencing: int
    target: model.EngineTarget


def fencing_number(revision: int) -> int:
    """Returns the fencing number of the orders of a revision.

    It is the revision itself: it only rises, and every home of a revision has
    the same, so that the second home's order is a repetition, not a rival.
    """
    return revision


@dataclasses.dataclass(slots=True)
class _Engine:
    target: model.EngineTarget
    checks_fencing: bool
    fencing_min: int
    highest_seen: int = 0
    read_at: float = float("-inf")
    read: ReadBack | None = None


class OrderBook:
    """The orders of the engines that are homed here.

    Args:
      now: Time at the start, seconds.
    """

    def __init__(self, now: float) -> None:
        self._revision = 0
        self._engines_by_id: dict[str, _Engine] = {}
        self._looked_at = now
        self._woke_at = float("-inf")
        self._sent_at = float("-inf")

    def look(self, now: float) -> bool:
        """Notes that the process runs; called several times a second.

        Args:
          now: Time, seconds, on a clock that counts suspension.

        Returns:
          Whether the process has just woken from a pause.
        """
        paused = now - self._looked_at > PAUSE_S
        self._looked_at = now
        if paused:
            self._woke_at = now
        return paused

    def see_engines(
        self, revision: int, endpoints: Iterable[model.Endpoint]
    ) -> None:
        """Takes the settings in force and which engines are homed here.

        Args:
          revision: The accepted revision; a lower one than before is ignored.
          endpoints: The engines that are homed here; those without a target
            are passed over.
        """
        if revision < self._revision:
            return
        self._revision = revision
        self._engines_by_id = {
            endpoint.id: self._kept_or_new(endpoint, endpoint.target)
            for endpoint in endpoints
            if endpoint.target is not None
        }

    def to_read(self, now: float) -> list[str]:
        """Returns the engines to read back now.

        Args:
          now: Time, seconds.
        """
        return [
            endpoint_id
            for endpoint_id, engine in self._engines_by_id.items()
            if now - engine.read_at >= READ_S
        ]

    def see_read_back(
        self, endpoint_id: str, read: ReadBack | None, now: float
    ) -> None:
        """Takes what an engine said, None if it gave no answer.

        Args:
          endpoint_id: The engine.
          read: Its answer.
          now: Time at which it was asked, seconds.
        """
        engine = self._engines_by_id.get(endpoint_id)
        if engine is None:
            return
        engine.read_at = now
        engine.read = read
        if read is not None:
            self.see_fencing(endpoint_id, read.fencing)

    def see_fencing(self, endpoint_id: str, fencing: int) -> None:
        """Takes a fencing number that an engine has seen.

        Args:
          endpoint_id: The engine.
          fencing: The number.
        """
        engine = self._engines_by_id.get(endpoint_id)
        if engine is not None:
            engine.highest_seen = max(engine.highest_seen, fencing)

    def wanted(self, now: float) -> list[Order]:
        """Returns the orders that should be sent once `hold` allows it.

        Args:
          now: Time, seconds.
        """
        orders = []
        for endpoint_id, engine in self._engines_by_id.items():
            read = engine.read
            if read is None or now - engine.read_at > READ_S:
                continue
            if read.target == engine.target and _is_raised(engine, read):
                continue
            orders.append(
                Order(
                    endpoint_id=endpoint_id,
                    fencing=fencing_number(self._revision),
                    target=engine.target,
                )
            )
        return orders

    def hold(
        self,
        order: Order,
        *,
        is_home: bool,
        zone: ZoneReport | None,
        now: float,
    ) -> Hold | None:
        """Decides right before sending whether an order may go out.

        Args:
          order: The order.
          is_home: Whether the newest list names this VM as the home.
          zone: What the zone's other VMs said last.
          now: Time, seconds, read right before.

        Returns:
          Why it may not, None if it may.
        """
        self.look(now)
        engine = self._engines_by_id.get(order.endpoint_id)
        if engine is None or not is_home:
            return Hold.NOT_HOME
        if now - self._woke_at < SETTLE_S:
            return Hold.JUST_WOKEN
        if engine.highest_seen > order.fencing:
            return Hold.BEHIND
        if order.fencing != fencing_number(self._revision):
            return Hold.BEHIND
        if zone is None or now - zone.at > HEARD_S or not zone.hears_most():
            return Hold.CUT_OFF
        if zone.highest_revision > self._revision:
            return Hold.BEHIND
        loads = engine.read is not None and engine.read.target != order.target
        if loads and now - self._sent_at < ORDER_GAP_S:
            return Hold.RATE
        return None

    def sent(self, order: Order, now: float) -> None:
        """Notes that an order has gone out; the engine is read back next.

        Args:
          order: The order.
          now: Time, seconds.
        """
        engine = self._engines_by_id.get(order.endpoint_id)
        if engine is None:
            return
        if engine.read is not None and engine.read.target != order.target:
            self._sent_at = now
        engine.read_at = float("-inf")

    def _kept_or_new(
        self, endpoint: model.Endpoint, target: model.EngineTarget
    ) -> _Engine:
        engine = self._engines_by_id.get(endpoint.id)
        if engine is None:
            return _Engine(
                target, endpoint.checks_fencing, fencing_min=self._revision
            )
        if engine.target != target:
            # Without the new number an older home could still turn back an
            # engine that happens to be what it should be already.
            engine.target = target
            engine.fencing_min = self._revision
        engine.checks_fencing = endpoint.checks_fencing
        return engine


def _is_raised(engine: _Engine, read: ReadBack) -> bool:
    if not engine.checks_fencing:
        return True
    return read.fencing >= fencing_number(engine.fencing_min)
