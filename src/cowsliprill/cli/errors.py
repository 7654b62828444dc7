"""Errors of the operator's command line."""

from cowsliprill import errors


class CliError(errors.CowsliprillError):
    """Raised for a command that can't be carried out.

    Codes: `file_unreadable`, `unknown_service`, `unknown_request`, `no_answer`.
    """

    code = "no_answer"
