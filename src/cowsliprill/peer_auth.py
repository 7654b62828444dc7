"""Authenticates messages between the processes of this system.

Each body is signed with an HMAC under a secret that all VMs have in their JSON
files. Without a signature, anyone who can reach a VM's port could announce a
settings revision. Not protected against: reading of bodies in transit, replay
of old bodies (harmless for settings, whose revision never decreases, and for
leaving notices, each of which is applied once), and impersonation of any VM by
a holder of the secret.
"""

import hashlib
import hmac

HEADER = "X-Peer-Signature"


class PeerAuth:
    """Signs and verifies message bodies.

    Args:
      secret: Shared secret; if empty, every body is accepted.
    """

    def __init__(self, secret: str) -> None:
        self._secret = secret.encode()

    @property
    def is_enabled(self) -> bool:
        """Whether signatures are verified, that is, a secret is set."""
        return bool(self._secret)

    def headers(self, body: bytes) -> dict[str, str]:
        """Returns the signature header of a body; empty without a secret."""
        if not self._secret:
            return {}
        return {HEADER: self._digest(body)}

    def verify(self, body: bytes, signature: str | None) -> bool:
        """Returns whether the signature of a body is valid."""
        if not self._secret:
            return True
        return hmac.compare_digest(self._digest(body), signature or "")

    def _digest(self, body: bytes) -> str:
        return hmac.new(self._secret, body, hashlib.sha256).hexdigest()
