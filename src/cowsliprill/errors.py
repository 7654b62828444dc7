"""Errors with codes, as callers and operators see them.

Each package derives its own errors from `CowsliprillError` and turns errors of
the layer below into them at its border.
"""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of every binary."""

    OK = 0
    ERROR = 1
    USAGE = 2
    SETTINGS_INVALID = 3
    PLATFORM_UNAVAILABLE = 4
    INTERRUPTED = 130


class CowsliprillError(Exception):
    """Base of all errors of this project.

    Attributes:
      code: Stable machine-readable code in snake_case.
      message: One sentence for a person.
      exit_code: Exit code of a binary that ends with this error.
    """

    code = "internal_error"
    exit_code = ExitCode.ERROR

    def __init__(self, message: str, *, code: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code
