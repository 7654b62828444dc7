"""Tests of `decisions.mechanisms`: switches for ablation studies."""

import json

import pytest

from cowsliprill import environment
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import model
from cowsliprill.decisions import outlier_detection
from cowsliprill.router import config

_Mechanism = mechanisms.Mechanism

_ENDPOINT = model.Endpoint(
    id="e",
    kind=model.EndpointKind.DECODE,
    host="10.0.0.1",
    port=1,
    availability_zone="a",
    pool="writers",
    slots=10,
    connections_max=96,
    places=12,
    speeds_guessed=True,
    own_prefill_tokens_per_s=100.0,
)
_SERVICE = model.Service(
    id="s",
    customer="",
    name="s",
    kind=model.ServiceKind.MODEL,
    pool="writers",
    patience_s=3.6,
    worth_by_size=0.7,
)


class TestOverrides:
    """Disabling a mechanism clears the fields that it depends on."""

    def test_nothing_is_disabled_by_default(self):
        assert mechanisms.endpoint(_ENDPOINT, ()) is _ENDPOINT
        services = {"s": _SERVICE}
        assert mechanisms.services(services, ()) is services

    @pytest.mark.parametrize(
        ("mechanism", "field"),
        [
            (_Mechanism.CONNECTION_SHARES, "connections_max"),
            (_Mechanism.DECODE_CONCURRENCY_LIMIT, "places"),
            (_Mechanism.ESTIMATED_SPEEDS, "speeds_guessed"),
            (_Mechanism.LOCAL_PREFILL, "own_prefill_tokens_per_s"),
        ],
    )
    def test_clears_endpoint_field(self, mechanism, field):
        found = mechanisms.endpoint(_ENDPOINT, {mechanism})
        assert not getattr(found, field)

    @pytest.mark.parametrize(
        ("mechanism", "field"),
        [
            (_Mechanism.QUEUE_PAST_TARGET, "patience_s"),
            (_Mechanism.SIZE_VALUE, "worth_by_size"),
        ],
    )
    def test_clears_service_field(self, mechanism, field):
        found = mechanisms.services({"s": _SERVICE}, {mechanism})
        assert not getattr(found["s"], field)

    def test_servers_without_comparison(self):
        health = outlier_detection.FixedEjectionDetector()
        health.record_error_response("a", ["b"], 0.0)
        assert health.is_ejected("a", 0.9)
        assert not health.is_ejected("a", 1.1)


class TestSetting:
    """The setting `mechanisms_off` of a process's configuration file."""

    @staticmethod
    def _load(tmp_path, names, **more):
        path = tmp_path / "node.json"
        fields = {
            "vm": "vm-1",
            "availability_zone": "a",
            "public": "127.0.0.1:1",
            "ready": "127.0.0.1:2",
            "peer_ports": [3, 4],
            "store": "127.0.0.1:5",
            "mechanisms_off": names,
            **more,
        }
        path.write_text(json.dumps(fields))
        return config.load(path)

    def test_known_names(self, tmp_path):
        loaded = self._load(tmp_path, ["role_orders", "peer_news"])
        disabled = {_Mechanism.ROLE_ORDERS, _Mechanism.PEER_UPDATES}
        assert loaded.mechanisms_off == disabled
        assert loaded.environment().mechanisms_off == disabled

    def test_limits_of_the_quarantine(self, tmp_path):
        released = ["00112233445566ff"]
        loaded = self._load(
            tmp_path,
            ["quarantine"],
            quarantine_crashes=4,
            quarantine_s=60,
            released_requests=released,
        )
        limits = loaded.environment().quarantine_limits()
        assert (limits.crashes, limits.quarantine_s) == (4, 60.0)
        assert limits.released == set(released)

    @pytest.mark.parametrize(
        "fields",
        [
            {"quarantine_crashes": 1},
            {"quarantine_s": 0},
            {"released_requests": ["no fingerprint"]},
        ],
    )
    def test_invalid_limits_of_the_quarantine(self, tmp_path, fields):
        """Guards against a limit that refuses everything or nothing."""
        (name,) = fields
        with pytest.raises(environment.EnvironmentFileError, match=name):
            self._load(tmp_path, [], **fields)

    def test_unknown_name(self, tmp_path):
        """A misspelled name would silently disable nothing."""
        with pytest.raises(environment.EnvironmentFileError, match="rolls"):
            self._load(tmp_path, ["rolls"])
