"""Client-side choice of the home VM of a pool or of another key.

The home is the first VM of the rendezvous ranking over the local VM list. A
redirect from another VM overrides the ranking for a short time, and a VM that
doesn't answer is skipped for a short time. No I/O.
"""

from cowsliprill.decisions import model
from cowsliprill.decisions import ownership

# After this many consecutive failed calls the home is skipped for
# `_SKIP_S`, and the next VM of the ranking is called.
FAILURES_MAX = 2
_SKIP_S = 2.0

# A redirect overrides the ranking over the local VM list for this long.
_REDIRECT_VALID_S = 1.0


class HomeChoice:
    """Chooses the home VM of one key.

    Args:
      key: Key of the rendezvous ranking: the name of a pool, or of anything
        else that has a home, such as a customer's quota.

    Attributes:
      home: The VM to call, None while none is known.
    """

    def __init__(self, key: str) -> None:
        self.home: model.Vm | None = None
        self._key = key
        self._ranking = ownership.HomeRanking()
        self._redirect_target: model.Vm | None = None
        self._redirect_until = 0.0
        self._skipped_until_by_vm: dict[str, float] = {}
        self._consecutive_failures = 0

    def look_up(self, vms_by_id: dict[str, model.Vm], now: float) -> bool:
        """Updates `home` from the VM list, redirects and recent failures.

        Where every VM is being skipped, the first of the ranking is the home
        nevertheless.

        Args:
          vms_by_id: The VM list.
          now: Current time in seconds.

        Returns:
          Whether the home has changed.
        """
        if self._redirect_target is not None and now < self._redirect_until:
            return self._set_home(self._redirect_target)
        ranked = self._ranking.of(self._key, vms_by_id)
        avoided = self.avoided(now)
        available = [vm for vm in ranked if vm.id not in avoided]
        return self._set_home(next(iter(available or ranked), None))

    def follow(self, called: model.Vm, target: model.Vm, now: float) -> bool:
        """Follows a redirect to another VM.

        The redirecting VM is skipped for as long as the redirect is valid, so
        that two VMs which redirect to each other can't cause a loop.

        Args:
          called: The VM that answered with the redirect.
          target: The home according to that VM.
          now: Current time in seconds.

        Returns:
          Whether the home has changed.
        """
        self._skipped_until_by_vm[called.id] = now + _REDIRECT_VALID_S
        self._redirect_target = target
        self._redirect_until = now + _REDIRECT_VALID_S
        return self._set_home(target)

    def avoided(self, now: float) -> tuple[str, ...]:
        """Returns the ids of the VMs that are skipped at this time."""
        return tuple(
            vm for vm, until in self._skipped_until_by_vm.items() if until > now
        )

    def answered(self) -> None:
        """Records a successful call; resets the count of failures."""
        self._consecutive_failures = 0

    def failed(self, called: model.Vm, now: float) -> int:
        """Records a call that failed or timed out.

        Args:
          called: The VM that was called.
          now: Current time in seconds.

        Returns:
          The number of consecutive failures of the home, 0 if the VM is no
          longer the home. At `FAILURES_MAX` the VM is skipped for a while and
          the count starts again.
        """
        if self.home is None or called.id != self.home.id:
            return 0
        self._consecutive_failures += 1
        failures = self._consecutive_failures
        if failures >= FAILURES_MAX:
            self._consecutive_failures = 0
            self._skipped_until_by_vm[called.id] = now + _SKIP_S
            self._redirect_target = None
        return failures

    def _set_home(self, home: model.Vm | None) -> bool:
        before, self.home = self.home, home
        return (before and before.id) != (home and home.id)
