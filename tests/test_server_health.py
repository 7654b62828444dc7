"""Which servers of a plain service are left alone."""

import random

from cowsliprill.decisions import server_health

_PEERS = ("b", "c", "d")


def _simulate(detector, failure_rates, calls, seed=1):
    """Plays calls in turn; a server fails the given share of its own."""
    rng = random.Random(seed)
    ejected = dict.fromkeys(failure_rates, 0)
    for number in range(calls):
        now = number * 0.1
        for server, failure_rate in failure_rates.items():
            if detector.is_alone(server, now):
                ejected[server] += 1
                continue
            peers = [name for name in failure_rates if name != server]
            if rng.random() < failure_rate:
                detector.answered_with_failure(server, peers, now)
            else:
                detector.answered(server)
    return {server: count / calls for server, count in ejected.items()}


class TestServerHealth:
    """Servers are compared with their peers."""

    def test_failures_by_design_say_nothing(self):
        """A seventh of all lookups finds nothing, at whichever server.

        Were each such server left alone, the others would have its calls as
        well, and callers of a busy minute would be turned away.
        """
        failure_rates = dict.fromkeys("abcd", 0.14)
        for seed in range(5):
            ejected = _simulate(
                server_health.ServerHealth(), failure_rates, 400, seed
            )
            assert max(ejected.values()) < 0.15

    def test_one_that_fails_half_of_its_calls(self):
        """A server's disk is full: every other call fails, its health is good.

        Callers would get those failures for as long as it lasts.
        """
        failure_rates = {"a": 0.55, "b": 0.14, "c": 0.14, "d": 0.14}
        for seed in range(5):
            ejected = _simulate(
                server_health.ServerHealth(), failure_rates, 400, seed
            )
            assert ejected["a"] > 0.4
            assert max(ejected[name] for name in "bcd") < 0.15

    def test_a_lost_call_counts_at_once(self):
        detector = server_health.ServerHealth()
        assert not detector.is_alone("a", 0.0)
        detector.lost("a", _PEERS, 0.0)
        assert detector.is_alone("a", 0.9)
        assert not detector.is_alone("a", 3.0)

    def test_one_that_loses_many_is_left_alone_for_longer(self):
        detector = server_health.ServerHealth()
        now = 0.0
        for _ in range(15):
            detector.lost("a", _PEERS, now)
            while detector.is_alone("a", now):
                now += 0.1
        detector.lost("a", _PEERS, now)
        assert detector.is_alone("a", now + 4.0)
        assert not detector.is_alone("a", now + 8.1)

    def test_one_that_is_well_again_is_used_as_before(self):
        detector = server_health.ServerHealth()
        for _ in range(10):
            detector.lost("a", _PEERS, 0.0)
        for _ in range(40):
            detector.answered("a")
        detector.answered_with_failure("a", _PEERS, 100.0)
        assert not detector.is_alone("a", 100.0)

    def test_those_that_are_gone_are_forgotten(self):
        detector = server_health.ServerHealth()
        detector.lost("a", _PEERS, 0.0)
        detector.forget_except(["b"])
        assert not detector.is_alone("a", 0.1)
