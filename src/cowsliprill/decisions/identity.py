"""Names of process incarnations, requests and attempts.

An incarnation is one life of one process. A request id names the incarnation
that owns the request, so that whoever finds the id at an engine knows whom to
ask about it.
"""

import dataclasses
import re
from typing import Self

_PART = re.compile(r"[a-z0-9-]+")
_INCARNATION_PARTS = 3
_ATTEMPT_PARTS = 5


class IdentityError(ValueError):
    """Raised for text that is not an id of the expected form."""


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One life of one process, written `<vm>.<process>.<nonce>`.

    Attributes:
      vm: Id of the VM.
      process: Name of the process on its VM, for example `e0`.
      nonce: Random text drawn at the process's start.
    """

    vm: str
    process: str
    nonce: str

    def __str__(self) -> str:
        return f"{self.vm}.{self.process}.{self.nonce}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Reads an incarnation.

        Args:
          text: `<vm>.<process>.<nonce>`, each of `[a-z0-9-]+`.

        Returns:
          The incarnation.

        Raises:
          IdentityError: The text has another form.
        """
        parts = text.split(".")
        if len(parts) != _INCARNATION_PARTS:
            raise IdentityError(f"not an incarnation: {text!r}")
        if not all(_PART.fullmatch(part) for part in parts):
            raise IdentityError(f"not an incarnation: {text!r}")
        return cls(*parts)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """One attempt at one request, written `<incarnation>.<number>.<attempt>`.

    Engines see this as `X-Request-Id`. Each attempt has its own id, so that a
    late answer of an abandoned attempt can't pass for the present one's.

    Attributes:
      incarnation: The entry process that owns the request.
      number: Number of the request within the incarnation.
      attempt: Counts from 0.
    """

    incarnation: Incarnation
    number: int
    attempt: int = 0

    def __str__(self) -> str:
        return f"{self.incarnation}.{self.number}.{self.attempt}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Reads an attempt id.

        Args:
          text: `<vm>.<process>.<nonce>.<number>.<attempt>`.

        Returns:
          The attempt id.

        Raises:
          IdentityError: The text has another form.
        """
        parts = text.split(".")
        if len(parts) != _ATTEMPT_PARTS or not all(
            part.isascii() and part.isdigit() for part in parts[3:]
        ):
            raise IdentityError(f"not an attempt id: {text!r}")
        incarnation = Incarnation.parse(".".join(parts[:3]))
        return cls(incarnation, int(parts[3]), int(parts[4]))
