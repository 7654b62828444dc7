"""How work divides between prompts and answers."""

from cowsliprill.decisions import workload


def _after(requests, prompt_s, answer_s, known=None, begin=0.0):
    known = known or workload.Workload()
    for number in range(requests):
        known.add(prompt_s, answer_s, begin + number * 0.25)
    return known


class TestWorkload:
    """The part that prompts are."""

    def test_a_few_requests_say_nothing(self):
        assert _after(0, 0.1, 0.4).prompt_part() is None
        assert _after(15, 0.1, 0.4).prompt_part() is None

    def test_the_part_of_the_time(self):
        assert round(_after(60, 0.1, 0.4).prompt_part(), 3) == 0.2

    def test_a_turn_of_the_traffic_is_followed(self):
        """Callers turn to long prompts with short answers and stay with it.

        Engines divided for the traffic before would have prompts queue for as
        long as it lasts.
        """
        known = _after(60, 0.1, 0.4)
        _after(240, 0.4, 0.1, known, begin=15.0)
        assert known.prompt_part() > 0.7

    def test_a_burst_moves_it_little(self):
        known = _after(120, 0.1, 0.4)
        before = known.prompt_part()
        _after(4, 0.4, 0.1, known, begin=30.0)
        assert known.prompt_part() - before < 0.1
