"""Read-only client of the key-value store of settings and endpoints."""
