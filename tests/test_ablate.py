"""Tests of `tools.ablate`: goodput lost without a mechanism."""

import json

import pytest
from tools import ablate

from cowsliprill.decisions import mechanisms
from cowsliprill.router import config

_TEXT = """built in 1.0 s; 30676 lines in 266 files
day         own/srv  score  worth served refused failed  weakest part
scale-2        6/12   0.71  0.458  0.676   0.021  0.057  worst windows 0.06
trouble-1      6/12   0.00 -0.120  0.300   0.000  0.010  LOST broken
"""


def _play(without, day, worth, site="a", broken=""):
    return ablate.DayResult(
        without=without,
        site=site,
        day=day,
        seed="",
        worth=worth,
        served=0.9,
        broken=broken,
    )


class TestParse:
    """Parsing of the benchmark's output."""

    def test_row(self):
        assert ablate.parse(_TEXT, "scale-2") == (0.458, 0.676, "")

    def test_broken_rule(self):
        assert ablate.parse(_TEXT, "trouble-1") == (-0.12, 0.3, "LOST")

    def test_missing_row(self):
        with pytest.raises(ValueError, match="quiet-1"):
            ablate.parse(_TEXT, "quiet-1")


class TestTable:
    """Loss of goodput without each mechanism."""

    def test_compares_only_rows_present_in_both(self):
        lines = ablate.table(
            [
                _play("none", "d1", 0.7),
                _play("none", "d2", 0.9),
                _play("role_orders", "d1", 0.5, broken="LOST"),
                _play("role_orders", "d3", 0.1),
            ]
        )
        assert lines[-1] == (
            "| role_orders | 1 | -0.200 | -0.200 | 0.000 | 1 broken |"
        )


class TestSetting:
    """The setting written into the copied configuration template."""

    def test_process_loads_disabled_mechanism(self, tmp_path):
        template = tmp_path / "settings.json"
        template.write_text(
            json.dumps(
                {
                    "vm": "vm-1",
                    "availability_zone": "a",
                    "public": "127.0.0.1:1",
                    "ready": "127.0.0.1:2",
                    "peer_ports": [3, 4],
                    "store": "127.0.0.1:5",
                },
                indent=2,
            )
            + "\n"
        )
        ablate._switch_off(template, "peer_news")
        loaded = config.load(template)
        assert loaded.mechanisms_off == {mechanisms.Mechanism.PEER_UPDATES}
