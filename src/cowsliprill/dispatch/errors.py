"""Errors of the dispatch process."""

from cowsliprill import errors


class DispatchError(errors.CowsliprillError):
    """Base of the errors of the dispatch process."""

    code = "dispatch_failed"


class InvalidAskError(DispatchError):
    """Raised for a message of a peer that can't be used."""

    code = "invalid_message"
