"""Digests of API keys, which identify the keys in the settings."""

import hashlib


def digest(key: str) -> str:
    """Returns the hex SHA-256 digest of an API key."""
    return hashlib.sha256(key.encode()).hexdigest()
