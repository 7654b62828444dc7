"""Whether a caller's API key may be honoured now."""

import dataclasses

from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import world as world_lib

# Another VM may have newer settings, and this one may within a moment.
_RETRY_AFTER_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Authorization:
    """Checks keys when a request arrives, and again before each attempt.

    Attributes:
      source: Tells whether the settings are recent enough.
      world: The settings in force.
    """

    source: world_lib.Source
    world: world_lib.World

    def check(self, ctx: context.Context) -> None:
        """Checks that a request's key may be honoured now.

        A request may have waited since it arrived; its key may be revoked by
        now.

        Args:
          ctx: The request.

        Raises:
          errors.EntryError: It may not be honoured.
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
        if ctx.key_hash not in self.world.snapshot.customers_by_key_hash:
            raise errors.EntryError(
                errors.Code.INVALID_API_KEY, "The API key isn't known."
            )
