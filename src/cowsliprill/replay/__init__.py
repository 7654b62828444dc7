"""Trace-driven simulation of the scheduler in virtual time."""
