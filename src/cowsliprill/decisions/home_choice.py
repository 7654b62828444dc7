"""Which VM an entry takes for the home of one pool.

Pure. It is the first by the entry's own list of VMs, unless another VM has just
named a better one, or it can't be reached.
"""

from cowsliprill.decisions import model
from cowsliprill.decisions import ownership

# Failed calls in a row after which the next VM is asked, and for how long.
FAILURES_MAX = 2
_ASIDE_S = 2.0

# How long an entry takes another VM's word on who is the home, before its own
# view of the VMs counts again.
_NAMED_S = 1.0


class HomeChoice:
    """Chooses the home of one pool.

    Args:
      pool: The pool.

    Attributes:
      home: The VM that is asked, None while none is known.
    """

    def __init__(self, pool: str) -> None:
        self.home: model.Vm | None = None
        self._pool = pool
        self._ranking = ownership.HomeRanking()
        self._named: model.Vm | None = None
        self._named_until = 0.0
        self._aside_until_by_vm: dict[str, float] = {}
        self._failures = 0

    def look_up(self, vms_by_id: dict[str, model.Vm], now: float) -> bool:
        """Chooses by what is known now.

        Args:
          vms_by_id: The VM list.
          now: Time, seconds.

        Returns:
          Whether it is another VM than before.
        """
        if self._named is not None and now < self._named_until:
            return self._turn_to(self._named)
        ranked = self._ranking.of(self._pool, vms_by_id)
        avoided = self.avoided(now)
        near = [vm for vm in ranked if vm.id not in avoided]
        return self._turn_to(next(iter(near or ranked), None))

    def follow(self, asked: model.Vm, named: model.Vm, now: float) -> bool:
        """Turns to the home that another VM names.

        The one that was asked is put aside meanwhile, so that two which name
        each other don't send the entry to and fro.

        Args:
          asked: The VM that names another.
          named: The home by its word.
          now: Time, seconds.

        Returns:
          Whether it is another VM than before.
        """
        self._aside_until_by_vm[asked.id] = now + _NAMED_S
        self._named = named
        self._named_until = now + _NAMED_S
        return self._turn_to(named)

    def avoided(self, now: float) -> tuple[str, ...]:
        """Returns the ids of the VMs that are not asked just now."""
        return tuple(
            vm for vm, until in self._aside_until_by_vm.items() if until > now
        )

    def answered(self) -> None:
        """Notes that a call was answered."""
        self._failures = 0

    def failed(self, asked: model.Vm, now: float) -> int:
        """Notes that a call was not answered.

        Args:
          asked: The VM that was called.
          now: Time, seconds.

        Returns:
          How many calls in a row the home hasn't answered; from
          `FAILURES_MAX` on it is put aside. 0 where the VM isn't the home any
          more.
        """
        if self.home is None or asked.id != self.home.id:
            return 0
        self._failures += 1
        failures = self._failures
        if failures >= FAILURES_MAX:
            self._failures = 0
            self._aside_until_by_vm[asked.id] = now + _ASIDE_S
            self._named = None
        return failures

    def _turn_to(self, home: model.Vm | None) -> bool:
        before, self.home = self.home, home
        return (before and before.id) != (home and home.id)
