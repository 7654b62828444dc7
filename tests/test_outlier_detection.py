"""Tests of outlier ejection for servers of plain services."""

import random

from cowsliprill.decisions import outlier_detection

_PEERS = ("b", "c", "d")


def _simulate(detector, failure_rates, calls, seed=1):
    """Simulates calls at given failure rates, in turn over all servers.

    Returns:
      The fraction of the calls at which each server was ejected.
    """
    rng = random.Random(seed)
    ejected = dict.fromkeys(failure_rates, 0)
    for number in range(calls):
        now = number * 0.1
        for server, failure_rate in failure_rates.items():
            if detector.is_ejected(server, now):
                ejected[server] += 1
                continue
            peers = [name for name in failure_rates if name != server]
            if rng.random() < failure_rate:
                detector.record_error_response(server, peers, now)
            else:
                detector.record_success(server)
    return {server: count / calls for server, count in ejected.items()}


class TestServerHealth:
    """Servers are compared with their peers."""

    def test_errors_by_design_do_not_eject(self):
        """A seventh of all lookups finds nothing, on every server.

        If such servers were ejected, the others would get their calls as well,
        and calls would be rejected under load.
        """
        failure_rates = dict.fromkeys("abcd", 0.14)
        for seed in range(5):
            ejected = _simulate(
                outlier_detection.OutlierDetector(), failure_rates, 400, seed
            )
            assert max(ejected.values()) < 0.15

    def test_server_that_fails_half_of_its_calls_is_ejected(self):
        """A server with a full disk fails every other call.

        Its health check passes, so callers would get the errors for as long as
        the disk is full.
        """
        failure_rates = {"a": 0.55, "b": 0.14, "c": 0.14, "d": 0.14}
        for seed in range(5):
            ejected = _simulate(
                outlier_detection.OutlierDetector(), failure_rates, 400, seed
            )
            assert ejected["a"] > 0.4
            assert max(ejected[name] for name in "bcd") < 0.15

    def test_call_without_a_response_ejects_at_once(self):
        detector = outlier_detection.OutlierDetector()
        assert not detector.is_ejected("a", 0.0)
        detector.record_no_response("a", _PEERS, 0.0)
        assert detector.is_ejected("a", 0.9)
        assert not detector.is_ejected("a", 3.0)

    def test_repeated_failures_extend_the_ejection(self):
        detector = outlier_detection.OutlierDetector()
        now = 0.0
        for _ in range(15):
            detector.record_no_response("a", _PEERS, now)
            while detector.is_ejected("a", now):
                now += 0.1
        detector.record_no_response("a", _PEERS, now)
        assert detector.is_ejected("a", now + 4.0)
        assert not detector.is_ejected("a", now + 8.1)

    def test_recovered_server_is_not_ejected_for_one_error(self):
        detector = outlier_detection.OutlierDetector()
        for _ in range(10):
            detector.record_no_response("a", _PEERS, 0.0)
        for _ in range(40):
            detector.record_success("a")
        detector.record_error_response("a", _PEERS, 100.0)
        assert not detector.is_ejected("a", 100.0)

    def test_state_of_removed_servers_is_dropped(self):
        detector = outlier_detection.OutlierDetector()
        detector.record_no_response("a", _PEERS, 0.0)
        detector.retain(["b"])
        assert not detector.is_ejected("a", 0.1)
