"""Tests of `decisions.workload`: prefill's fraction of the load."""

from cowsliprill.decisions import workload


def _load_after(requests, prefill_s, decode_s, load=None, start=0.0):
    load = load or workload.Workload()
    for number in range(requests):
        load.add(prefill_s, decode_s, start + number * 0.25)
    return load


class TestWorkload:
    """Prefill's fraction of recent requests."""

    def test_fraction_is_unknown_after_few_requests(self):
        assert _load_after(0, 0.1, 0.4).prompt_part() is None
        assert _load_after(15, 0.1, 0.4).prompt_part() is None

    def test_fraction_of_engine_time(self):
        assert round(_load_after(60, 0.1, 0.4).prompt_part(), 3) == 0.2

    def test_follows_a_lasting_shift(self):
        """Traffic shifts to long prompts with short outputs for good.

        With engines split for the earlier traffic, prefills would queue for as
        long as the shift lasts.
        """
        load = _load_after(60, 0.1, 0.4)
        _load_after(240, 0.4, 0.1, load, start=15.0)
        assert load.prompt_part() > 0.7

    def test_burst_has_little_influence(self):
        load = _load_after(120, 0.1, 0.4)
        before = load.prompt_part()
        _load_after(4, 0.4, 0.1, load, start=30.0)
        assert load.prompt_part() - before < 0.1
