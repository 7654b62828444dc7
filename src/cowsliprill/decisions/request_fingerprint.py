"""Keyed digests by which requests and parts of prompts are recognized.

Callers give each attempt an id of its own, and their address may change between
two attempts. What stays the same is what an engine receives. Different requests
may share parts of their prompts.
"""

import dataclasses
import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8

# Regular expression that matches a fingerprint.
PATTERN = rf"^[0-9a-f]{{{2 * _DIGEST_BYTES}}}$"
_PURPOSE = b"request-digest"
_PART_PURPOSE = b"part-digest"

# Bounds what a request can add to records and messages.
_MAX_PARTS = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestContent:
    """The parts of a request that are the same in each repetition.

    Attributes:
      customer: Id of the customer, empty where there are none.
      method: HTTP method.
      host: Host of the request's route, empty where routes have none.
      target: Path and query.
      body: Body without transfer coding.
    """

    customer: str
    method: str
    host: str
    target: str
    body: bytes


class Fingerprinter:
    """Computes fingerprints and digests of parts of prompts.

    Args:
      secret: Secret shared by the processes. Without it, someone who reads the
        logs could confirm a guess of a short body.
    """

    def __init__(self, secret: str) -> None:
        self._key = hashlib.sha256(secret.encode()).digest()

    def fingerprint(self, content: RequestContent) -> str:
        """Returns the fingerprint, the same at all VMs, in hexadecimal."""
        digest = hashlib.blake2b(
            digest_size=_DIGEST_BYTES, key=self._key, person=_PURPOSE
        )
        texts = (content.customer, content.method, content.host, content.target)
        for text in texts:
            _update(digest, text)
        digest.update(content.body)
        return digest.hexdigest()

    def part_digests(
        self, part_ids: Iterable[str], pool: str
    ) -> tuple[str, ...]:
        """Returns the digests of parts of a prompt, the same at all VMs.

        Args:
          part_ids: Identify the parts, in their order in the prompt.
          pool: Pool of the request. Engines of another pool may run other
            software, for which the same part has another digest.

        Returns:
          One digest in hexadecimal for each different part, in order; those of
          a very long list's end are left out.
        """
        different_ids = list(dict.fromkeys(part_ids))[:_MAX_PARTS]
        return tuple(
            self._part_digest(part_id, pool) for part_id in different_ids
        )

    def _part_digest(self, part_id: str, pool: str) -> str:
        digest = hashlib.blake2b(
            digest_size=_DIGEST_BYTES, key=self._key, person=_PART_PURPOSE
        )
        for text in (pool, part_id):
            _update(digest, text)
        return digest.hexdigest()


def _update(digest: hashlib.blake2b, text: str) -> None:
    part = text.encode()
    # The length keeps ("ab", "c") apart from ("a", "bc").
    digest.update(len(part).to_bytes(4, "big"))
    digest.update(part)
