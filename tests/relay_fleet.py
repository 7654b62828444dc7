"""Simulated fleet in which some VMs lose their path to a pool.

Callers' requests, the choice of peers and the gossip between members run in
virtual time; only the network and the endpoints are missing.
"""

import dataclasses
import random
from collections.abc import Collection

from tests import member_net

from cowsliprill.decisions import model
from cowsliprill.decisions import pool_bitmap
from cowsliprill.decisions import relay_choice

POOL = "desk"

# A VM that doesn't know yet that its path is lost finds out by the first
# request that fails; see `entry.path_monitor`.
_DETECTION_S = 0.45

_HOP_S = 0.003


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a caller's first try at a VM without a path.

    Attributes:
      after_s: Time from the cut until the request came, in seconds.
      served: Whether a VM with a path was found.
      asked: Number of VMs that were asked.
    """

    after_s: float
    served: bool
    asked: int


class Fleet:
    """VMs in zones, some of which are cut off from the endpoints.

    Args:
      vms: Number of VMs.
      zones: Number of availability zones.
      cut: Numbers of the VMs that lose their path.
      seed: Seed of arrivals and choices.
    """

    def __init__(
        self, vms: int, zones: int, cut: Collection[int], seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self._cut = frozenset(cut)
        self._lost: set[int] = set()
        self._net = member_net.Net(vms)
        self._vms = [
            model.Vm(
                id=member_net.record(number).id,
                host="10.0.0.1",
                availability_zone=f"zone-{number % zones}",
                role=model.VmRole.ENTRY,
                entry_ports=(1,),
            )
            for number in range(vms)
        ]
        self._choices = [
            relay_choice.RelayChoice(vm.id, vm.availability_zone, self._rng)
            for vm in self._vms
        ]

    def outcomes(self, requests_per_s: float, seconds: float) -> list[Outcome]:
        """Returns the outcomes of requests at the VMs that are cut off.

        Args:
          requests_per_s: Requests for the pool that come at each VM.
          seconds: Time from the cut in seconds.
        """
        self._net.run(5.0)
        arrivals = sorted(
            (self._rng.uniform(0.0, seconds), number)
            for number in self._cut
            for _ in range(round(requests_per_s * seconds))
        )
        outcomes = []
        cut_at = self._net.now
        for after_s, number in arrivals:
            self._net.run(max(cut_at + after_s - self._net.now, 0.0))
            outcomes.append(self._send(number, after_s))
        return outcomes

    def _send(self, number: int, after_s: float) -> Outcome:
        now = self._net.now + self._detect(number)
        tried: set[str] = set()
        while (chosen := self._choose(number, tried, now)) is not None:
            tried.add(chosen.id)
            helper = self._vms.index(chosen)
            if helper not in self._cut:
                return Outcome(after_s, served=True, asked=len(tried))
            now += _HOP_S + self._detect(helper)
            self._choices[number].record_declined(chosen.id, POOL, now)
        return Outcome(after_s, served=False, asked=len(tried))

    def _choose(
        self, number: int, tried: set[str], now: float
    ) -> model.Vm | None:
        members = self._net.members(number)
        return self._choices[number].choose(
            self._vms, POOL, tried, members.without_path(POOL), now
        )

    def _detect(self, number: int) -> float:
        """Has a VM notice that its path is lost.

        Returns:
          The time that this takes in seconds.
        """
        if number in self._lost:
            return 0.0
        self._lost.add(number)
        self._net.publish(
            number, _DETECTION_S, lost_pools=pool_bitmap.encode([POOL])
        )
        return _DETECTION_S


def spread(vms: int, fraction: float, seed: int) -> set[int]:
    """Returns a part of the VMs, regardless of their zones."""
    chosen = random.Random(seed).sample(range(vms), round(vms * fraction))
    return set(chosen)


def of_zones(vms: int, zones: int, count: int) -> set[int]:
    """Returns all VMs of the first zones."""
    return {number for number in range(vms) if number % zones < count}
