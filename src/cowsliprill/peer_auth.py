"""How our processes tell each other from strangers.

A body carries a keyed hash under a secret that all VMs get in their own file.
Without it anyone who reaches a VM's port could announce a revision. What this
doesn't protect: bodies can be read on the way, an old body can be sent again
(harmless for settings, whose revision never falls, and for news, whose items
are taken once), and who knows the secret can speak for every VM.
"""

import hashlib
import hmac

HEADER = "X-Peer-Signature"


class PeerAuth:
    """Signs and checks bodies.

    Args:
      secret: The shared secret; with an empty one every body is taken.
    """

    def __init__(self, secret: str) -> None:
        self._secret = secret.encode()

    @property
    def checks(self) -> bool:
        """Whether there is a secret to check with."""
        return bool(self._secret)

    def headers(self, body: bytes) -> dict[str, str]:
        """Returns the headers to send with a body."""
        if not self._secret:
            return {}
        return {HEADER: self._digest(body)}

    def accepts(self, body: bytes, signature: str | None) -> bool:
        """Returns whether a body comes from one who knows the secret."""
        if not self._secret:
            return True
        return hmac.compare_digest(self._digest(body), signature or "")

    def _digest(self, body: bytes) -> str:
        return hmac.new(self._secret, body, hashlib.sha256).hexdigest()
