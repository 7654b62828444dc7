"""Exceptions of the dispatch process."""

from cowsliprill import errors


class DispatchError(errors.CowsliprillError):
    """Base class of the errors of the dispatch process."""

    code = "dispatch_failed"


class InvalidMessageError(DispatchError):
    """Raised when a message from a peer is invalid."""

    code = "invalid_message"
