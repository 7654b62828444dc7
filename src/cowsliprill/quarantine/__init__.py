"""Quarantine of requests that end engines: detection, exchange, refusals."""
