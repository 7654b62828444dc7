"""Checks that a request's API key is still valid."""

import dataclasses

from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import context
from cowsliprill.entry import errors

# Short, because another VM may have fresher settings, and this one may soon.
_RETRY_AFTER_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Authorization:
    """Checks API keys when a request arrives and again before each attempt.

    Attributes:
      source: Decides whether the settings are fresh enough to accept keys.
      cluster_state: Current settings.
    """

    source: cluster_state_lib.ClusterStateSource
    cluster_state: cluster_state_lib.ClusterState

    def check(self, ctx: context.Context) -> None:
        """Checks that a request's API key is valid now.

        The key may have been revoked while the request was queued.

        Args:
          ctx: The request.

        Raises:
          errors.EntryError: The key is unknown or revoked, or the settings are
            too old to tell.
        """
        if not ctx.key_hash:
            return
        if not self.source.accepts_api_keys():
            raise errors.EntryError(
                errors.Code.SETTINGS_UNCONFIRMED,
                "This process can't tell whether the API key still holds.",
                run=ctx.progress.run,
                retry_after_s=_RETRY_AFTER_S,
            )
        if (
            ctx.key_hash
            not in self.cluster_state.snapshot.customers_by_key_hash
        ):
            raise errors.EntryError(
                errors.Code.INVALID_API_KEY, "The API key isn't known."
            )
