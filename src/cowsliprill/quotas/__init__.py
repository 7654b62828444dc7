"""Quotas of customers across all VMs: reports to owners, and their answers."""
