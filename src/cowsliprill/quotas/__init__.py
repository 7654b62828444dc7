"""Quotas of customers across all VMs: usage reports and verdicts."""
