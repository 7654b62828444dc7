"""Fleets of many VMs, some of which lose their path to a pool."""

import pytest

import relay_fleet

_SECONDS = 9.0

# First tries at cut-off VMs are served this often, compared with the others,
# from this time after the cut.
_MIN_SERVED_RATIO = 0.9
_FROM_S = 2.0

_SIZES = [(6, 3), (71, 5), (195, 5)]
_REQUESTS_PER_S = [0.4, 4.0]


def _cut(name: str, vms: int, zones: int) -> set[int]:
    match name:
        case "third":
            return relay_fleet.spread(vms, 1 / 3, seed=1)
        case "half":
            return relay_fleet.spread(vms, 1 / 2, seed=1)
        case "zone":
            return relay_fleet.of_zones(vms, zones, 1)
        case "zone_but_one":
            return relay_fleet.of_zones(vms, zones, 1) - {0}
        case "two_zones":
            return relay_fleet.of_zones(vms, zones, 2)
        case _:
            raise ValueError(name)


class TestServedElsewhere:
    """Callers of cut-off VMs while other VMs reach the endpoints."""

    # Guards against VMs that ask only peers which have lost the path as well,
    # and refuse although most of the fleet could serve.
    @pytest.mark.parametrize("requests_per_s", _REQUESTS_PER_S)
    @pytest.mark.parametrize(("vms", "zones"), _SIZES)
    @pytest.mark.parametrize(
        "cut", ["third", "half", "zone", "zone_but_one", "two_zones"]
    )
    def test_first_tries_are_served(
        self, cut: str, vms: int, zones: int, requests_per_s: float
    ):
        numbers = _cut(cut, vms, zones)
        fleet = relay_fleet.Fleet(vms, zones, numbers, seed=1)
        outcomes = fleet.outcomes(requests_per_s, _SECONDS)
        counted = [item for item in outcomes if item.after_s >= _FROM_S]
        served = sum(item.served for item in counted)
        assert served >= _MIN_SERVED_RATIO * len(counted)
