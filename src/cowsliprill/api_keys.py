"""Digests of API keys, by which the settings name them."""

import hashlib


def digest(key: str) -> str:
    """Returns the hex SHA-256 digest of an API key."""
    return hashlib.sha256(key.encode()).hexdigest()
