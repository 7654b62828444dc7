"""Tests of `decisions.health`."""

from cowsliprill.decisions import health
from cowsliprill.decisions import model

_INFINITE = float("inf")


def _endpoints(*names: str) -> list[model.Endpoint]:
    return [
        model.Endpoint(
            id=name,
            kind=model.EndpointKind.DECODE,
            host="127.0.0.1",
            port=1,
            availability_zone="gasabo",
            pool="g",
            slots=4,
        )
        for name in names
    ]


class TestTransfers:
    """Whose link is slow."""

    def test_the_end_with_more_slow_transfers_is_blamed(self) -> None:
        """One decode engine's link runs at a tenth of its rate.

        Prefills sent to it are evicted before they arrive. Were a prefill
        engine blamed, good engines would be left alone one after another.
        """
        breakers = health.Health()
        for prefill_id in ("p0", "p1"):
            breakers.transfer(prefill_id, "slow", _INFINITE, 1.0, 0.0)
            breakers.transfer(prefill_id, "good", 1.0, 1.0, 0.0)
        assert not breakers.usable("slow", 0.1)
        assert all(breakers.usable(name, 0.1) for name in ("p0", "p1", "good"))


class TestAvoidance:
    """Leaving an endpoint alone and trying it again."""

    def test_one_probe_at_a_time_and_longer_each_time(self) -> None:
        breakers = health.Health()
        breakers.failed("e", 0.0)
        assert not breakers.usable("e", 1.9)
        assert breakers.usable("e", 2.0)
        breakers.placed("e", 2.0)
        assert not breakers.usable("e", 2.1)
        breakers.failed("e", 2.2)
        assert not breakers.usable("e", 6.1)
        assert breakers.usable("e", 6.2)

    def test_a_good_probe_brings_it_back(self) -> None:
        breakers = health.Health()
        breakers.failed("e", 0.0)
        breakers.placed("e", 2.0)
        breakers.pace("e", 1.0, 2.5)
        assert breakers.usable("e", 2.5)

    def test_streams_from_before_a_failure_do_not_bring_it_back(self) -> None:
        """Guards against prompts read for an engine that fails all new work."""
        breakers = health.Health()
        breakers.failed("e", 10.0)
        breakers.pace("e", 1.0, 10.5, sent_at=8.0)
        breakers.transfer("p", "e", 0.01, 0.01, 10.5, sent_at=9.9)
        breakers.answered("e", sent_at=9.9)
        assert not breakers.usable("e", 11.0)
        breakers.pace("e", 1.0, 10.6, sent_at=10.1)
        assert breakers.usable("e", 11.0)

    def test_failures_of_earlier_work_are_one_piece_of_news(self) -> None:
        """Twenty streams end when their engine dies."""
        breakers = health.Health()
        for _ in range(20):
            breakers.failed("e", 0.0)
        assert breakers.usable("e", 2.0)

    def test_a_short_transfer_late_by_a_hair_is_not_slow(self) -> None:
        """A prompt of a few tokens moves in a millisecond.

        Ten of them for a busy process aren't a slow link. Taken for one, both
        decode engines of a pool were left alone, and callers got `overloaded`
        on an idle site.
        """
        breakers = health.Health()
        for _ in range(10):
            breakers.transfer("p0", "d0", 0.06, 0.01, 0.0)
        assert breakers.left_alone(_endpoints("d0", "d1")) == set()


class TestLeftAlone:
    """Which endpoints of one kind get probes only."""

    def test_not_all_that_are_slow(self) -> None:
        """All engines of a pool are slow at once.

        Leaving all alone refused every caller while their slots were free.
        """
        breakers = health.Health()
        for name in ("d0", "d1"):
            for _ in range(3):
                breakers.pace(name, 2.0, 0.0)
        assert breakers.left_alone(_endpoints("d0", "d1", "d2")) == {"d0", "d1"}
        assert breakers.left_alone(_endpoints("d0", "d1")) == set()

    def test_all_that_fail(self) -> None:
        """All engines of a pool fail: requests must not all be lost there."""
        breakers = health.Health()
        for name in ("d0", "d1"):
            breakers.failed(name, 0.0)
        assert breakers.left_alone(_endpoints("d0", "d1")) == {"d0", "d1"}


class TestProbes:
    """Requests that try an endpoint which was left alone."""

    def test_one_whose_request_came_to_no_verdict_is_tried_again(self) -> None:
        """The caller of a probe leaves, or the other engine fails it.

        The endpoint was left alone for half a minute then, though nothing was
        known against it but the failure before.
        """
        breakers = health.Health()
        breakers.failed("p0", 0.0)
        assert breakers.placed("p0", 2.0)
        assert not breakers.usable("p0", 2.1)
        breakers.probe_ended("p0")
        assert breakers.usable("p0", 2.1)

    def test_a_request_to_a_sound_endpoint_is_no_probe(self) -> None:
        assert not health.Health().placed("p0", 0.0)

    def test_a_prefill_that_succeeds_ends_it(self) -> None:
        breakers = health.Health()
        breakers.failed("p0", 0.0)
        breakers.placed("p0", 2.0)
        breakers.answered("p0")
        assert breakers.left_alone(_endpoints("p0", "p1")) == set()

    def test_a_prefill_that_succeeds_says_nothing_of_a_slow_link(self) -> None:
        breakers = health.Health()
        for _ in range(3):
            breakers.pace("p0", 2.0, 0.0)
        breakers.answered("p0")
        assert breakers.left_alone(_endpoints("p0", "p1")) == {"p0"}

    def test_all_of_a_kind_are_tried_soon(self) -> None:
        """Both prefill engines of a pool lose an answer now and then.

        Each failure doubled the time for which one was left alone, and for
        ten seconds every caller of the pool was refused.
        """
        breakers = health.Health()
        for at in (0.0, 2.0, 6.0, 14.0):
            breakers.failed("p0", at)
        assert not breakers.usable("p0", 14.4)
        assert not breakers.usable("p0", 14.6)
        assert breakers.usable("p0", 14.6, last_resort=True)
        assert not breakers.usable("p0", 14.4, last_resort=True)

    def test_one_that_takes_no_connection_is_tried_within_seconds(self) -> None:
        breakers = health.Health()
        for at in range(20):
            breakers.failed("d0", 10.0 * at, unreachable=True)
        assert breakers.usable("d0", 192.0)


class TestNewLife:
    """An engine starts again under the id that it had."""

    def test_what_its_last_life_did_is_forgotten(self) -> None:
        """It crashed and came back; left alone it would stand idle."""
        breakers = health.Health()
        breakers.failed("d0", 1.0)
        assert not breakers.usable("d0", 1.1)
        breakers.forget("d0")
        assert breakers.usable("d0", 1.1)
        assert breakers.left_alone(_endpoints("d0", "d1")) == set()


class TestBriefAbsence:
    """An engine takes no connection for a moment."""

    def test_it_is_tried_again_soon(self) -> None:
        breakers = health.Health()
        breakers.failed("d0", 1.0, unreachable=True)
        assert breakers.was_unreachable("d0")
        assert not breakers.usable("d0", 1.4)
        assert breakers.usable("d0", 1.6)
