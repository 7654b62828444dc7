"""Dispatch process: leases slots of the endpoints that its VM coordinates."""
