"""Tests of `decisions.placement`."""

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import pair_selection

_COSTS = strategies.integers(0, 5).map(float)
_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)


def _candidates(
    costs: list[float], name: str
) -> list[pair_selection.Candidate]:
    return [
        pair_selection.Candidate(f"{name}{number}", cost)
        for number, cost in enumerate(costs)
    ]


class TestChoose:
    """The selected pair is that of an exhaustive search."""

    @_SETTINGS
    @hypothesis.given(
        strategies.lists(_COSTS, max_size=4),
        strategies.lists(_COSTS, max_size=5),
        strategies.lists(_COSTS, min_size=20, max_size=20),
    )
    def test_equals_exhaustive_search(
        self, prefill_costs, decode_costs, transfers
    ) -> None:
        prefills = _candidates(prefill_costs, "p")
        decodes = _candidates(decode_costs, "d")

        def transfer_s(prefill_id: str, decode_id: str) -> float:
            return transfers[int(prefill_id[1]) * 5 + int(decode_id[1])]

        pairs = [
            (
                prefill.cost_s
                + decode.cost_s
                + transfer_s(prefill.id, decode.id),
                prefill.id,
                decode.id,
            )
            for prefill in prefills
            for decode in decodes
        ]
        found = pair_selection.select_pair(prefills, decodes, transfer_s)
        if not pairs:
            assert found is None
        else:
            assert found is not None
            chosen = (found.cost_s, found.prefill_id, found.decode_id)
            assert chosen == min(pairs)

    def test_a_short_transfer_outweighs_a_longer_prefill(self) -> None:
        prefills = _candidates([0.1, 0.2], "p")
        decodes = _candidates([0.0], "d")
        links = {"p0": 0.5, "p1": 0.1}
        found = pair_selection.select_pair(
            prefills, decodes, lambda prefill_id, _: links[prefill_id]
        )
        assert found is not None
        assert found.prefill_id == "p1"
