"""Errors of pool scheduling."""

from cowsliprill import errors


class PlacementError(errors.CowsliprillError):
    """Raised when a process can't tell where a request would go.

    Codes: `unknown_pool` and `not_coordinator`.
    """

    code = "unknown_pool"
