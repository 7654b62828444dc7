"""Tests of `decisions.engine_speeds`: the pool's estimate."""

import pytest

from cowsliprill.decisions import model
from cowsliprill.decisions.engine_speeds import estimator as estimator_lib


def _engine(**changes):
    fields = {
        "id": "e",
        "kind": model.EndpointKind.DECODE,
        "host": "10.0.0.1",
        "port": 1,
        "availability_zone": "a",
        "pool": "writers",
        "slots": 5_000,
        "prefill_tokens_per_s": 30_000.0,
        "own_prefill_tokens_per_s": 15_000.0,
        "seconds_per_token": 0.008,
        "speeds_guessed": True,
    }
    return model.Endpoint(**{**fields, **changes})


def _estimator(*engines):
    estimator = estimator_lib.SpeedEstimator()
    estimator.set_engines(engines or [_engine()])
    return estimator


def _add_prefills(estimator, fixed_s, slow_prompts=0):
    for number in range(31):
        tokens = 1_000 + 137 * number
        seconds = fixed_s + tokens / 50_000
        seconds += 0.5 if number < slow_prompts else 0.0
        estimator.add_prefill(_engine(), tokens, seconds, number * 0.5)


class TestSpeedEstimator:
    """Measured speeds replace configured defaults."""

    def test_default_is_used_without_samples(self):
        assert _estimator().apply_to(_engine()) == _engine()

    def test_measured_speeds_replace_defaults(self):
        """Engines are twelve times as fast as the configured defaults.

        With the defaults, a third of the requests at moderate load seems to
        exceed the capacity and is rejected while half of the memory is free.
        """
        estimator = _estimator()
        assert estimator.add_decode(_engine(), 6_000, 4.2, 0.0)
        _add_prefills(estimator, fixed_s=0.0)
        found = estimator.apply_to(_engine())
        assert round(found.seconds_per_token, 6) == 0.0007
        assert round(found.prefill_tokens_per_s) == 50_000
        assert round(found.own_prefill_tokens_per_s) == 25_000

    @pytest.mark.parametrize("fixed_s", [0.0, 0.02, 0.12])
    def test_fixed_overhead_per_prompt_is_excluded(self, fixed_s):
        """Each prompt has a fixed overhead of about 0.1 s besides its prefill.

        If it counted as prefill time, prefill speed would appear to be a third
        of the real one, half of a pool would be assigned to prefill, and
        requests would be rejected for lack of decode engines.
        """
        estimator = _estimator()
        _add_prefills(estimator, fixed_s)
        found = estimator.apply_to(_engine()).prefill_tokens_per_s
        assert found == pytest.approx(50_000, rel=0.1)

    def test_robust_to_a_few_slow_prompts(self):
        estimator = _estimator()
        _add_prefills(estimator, 0.05, slow_prompts=4)
        found = estimator.apply_to(_engine()).prefill_tokens_per_s
        assert found == pytest.approx(50_000, rel=0.35)

    def test_prompts_of_equal_length_are_ignored(self):
        estimator = _estimator()
        for number in range(40):
            assert not estimator.add_prefill(_engine(), 3_000, 0.2, number)

    def test_explicit_speeds_are_kept(self):
        estimator = _estimator()
        stated = _engine(speeds_guessed=False)
        estimator.add_decode(_engine(), 6_000, 4.2, 0.0)
        estimator.add_decode(stated, 6_000, 4.2, 1.0)
        assert estimator.apply_to(stated) == stated
        assert estimator.usual_seconds_per_token(stated) == 0.008

    def test_robust_to_one_slow_engine_of_four(self):
        engines = [_engine(id=f"d{number}") for number in range(4)]
        estimator = _estimator(*engines)
        for number in range(40):
            seconds = 8.0 if number % 4 == 0 else 1.0
            estimator.add_decode(
                engines[number % 4], 1_000, seconds, number * 0.5
            )
        for engine in engines[1:]:
            assert estimator.apply_to(engine).seconds_per_token == 0.001

    def test_follows_a_change_of_all_engines(self):
        engines = [_engine(id=f"d{number}") for number in range(4)]
        estimator = _estimator(*engines)
        published = []
        for number in range(71):
            seconds = 1.0 if number < 40 else 3.0
            published.append(
                estimator.add_decode(
                    engines[number % 4], 1_000, seconds, number * 0.25
                )
            )
        assert published[40:].count(True) == 1
        for engine in engines:
            assert estimator.apply_to(engine).seconds_per_token == 0.003

    def test_short_outputs_are_ignored(self):
        estimator = _estimator()
        assert not estimator.add_decode(_engine(), 3, 1.0, 0.0)
        assert estimator.apply_to(_engine()) == _engine()
