"""Logs, metrics and the audit trail."""
