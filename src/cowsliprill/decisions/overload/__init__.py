"""Decisions on which work is delayed or shed under overload."""
