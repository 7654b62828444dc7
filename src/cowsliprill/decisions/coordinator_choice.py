"""Client-side choice of the coordinator of a pool or of another key.

The coordinator is the first VM of the rendezvous ranking over the local VM
list. A redirect from another VM overrides the ranking for a short time, and a
VM that doesn't answer is suspended for a short time. No I/O.
"""

from cowsliprill.decisions import model
from cowsliprill.decisions import rendezvous

# After this many consecutive failed calls the coordinator is suspended for
# `_SUSPENSION_S`, and the next VM of the ranking is called.
MAX_CONSECUTIVE_FAILURES = 2
_SUSPENSION_S = 2.0

# A redirect overrides the ranking over the local VM list for this long.
_REDIRECT_VALID_S = 1.0


class CoordinatorChoice:
    """Chooses the coordinator of one key.

    Args:
      key: Key of the rendezvous ranking: the name of a pool, or of anything
        else that has a coordinator, such as a customer's quota.

    Attributes:
      home: The coordinator, None while none is known.
    """

    def __init__(self, key: str) -> None:
        self.home: model.Vm | None = None
        self._key = key
        self._ranking = rendezvous.VmRankingCache()
        self._redirect_target: model.Vm | None = None
        self._redirect_until = 0.0
        self._suspended_until_by_vm: dict[str, float] = {}
        self._consecutive_failures = 0

    def update(self, vms_by_id: dict[str, model.Vm], now: float) -> bool:
        """Updates `home` from the VM list, redirects and recent failures.

        Where every VM is suspended, the first of the ranking is the coordinator
        nevertheless.

        Args:
          vms_by_id: The VM list.
          now: Current time in seconds.

        Returns:
          Whether the coordinator has changed.
        """
        if self._redirect_target is not None and now < self._redirect_until:
            return self._set_coordinator(self._redirect_target)
        ranked = self._ranking.ranked_vms(self._key, vms_by_id)
        suspended_ids = self.suspended_ids(now)
        available = [vm for vm in ranked if vm.id not in suspended_ids]
        return self._set_coordinator(next(iter(available or ranked), None))

    def follow(self, called: model.Vm, target: model.Vm, now: float) -> bool:
        """Follows a redirect to another VM.

        The redirecting VM is suspended for as long as the redirect is valid, so
        that two VMs which redirect to each other can't cause a loop.

        Args:
          called: The VM that answered with the redirect.
          target: The coordinator according to that VM.
          now: Current time in seconds.

        Returns:
          Whether the coordinator has changed.
        """
        self._suspended_until_by_vm[called.id] = now + _REDIRECT_VALID_S
        self._redirect_target = target
        self._redirect_until = now + _REDIRECT_VALID_S
        return self._set_coordinator(target)

    def suspended_ids(self, now: float) -> tuple[str, ...]:
        """Returns the ids of the VMs that are suspended at this time."""
        return tuple(
            vm
            for vm, until in self._suspended_until_by_vm.items()
            if until > now
        )

    def answered(self) -> None:
        """Records a successful call; resets the count of failures."""
        self._consecutive_failures = 0

    def record_failure(self, called: model.Vm, now: float) -> int:
        """Records a call that failed or timed out.

        Args:
          called: The VM that was called.
          now: Current time in seconds.

        Returns:
          The number of consecutive failures of the coordinator, 0 if the VM is
          no longer the coordinator. At `MAX_CONSECUTIVE_FAILURES` the VM is
          suspended and the count starts again.
        """
        if self.home is None or called.id != self.home.id:
            return 0
        self._consecutive_failures += 1
        failures = self._consecutive_failures
        if failures >= MAX_CONSECUTIVE_FAILURES:
            self._consecutive_failures = 0
            self._suspended_until_by_vm[called.id] = now + _SUSPENSION_S
            self._redirect_target = None
        return failures

    def _set_coordinator(self, coordinator: model.Vm | None) -> bool:
        previous, self.home = self.home, coordinator
        return (previous and previous.id) != (coordinator and coordinator.id)
