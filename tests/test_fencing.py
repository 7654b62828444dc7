"""Tests of `decisions.fencing`, in virtual time with two coordinators."""

import dataclasses

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import fencing
from cowsliprill.decisions import model

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=80
)
_STEP_S = 0.25


def _target(version: str) -> model.EngineTarget:
    return model.EngineTarget(
        role=model.EndpointKind.DECODE, model="briefs", version=version
    )


def _engine(version: str, checks_fencing: bool) -> model.Endpoint:
    return model.Endpoint(
        id="d0",
        kind=model.EndpointKind.DECODE,
        host="127.0.0.1",
        port=1,
        availability_zone="gasabo",
        pool="briefs",
        slots=20,
        checks_fencing=checks_fencing,
        target=_target(version),
    )


@dataclasses.dataclass
class _FakeEngine:
    """An engine that checks fencing tokens, or accepts every order."""

    checks: bool
    highest_token: int = 0
    version: str = "none"

    def order(self, order: fencing.Order) -> bool:
        if self.checks and order.fencing < self.highest_token:
            return False
        self.highest_token = order.fencing
        self.version = order.target.version
        return True

    def read_back(self) -> fencing.ReadBack:
        return fencing.ReadBack(
            fencing=self.highest_token, target=_target(self.version)
        )


class _Coordinator:
    """I/O layer of a coordinator that can be paused.

    It learns of a new revision only when the test calls `accept`.
    """

    def __init__(self, checks: bool) -> None:
        self.book = fencing.TargetReconciler(0.0)
        self.checks = checks
        self.revision = 0
        self.paused = False
        self.is_coordinator = True
        self.peer_revision = 0
        self.sent_orders: list[tuple[float, fencing.Order]] = []

    def accept(self, revision: int, version: str) -> None:
        self.revision = revision
        self.book.update_engines(revision, [_engine(version, self.checks)])

    def step(self, engine: _FakeEngine, now: float) -> None:
        if self.paused:
            return
        self.book.detect_pause(now)
        for endpoint_id in self.book.due_read_backs(now):
            self.book.record_read_back(endpoint_id, engine.read_back(), now)
        zone = fencing.ZoneReport(
            listed=3, responded=3, highest_revision=self.peer_revision, at=now
        )
        for order in self.book.needed_orders(now):
            hold_reason = self.book.hold_reason(
                order, is_coordinator=self.is_coordinator, zone=zone, now=now
            )
            if hold_reason is None:
                self.sent_orders.append((now, order))
                engine.order(order)
                self.book.record_sent(order, now)


_EVENTS = strategies.lists(
    strategies.sampled_from(
        ["publish", "old sees", "new sees", "pause", "wake", "move", "run"]
    ),
    max_size=40,
)


class _TwoCoordinators:
    """Two VMs that may both consider themselves the engine's coordinator."""

    def __init__(self, checks: bool) -> None:
        self.engine = _FakeEngine(checks)
        self.former = _Coordinator(checks)
        self.current = _Coordinator(checks)
        self.current.is_coordinator = False
        self.versions = ["v0"]
        self.now = 0.0

    @property
    def revision(self) -> int:
        return len(self.versions)

    def accept_newest(self, coordinator: _Coordinator) -> None:
        if not coordinator.paused:
            coordinator.accept(self.revision, self.versions[-1])

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / _STEP_S)):
            self.now += _STEP_S
            for coordinator in (self.former, self.current):
                coordinator.step(self.engine, self.now)

    def apply(self, event: str) -> None:
        match event:
            case "publish":
                # Versions repeat, as after a rollback by an operator.
                self.versions.append(f"v{len(self.versions) % 2}")
            case "old sees":
                self.accept_newest(self.former)
            case "new sees":
                self.accept_newest(self.current)
            case "pause":
                self.former.paused = True
            case "wake":
                self.former.paused = False
            case "move":
                self.current.is_coordinator = True
        self.run(3.0)

    def settle(self) -> None:
        self.former.paused = False
        self.former.is_coordinator = False
        self.current.is_coordinator = True
        self.accept_newest(self.current)
        self.accept_newest(self.former)
        self.run(
            fencing.READ_BACK_INTERVAL_S
            + fencing.RESUME_DELAY_S
            + fencing.MIN_LOAD_INTERVAL_S
            + 1
        )


class TestOrderBook:
    """Orders from outdated or resumed coordinators don't stay in effect."""

    @_SETTINGS
    @hypothesis.given(events=_EVENTS, checks=strategies.booleans())
    def test_engine_converges_to_the_newest_revision(
        self, events: list[str], checks: bool
    ) -> None:
        """Two coordinators order the same engine; one is paused and resumes.

        An engine left with an old model returns wrong output for requests that
        are routed to it as if it served the new model.
        """
        scenario = _TwoCoordinators(checks)
        for event in events:
            scenario.apply(event)
        scenario.settle()
        assert scenario.engine.version == scenario.versions[-1]

    @_SETTINGS
    @hypothesis.given(events=_EVENTS, checks=strategies.booleans())
    def test_no_order_has_a_lower_token_than_one_read_back(
        self, events: list[str], checks: bool
    ) -> None:
        """An outdated coordinator has read back a newer fencing token.

        It must not send orders with a lower token.
        """
        scenario = _TwoCoordinators(checks)
        scenario.engine.highest_token = 7
        for event in events:
            scenario.apply(event)
        for coordinator in (scenario.former, scenario.current):
            assert all(
                order.fencing >= 7 for _, order in coordinator.sent_orders
            )

    def test_resumed_coordinator_sends_no_outdated_order(self) -> None:
        """A coordinator is paused while the model is changed, and resumes.

        It still has the old revision. An immediate order would revert an
        engine that doesn't check fencing tokens to the old model.
        """
        coordinator = _Coordinator(False)
        engine = _FakeEngine(False)
        coordinator.accept(1, "v0")
        coordinator.step(engine, 0.5)
        assert engine.version == "v0"
        engine.version = "v1"
        coordinator.peer_revision = 2
        for step in range(60):
            coordinator.step(engine, 100.0 + step * _STEP_S)
        assert engine.version == "v1"
        assert [order.fencing for _, order in coordinator.sent_orders] == [1]

    def test_rolled_back_change_raises_the_token(self) -> None:
        """A model is changed and changed back while a coordinator is paused.

        The engine already serves the right model, but with the old token, so
        it would still accept the paused coordinator's order for the change in
        between.
        """
        coordinator = _Coordinator(True)
        engine = _FakeEngine(True)
        coordinator.accept(1, "v0")
        coordinator.step(engine, 0.5)
        coordinator.accept(2, "v1")
        coordinator.accept(3, "v0")
        for step in range(1, 40):
            coordinator.step(engine, 0.5 + step * _STEP_S)
        assert engine.highest_token == 3

    def test_revision_with_the_same_target_sends_no_order(self) -> None:
        coordinator = _Coordinator(True)
        engine = _FakeEngine(True)
        for revision in range(1, 200):
            coordinator.accept(revision, "v0")
            coordinator.step(engine, revision * _STEP_S)
        assert len(coordinator.sent_orders) == 1

    def test_engine_without_tokens_gets_no_repeated_orders(
        self,
    ) -> None:
        book = fencing.TargetReconciler(0.0)
        book.update_engines(9, [_engine("v1", False)])
        read = fencing.ReadBack(fencing=0, target=_target("v1"))
        book.record_read_back("d0", read, 0.1)
        assert book.needed_orders(0.1) == []

    def test_lower_revision_is_ignored(self) -> None:
        """A stale replica of the platform serves an older revision."""
        book = fencing.TargetReconciler(0.0)
        book.update_engines(9, [_engine("v1", True)])
        book.update_engines(8, [_engine("v0", True)])
        read = fencing.ReadBack(fencing=9, target=_target("v1"))
        book.record_read_back("d0", read, 0.1)
        assert book.needed_orders(0.1) == []


class TestHold:
    """Checks immediately before an order is sent."""

    def _book(self) -> tuple[fencing.TargetReconciler, fencing.Order]:
        book = fencing.TargetReconciler(0.0)
        book.update_engines(5, [_engine("v1", True)])
        read = fencing.ReadBack(fencing=4, target=_target("v0"))
        book.record_read_back("d0", read, 0.1)
        return book, book.needed_orders(0.1)[0]

    def _zone(self, responded: int, revision: int = 5) -> fencing.ZoneReport:
        return fencing.ZoneReport(
            listed=4, responded=responded, highest_revision=revision, at=0.1
        )

    def test_order_is_permitted_without_a_reason_to_hold(self) -> None:
        book, order = self._book()
        hold_reason = book.hold_reason(
            order, is_coordinator=True, zone=self._zone(4), now=0.2
        )
        assert hold_reason is None

    def test_coordinator_without_zone_majority_is_held(self) -> None:
        """A partition leaves a coordinator with a minority of its zone.

        The other VMs may have a new coordinator and a new revision by now.
        """
        book, order = self._book()
        hold_reason = book.hold_reason(
            order, is_coordinator=True, zone=self._zone(1), now=0.2
        )
        assert hold_reason is fencing.HoldReason.CUT_OFF

    def test_coordinator_with_an_older_revision_than_its_peers_is_held(
        self,
    ) -> None:
        book, order = self._book()
        zone = self._zone(4, revision=6)
        hold_reason = book.hold_reason(
            order, is_coordinator=True, zone=zone, now=0.2
        )
        assert hold_reason is fencing.HoldReason.BEHIND

    def test_pause_before_sending_is_detected(self) -> None:
        book, order = self._book()
        hold_reason = book.hold_reason(
            order, is_coordinator=True, zone=self._zone(4), now=60.0
        )
        assert hold_reason is fencing.HoldReason.JUST_WOKEN

    def test_former_coordinator_is_held(self) -> None:
        book, order = self._book()
        hold_reason = book.hold_reason(
            order, is_coordinator=False, zone=self._zone(4), now=0.2
        )
        assert hold_reason is fencing.HoldReason.NOT_HOME

    def test_consecutive_model_loads_are_rate_limited(self) -> None:
        book, order = self._book()
        book.record_sent(order, 0.2)
        read = fencing.ReadBack(fencing=4, target=_target("v0"))
        book.record_read_back("d0", read, 0.3)
        hold_reason = book.hold_reason(
            order, is_coordinator=True, zone=self._zone(4), now=0.4
        )
        assert hold_reason is fencing.HoldReason.RATE

    def test_order_of_a_superseded_revision_is_held(self) -> None:
        """New settings arrive while the coordinator queries its peers."""
        book, order = self._book()
        book.update_engines(6, [_engine("v1", True)])
        zone = self._zone(4)
        hold_reason = book.hold_reason(
            order, is_coordinator=True, zone=zone, now=0.2
        )
        assert hold_reason is fencing.HoldReason.BEHIND

    def test_order_is_not_repeated_before_the_read_back(self) -> None:
        book, order = self._book()
        book.record_sent(order, 0.2)
        assert book.needed_orders(0.3) == []
        assert book.due_read_backs(0.3) == ["d0"]
