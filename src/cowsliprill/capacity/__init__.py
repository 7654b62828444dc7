"""Measures control-plane costs and extrapolates them to a fleet's size.

The tables of docs/CAPACITY.md come from this package.
"""
