"""What engines' work tells of their speeds."""

import pytest

from cowsliprill.decisions import model
from cowsliprill.decisions import speeds


def _engine(**changes):
    facts = {
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
    return model.Endpoint(**{**facts, **changes})


def _read(known, fixed_s, slow=0):
    for number in range(31):
        tokens = 1_000 + 137 * number
        seconds = fixed_s + tokens / 50_000
        known.read(tokens, seconds + (0.5 if number < slow else 0.0))


class TestSpeeds:
    """Guesses hold until work was watched."""

    def test_a_guess_holds_at_first(self):
        assert speeds.Speeds().describe(_engine()) == _engine()

    def test_what_is_watched_replaces_it(self):
        """Engines are twelve times as fast as guessed.

        By the guess a third of the callers of a calm day asks for more than
        there is, and is refused while half of the memory is free.
        """
        known = speeds.Speeds()
        assert known.wrote(6_000, 4.2)
        _read(known, fixed_s=0.0)
        found = known.describe(_engine())
        assert round(found.seconds_per_token, 6) == 0.0007
        assert round(found.prefill_tokens_per_s) == 50_000
        assert round(found.own_prefill_tokens_per_s) == 25_000

    @pytest.mark.parametrize("fixed_s", [0.0, 0.02, 0.12])
    def test_the_fixed_part_of_a_prompt_isnt_reading(self, fixed_s):
        """Each prompt takes a tenth of a second beside its reading.

        Engines seem to read a third as fast as they do, so half of a pool is
        told to read prompts, and callers are refused for lack of the others.
        """
        known = speeds.Speeds()
        _read(known, fixed_s)
        found = known.describe(_engine()).prefill_tokens_per_s
        assert found == pytest.approx(50_000, rel=0.1)

    def test_a_few_slow_prompts_hardly_count(self):
        known = speeds.Speeds()
        _read(known, 0.05, slow=4)
        found = known.describe(_engine()).prefill_tokens_per_s
        assert found == pytest.approx(50_000, rel=0.35)

    def test_prompts_of_one_length_tell_nothing(self):
        known = speeds.Speeds()
        for _ in range(40):
            assert not known.read(3_000, 0.2)

    def test_stated_speeds_stay(self):
        known = speeds.Speeds()
        known.wrote(6_000, 4.2)
        stated = _engine(speeds_guessed=False)
        assert known.describe(stated) == stated

    def test_one_slow_engine_of_four_doesnt_count(self):
        known = speeds.Speeds()
        for number in range(40):
            known.wrote(1_000, 8.0 if number % 4 == 0 else 1.0)
        assert known.describe(_engine()).seconds_per_token == 0.001

    def test_a_change_of_all_is_followed(self):
        known = speeds.Speeds()
        for _ in range(40):
            known.wrote(1_000, 1.0)
        told = [known.wrote(1_000, 3.0) for _ in range(31)]
        assert told.count(True) == 1
        assert known.describe(_engine()).seconds_per_token == 0.003

    def test_short_work_says_nothing(self):
        known = speeds.Speeds()
        assert not known.wrote(3, 1.0)
        assert known.describe(_engine()) == _engine()
