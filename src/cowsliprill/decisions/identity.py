"""Identifiers of process incarnations and of attempts at requests.

An incarnation is one run of a process, from start to exit. The id of a request
contains the incarnation that owns it, so that the owner of a request found at
an engine can be determined from its id.
"""

import dataclasses
import re
from typing import Self

_PART_PATTERN = re.compile(r"[a-z0-9-]+")
_INCARNATION_PART_COUNT = 3
_ATTEMPT_PART_COUNT = 5


class IdentityError(ValueError):
    """Raised when a string isn't an id in the expected format."""


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of one process, formatted as `<vm>.<process>.<nonce>`.

    Attributes:
      vm: Id of the VM.
      process: Name of the process on its VM, for example `e0`.
      nonce: Random string generated when the process starts.
    """

    vm: str
    process: str
    nonce: str

    def __str__(self) -> str:
        return f"{self.vm}.{self.process}.{self.nonce}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parses an incarnation.

        Args:
          text: `<vm>.<process>.<nonce>`, each part matching `[a-z0-9-]+`.

        Returns:
          The incarnation.

        Raises:
          IdentityError: The text has a different format.
        """
        parts = text.split(".")
        if len(parts) != _INCARNATION_PART_COUNT:
            raise IdentityError(f"not an incarnation: {text!r}")
        if not all(_PART_PATTERN.fullmatch(part) for part in parts):
            raise IdentityError(f"not an incarnation: {text!r}")
        return cls(*parts)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """Attempt at a request, formatted as `<incarnation>.<number>.<attempt>`.

    Sent to engines as `X-Request-Id`. Each attempt has an id of its own, so
    that a late response to an abandoned attempt can't be mistaken for the
    response to the current one.

    Attributes:
      incarnation: The entry process that owns the request.
      number: Number of the request within the incarnation.
      attempt: Number of the attempt, starting at 0.
    """

    incarnation: Incarnation
    number: int
    attempt: int = 0

    def __str__(self) -> str:
        return f"{self.incarnation}.{self.number}.{self.attempt}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parses an attempt id.

        Args:
          text: `<vm>.<process>.<nonce>.<number>.<attempt>`.

        Returns:
          The attempt id.

        Raises:
          IdentityError: The text has a different format.
        """
        parts = text.split(".")
        if len(parts) != _ATTEMPT_PART_COUNT or not all(
            part.isascii() and part.isdigit() for part in parts[3:]
        ):
            raise IdentityError(f"not an attempt id: {text!r}")
        incarnation = Incarnation.parse(".".join(parts[:3]))
        return cls(incarnation, int(parts[3]), int(parts[4]))
