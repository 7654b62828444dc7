"""Structured logs, Prometheus metrics and the audit trail."""
