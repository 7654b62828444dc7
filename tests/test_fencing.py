"""Tests of `decisions.fencing`, in virtual time with two homes."""

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
    """An engine that checks fencing numbers, or takes whatever comes."""

    checks: bool
    highest: int = 0
    version: str = "none"

    def order(self, order: fencing.Order) -> bool:
        if self.checks and order.fencing < self.highest:
            return False
        self.highest = order.fencing
        self.version = order.target.version
        return True

    def read_back(self) -> fencing.ReadBack:
        return fencing.ReadBack(
            fencing=self.highest, target=_target(self.version)
        )


class _Home:
    """One home's shell: sees revisions when told, and runs unless paused."""

    def __init__(self, checks: bool) -> None:
        self.book = fencing.OrderBook(0.0)
        self.checks = checks
        self.revision = 0
        self.paused = False
        self.is_home = True
        self.peers_revision = 0
        self.sent: list[tuple[float, fencing.Order]] = []

    def accept(self, revision: int, version: str) -> None:
        self.revision = revision
        self.book.see_engines(revision, [_engine(version, self.checks)])

    def step(self, engine: _FakeEngine, now: float) -> None:
        if self.paused:
            return
        self.book.look(now)
        for endpoint_id in self.book.to_read(now):
            self.book.see_read_back(endpoint_id, engine.read_back(), now)
        zone = fencing.ZoneReport(
            listed=3, heard=3, highest_revision=self.peers_revision, at=now
        )
        for order in self.book.wanted(now):
            hold = self.book.hold(
                order, is_home=self.is_home, zone=zone, now=now
            )
            if hold is None:
                self.sent.append((now, order))
                engine.order(order)
                self.book.sent(order, now)


_EVENTS = strategies.lists(
    strategies.sampled_from(
        ["publish", "old sees", "new sees", "pause", "wake", "move", "run"]
    ),
    max_size=40,
)


class _World:
    """Two VMs that may both think that the engine is theirs."""

    def __init__(self, checks: bool) -> None:
        self.engine = _FakeEngine(checks)
        self.old = _Home(checks)
        self.new = _Home(checks)
        self.new.is_home = False
        self.versions = ["v0"]
        self.now = 0.0

    @property
    def revision(self) -> int:
        return len(self.versions)

    def see(self, home: _Home) -> None:
        if not home.paused:
            home.accept(self.revision, self.versions[-1])

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / _STEP_S)):
            self.now += _STEP_S
            for home in (self.old, self.new):
                home.step(self.engine, self.now)

    def do(self, event: str) -> None:
        match event:
            case "publish":
                # Versions come back, as when an operator undoes a change.
                self.versions.append(f"v{len(self.versions) % 2}")
            case "old sees":
                self.see(self.old)
            case "new sees":
                self.see(self.new)
            case "pause":
                self.old.paused = True
            case "wake":
                self.old.paused = False
            case "move":
                self.new.is_home = True
        self.run(3.0)

    def settle(self) -> None:
        self.old.paused = False
        self.old.is_home = False
        self.new.is_home = True
        self.see(self.new)
        self.see(self.old)
        self.run(fencing.READ_S + fencing.SETTLE_S + fencing.ORDER_GAP_S + 1)


class TestOrderBook:
    """What an older or woken home may still do to an engine."""

    @_SETTINGS
    @hypothesis.given(events=_EVENTS, checks=strategies.booleans())
    def test_an_engine_ends_as_the_newest_revision_says(
        self, events: list[str], checks: bool
    ) -> None:
        """Two homes order the same engine, one of them pauses and wakes.

        An engine that is left with last week's model gives wrong answers to
        the callers whose requests are routed to it as the new one.
        """
        world = _World(checks)
        for event in events:
            world.do(event)
        world.settle()
        assert world.engine.version == world.versions[-1]

    @_SETTINGS
    @hypothesis.given(events=_EVENTS, checks=strategies.booleans())
    def test_no_order_goes_out_below_a_number_that_was_read(
        self, events: list[str], checks: bool
    ) -> None:
        """An old home has read a newer home's number and still orders."""
        world = _World(checks)
        world.engine.highest = 7
        for event in events:
            world.do(event)
        for home in (world.old, world.new):
            assert all(order.fencing >= 7 for _, order in home.sent)

    def test_a_woken_home_waits_and_then_stands_back(self) -> None:
        """A home is paused while the model is changed, and wakes.

        It still believes in the old revision. Ordering at once would turn an
        engine that doesn't check back to the old model.
        """
        home = _Home(False)
        engine = _FakeEngine(False)
        home.accept(1, "v0")
        home.step(engine, 0.5)
        assert engine.version == "v0"
        engine.version = "v1"
        home.peers_revision = 2
        for step in range(60):
            home.step(engine, 100.0 + step * _STEP_S)
        assert engine.version == "v1"
        assert [order.fencing for _, order in home.sent] == [1]

    def test_a_change_and_its_undoing_raise_the_number(self) -> None:
        """A model is changed and changed back while a home sleeps.

        The engine is what it should be, but with the number of old, so the
        sleeper's order for the change in between would still be taken.
        """
        home = _Home(True)
        engine = _FakeEngine(True)
        home.accept(1, "v0")
        home.step(engine, 0.5)
        home.accept(2, "v1")
        home.accept(3, "v0")
        for step in range(1, 40):
            home.step(engine, 0.5 + step * _STEP_S)
        assert engine.highest == 3

    def test_revisions_that_leave_an_engine_alone_cost_no_order(self) -> None:
        home = _Home(True)
        engine = _FakeEngine(True)
        for revision in range(1, 200):
            home.accept(revision, "v0")
            home.step(engine, revision * _STEP_S)
        assert len(home.sent) == 1

    def test_an_engine_without_numbers_isnt_ordered_again_and_again(
        self,
    ) -> None:
        book = fencing.OrderBook(0.0)
        book.see_engines(9, [_engine("v1", False)])
        read = fencing.ReadBack(fencing=0, target=_target("v1"))
        book.see_read_back("d0", read, 0.1)
        assert book.wanted(0.1) == []

    def test_a_lower_revision_changes_nothing(self) -> None:
        """A stale replica of the platform serves an older revision."""
        book = fencing.OrderBook(0.0)
        book.see_engines(9, [_engine("v1", True)])
        book.see_engines(8, [_engine("v0", True)])
        read = fencing.ReadBack(fencing=9, target=_target("v1"))
        book.see_read_back("d0", read, 0.1)
        assert book.wanted(0.1) == []


class TestHold:
    """The checks right before an order goes out."""

    def _book(self) -> tuple[fencing.OrderBook, fencing.Order]:
        book = fencing.OrderBook(0.0)
        book.see_engines(5, [_engine("v1", True)])
        read = fencing.ReadBack(fencing=4, target=_target("v0"))
        book.see_read_back("d0", read, 0.1)
        return book, book.wanted(0.1)[0]

    def _zone(self, heard: int, revision: int = 5) -> fencing.ZoneReport:
        return fencing.ZoneReport(
            listed=4, heard=heard, highest_revision=revision, at=0.1
        )

    def test_all_well_may_go(self) -> None:
        book, order = self._book()
        hold = book.hold(order, is_home=True, zone=self._zone(4), now=0.2)
        assert hold is None

    def test_a_home_cut_off_from_its_zone_is_held(self) -> None:
        """A partition leaves a home with a minority of its zone.

        The others have moved on to a new home and perhaps a new revision.
        """
        book, order = self._book()
        hold = book.hold(order, is_home=True, zone=self._zone(1), now=0.2)
        assert hold is fencing.Hold.CUT_OFF

    def test_a_home_that_is_behind_its_peers_is_held(self) -> None:
        book, order = self._book()
        zone = self._zone(4, revision=6)
        hold = book.hold(order, is_home=True, zone=zone, now=0.2)
        assert hold is fencing.Hold.BEHIND

    def test_a_pause_between_check_and_order_is_noticed(self) -> None:
        book, order = self._book()
        hold = book.hold(order, is_home=True, zone=self._zone(4), now=60.0)
        assert hold is fencing.Hold.JUST_WOKEN

    def test_a_home_that_lost_the_engine_is_held(self) -> None:
        book, order = self._book()
        hold = book.hold(order, is_home=False, zone=self._zone(4), now=0.2)
        assert hold is fencing.Hold.NOT_HOME

    def test_a_second_load_in_a_row_waits_for_the_weight_store(self) -> None:
        book, order = self._book()
        book.sent(order, 0.2)
        read = fencing.ReadBack(fencing=4, target=_target("v0"))
        book.see_read_back("d0", read, 0.3)
        hold = book.hold(order, is_home=True, zone=self._zone(4), now=0.4)
        assert hold is fencing.Hold.RATE

    def test_an_order_of_a_revision_that_was_replaced_is_held(self) -> None:
        """New settings come while the home waits for its peers' answers."""
        book, order = self._book()
        book.see_engines(6, [_engine("v1", True)])
        zone = self._zone(4)
        hold = book.hold(order, is_home=True, zone=zone, now=0.2)
        assert hold is fencing.Hold.BEHIND

    def test_nothing_is_sent_again_before_the_engine_is_read_back(self) -> None:
        book, order = self._book()
        book.sent(order, 0.2)
        assert book.wanted(0.3) == []
        assert book.to_read(0.3) == ["d0"]
