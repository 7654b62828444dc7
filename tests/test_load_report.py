"""Tests of `engines.load_report`."""

import pytest

from cowsliprill.engines import errors
from cowsliprill.engines import load_report
from cowsliprill.engines import model

_REPORT = model.LoadReport(running=7, waiting=2, kv_usage=0.25, slots=20)


class TestParse:
    """Parsing of load reports in Prometheus text format."""

    def test_parses_rendered_report(self) -> None:
        assert load_report.parse(load_report.render(_REPORT)) == _REPORT

    def test_labels_exponents_and_other_metrics(self) -> None:
        text = (
            b"# HELP engine_slots Slots.\n# TYPE engine_slots gauge\n"
            b'engine_slots{model="a b"} 2.0e+01\nother_total 5\n'
            b"engine_num_requests_running 7.0\n"
            b"engine_num_requests_waiting 2\n"
            b"engine_kv_cache_usage_ratio 2.5e-01\n"
        )
        assert load_report.parse(text) == _REPORT

    @pytest.mark.parametrize(
        "text", [b"", b"engine_slots 4\n", b"\xff\xfe", b"engine_slots ee\n"]
    )
    def test_missing_or_invalid_gauges(self, text) -> None:
        """An engine is starting up, or is of an unsupported kind.

        If the report counted as zero load, the router would overload the
        engine.
        """
        with pytest.raises(errors.EngineFailed):
            load_report.parse(text)
