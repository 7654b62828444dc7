"""Tests of `decisions.health`."""

from cowsliprill.decisions import model
from cowsliprill.decisions.engine_health import health

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
    """Attribution of slow transfers to engines."""

    def test_engine_with_more_slow_transfers_is_ejected(self) -> None:
        """The link of one decode engine runs at a tenth of its rate.

        KV caches sent to the engine are evicted before they arrive. If the
        prefill engines were blamed, healthy engines would be ejected one after
        another.
        """
        engine_health = health.EngineHealth()
        for prefill_id in ("p0", "p1"):
            engine_health.record_transfer(
                prefill_id, "slow", _INFINITE, 1.0, 0.0
            )
            engine_health.record_transfer(prefill_id, "good", 1.0, 1.0, 0.0)
        assert not engine_health.usable("slow", 0.1)
        assert all(
            engine_health.usable(name, 0.1) for name in ("p0", "p1", "good")
        )


class TestEjection:
    """Ejecting and probing an engine."""

    def test_one_probe_at_a_time_and_doubling_interval(self) -> None:
        engine_health = health.EngineHealth()
        engine_health.record_failure("e", 0.0)
        assert not engine_health.usable("e", 1.9)
        assert engine_health.usable("e", 2.0)
        engine_health.record_placement("e", 2.0)
        assert not engine_health.usable("e", 2.1)
        engine_health.record_failure("e", 2.2)
        assert not engine_health.usable("e", 6.1)
        assert engine_health.usable("e", 6.2)

    def test_successful_probe_readmits_the_engine(self) -> None:
        engine_health = health.EngineHealth()
        engine_health.record_failure("e", 0.0)
        engine_health.record_placement("e", 2.0)
        engine_health.record_token_time_ratio("e", 1.0, 2.5)
        assert engine_health.usable("e", 2.5)

    def test_streams_from_before_a_failure_do_not_readmit_the_engine(
        self,
    ) -> None:
        """Guards against prefills for an engine that fails all new requests."""
        engine_health = health.EngineHealth()
        engine_health.record_failure("e", 10.0)
        engine_health.record_token_time_ratio("e", 1.0, 10.5, sent_at=8.0)
        engine_health.record_transfer("p", "e", 0.01, 0.01, 10.5, sent_at=9.9)
        engine_health.record_success("e", sent_at=9.9)
        assert not engine_health.usable("e", 11.0)
        engine_health.record_token_time_ratio("e", 1.0, 10.6, sent_at=10.1)
        assert engine_health.usable("e", 11.0)

    def test_failures_of_concurrent_streams_count_once(self) -> None:
        """A crash ends twenty streams at once."""
        engine_health = health.EngineHealth()
        for _ in range(20):
            engine_health.record_failure("e", 0.0)
        assert engine_health.usable("e", 2.0)

    def test_short_transfer_with_a_small_delay_is_not_slow(self) -> None:
        """A prompt of a few tokens is transferred in a millisecond.

        A delay of ten milliseconds in a busy process doesn't mean a slow link.
        When it counted as one, both decode engines of a pool were ejected, and
        callers got `overloaded` on an idle site.
        """
        engine_health = health.EngineHealth()
        for _ in range(10):
            engine_health.record_transfer("p0", "d0", 0.06, 0.01, 0.0)
        assert engine_health.ejected_engine_ids(_endpoints("d0", "d1")) == set()


class TestEjectedEngines:
    """Which engines of one kind may only get probes."""

    def test_not_all_engines_are_ejected_for_slowness(self) -> None:
        """All engines of a pool are slow at the same time.

        With all of them ejected, every request was rejected while the engines
        had free slots.
        """
        engine_health = health.EngineHealth()
        for name in ("d0", "d1"):
            for _ in range(3):
                engine_health.record_token_time_ratio(name, 2.0, 0.0)
        assert engine_health.ejected_engine_ids(
            _endpoints("d0", "d1", "d2")
        ) == {
            "d0",
            "d1",
        }
        assert engine_health.ejected_engine_ids(_endpoints("d0", "d1")) == set()

    def test_all_failing_engines_are_ejected(self) -> None:
        """All engines of a pool fail; not every request may be lost on them."""
        engine_health = health.EngineHealth()
        for name in ("d0", "d1"):
            engine_health.record_failure(name, 0.0)
        assert engine_health.ejected_engine_ids(_endpoints("d0", "d1")) == {
            "d0",
            "d1",
        }


class TestProbes:
    """Requests that probe an ejected engine."""

    def test_engine_is_probed_again_after_an_inconclusive_probe(self) -> None:
        """The caller of a probe disconnects, or the other engine fails it.

        The engine then stayed ejected for 30 s, although only the earlier
        failure was known.
        """
        engine_health = health.EngineHealth()
        engine_health.record_failure("p0", 0.0)
        assert engine_health.record_placement("p0", 2.0)
        assert not engine_health.usable("p0", 2.1)
        engine_health.end_probe("p0")
        assert engine_health.usable("p0", 2.1)

    def test_request_to_a_healthy_engine_is_not_a_probe(self) -> None:
        assert not health.EngineHealth().record_placement("p0", 0.0)

    def test_successful_prefill_readmits_the_engine(self) -> None:
        engine_health = health.EngineHealth()
        engine_health.record_failure("p0", 0.0)
        engine_health.record_placement("p0", 2.0)
        engine_health.record_success("p0")
        assert engine_health.ejected_engine_ids(_endpoints("p0", "p1")) == set()

    def test_successful_prefill_does_not_readmit_a_slow_engine(self) -> None:
        engine_health = health.EngineHealth()
        for _ in range(3):
            engine_health.record_token_time_ratio("p0", 2.0, 0.0)
        engine_health.record_success("p0")
        assert engine_health.ejected_engine_ids(_endpoints("p0", "p1")) == {
            "p0"
        }

    def test_engines_are_probed_soon_if_all_are_ejected(self) -> None:
        """Both prefill engines of a pool occasionally lose a response.

        Each failure doubled the ejection interval, and all requests of the pool
        were rejected for ten seconds.
        """
        engine_health = health.EngineHealth()
        for at in (0.0, 2.0, 6.0, 14.0):
            engine_health.record_failure("p0", at)
        assert not engine_health.usable("p0", 14.4)
        assert not engine_health.usable("p0", 14.6)
        assert engine_health.usable("p0", 14.6, last_resort=True)
        assert not engine_health.usable("p0", 14.4, last_resort=True)

    def test_unreachable_engine_is_probed_within_seconds(self) -> None:
        engine_health = health.EngineHealth()
        for at in range(20):
            engine_health.record_failure("d0", 10.0 * at, unreachable=True)
        assert engine_health.usable("d0", 192.0)


class TestRestart:
    """An engine restarts under the same id."""

    def test_state_is_dropped_after_a_restart(self) -> None:
        """An engine that restarts after a crash would stay ejected and idle."""
        engine_health = health.EngineHealth()
        engine_health.record_failure("d0", 1.0)
        assert not engine_health.usable("d0", 1.1)
        engine_health.reset("d0")
        assert engine_health.usable("d0", 1.1)
        assert engine_health.ejected_engine_ids(_endpoints("d0", "d1")) == set()


class TestUnreachable:
    """An engine refuses connections for a moment."""

    def test_unreachable_engine_is_probed_soon(self) -> None:
        engine_health = health.EngineHealth()
        engine_health.record_failure("d0", 1.0, unreachable=True)
        assert engine_health.was_unreachable("d0")
        assert not engine_health.usable("d0", 1.4)
        assert engine_health.usable("d0", 1.6)


class TestSilence:
    """Engines that send nothing while their hosts are reachable."""

    def test_silent_engine_gets_no_requests_until_it_sends_output(self) -> None:
        engine_health = health.EngineHealth()
        engine_health.record_silence("a", 0.0)
        assert engine_health.ejected_engine_ids(_endpoints("a", "b")) == {"a"}
        engine_health.end_silence("a")
        assert not engine_health.ejected_engine_ids(_endpoints("a", "b"))

    # Guards against a pool that serves nobody as all its engines stood still.
    def test_not_all_engines_are_ejected_for_silence(self) -> None:
        engine_health = health.EngineHealth()
        for name in ("a", "b"):
            engine_health.record_silence(name, 0.0)
        assert not engine_health.any_sound(_endpoints("a", "b"))
        assert engine_health.any_sound(_endpoints("a", "b", "c"))
        assert not engine_health.ejected_engine_ids(_endpoints("a", "b"))

    # Guards against a silence that is remembered for longer each time.
    def test_engine_is_tried_again_after_two_seconds_each_time(self) -> None:
        engine_health = health.EngineHealth()
        for now in (0.0, 10.0, 20.0):
            engine_health.record_silence("a", now)
            assert not engine_health.usable("a", now + 1.9)
            assert engine_health.usable("a", now + 2.0)
            engine_health.record_success("a", now + 2.0)

    def test_output_does_not_readmit_an_engine_that_fails(self) -> None:
        engine_health = health.EngineHealth()
        engine_health.record_failure("a", 0.0)
        engine_health.record_silence("a", 0.1)
        engine_health.end_silence("a")
        assert engine_health.ejected_engine_ids(_endpoints("a", "b")) == {"a"}
