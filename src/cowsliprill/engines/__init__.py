"""Adapters for engines and plain services."""
