"""Decides which engines get no requests, or get them last, after failures.

Decides from the outcomes of real requests which engines of a pool are ejected,
when they are probed, and what a failing engine costs in placement. It never
sends a probe by itself, never chooses the engine of a request, never changes an
engine's role, and never leaves fewer engines than the recent load needs because
of lost responses.
"""
