"""Errors of the command line."""

from cowsliprill import errors


class CliError(errors.CowsliprillError):
    """Raised when a command fails.

    Codes: `file_unreadable`, `bad_step`, `no_requests`, `unknown_service`,
    `unknown_request`, and by default `no_answer` for a process that doesn't
    respond.
    """

    code = "no_answer"
