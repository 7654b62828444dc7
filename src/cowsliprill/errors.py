"""Base class of errors, error codes and process exit codes.

Each package derives its errors from `CowsliprillError` and converts errors of
the layer below at its boundary.
"""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of all binaries."""

    OK = 0
    ERROR = 1
    USAGE = 2
    SETTINGS_INVALID = 3
    PLATFORM_UNAVAILABLE = 4
    INTERRUPTED = 130


class CowsliprillError(Exception):
    """Base class of all errors of this project.

    Attributes:
      code: Stable machine-readable code in snake_case.
      message: Human-readable description.
      exit_code: Exit code of a process that terminates with this error.
    """

    code = "internal_error"
    exit_code = ExitCode.ERROR

    def __init__(self, message: str, *, code: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code
