"""Differential tests of `decisions.home_map` against `ownership.home_of`."""

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import home_map
from cowsliprill.decisions import model
from cowsliprill.decisions import ownership

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=100
)
_ENDPOINT_IDS = [f"d{number}" for number in range(30)]


def _vm(number: int, leaving: bool, port: int) -> model.Vm:
    return model.Vm(
        id=f"vm-{number}",
        host="127.0.0.1",
        availability_zone="gasabo",
        role=model.VmRole.ENTRY,
        state=model.VmState.LEAVING if leaving else model.VmState.LIVE,
        dispatch_port=port,
    )


_LISTS = strategies.lists(
    strategies.dictionaries(
        strategies.integers(0, 6),
        strategies.tuples(strategies.booleans(), strategies.integers(1, 3)),
    ),
    min_size=1,
    max_size=6,
)


class TestHomeMap:
    """The same homes as the plain function, whatever changed before."""

    @_SETTINGS
    @hypothesis.given(lists=_LISTS)
    def test_every_list_gives_the_same_homes_as_the_plain_function(
        self, lists: list[dict[int, tuple[bool, int]]]
    ) -> None:
        """VMs come, go, leave and change their ports, several at once.

        If a home here differed from the one that entries work out, asks would
        go to a VM that doesn't grant, and its engines would lie idle.
        """
        homes = home_map.HomeMap()
        for each in lists:
            vms = [_vm(number, *state) for number, state in each.items()]
            homes.update(vms)
            for endpoint_id in _ENDPOINT_IDS:
                expected = ownership.home_of(endpoint_id, vms)
                assert homes.home_of(endpoint_id) == expected

    def test_forgotten_endpoints_are_found_anew(self) -> None:
        homes = home_map.HomeMap()
        vms = [_vm(number, False, 1) for number in range(5)]
        homes.update(vms)
        before = homes.home_of("d1")
        homes.keep_only([])
        assert homes.home_of("d1") == before
